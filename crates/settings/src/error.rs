//! The error of reading settings.

use crocusyard_catalog::prelude::InputProblem;
use snafu::Snafu;

/// The settings were refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{}", list_problems(problems)))]
#[snafu(visibility(pub))]
pub struct SettingsError {
    /// Every fault that was found, in the order of the lines.
    pub problems: Vec<InputProblem>,
}

fn list_problems(problems: &[InputProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
