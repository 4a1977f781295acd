//! The history of a run: what callers, targets and the store observed, and which parts were
//! disturbed when.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::AnswerFacts;

/// Whether and how a call may be repeated; each kind has a route of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Must not run more than once.
    Once,
    /// May run more than once.
    Repeatable,
    /// A stream of events that may continue at another target.
    Stream,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer arrived: its head and body.
    Answered(AnswerFacts, Bytes),
    /// The answer broke off: its head and the part of the body that arrived.
    Broken(AnswerFacts, Bytes),
    /// No byte of the request was written to the connection.
    Unsent,
    /// The connection closed after the request was written and before the head of an answer.
    Lost,
    /// The caller cancelled the call before its own timeout.
    Left,
    /// The caller's own timeout passed without a whole answer.
    Unanswered,
}

/// The key of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallKey {
    /// The key itself.
    pub text: &'static str,
    /// Tenant that has or had the key; `None` for a key that was in no configuration.
    pub tenant: Option<&'static str>,
}

/// A call as its caller observed it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request identifier, unique in the run.
    pub id: String,
    /// Kind, which decides the route.
    pub kind: CallKind,
    /// Path and query of the request.
    pub path: String,
    /// Key; `None` in a run without tenants.
    pub key: Option<CallKey>,
    /// Index of the called host.
    pub host: usize,
    /// Whether the connection had carried an earlier call.
    pub reused: bool,
    /// Time after which the caller gives up, ms; sent along with the request.
    pub timeout_ms: u64,
    /// When the caller began to open or reuse a connection.
    pub started: ClockTime,
    /// When the caller had its outcome.
    pub ended: ClockTime,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// A request as a target received it.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// Request identifier, as in [`CallRecord::id`].
    pub id: String,
    /// Name of the target.
    pub target: String,
    /// Path and query of the request.
    pub path: String,
    /// Whether the body equals the one that the caller sent.
    pub body_unchanged: bool,
    /// Names of tenants that the request stated to the target.
    pub tenants: Vec<String>,
    /// Number of keys that the request brought to the target.
    pub key_count: usize,
    /// Timeout that the request stated to the target, ms; `None` without one.
    pub timeout_ms: Option<u64>,
    /// Whether the target began to execute the request.
    pub executed: bool,
    /// Time for which the target wanted no further request from the host, if it refused this one.
    pub pause: Option<ClockTime>,
    /// When the request arrived.
    pub at: ClockTime,
    /// When the execution ended; `None` if it never did.
    pub ended: Option<ClockTime>,
}

/// The time from the start of a target to its removal, under one name.
#[derive(Clone, Debug)]
pub struct TargetLifetime {
    /// Name; each start at an address has a new one.
    pub name: String,
    /// Index of its address among those of the deployment's targets.
    pub place: usize,
    /// Service that it belongs to.
    pub service: &'static str,
    /// When the store recorded that the target leaves or is gone.
    pub leaving_since: Option<ClockTime>,
}

/// A published version of the routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteVersion {
    /// When the store accepted it.
    pub at: ClockTime,
    /// Service of the route for repeatable calls.
    pub service: &'static str,
}

/// The revocation of a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyRevocation {
    /// When the store accepted it.
    pub at: ClockTime,
    /// The key.
    pub key: &'static str,
}

/// A published version of the limit of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct LimitVersion {
    /// When the store accepted it.
    pub at: ClockTime,
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Tokens at once.
    pub burst: f64,
}

/// Part of the deployment that a fault can disturb.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakPart {
    /// The process of the host with this index.
    Host(usize),
    /// The store itself.
    Store,
    /// Connections of the host with this index to the store.
    StoreLink(usize),
    /// The target at this index.
    Target(usize),
    /// Connections to the target at this index.
    TargetLink(usize),
    /// Connections of callers to the host with this index.
    CallerLink(usize),
}

/// The time in which a fault disturbs a part.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Disturbed part.
    pub part: SoakPart,
    /// Whether the cause is a requested stop or reload of a host, not a fault.
    pub planned: bool,
    /// When the disruption began.
    pub from: ClockTime,
    /// When it ended; `None` while it lasts.
    pub to: Option<ClockTime>,
}

/// The exit of a host's process.
#[derive(Clone, Debug)]
pub struct HostExit {
    /// Index of the host.
    pub host: usize,
    /// When the process was asked to stop; `None` if it exited by itself.
    pub stop_requested: Option<ClockTime>,
    /// When the exit was noticed.
    pub at: ClockTime,
    /// Exit code; `None` if a signal ended the process or its state could not be read.
    pub code: Option<i32>,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    /// Calls of all callers.
    pub calls: Vec<CallRecord>,
    /// Requests that arrived at targets.
    pub arrivals: Vec<ArrivalRecord>,
    /// Targets, one entry for each start.
    pub targets: Vec<TargetLifetime>,
    /// Versions of the routes, oldest first.
    pub versions: Vec<RouteVersion>,
    /// Keys that were revoked.
    pub revocations: Vec<KeyRevocation>,
    /// Versions of the limit of the limited tenant, oldest first.
    pub limits: Vec<LimitVersion>,
    /// Disruptions, in the order of their begin.
    pub disruptions: Vec<Disruption>,
    /// Exits of host processes, except those that the fault `HostKilled` causes.
    pub exits: Vec<HostExit>,
    /// Hosts that were still not ready when the recovery bound had passed.
    pub unready_hosts: Vec<usize>,
    /// When the last fault ended.
    pub faults_ended: ClockTime,
}

impl RunHistory {
    /// Returns whether nothing disturbed `part` between two times.
    pub fn is_undisturbed(&self, part: SoakPart, from: ClockTime, to: ClockTime) -> bool {
        !self.disruptions.iter().any(|disruption| {
            disruption.part == part
                && disruption.from <= to
                && disruption.to.is_none_or(|end| end >= from)
        })
    }

    /// Returns whether nothing disturbed the host, the store, and the connections between them and
    /// from callers to the host between two times.
    pub fn host_undisturbed(&self, host: usize, from: ClockTime, to: ClockTime) -> bool {
        [
            SoakPart::Host(host),
            SoakPart::Store,
            SoakPart::StoreLink(host),
            SoakPart::CallerLink(host),
        ]
        .into_iter()
        .all(|part| self.is_undisturbed(part, from, to))
    }

    /// Returns whether nothing disturbed a target and the connections to it between two times.
    pub fn target_undisturbed(&self, name: &str, from: ClockTime, to: ClockTime) -> bool {
        let Some(target) = self.target(name) else {
            return true;
        };
        self.is_undisturbed(SoakPart::Target(target.place), from, to)
            && self.is_undisturbed(SoakPart::TargetLink(target.place), from, to)
    }

    /// Returns the target with a name.
    pub fn target(&self, name: &str) -> Option<&TargetLifetime> {
        self.targets.iter().find(|target| target.name == name)
    }
}
