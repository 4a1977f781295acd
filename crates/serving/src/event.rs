//! Input events of the request path's reducer, and the effects that it returns.

use crate::call::{AttemptOutcome, CallInfo, CallNeed};
use crate::choose::NoTarget;
use crate::hosts::HostShare;
use crate::retries::RetryCount;
use crate::rules::RuleSet;
use crate::shares::UsageReport;
use crate::target_reports::TargetReports;
use crate::targets::{HeldModels, HostLoad, LeavingNotice, TargetLoad, TargetRecord};
use crate::turns::HostWaiting;
use crocusyard_base::prelude::*;
use crocusyard_crashes::prelude::{CrashCause, CrashHistory, CrashReport, EvidenceReport};
use crocusyard_quota::prelude::QuotaRefusal;
use std::net::SocketAddr;
use std::rc::Rc;

/// Event that changes the state of the request path.
#[derive(Clone, Debug)]
pub enum ServingEvent {
    /// A call arrived from a caller.
    CallArrived {
        /// Key under which this host tracks the request.
        key: RequestKey,
        /// Properties of the call.
        call: Rc<CallInfo>,
    },
    /// An attempt to run a call ended.
    AttemptEnded {
        /// Request that the attempt belonged to.
        key: RequestKey,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The caller closed its connection or has received its whole answer.
    CallerLeft {
        /// Request that is over.
        key: RequestKey,
    },
    /// The operators' configuration was read.
    Rules(Rc<RuleSet>),
    /// The target list changed.
    Targets {
        /// Records of new targets, and of targets that wrote again.
        upserts: Vec<TargetRecord>,
        /// Names of targets that are gone.
        removed: Vec<TargetName>,
    },
    /// A target reported its load with an answer.
    Load {
        /// Target that reported.
        target: TargetName,
        /// Its load, from all hosts.
        load: TargetLoad,
    },
    /// A target said in an answer, to this host or to another one, that it is leaving.
    Leaving(LeavingNotice),
    /// A target turned a request away and wants none from this host for a while.
    Pause {
        /// Target that answered.
        target: TargetName,
        /// Incarnation that gave the answer, given as its start in Unix ms.
        incarnation: u64,
        /// Time for which it wants no request.
        pause: ClockTime,
    },
    /// The lease holder reported what an engine holds.
    Holdings {
        /// Engine that holds the models.
        target: TargetName,
        /// Incarnation of the engine, given as its start in Unix ms.
        incarnation: u64,
        /// All models that it holds, each with its adapters.
        models: HeldModels,
    },
    /// Another host reported calls that were lost when a target crashed.
    Crash(CrashReport),
    /// Another host reported what the process before this one has counted for its retry budget, or
    /// there was none.
    FormerRetries(Vec<RetryCount>),
    /// Another host, or the store, told this host of crashes before its start.
    CrashHistory(CrashHistory),
    /// Another host reported what it knows of the causes of crashes.
    Evidence(EvidenceReport),
    /// Another host reported its requests in progress.
    PeerLoad {
        /// Host that reported.
        host: HostName,
        /// Number of its requests in progress, by target.
        load: HostLoad,
    },
    /// The first event of a call's answer arrived from its target.
    FirstEvent {
        /// Request that the answer belongs to.
        key: RequestKey,
    },
    /// The stream of a call has ended.
    StreamEnded {
        /// Request that it belongs to.
        key: RequestKey,
        /// Average time between two of its events, ms.
        mean_gap_ms: f64,
    },
    /// Another host reported what it knows of targets.
    PeerTargets(TargetReports),
    /// Another host reported its waiting calls.
    PeerWaiting {
        /// Host that reported.
        host: HostName,
        /// Number of its waiting calls, by model.
        waiting: HostWaiting,
    },
    /// Another host reported the recent usage of tenants there.
    PeerUsage {
        /// Host that reported.
        host: HostName,
        /// Largest usages on that host, by tenant.
        usage: UsageReport,
    },
    /// The number of live hosts and this host's share of the callers were determined again.
    Hosts(HostShare),
    /// The host stops; waiting calls are refused, so that their callers turn to other hosts.
    Stop,
    /// The stop time is over; requests in progress fail, as they may have run.
    EndAll,
    /// Time has passed; waiting calls may have expired.
    Tick,
}

/// Plan of one attempt to run a call at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptPlan {
    /// Request that is sent.
    pub key: RequestKey,
    /// Target that it is sent to.
    pub target: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Incarnation of the target, given as its start in Unix ms.
    pub incarnation: u64,
    /// Number of this attempt within the request, from 1.
    pub attempt: u32,
    /// When the reducer decided to send it.
    pub sent_at: ClockTime,
    /// Age of the load that the target reported last, if it has reported one.
    pub load_age: Option<ClockTime>,
    /// Requests in progress at the target, as estimated when it was chosen.
    pub load: u32,
    /// Reason for the last wait of the request; `None` if it was sent without a wait.
    pub waited_for: Option<NoTarget>,
    /// Rank of the request in the queue of an engine; 0 is the most urgent.
    pub rank: u8,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no known target.
    NoTarget,
    /// No target is expected to have a free slot before the deadline.
    Overloaded,
    /// The model cannot be loaded before the deadline.
    ModelAbsent,
    /// The call, or a part of its prompt, has crashed several targets.
    Crashes,
    /// A target refused the call, and no further attempt is allowed.
    TargetRefused,
    /// All targets that could run the call want no request from this host for a while.
    TargetsPaused,
    /// The retry budget is used up.
    NoBudget,
    /// This host has no connection left for the call.
    NoConnection,
    /// The deadline came while the request waited.
    Expired,
    /// The host is stopping.
    Stopping,
    /// The host has just started and does not know yet among which hosts limits are divided.
    HostsUnknown,
    /// The tenant has used up its limit; answered as 429.
    OverLimit,
    /// The key is no longer in the configuration in force; answered as 401.
    KeyRevoked,
    /// The configuration in force has changed whether the call needs a key or whose key it has; sent
    /// again, the call is handled by that configuration.
    AccessChanged,
}

/// Refusal of a request that has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestRefusal {
    /// Request that is refused.
    pub key: RequestKey,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller may send the request again.
    pub retry_after: ClockTime,
    /// Figures behind a refusal because of the tenant's limit.
    pub quota: Option<QuotaRefusal>,
}

/// Effect that the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ServingEffect {
    /// Send a request to a target.
    Send(AttemptPlan),
    /// Refuse a request that has not run.
    Refuse(RequestRefusal),
    /// Send the caller an error for a request that may have run.
    Fail {
        /// Request that failed.
        key: RequestKey,
        /// Whether its deadline has passed.
        expired: bool,
    },
    /// Ask the lease holder for a copy of a model or adapter.
    RequestCopy {
        /// Service whose engines should hold the copy.
        service: ServiceName,
        /// Model and adapter that calls wait for.
        need: CallNeed,
    },
    /// Report to the other hosts which calls were lost when a target crashed.
    ReportCrash(CrashReport),
    /// Report to the other hosts what this host knows of the causes of crashes.
    ReportEvidence(EvidenceReport),
    /// Log that calls with a cause are refused from now on, or are not any more.
    LogBlame {
        /// The cause.
        cause: CrashCause,
        /// Whether it is blamed.
        is_blamed: bool,
    },
    /// Report to the other hosts that a target said in an answer that it is leaving.
    ReportLeaving(LeavingNotice),
}
