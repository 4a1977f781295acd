//! Bounds, orders and refuses work: queues, priorities, fairness, deadlines and concurrency limits.

pub mod limit;
pub mod queue;

/// The common names of this crate.
pub mod prelude {
    pub use crate::limit::LatencyLimit;
    pub use crate::queue::{AdmissionQueue, AdmissionRefusal, QueuedWork, RefusalReason};
}
