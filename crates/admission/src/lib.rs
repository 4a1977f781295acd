//! Bounds, orders and refuses work: queues, priorities, fairness, deadlines and concurrency limits.

mod class_queue;
mod drain_rate;
mod fair_share;
pub mod limit;
pub mod queue;
pub mod tuning;

/// The common names of this crate.
pub mod prelude {
    pub use crate::limit::ConcurrencyLimit;
    pub use crate::queue::{AdmissionQueue, AdmissionRefusal, QueuedWork, RefusalReason};
    pub use crate::tuning::{AdmissionTuning, AdmissionTuningBuilder};
}
