//! Decisions of an entry host about requests, targets and model copies.
//!
//! Nothing here does I/O or reads a clock. [`ServingState`](state::ServingState) is the reducer of
//! the request path: it takes [`ServingEvent`](event::ServingEvent)s and returns
//! [`ServingEffect`](event::ServingEffect)s as data. The lease holder's decisions about copies are
//! in [`copies`] (what should be where), [`orders`] (what may be ordered now) and [`lease`].

pub mod adapters;
pub mod backoff;
pub mod blame;
pub mod call;
pub mod choose;
pub mod copies;
pub mod demand;
mod draw;
pub mod event;
pub mod events;
pub mod hosts;
pub mod lease;
pub mod news;
pub mod orders;
pub mod relay;
pub mod retries;
pub mod rules;
pub mod state;
pub mod targets;
pub mod trend;
pub mod turns;
pub mod waiting;

/// The common names of this crate.
pub mod prelude {
    pub use crate::backoff::CallBackoff;
    pub use crate::blame::{BlameBook, CrashReport};
    pub use crate::call::{AttemptOutcome, CallDigest, CallFacts, CallNeed, PromptPart};
    pub use crate::copies::{plan_orders, EngineView, PlanInput};
    pub use crate::demand::{DemandBook, ModelDemand};
    pub use crate::event::{
        AttemptPlan, RefusalReason, RequestRefusal, ServingEffect, ServingEvent,
    };
    pub use crate::events::EventSplitter;
    pub use crate::hosts::{HostBook, HostFacts, HostShare};
    pub use crate::lease::{LeaseRow, LeaseState, LeaseStep, LeaseWord};
    pub use crate::orders::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderBook};
    pub use crate::relay::{ListChange, ListEntry, ListFollower, ListReader};
    pub use crate::retries::{RetryBudget, RetryLimits};
    pub use crate::rules::{
        CallKind, CallerLimits, EngineRule, ModelRule, RouteRule, RuleSet, ServiceRule,
    };
    pub use crate::state::{ServingLimits, ServingState};
    pub use crate::targets::{TargetHoldings, TargetLoad, TargetRecord, TargetTable};
    pub use crate::trend::DemandTrend;
    pub use crate::turns::{HostWaiting, ModelKey, TurnBook, TurnFacts};
}
