//! Open-loop load generator with checked answers.
//!
//! A run has three parts. [`schedule`] plans every call from a [`plan::LoadPlan`] and a seed,
//! before the first one is sent. [`run`] sends each call at its planned time, whatever happened to
//! earlier calls, and like a real caller follows address lists, resumes streams and repeats calls.
//! [`stats`] sums up the results. Planning, checking and statistics do no I/O.
//!
//! Latencies are measured from the planned arrival, so that a slow answer cannot hide the
//! delay of later calls (coordinated omission).

pub mod addresses;
mod caller;
pub mod check;
pub mod error;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
pub mod schedule;
pub mod stats;

/// The common names of this crate.
pub mod prelude {
    pub use crate::addresses::{check_loopback, AddressBook};
    pub use crate::check::{CallDefect, DefectCounts, PlainCheck, StreamCheck};
    pub use crate::error::LoadError;
    pub use crate::plan::{ArrivalShape, LoadPlan, MixShares};
    pub use crate::plot::write_plot;
    pub use crate::report::{ClassReport, LoadReport};
    pub use crate::run::{run_load, LoadProgress};
    pub use crate::schedule::{plan_calls, CallKind, PlannedCall};
    pub use crate::stats::{CallResult, LoadStats};
}
