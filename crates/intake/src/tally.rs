//! Refusals that have not been logged yet.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Shortest time between two log lines, so that uncontrolled clients cannot flood the log.
const LINE_INTERVAL: ClockTime = ClockTime::from_secs(1);

/// Counts refusals by reason between two log lines.
#[derive(Clone, Debug, Default)]
pub struct RefusalTally {
    counts: BTreeMap<&'static str, u64>,
    last_line: Option<ClockTime>,
}

impl RefusalTally {
    /// Counts a refusal.
    pub fn count(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Returns the refusals since the last line if there are any and a line is due.
    pub fn take_due(&mut self, now: ClockTime) -> Option<BTreeMap<&'static str, u64>> {
        let is_early = |last: ClockTime| now.since(last) < LINE_INTERVAL;
        if self.counts.is_empty() || self.last_line.is_some_and(is_early) {
            return None;
        }
        self.last_line = Some(now);
        Some(std::mem::take(&mut self.counts))
    }
}
