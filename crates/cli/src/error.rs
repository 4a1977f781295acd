//! Errors of commands.

use crocusyard_adapter::prelude::SettingsError;
use crocusyard_edge::prelude::EdgeError;
use crocusyard_host::prelude::HostError;
use crocusyard_load::prelude::LoadError;
use crocusyard_logging::prelude::LoggingError;
use crocusyard_settings::prelude::SecretError;
use snafu::Snafu;

/// An error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file cannot be read.
    #[snafu(display("{file} cannot be read: {source}"))]
    UnreadableFile {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A settings or catalogue file has problems.
    #[snafu(display("{}", lines.join("\n")))]
    InvalidFile {
        /// One line for each problem, with the file and the line number.
        lines: Vec<String>,
    },
    /// A file cannot be written.
    #[snafu(display("{file} cannot be written: {source}"))]
    UnwritableFile {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A load run failed.
    #[snafu(display("{source}"))]
    Load {
        /// Error of the load run.
        source: LoadError,
    },
    /// A secret key cannot be read from its source.
    #[snafu(display("{name} key cannot be read: {source}"))]
    MissingKey {
        /// Role of the key: `operator` or `gossip`.
        name: &'static str,
        /// Error of reading the key.
        source: SecretError,
    },
    /// The settings file of the platform cannot be read or is invalid.
    #[snafu(display("{source}"))]
    PlatformSettings {
        /// Error of reading the settings.
        source: SettingsError,
    },
    /// The entry host on the users' platform cannot run.
    #[snafu(display("{source}"))]
    Entry {
        /// Error of the entry host.
        source: EdgeError,
    },
    /// Logging cannot be started.
    #[snafu(display("{source}"))]
    Logging {
        /// Error of setting up the logs.
        source: LoggingError,
    },
    /// The options of a command are invalid or do not go together.
    #[snafu(display("{expected}"))]
    InvalidOptions {
        /// What was expected of the options.
        expected: &'static str,
    },
    /// The host cannot be reached, or does not answer in time.
    #[snafu(display("{host} does not answer: {cause}"))]
    Unreachable {
        /// Address of the host.
        host: String,
        /// Text of the underlying error.
        cause: String,
    },
    /// The host refused the call.
    #[snafu(display("{host} answers {status}: {detail}"))]
    Refused {
        /// Address of the host.
        host: String,
        /// HTTP status code of the answer.
        status: u16,
        /// Detail of the problem document, or a text for the status.
        detail: String,
    },
    /// The host's answer does not have the expected form.
    #[snafu(display("the answer of {host} cannot be parsed: {cause}"))]
    MalformedAnswer {
        /// Address of the host.
        host: String,
        /// Text of the underlying error.
        cause: String,
    },
    /// Another change of the presets came first.
    #[snafu(display(
        "version {version} is in force, because another change came first:\n{}",
        diff.join("\n")
    ))]
    Conflict {
        /// Version that is in force now.
        version: u64,
        /// Lines that show what the other change did.
        diff: Vec<String>,
    },
    /// The host cannot be started.
    #[snafu(display("{source}"))]
    Host {
        /// Error of the entry host.
        source: HostError,
    },
}

impl CliError {
    /// Returns the exit code of a process that fails with this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidFile { .. } => 2,
            Self::Conflict { .. } => 3,
            _ => 1,
        }
    }
}
