//! Plans which model and adapter is resident on which accelerator. An accelerator is a target of
//! the catalogue that can hold models.
//!
//! [`plan`](plan::plan) makes a full plan, and [`replan`](plan::replan) changes a plan for a few
//! models whose load changed. Both keep the current copies unless a change is worth its moves.
//! Indices into the input stand for names, because a full plan examines every pair of model and
//! accelerator.

pub mod baseline;
pub mod evaluate;
pub mod feasible;
pub mod forecast;
pub mod input;
pub mod plan;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::baseline::{plan_greedy, plan_lru, plan_static};
    pub use crate::evaluate::{attained_load, AttainedLoad};
    pub use crate::feasible::{check_feasible, footprints, InfeasiblePlan};
    pub use crate::forecast::DemandForecast;
    pub use crate::input::{
        PlacementPlan, PlanAdapter, PlanInput, PlanModel, PlanPreset, PlanTarget, PROFILE_SLOTS,
    };
    pub use crate::plan::{plan, replan};
}
