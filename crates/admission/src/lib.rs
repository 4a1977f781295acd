//! Admission control: queues, priorities, fair sharing, deadlines and concurrency limits.

mod class_queue;
mod drain_rate;
pub mod fair_share;
pub mod limit;
pub mod queue;
pub mod tuning;

/// Common types of this crate.
pub mod prelude {
    pub use crate::fair_share::{StartTags, UsageTable};
    pub use crate::limit::ConcurrencyLimit;
    pub use crate::queue::{AdmissionQueue, AdmissionRefusal, QueuedWork, RefusalReason};
    pub use crate::tuning::{AdmissionTuning, AdmissionTuningBuilder};
}
