//! A problem found in a YAML file that an operator wrote.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A problem with its line and key path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputProblem {
    /// Line in the file, counted from 1.
    pub line: u32,
    /// Path of the key, as in `models[2].memory_bytes`; empty for the whole file.
    pub path: String,
    /// What was expected at the path.
    pub expected: String,
}

impl InputProblem {
    /// Creates a problem at a line and key path from what was expected there.
    pub fn new(line: u32, path: impl Into<String>, expected: impl Into<String>) -> Self {
        Self {
            line,
            path: path.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for InputProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(file)"
        } else {
            &self.path
        };
        write!(f, "{}: {path}: {}", self.line, self.expected)
    }
}
