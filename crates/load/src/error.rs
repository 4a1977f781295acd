//! Errors of load runs.

use snafu::Snafu;
use std::net::SocketAddr;

/// A load run cannot be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// An address is not a loopback address.
    #[snafu(display("{address} is not a loopback address"))]
    NotLoopback {
        /// Address.
        address: SocketAddr,
    },
    /// The plan cannot be carried out.
    #[snafu(display("{expected}"))]
    InvalidPlan {
        /// What was expected.
        expected: &'static str,
    },
    /// An entry host or stand-in does not answer.
    #[snafu(display("no answer: {cause}"))]
    Unreachable {
        /// Cause.
        cause: String,
    },
    /// The plot cannot be drawn.
    #[snafu(display("plot cannot be written: {cause}"))]
    Plot {
        /// Cause.
        cause: String,
    },
}
