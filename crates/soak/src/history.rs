//! What callers, targets and store saw in a run.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::AnswerFacts;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallShape {
    /// May run once.
    Once,
    /// May be repeated.
    Repeatable,
    /// A stream that may go on at another target.
    Stream,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
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
    pub shape: CallShape,
    /// Path.
    pub path: String,
    /// Host that was called.
    pub host: usize,
    /// Whether the connection had served a call before.
    pub reused: bool,
    /// How long the caller waits, ms.
    pub patience_ms: u64,
    /// Begin.
    pub at: ClockTime,
    /// End.
    pub ended: ClockTime,
    /// Outcome.
    pub outcome: OutcomeKind,
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct SoakArrival {
    /// Identifier.
    pub id: String,
    /// Target.
    pub target: String,
    /// Path.
    pub path: String,
    /// Whether its body is the caller's.
    pub body_kept: bool,
    /// Time that the target was given, ms.
    pub patience_ms: Option<u64>,
    /// Whether the target began to work on it.
    pub run: bool,
    /// When.
    pub at: ClockTime,
    /// End of the work, if it ended.
    pub ended: Option<ClockTime>,
}

/// Life of a target.
#[derive(Clone, Debug)]
pub struct TargetLife {
    /// Name.
    pub name: String,
    /// Place in the deployment.
    pub place: usize,
    /// Service.
    pub service: &'static str,
    /// When the store took note that it leaves.
    pub left: Option<ClockTime>,
}

/// A version of the routes.
#[derive(Clone, Copy, Debug)]
pub struct VersionRecord {
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
pub struct HostEnd {
    /// Host.
    pub host: usize,
    /// When it was told to stop; none if it ended by itself.
    pub told: Option<ClockTime>,
    /// When its end was seen.
    pub at: ClockTime,
    /// Its exit code, if it ended by itself or after a request to stop.
    pub code: Option<i32>,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct RunEvidence {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Arrivals at targets.
    pub arrivals: Vec<SoakArrival>,
    /// Targets.
    pub lives: Vec<TargetLife>,
    /// Versions of the routes.
    pub versions: Vec<VersionRecord>,
    /// Disturbed parts.
    pub disruptions: Vec<Disruption>,
    /// Ends of processes.
    pub ends: Vec<HostEnd>,
    /// Hosts that were not ready long after the last fault.
    pub unready: Vec<usize>,
    /// End of the last fault.
    pub calm_from: ClockTime,
}

impl RunEvidence {
    /// Whether nothing disturbed `part` between two times.
    pub fn is_calm(&self, part: SoakPart, from: ClockTime, to: ClockTime) -> bool {
        !self.disruptions.iter().any(|disruption| {
            disruption.part == part
                && disruption.from <= to
                && disruption.to.is_none_or(|end| end >= from)
        })
    }

    /// Whether host, store and the connections between them were undisturbed.
    pub fn in_touch(&self, host: usize, from: ClockTime, to: ClockTime) -> bool {
        [
            SoakPart::Host(host),
            SoakPart::Store,
            SoakPart::StoreLink(host),
            SoakPart::CallerLink(host),
        ]
        .into_iter()
        .all(|part| self.is_calm(part, from, to))
    }

    /// Life of a target.
    pub fn life(&self, name: &str) -> Option<&TargetLife> {
        self.lives.iter().find(|life| life.name == name)
    }
}
