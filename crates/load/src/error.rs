//! Errors of load runs.

use snafu::Snafu;
use std::net::SocketAddr;

/// Reason why a load run cannot be made or its plot cannot be written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// An address is not a loopback address.
    #[snafu(display("{address} is not a loopback address"))]
    NotLoopback {
        /// Address from the plan.
        address: SocketAddr,
    },
    /// A value of the plan is out of bounds or missing.
    #[snafu(display("{expected}"))]
    InvalidPlan {
        /// Requirement that the plan does not meet.
        expected: &'static str,
    },
    /// An entry host or stand-in gives no usable answer.
    #[snafu(display("an entry host or stand-in does not answer: {cause}"))]
    Unreachable {
        /// Address, if only one was asked, and error of the last request.
        cause: String,
    },
    /// The plot cannot be drawn or written.
    #[snafu(display("the plot cannot be written: {cause}"))]
    Plot {
        /// Error of the plot library.
        cause: String,
    },
}
