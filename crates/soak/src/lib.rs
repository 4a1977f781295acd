//! Randomised fault-injection runs against real entry hosts.
//!
//! Entry hosts run as processes of their own. Store, targets and callers are stand-ins inside the
//! process of the soak; every connection between them and a host passes a [`proxy`] that can delay
//! it, reset it or hold its bytes back in one direction or both. [`plan`] draws the faults from a
//! seed, [`run`] injects them while callers send calls and records a [`history`], and [`checker`]
//! compares that history with what the system promises. Packets between hosts are not disturbed,
//! except that a paused or killed host sends none.

pub mod callers;
pub mod checker;
pub mod history;
pub mod hosts;
pub mod plan;
pub mod proxy;
pub mod report;
pub mod run;
pub mod tenants;

/// The common names of this crate.
pub mod prelude {
    pub use crate::checker::{check_history, PromiseKind, PromiseViolation};
    pub use crate::history::{
        ArrivalRecord, CallKey, CallKind, CallOutcome, CallRecord, Disruption, HostExit,
        KeyRevocation, LimitVersion, RouteVersion, RunHistory, SoakPart, TargetLifetime,
    };
    pub use crate::plan::{plan_faults, LinkFault, PlannedFault, SoakFault, SoakSettings};
    pub use crate::report::SoakReport;
    pub use crate::run::run_seed;
    pub use crate::tenants::{has_tenants, plan_tenant_changes, TenantChange, CALL_COST};
}
