//! Output of commands, as text, JSON or tables.

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
    /// Exit code of the process.
    pub exit_code: u8,
}

impl CommandOutput {
    /// Builds the output of a successful command from a text, which gets a newline at its end.
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

    /// Builds the output of a successful command from a value, as JSON.
    pub fn from_json(value: &impl Serialize) -> Self {
        // The values are plain data with text keys, which can always be written as JSON.
        Self::from_text(serde_json::to_string_pretty(value).unwrap_or_default())
    }

    /// Builds the output of a failed command.
    pub fn from_error(error: &CliError) -> Self {
        Self {
            stdout: String::new(),
            stderr: format!("{error}\n"),
            exit_code: error.exit_code(),
        }
    }
}

/// Formats a table with a title. Without rows, the text is only the title and `none`.
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
