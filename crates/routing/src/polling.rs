//! Which targets' load is read next.
//!
//! Reading every target at the shortest interval would cost a host at the planned size more than
//! all its control traffic may. Targets that a host sends work to are therefore read often and the
//! others seldom, within a limit of reads a second. The address answers concentrate the requests of
//! a model on a few hosts, so the targets that matter to one host are few.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Share of the reads that targets not in use get at least. Without it, targets in use can take all
/// reads, and a host never learns of copies that are loaded elsewhere.
const IDLE_SHARE: f64 = 0.2;

/// Rhythm of the reads.
#[derive(Clone, Copy, Debug)]
pub struct PollTuning {
    /// Time between two reads of a target that is in use.
    pub active_interval: ClockTime,
    /// Time between two reads of any other target.
    pub idle_interval: ClockTime,
    /// Time for which a target counts as in use after an attempt was sent to it.
    pub active_window: ClockTime,
    /// Reads a second over all targets.
    pub max_rate: f64,
}

/// Polling state of one target.
#[derive(Clone, Copy, Debug, Default)]
struct PollEntry {
    read: Option<ClockTime>,
    used: Option<ClockTime>,
}

/// A read that is due: the time of the last one, and the target.
type DueRead<'a> = (Option<ClockTime>, &'a TargetName);

/// Schedule of the reads of all targets.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    tuning: PollTuning,
    entries: BTreeMap<TargetName, PollEntry>,
    tokens: f64,
    /// Reads kept for targets that are not in use.
    idle_tokens: f64,
    filled: ClockTime,
}

impl PollSchedule {
    /// Makes an empty schedule.
    pub fn new(tuning: PollTuning) -> Self {
        Self {
            tuning,
            entries: BTreeMap::new(),
            tokens: tuning.max_rate,
            idle_tokens: 0.0,
            filled: ClockTime::ZERO,
        }
    }

    /// Sets the targets; what is known of those that remain is kept.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a TargetName>) {
        let mut known = std::mem::take(&mut self.entries);
        for target in targets {
            let entry = known.remove(target).unwrap_or_default();
            self.entries.insert(target.clone(), entry);
        }
    }

    /// Notes that work is sent to a target.
    pub fn record_used(&mut self, now: ClockTime, target: &TargetName) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.used = Some(now);
        }
    }

    /// Returns the targets in use.
    pub fn active_targets(&self, now: ClockTime) -> Vec<TargetName> {
        let used = self
            .entries
            .iter()
            .filter(|(_, entry)| self.is_used(entry, now));
        used.map(|(target, _)| target.clone()).collect()
    }

    fn is_used(&self, entry: &PollEntry, now: ClockTime) -> bool {
        entry
            .used
            .is_some_and(|used| now.since(used) < self.tuning.active_window)
    }

    /// Returns the targets to read now: those in use, then those not read for longest, with
    /// a share of the reads kept for the latter.
    pub fn take_due(&mut self, now: ClockTime) -> Vec<TargetName> {
        self.fill(now);
        let allowed = self.tokens as usize;
        if allowed == 0 {
            return Vec::new();
        }
        let mut used: Vec<DueRead<'_>> = Vec::new();
        let mut idle: Vec<DueRead<'_>> = Vec::new();
        for (target, entry) in &self.entries {
            let is_used = self.is_used(entry, now);
            let (due, interval) = if is_used {
                (&mut used, self.tuning.active_interval)
            } else {
                (&mut idle, self.tuning.idle_interval)
            };
            if entry.read.is_none_or(|read| now.since(read) >= interval) {
                due.push((entry.read, target));
            }
        }
        let kept = (self.idle_tokens as usize).min(idle.len()).min(allowed);
        keep_oldest(&mut used, allowed - kept);
        keep_oldest(&mut idle, allowed - used.len());
        self.idle_tokens = (self.idle_tokens - idle.len() as f64).max(0.0);
        let due = used.into_iter().chain(idle);
        let due: Vec<TargetName> = due.map(|(_, target)| target.clone()).collect();
        self.tokens -= due.len() as f64;
        for target in &due {
            if let Some(entry) = self.entries.get_mut(target) {
                entry.read = Some(now);
            }
        }
        due
    }

    /// Adds the reads that have become allowed; at most those of one second are saved up.
    fn fill(&mut self, now: ClockTime) {
        let elapsed = now.since(self.filled).as_ms() as f64 / 1000.0;
        self.filled = now;
        let rate = self.tuning.max_rate;
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
        let idle_rate = rate * IDLE_SHARE;
        self.idle_tokens = (self.idle_tokens + elapsed * idle_rate).min(idle_rate.max(1.0));
    }
}

/// Keeps the `count` reads that have waited longest; they need no order.
fn keep_oldest(due: &mut Vec<DueRead<'_>>, count: usize) {
    if due.len() > count {
        due.select_nth_unstable(count);
        due.truncate(count);
    }
}
