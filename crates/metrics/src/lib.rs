//! Prometheus metrics of one entry host.
//!
//! [`MetricSet`](set::MetricSet) holds all metric families and has one typed function for each
//! event or value that is recorded. Label values come from closed sets: tenants and classes from the
//! catalogue, up to a limit, and all others from the code.

pub mod labels;
pub mod set;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::labels::{
        MemberState, MoveAction, MoveResult, OutcomeLabel, RequestLabels, TrafficDirection,
    };
    pub use crate::set::{MetricSet, CONTENT_TYPE};
}
