//! Calls that are suspected of crashing the targets that run them.
//!
//! A broken connection may be the fault of the call or of the target. A call that broke connections
//! to several incarnations of targets is refused. Hosts share their reports of such calls.

use crate::call::CallDigest;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Number of incarnations whose connections a call breaks before it is refused.
const CRASH_LIMIT: usize = 3;
/// Time for which reports are kept after the last one about a call; callers stop waiting long
/// before.
const REPORT_LIFETIME: ClockTime = ClockTime::from_secs(60);
/// Largest number of suspected calls that are kept; the oldest are dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Report that a call broke the connection to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Digest of the call.
    pub digest: CallDigest,
    /// Target whose connection broke.
    pub target: TargetName,
    /// Incarnation of the target, given as its start: Unix ms by the target's own clock.
    pub incarnation: u64,
}

/// A call that broke at least one connection.
#[derive(Clone, Debug, Default)]
struct CrashSuspect {
    /// Targets with the incarnations whose connections broke.
    broken: BTreeSet<(TargetName, u64)>,
    /// When the last report arrived.
    last: ClockTime,
}

/// Crash reports that one host has made or received.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    calls: HashMap<CallDigest, CrashSuspect>,
}

impl CrashTracker {
    /// Records a report; returns whether it is the first one for this call and incarnation.
    pub fn record(&mut self, report: &CrashReport, now: ClockTime) -> bool {
        if self.calls.len() >= MAX_SUSPECTS {
            self.prune(now);
        }
        let suspect = self.calls.entry(report.digest).or_default();
        suspect.last = now;
        suspect
            .broken
            .insert((report.target.clone(), report.incarnation))
    }

    /// Returns whether a call has broken too many connections and is refused.
    pub fn is_refused(&self, digest: CallDigest, now: ClockTime) -> bool {
        self.calls.get(&digest).is_some_and(|suspect| {
            suspect.broken.len() >= CRASH_LIMIT && now.since(suspect.last) < REPORT_LIFETIME
        })
    }

    /// Drops old reports, and the older half of the suspects if there are too many.
    pub fn prune(&mut self, now: ClockTime) {
        self.calls
            .retain(|_, suspect| now.since(suspect.last) < REPORT_LIFETIME);
        if self.calls.len() >= MAX_SUSPECTS {
            let mut times: Vec<ClockTime> =
                self.calls.values().map(|suspect| suspect.last).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.calls.retain(|_, suspect| suspect.last > median);
        }
    }
}
