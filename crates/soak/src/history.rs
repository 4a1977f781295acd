//! What callers, targets and store saw in a run.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::AnswerFacts;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run once.
    Once,
    /// May be repeated.
    Repeatable,
    /// A stream that may go on at another target.
    Stream,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer.
    Answered(AnswerFacts, Bytes),
    /// An answer that ended early.
    Broken(AnswerFacts, Bytes),
    /// Nothing was written.
    Unsent,
    /// The connection closed without an answer.
    Lost,
    /// The caller left of its own choice.
    Left,
    /// The caller waited as long as it could.
    Unanswered,
}

/// A call and its end.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Identifier.
    pub id: String,
    /// Kind.
    pub kind: CallKind,
    /// Path.
    pub path: String,
    /// Host that was called.
    pub host: usize,
    /// Whether the connection had served a call before.
    pub reused: bool,
    /// How long the caller waits, ms.
    pub timeout_ms: u64,
    /// Begin.
    pub started: ClockTime,
    /// End.
    pub ended: ClockTime,
    /// Outcome.
    pub outcome: CallOutcome,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// Identifier.
    pub id: String,
    /// Target.
    pub target: String,
    /// Path.
    pub path: String,
    /// Whether its body is the caller's.
    pub body_unchanged: bool,
    /// Time that the target was given, ms.
    pub timeout_ms: Option<u64>,
    /// Whether the target began to work on it.
    pub executed: bool,
    /// When.
    pub at: ClockTime,
    /// End of the work, if it ended.
    pub ended: Option<ClockTime>,
}

/// Life of a target.
#[derive(Clone, Debug)]
pub struct TargetLifetime {
    /// Name.
    pub name: String,
    /// Place in the deployment.
    pub place: usize,
    /// Service.
    pub service: &'static str,
    /// When the store took note that it leaves.
    pub leaving_since: Option<ClockTime>,
}

/// A version of the routes.
#[derive(Clone, Copy, Debug)]
pub struct RouteVersion {
    /// When the store took it.
    pub at: ClockTime,
    /// Service of repeatable calls.
    pub service: &'static str,
}

/// Part of the deployment that a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakPart {
    /// A process.
    Host(usize),
    /// The store.
    Store,
    /// Connections of a host to the store.
    StoreLink(usize),
    /// Connections to a target, or the target itself.
    Target(usize),
    /// Connections of callers to a host.
    CallerLink(usize),
}

/// A disturbed part and its time.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Part.
    pub part: SoakPart,
    /// Whether it was a planned stop or reload.
    pub planned: bool,
    /// Begin.
    pub from: ClockTime,
    /// End; none while it lasts.
    pub to: Option<ClockTime>,
}

/// End of a process.
#[derive(Clone, Debug)]
pub struct HostExit {
    /// Host.
    pub host: usize,
    /// When it was told to stop; none if it ended by itself.
    pub stop_requested: Option<ClockTime>,
    /// When its end was seen.
    pub at: ClockTime,
    /// Its exit code, if it ended by itself or after a request to stop.
    pub code: Option<i32>,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Arrivals at targets.
    pub arrivals: Vec<ArrivalRecord>,
    /// Targets.
    pub targets: Vec<TargetLifetime>,
    /// Versions of the routes.
    pub versions: Vec<RouteVersion>,
    /// Disturbed parts.
    pub disruptions: Vec<Disruption>,
    /// Ends of processes.
    pub exits: Vec<HostExit>,
    /// Hosts that were not ready long after the last fault.
    pub unready_hosts: Vec<usize>,
    /// End of the last fault.
    pub faults_ended: ClockTime,
}

impl RunHistory {
    /// Whether nothing disturbed `part` between two times.
    pub fn is_undisturbed(&self, part: SoakPart, from: ClockTime, to: ClockTime) -> bool {
        !self.disruptions.iter().any(|disruption| {
            disruption.part == part
                && disruption.from <= to
                && disruption.to.is_none_or(|end| end >= from)
        })
    }

    /// Whether host, store and the connections between them were undisturbed.
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

    /// Life of a target.
    pub fn target(&self, name: &str) -> Option<&TargetLifetime> {
        self.targets.iter().find(|target| target.name == name)
    }
}
