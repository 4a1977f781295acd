//! Errors of management calls to targets.

use snafu::Snafu;

/// Reason why a management call to a target failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TargetError {
    /// The target could not be reached, or its answer did not arrive in time.
    #[snafu(display("target did not answer: {reason}"))]
    Unreachable {
        /// Error of the HTTP client, or the timeout.
        reason: String,
    },
    /// The target answered with an error.
    #[snafu(display("target answered with HTTP status {status}"))]
    Status {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The target's answer could not be read to its end or could not be parsed.
    #[snafu(display("target's answer is malformed: {reason}"))]
    Malformed {
        /// Error of the HTTP client or of the JSON parser.
        reason: String,
    },
}
