//! Errors of calls to targets.

use snafu::Snafu;

/// A call to a target that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TargetError {
    /// The target could not be reached or its answer broke off.
    #[snafu(display("target did not answer: {reason}"))]
    Unreachable {
        /// What the HTTP client said.
        reason: String,
    },
    /// The target answered with an error.
    #[snafu(display("target answered with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The target's answer could not be read.
    #[snafu(display("target's answer is malformed: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}
