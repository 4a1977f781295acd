//! Bounds, orders and refuses work: queues, priorities, fairness, deadlines and concurrency limits.

mod flow;
mod lanes;
pub mod limit;
pub mod queue;
mod shares;
pub mod tuning;

/// The common names of this crate.
pub mod prelude {
    pub use crate::limit::ConcurrencyLimit;
    pub use crate::queue::{AdmissionQueue, AdmissionRefusal, QueuedWork, RefusalReason};
    pub use crate::tuning::{AdmissionTuning, AdmissionTuningBuilder};
}
