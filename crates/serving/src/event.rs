//! Events and effects of the request path.

use crate::call::{AttemptOutcome, CallInfo, CallNeed};
use crate::choose::NoTarget;
use crate::crashes::CrashReport;
use crate::hosts::HostShare;
use crate::rules::RuleSet;
use crate::targets::{HeldModels, HostLoad, TargetLoad, TargetRecord};
use crate::turns::HostWaiting;
use crocusyard_base::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum ServingEvent {
    /// A call arrived.
    CallArrived {
        /// Key.
        key: RequestKey,
        /// Call.
        call: Rc<CallInfo>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Key.
        key: RequestKey,
        /// How.
        outcome: AttemptOutcome,
    },
    /// The caller left.
    CallerLeft {
        /// Key.
        key: RequestKey,
    },
    /// A configuration came.
    Rules(Rc<RuleSet>),
    /// Targets changed.
    Targets {
        /// New or changed ones.
        upserts: Vec<TargetRecord>,
        /// Removed ones.
        removed: Vec<TargetName>,
    },
    /// A target told its load.
    Load {
        /// Target.
        target: TargetName,
        /// Load.
        load: TargetLoad,
    },
    /// The lease holder told what an engine holds.
    Holdings {
        /// Target.
        target: TargetName,
        /// Start of its incarnation.
        incarnation: u64,
        /// Models with their adapters.
        models: HeldModels,
    },
    /// Another host told of a crash.
    Crash(CrashReport),
    /// Another host told of its requests in progress.
    PeerLoad {
        /// Host.
        host: HostName,
        /// Requests by target.
        load: HostLoad,
    },
    /// Another host told of its waiting calls.
    PeerWaiting {
        /// Host.
        host: HostName,
        /// Waiting calls by model.
        waiting: HostWaiting,
    },
    /// Live hosts and the own share of the work, as of now.
    Hosts(HostShare),
    /// The host was told to stop; waiting calls are sent elsewhere.
    Stop,
    /// Time passed.
    Tick,
}

/// A send that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptPlan {
    /// Request.
    pub key: RequestKey,
    /// Target.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Age of the load that decided, if known.
    pub load_age: Option<ClockTime>,
    /// Load that decided.
    pub load: u32,
    /// What the request waited for last, if it waited.
    pub waited_for: Option<NoTarget>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no target.
    NoTarget,
    /// No target could take it before its deadline.
    Overloaded,
    /// Its model cannot be loaded before its deadline.
    ModelAbsent,
    /// It crashed several targets.
    Crashes,
    /// The target refused it and no further send is allowed.
    TargetRefused,
    /// The budget of repeated sends is spent.
    NoBudget,
    /// The deadline came while it waited.
    Expired,
    /// The host stops.
    Stopping,
}

/// A refusal; the request has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Request.
    pub key: RequestKey,
    /// Reason.
    pub reason: RefusalReason,
    /// Wait after which a retry can help.
    pub retry_after: ClockTime,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ServingEffect {
    /// Send a request.
    Send(AttemptPlan),
    /// Refuse a request that has not run.
    Refuse(RequestRefusal),
    /// Answer a request whose fate is unknown.
    Fail {
        /// Request.
        key: RequestKey,
        /// Whether its time is up.
        expired: bool,
    },
    /// Ask the lease holder for a copy.
    RequestCopy {
        /// Service.
        service: ServiceName,
        /// Model and adapter.
        need: CallNeed,
    },
    /// Tell the other hosts of a crash.
    ReportCrash(CrashReport),
}
