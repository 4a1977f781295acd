//! Decisions of an entry host about requests, targets and model copies.
//!
//! An entry host takes calls from callers and sends them to targets, which belong to services.
//! Targets that hold models are called engines. All hosts serve calls; the host that holds the
//! lease also orders the engines to load and unload models.
//!
//! Nothing here does I/O or reads a clock. [`ServingState`](state::ServingState) is the reducer of
//! the request path: it takes [`ServingEvent`](event::ServingEvent)s and returns
//! [`ServingEffect`](event::ServingEffect)s as data. The lease holder's decisions about copies are
//! in [`copies`] (which engine should hold which model), [`orders`] (which orders may be given now)
//! and [`lease`] (which host may give them).

pub mod adapters;
pub mod availability;
pub mod backoff;
pub mod call;
pub mod choose;
pub mod copies;
pub mod demand;
pub mod engine_rank;
pub mod event;
pub mod event_stream;
pub mod failures;
mod hashing;
pub mod host_news;
pub mod hosts;
pub mod lease;
pub mod lease_messages;
pub mod limits;
pub mod orders;
pub mod own_row;
pub mod pace;
pub mod peer_reports;
pub mod relay;
pub mod retries;
pub mod rules;
mod served_ratio;
pub mod shares;
pub mod state;
pub mod stream_timing;
pub mod target_model;
pub mod target_reports;
pub mod targets;
pub mod tenants;
pub mod trend;
pub mod turns;
pub mod waiting;
pub mod work;

/// The types and functions that other crates use most.
pub mod prelude {
    pub use crate::availability::{AvailabilityReport, StoreAvailability};
    pub use crate::backoff::CallBackoff;
    pub use crate::call::{AttemptOutcome, CallDigest, CallInfo, CallNeed, PromptPart};
    pub use crate::copies::{plan_orders, EngineView, PlanInput};
    pub use crate::demand::{DemandTotals, ModelDemand};
    pub use crate::event::{
        AttemptPlan, RefusalReason, RequestRefusal, ServingEffect, ServingEvent,
    };
    pub use crate::event_stream::{EventSplitter, EventTooLong};
    pub use crate::failures::FailureReport;
    pub use crate::host_news::{HostKey, HostNews, NewsStamp};
    pub use crate::hosts::{HostRecord, HostShare, HostTable};
    pub use crate::lease::{LeaseState, LeaseStep};
    pub use crate::lease_messages::{HolderNews, LeaseOwner, LeaseReport, LeaseRow};
    pub use crate::limits::{NamedUsage, TenantLimits};
    pub use crate::orders::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderTracker};
    pub use crate::own_row::{FoundRow, OwnRow, StoredHost};
    pub use crate::relay::{
        HostsRead, ListChange, ListEntry, ListFollower, ListReader, ReaderRank,
    };
    pub use crate::retries::{RetryBudget, RetryCount, RetryLimits};
    pub use crate::rules::{
        CallKind, CallerLimits, EngineRule, ModelRule, RouteRule, RuleSet, ServiceRule,
    };
    pub use crate::shares::{TenantShares, UsageLevel, UsageReport};
    pub use crate::state::{ServingConfig, ServingState, MAX_PAUSE};
    pub use crate::stream_timing::{StreamResult, StreamTiming};
    pub use crate::target_reports::{LoadReport, PromptReport, TargetReports};
    pub use crate::targets::{
        LeavingNotice, TargetHoldings, TargetLoad, TargetRecord, TargetTable,
    };
    pub use crate::tenants::{
        CallerIdentity, CallerKey, CostUnit, KeyDigest, KeyFault, TenantFault, TenantRule,
        TenantTable,
    };
    pub use crate::trend::DemandTrend;
    pub use crate::turns::{HostWaiting, ModelKey, TurnInput, TurnTracker};
    pub use crate::work::TokenWork;
    pub use crocusyard_crashes::prelude::{
        CountedCrash, CrashCause, CrashHistory, CrashReport, EvidenceReport,
    };
    pub use crocusyard_quota::prelude::{QuotaRefusal, QuotaReport, UsageLimit};
}
