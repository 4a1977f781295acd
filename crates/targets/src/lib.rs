//! Client of the targets: model engines and plain services.
//!
//! Each target has its own connection pool, so that all pooled connections to one target can be
//! dropped when the target no longer answers on them. Attempts run as local tasks and report their
//! progress over one channel; the request reducer decides what follows from it.

pub mod attempt;
mod connection;
pub mod error;
pub mod management;
pub mod pool;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::attempt::{
        AttemptChange, AttemptPlan, AttemptResult, AttemptUpdate, PlanKind, ResponseHead,
    };
    pub use crate::error::TargetError;
    pub use crate::pool::{TargetPools, UpdateSender};
}
