//! Requests that crash the targets that run them.
//!
//! A broken connection is one piece of evidence against the call and against the target. A call
//! with evidence from several incarnations of targets is refused; hosts tell each other.

use crate::call::CallDigest;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Incarnations that a call breaks before it is refused.
const CRASH_LIMIT: usize = 3;
/// Time for which evidence is kept; callers give up long before.
const EVIDENCE_TIME: ClockTime = ClockTime::from_secs(60);
/// Calls with evidence that are kept; the oldest go first.
const BOOK_SIZE: usize = 4_096;

/// Evidence against one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Call.
    pub digest: CallDigest,
    /// Target.
    pub target: TargetName,
    /// Start of the incarnation, Unix ms by the target's own clock.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Default)]
struct CallEvidence {
    broken: BTreeSet<(TargetName, u64)>,
    last: ClockTime,
}

/// Evidence that a host has.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    calls: HashMap<CallDigest, CallEvidence>,
}

impl CrashTracker {
    /// Notes evidence; returns whether it is new.
    pub fn record(&mut self, report: &CrashReport, now: ClockTime) -> bool {
        if self.calls.len() >= BOOK_SIZE {
            self.prune(now);
        }
        let evidence = self.calls.entry(report.digest).or_default();
        evidence.last = now;
        evidence
            .broken
            .insert((report.target.clone(), report.incarnation))
    }

    /// Returns whether a call is refused.
    pub fn is_refused(&self, digest: CallDigest, now: ClockTime) -> bool {
        self.calls.get(&digest).is_some_and(|evidence| {
            evidence.broken.len() >= CRASH_LIMIT && now.since(evidence.last) < EVIDENCE_TIME
        })
    }

    /// Forgets old evidence.
    pub fn prune(&mut self, now: ClockTime) {
        self.calls
            .retain(|_, evidence| now.since(evidence.last) < EVIDENCE_TIME);
        if self.calls.len() >= BOOK_SIZE {
            let mut times: Vec<ClockTime> = self.calls.values().map(|found| found.last).collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.calls.retain(|_, evidence| evidence.last > middle);
        }
    }
}
