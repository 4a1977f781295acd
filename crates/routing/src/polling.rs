//! Schedule of the load reads of targets.
//!
//! At the planned size, reading every target at the shortest interval would exceed the budget of a
//! host for all its control traffic. Targets that the host sends work to are therefore read often
//! and the others rarely, within a limit of reads per second. The entry directory concentrates the
//! requests for a model on a few hosts, so each host sends work to few targets.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Fraction of the reads reserved for idle targets. Without it, active targets could take all
/// reads, and a host would never learn of copies that were loaded on idle targets.
const IDLE_READ_FRACTION: f64 = 0.2;

/// Tuning of a [`PollSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct PollTuning {
    /// Time between two reads of an active target.
    pub active_interval: ClockTime,
    /// Time between two reads of an idle target.
    pub idle_interval: ClockTime,
    /// Time for which a target counts as active after an attempt was sent to it.
    pub active_window: ClockTime,
    /// Limit of the reads per second over all targets.
    pub max_rate: f64,
}

/// Polling state of one target.
#[derive(Clone, Copy, Debug, Default)]
struct PollEntry {
    last_read: Option<ClockTime>,
    /// Time at which an attempt was last sent to the target.
    last_used: Option<ClockTime>,
}

/// Read that is due: the time of the last read, and the target.
type DueRead<'a> = (Option<ClockTime>, &'a TargetName);

/// Schedule of the load reads of all targets, limited by a token bucket of reads.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    tuning: PollTuning,
    entries: BTreeMap<TargetName, PollEntry>,
    /// Reads available to all targets.
    tokens: f64,
    /// Reads reserved for idle targets, part of `tokens`.
    idle_tokens: f64,
    /// Time of the last refill.
    refilled_at: ClockTime,
}

impl PollSchedule {
    /// Creates an empty schedule.
    pub fn new(tuning: PollTuning) -> Self {
        Self {
            tuning,
            entries: BTreeMap::new(),
            tokens: tuning.max_rate,
            idle_tokens: 0.0,
            refilled_at: ClockTime::ZERO,
        }
    }

    /// Sets the targets to read. Targets that were set before keep their state.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a TargetName>) {
        let mut previous = std::mem::take(&mut self.entries);
        for target in targets {
            let entry = previous.remove(target).unwrap_or_default();
            self.entries.insert(target.clone(), entry);
        }
    }

    /// Records that an attempt is sent to a target, which makes the target active.
    pub fn record_used(&mut self, now: ClockTime, target: &TargetName) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.last_used = Some(now);
        }
    }

    /// Returns the active targets, to which an attempt was sent recently.
    pub fn active_targets(&self, now: ClockTime) -> Vec<TargetName> {
        let active = self
            .entries
            .iter()
            .filter(|(_, entry)| self.is_active(entry, now));
        active.map(|(target, _)| target.clone()).collect()
    }

    fn is_active(&self, entry: &PollEntry, now: ClockTime) -> bool {
        entry
            .last_used
            .is_some_and(|used| now.since(used) < self.tuning.active_window)
    }

    /// Returns the targets to read now, active ones first, and records them as read.
    ///
    /// If more reads are due than allowed, active targets precede idle ones, except for the reads
    /// reserved for idle targets, and those read longest ago precede others in each group.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<TargetName> {
        self.refill(now);
        let allowed = self.tokens as usize;
        if allowed == 0 {
            return Vec::new();
        }
        let mut active: Vec<DueRead<'_>> = Vec::new();
        let mut idle: Vec<DueRead<'_>> = Vec::new();
        for (target, entry) in &self.entries {
            let is_active = self.is_active(entry, now);
            let (due, interval) = if is_active {
                (&mut active, self.tuning.active_interval)
            } else {
                (&mut idle, self.tuning.idle_interval)
            };
            if entry
                .last_read
                .is_none_or(|read| now.since(read) >= interval)
            {
                due.push((entry.last_read, target));
            }
        }
        let reserved = (self.idle_tokens as usize).min(idle.len()).min(allowed);
        keep_oldest(&mut active, allowed - reserved);
        keep_oldest(&mut idle, allowed - active.len());
        self.idle_tokens = (self.idle_tokens - idle.len() as f64).max(0.0);
        let due = active.into_iter().chain(idle);
        let due: Vec<TargetName> = due.map(|(_, target)| target.clone()).collect();
        self.tokens -= due.len() as f64;
        for target in &due {
            if let Some(entry) = self.entries.get_mut(target) {
                entry.last_read = Some(now);
            }
        }
        due
    }

    /// Adds the reads allowed since the last refill, up to the reads of one second.
    fn refill(&mut self, now: ClockTime) {
        let elapsed = now.since(self.refilled_at).as_ms() as f64 / 1000.0;
        self.refilled_at = now;
        let rate = self.tuning.max_rate;
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
        let idle_rate = rate * IDLE_READ_FRACTION;
        self.idle_tokens = (self.idle_tokens + elapsed * idle_rate).min(idle_rate.max(1.0));
    }
}

/// Keeps the `count` reads that have waited longest, in no particular order.
fn keep_oldest(due: &mut Vec<DueRead<'_>>, count: usize) {
    if due.len() > count {
        due.select_nth_unstable(count);
        due.truncate(count);
    }
}
