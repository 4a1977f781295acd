//! Output of commands.

use crate::error::CliError;
use comfy_table::{presets, Table};
use serde::Serialize;

/// What a command prints, and its exit code.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code.
    pub exit_code: u8,
}

impl CommandOutput {
    /// Makes the output of a command that worked.
    pub fn from_text(text: impl Into<String>) -> Self {
        let mut stdout = text.into();
        if !stdout.is_empty() && !stdout.ends_with('\n') {
            stdout.push('\n');
        }
        Self {
            stdout,
            ..Self::default()
        }
    }

    /// Makes the output of a command that worked, as JSON.
    pub fn from_json(value: &impl Serialize) -> Self {
        // The bodies are plain data with text keys, which JSON always holds.
        Self::from_text(serde_json::to_string_pretty(value).unwrap_or_default())
    }

    /// Makes the output of a command that failed.
    pub fn from_error(error: &CliError) -> Self {
        Self {
            stdout: String::new(),
            stderr: format!("{error}\n"),
            exit_code: error.exit_code(),
        }
    }
}

/// Writes a table with a title; without rows only the title and `none` remain.
pub fn format_table(title: &str, header: &[&str], rows: Vec<Vec<String>>) -> String {
    if rows.is_empty() {
        return format!("{title}: none\n");
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.to_vec());
    table.add_rows(rows);
    format!("{title}:\n{table}\n")
}
