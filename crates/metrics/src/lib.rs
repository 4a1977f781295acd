//! Prometheus metrics of one entry host.
//!
//! [`MetricSet`](set::MetricSet) holds all families and has one typed function for each thing that
//! is recorded. Label values come from closed sets: tenants and classes from the catalogue, up to a
//! limit, and all else from the code. `docs/operators.md` says what each family means.

pub mod labels;
pub mod set;

/// The common names of this crate.
pub mod prelude {
    pub use crate::labels::{
        MemberState, MoveAction, MoveResult, OutcomeLabel, RequestLabels, TrafficDirection,
    };
    pub use crate::set::{MetricSet, CONTENT_TYPE};
}
