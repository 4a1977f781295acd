//! Reading of a checked type from YAML.

use crate::document::{parse_document, to_value, LocatedNode};
use crate::problem::InputProblem;
use crate::shape::{check_shape, line_of, KeySpec, PathLines};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// A fault of a value that was read, before its line is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueProblem {
    /// Path of the key.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl ValueProblem {
    /// Makes a problem.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Reads a value, checks it against its keys and then by `check`.
///
/// Keys that are unknown or wrong are left out if they may be absent. `check` is told whether the
/// value is whole, so that it does not blame other keys for what was left out.
///
/// # Errors
///
/// Fails with every problem that was found, in the order of the lines. A fault of syntax is
/// reported alone, since nothing after it can be trusted.
pub fn read_checked<T: DeserializeOwned>(
    text: &str,
    keys: &'static [KeySpec],
    check: fn(&T, bool) -> Vec<ValueProblem>,
) -> Result<T, Vec<InputProblem>> {
    let mut root = parse_document(text).map_err(|problem| vec![problem])?;
    let mut report = check_shape(&mut root, keys);
    let value = if report.unusable {
        None
    } else {
        read_value(&root, &mut report.problems)
    };
    if let Some(value) = &value {
        let whole = report.problems.is_empty();
        // A value that was left out as wrong must not be reported again as missing.
        let wrong = report.problems.iter().map(|problem| problem.path.clone());
        let left_out: BTreeSet<String> = wrong.chain(report.misspelt).collect();
        for problem in check(value, whole) {
            if !left_out.contains(&problem.path) {
                let line = line_of(&report.lines, &problem.path);
                let problem = InputProblem::new(line, problem.path, problem.expected);
                report.problems.push(problem);
            }
        }
    }
    report.problems.sort_by_key(|problem| problem.line);
    match value {
        Some(value) if report.problems.is_empty() => Ok(value),
        _ => Err(report.problems),
    }
}

/// Gives each problem the line of its path in the text.
pub fn locate_problems(
    text: &str,
    keys: &'static [KeySpec],
    problems: Vec<ValueProblem>,
) -> Vec<InputProblem> {
    let lines = match parse_document(text) {
        Ok(mut root) => check_shape(&mut root, keys).lines,
        Err(_) => PathLines::new(),
    };
    problems
        .into_iter()
        .map(|problem| {
            let line = line_of(&lines, &problem.path);
            InputProblem::new(line, problem.path, problem.expected)
        })
        .collect()
}

fn read_value<T: DeserializeOwned>(
    root: &LocatedNode,
    problems: &mut Vec<InputProblem>,
) -> Option<T> {
    match serde_path_to_error::deserialize(to_value(root)) {
        Ok(value) => Some(value),
        Err(error) => {
            // The cause is left out: it repeats the value, which may be a misplaced key.
            let path = error.path().to_string();
            problems.push(InputProblem::new(
                root.line,
                path,
                "value of the declared type",
            ));
            None
        }
    }
}
