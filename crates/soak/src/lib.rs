//! Randomised fault soak of real entry hosts.
//!
//! Entry hosts run as processes of their own. Store, targets and callers are stand-ins inside the
//! soak's process; every connection between them and a host passes a [`proxy`] that can delay it,
//! reset it or hold its bytes back in one direction or both. [`plan`] draws the faults from a seed,
//! [`run`] injects them while callers call, and [`checker`] compares what callers, targets and store
//! saw with what the system promises. Packets between hosts are not disturbed, except that a frozen
//! or killed host sends none.

pub mod callers;
pub mod checker;
pub mod history;
pub mod hosts;
pub mod plan;
pub mod proxy;
pub mod report;
pub mod run;

/// The common names of this crate.
pub mod prelude {
    pub use crate::checker::{check_history, PromiseKind, PromiseViolation};
    pub use crate::history::{
        ArrivalRecord, CallKind, CallOutcome, CallRecord, Disruption, HostExit, RouteVersion,
        RunHistory, SoakPart, TargetLifetime,
    };
    pub use crate::plan::{plan_faults, LinkFault, PlannedFault, SoakFault, SoakSettings};
    pub use crate::report::SoakReport;
    pub use crate::run::run_seed;
}
