//! The error of settings that are not valid.

use crocusyard_catalog::prelude::InputProblem;
use snafu::Snafu;

/// Error for settings that are not valid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", join_problems(problems)))]
#[snafu(visibility(pub))]
pub struct SettingsError {
    /// Every problem that was found, ordered by line.
    pub problems: Vec<InputProblem>,
}

fn join_problems(problems: &[InputProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
