//! Lost calls of this host that have not been reported yet.
//!
//! A crash breaks all calls of a host at the target within a moment. They are collected into one
//! report, which is made once no earlier call of the host runs at the target any more: while one
//! does, the target is alive.

use crate::report::CrashCause;
use crate::suspect::TargetRun;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Time for which lost calls are collected.
const COLLECT_TIME: ClockTime = ClockTime::from_ms(20);
/// Longest time to wait for the end of the other calls at the target.
const CONFIRM_TIME: ClockTime = ClockTime::from_ms(200);
/// Largest number of causes in a report.
const MAX_CAUSES: usize = 256;

/// Lost calls of one incarnation of a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostCalls {
    /// When the first of them broke.
    pub(crate) broken_at: ClockTime,
    /// What they contained, with the send of the newest call.
    pub(crate) causes: HashMap<CrashCause, ClockTime>,
}

/// Lost calls by target.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingCrashes {
    runs: BTreeMap<TargetRun, LostCalls>,
}

impl PendingCrashes {
    pub(crate) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds the causes of a lost call.
    pub(crate) fn add(
        &mut self,
        run: TargetRun,
        causes: &[CrashCause],
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        let lost = self.runs.entry(run).or_insert_with(|| LostCalls {
            broken_at: now,
            causes: HashMap::new(),
        });
        for cause in causes {
            if lost.causes.len() >= MAX_CAUSES && !lost.causes.contains_key(cause) {
                continue;
            }
            let newest = lost.causes.entry(*cause).or_default();
            *newest = sent_at.max(*newest);
        }
    }

    /// Forgets the lost calls of a target that has answered a call sent later.
    pub(crate) fn withdraw(&mut self, run: &TargetRun, sent_at: ClockTime) {
        if self
            .runs
            .get(run)
            .is_some_and(|lost| lost.broken_at < sent_at)
        {
            self.runs.remove(run);
        }
    }

    /// Returns the lost calls that are to be reported. `runs_since` tells when the oldest call of
    /// this host that still runs at a target was sent.
    pub(crate) fn take_due(
        &mut self,
        now: ClockTime,
        runs_since: impl Fn(&TargetRun) -> Option<ClockTime>,
    ) -> Vec<(TargetRun, LostCalls)> {
        let mut due = Vec::new();
        let mut kept = BTreeMap::new();
        for (run, lost) in std::mem::take(&mut self.runs) {
            let age = now.since(lost.broken_at);
            let is_running = runs_since(&run).is_some_and(|sent_at| sent_at < lost.broken_at);
            match (age < COLLECT_TIME, is_running) {
                (false, false) => due.push((run, lost)),
                (false, true) if age >= CONFIRM_TIME => {}
                _ => {
                    kept.insert(run, lost);
                }
            }
        }
        self.runs = kept;
        due
    }
}
