//! Errors of commands.

use crocusyard_adapter::prelude::SettingsError;
use crocusyard_edge::prelude::EdgeError;
use crocusyard_host::prelude::HostError;
use crocusyard_load::prelude::LoadError;
use crocusyard_logging::prelude::LoggingError;
use crocusyard_settings::prelude::SecretError;
use snafu::Snafu;

/// A command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file cannot be read.
    #[snafu(display("{file} cannot be read: {source}"))]
    UnreadableFile {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Files have problems.
    #[snafu(display("{}", lines.join("\n")))]
    InvalidFile {
        /// One line for each problem.
        lines: Vec<String>,
    },
    /// A file cannot be written.
    #[snafu(display("{file} cannot be written: {source}"))]
    UnwritableFile {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A load run cannot be made.
    #[snafu(display("{source}"))]
    Load {
        /// Cause.
        source: LoadError,
    },
    /// A key cannot be read.
    #[snafu(display("{name} key: {source}"))]
    MissingKey {
        /// Which key.
        name: &'static str,
        /// Cause.
        source: SecretError,
    },
    /// The settings file of the platform cannot be used.
    #[snafu(display("{source}"))]
    PlatformSettings {
        /// Cause.
        source: SettingsError,
    },
    /// The host cannot run.
    #[snafu(display("{source}"))]
    Entry {
        /// Cause.
        source: EdgeError,
    },
    /// Logging cannot be started.
    #[snafu(display("{source}"))]
    Logging {
        /// Cause.
        source: LoggingError,
    },
    /// The options do not fit together.
    #[snafu(display("{expected}"))]
    InvalidOptions {
        /// What was expected.
        expected: &'static str,
    },
    /// The host does not answer.
    #[snafu(display("{host} does not answer: {cause}"))]
    Unreachable {
        /// Address.
        host: String,
        /// Cause.
        cause: String,
    },
    /// The host refuses the call.
    #[snafu(display("{host} answers {status}: {detail}"))]
    Refused {
        /// Address.
        host: String,
        /// HTTP status.
        status: u16,
        /// Detail of the problem document.
        detail: String,
    },
    /// The host's answer does not have the expected form.
    #[snafu(display("the answer of {host} is not understood: {cause}"))]
    MalformedAnswer {
        /// Address.
        host: String,
        /// Cause.
        cause: String,
    },
    /// Another change came first.
    #[snafu(display(
        "version {version} is in force, another change came first:\n{}",
        diff.join("\n")
    ))]
    Conflict {
        /// Version in force.
        version: u64,
        /// What the other change did.
        diff: Vec<String>,
    },
    /// The host cannot be started.
    #[snafu(display("{source}"))]
    Host {
        /// Cause.
        source: HostError,
    },
}

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidFile { .. } => 2,
            Self::Conflict { .. } => 3,
            _ => 1,
        }
    }
}
