//! Reads a typed value from YAML and checks it.

use crate::document::{parse_document, to_value, LocatedNode};
use crate::problem::InputProblem;
use crate::shape::{check_shape, line_of, KeySpec, PathLines};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// A problem with a value that was read, whose line is not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueProblem {
    /// Path of the key, as in `models[2].memory_bytes`.
    pub path: String,
    /// What was expected at the path.
    pub expected: String,
}

impl ValueProblem {
    /// Creates a problem at a key path from what was expected there.
    pub fn new(path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            expected: expected.into(),
        }
    }
}

/// Reads a value from YAML, checks its shape against `keys` and then its contents by `check`.
///
/// Unknown keys, and optional keys with wrong values, are left out. The second argument of `check`
/// says whether the value is complete; `check` must not report problems that could come from a key
/// that was left out.
///
/// # Errors
///
/// Fails with every problem that was found, ordered by line. A syntax error is reported alone,
/// since nothing after it can be read reliably.
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
        let complete = report.problems.is_empty();
        // Keys that were left out as wrong or misspelt must not also be reported as missing.
        let wrong = report.problems.iter().map(|problem| problem.path.clone());
        let left_out: BTreeSet<String> = wrong.chain(report.misspelt).collect();
        for problem in check(value, complete) {
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

/// Adds to each problem the line of its path in the text.
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
            // The message of the error is left out: it repeats the value, which may be a secret
            // that was put there by mistake.
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
