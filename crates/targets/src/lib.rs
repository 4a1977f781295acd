//! Client of the targets: model engines and plain services.
//!
//! Each target has a connection pool of its own, so that all pooled connections to one target can be
//! dropped when its path has gone silent. Attempts run as local tasks and report what happens over
//! one channel; the request reducer decides what it means.

pub mod attempt;
mod connection;
pub mod error;
pub mod management;
pub mod pool;

/// The common names of this crate.
pub mod prelude {
    pub use crate::attempt::{
        AttemptChange, AttemptPlan, AttemptResult, AttemptUpdate, PlanKind, ResponseHead,
    };
    pub use crate::error::TargetError;
    pub use crate::pool::{TargetPools, UpdateSender};
}
