//! Crashes that count against one cause.

use crate::report::{CauseEvidence, CrashCause, CrashPoint};
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Time for which a crash counts against a cause, up to the last one with the cause.
pub(crate) const CRASH_LIFETIME: ClockTime = ClockTime::from_secs(600);
/// Number of crashes for which a cause is blamed.
const BLAME_CRASHES: usize = 3;
/// Number of crashes for which a part is blamed that was in complete answers before.
const KNOWN_PART_CRASHES: usize = 5;
/// Time since the send of its last complete answer for which such a part is not blamed; the answers
/// of calls sent with the lost ones may be on their way.
pub(crate) const SOUND_GRACE: ClockTime = ClockTime::from_ms(2_000);
/// Largest number of crashes that are kept for a cause; the oldest are dropped first.
const MAX_CRASHES: usize = 32;
/// Largest number of crashes in a message, the newest ones.
const MAX_CRASHES_SENT: usize = 8;
/// Time from the last crash to the first trial; it doubles with each trial.
const TRIAL_DELAY: ClockTime = ClockTime::from_secs(30);
/// Largest number of times that the trial delay is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// One incarnation of a target.
pub(crate) type TargetRun = (TargetName, u64);

/// When a target crashed, and when the newest lost call with the cause had been sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashTimes {
    pub(crate) crashed_at: ClockTime,
    pub(crate) sent_at: ClockTime,
}

/// What counts against a cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspect {
    pub(crate) crashes: BTreeMap<TargetRun, CrashTimes>,
    trials: u32,
    /// Earliest time of the next trial.
    trial_at: ClockTime,
    /// When a call with the cause was last lost or refused.
    pub(crate) last: ClockTime,
    /// Newest send of a call with a complete answer that hosts have told each other.
    pub(crate) announced: Option<ClockTime>,
}

impl CrashSuspect {
    /// Adds a crash.
    pub(crate) fn add(&mut self, run: TargetRun, times: CrashTimes) {
        let known = self.crashes.entry(run).or_insert(times);
        known.sent_at = known.sent_at.max(times.sent_at);
        known.crashed_at = known.crashed_at.min(times.crashed_at);
        self.last = self.last.max(times.crashed_at);
        let last = self.last;
        self.crashes
            .retain(|_, times| last.since(times.crashed_at) < CRASH_LIFETIME);
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, times)| times.crashed_at)
                .map(|(run, _)| run.clone());
            if let Some(run) = oldest {
                self.crashes.remove(&run);
            }
        }
    }

    /// Drops the crashes of calls that were sent up to `sent_at`, when the cause was sound.
    pub(crate) fn drop_until(&mut self, sent_at: ClockTime) {
        self.crashes.retain(|_, times| times.sent_at > sent_at);
    }

    /// Returns whether the crashes for which `counts` holds are enough to blame the cause.
    ///
    /// `sound_at` is the send of the newest call with it that got a complete answer. A part must also
    /// have been sent after the first crash: targets that crash at the same time for another reason
    /// break many calls with the same part.
    pub(crate) fn has_enough(
        &self,
        cause: CrashCause,
        sound_at: Option<ClockTime>,
        counts: impl Fn(&TargetRun) -> bool,
    ) -> bool {
        let counted: Vec<&CrashTimes> = self
            .crashes
            .iter()
            .filter(|(run, _)| counts(run))
            .map(|(_, times)| times)
            .collect();
        let last_sent = counted.iter().map(|times| times.sent_at).max();
        let (needed, is_recent) = match sound_at {
            Some(sound_at) => {
                let gap = last_sent.unwrap_or_default().since(sound_at);
                (KNOWN_PART_CRASHES, gap < SOUND_GRACE)
            }
            None => (BLAME_CRASHES, false),
        };
        if counted.len() < needed || is_recent {
            return false;
        }
        let first = counted.iter().map(|times| times.crashed_at).min();
        matches!(cause, CrashCause::Call(_)) || last_sent > first
    }

    /// Returns the time until a call with the cause may run as a trial, or `None` if one may run
    /// now.
    pub(crate) fn trial_wait(&self, now: ClockTime) -> Option<ClockTime> {
        let trial_at = self.trial_at.max(self.last_crash() + TRIAL_DELAY);
        (now < trial_at).then(|| trial_at.since(now))
    }

    pub(crate) fn first_crash(&self) -> ClockTime {
        let times = self.crashes.values().map(|times| times.crashed_at);
        times.min().unwrap_or_default()
    }

    pub(crate) fn last_crash(&self) -> ClockTime {
        let times = self.crashes.values().map(|times| times.crashed_at);
        times.max().unwrap_or_default()
    }

    /// Records that a trial begins.
    pub(crate) fn start_trial(&mut self, now: ClockTime) {
        self.trials += 1;
        let factor = f64::from(1_u32 << self.trials.min(MAX_DOUBLINGS));
        self.trial_at = now + TRIAL_DELAY.scale(factor);
    }

    /// Takes over what another host knows of trials.
    pub(crate) fn merge_trials(&mut self, evidence: &CauseEvidence, now: ClockTime) {
        if evidence.trials > self.trials {
            self.trials = evidence.trials;
            self.trial_at = self.trial_at.max(now + evidence.trial_in);
        }
    }

    /// Returns the newest crashes, which are told to other hosts.
    pub(crate) fn newest_crashes(&self) -> Vec<(&TargetRun, &CrashTimes)> {
        let mut newest: Vec<(&TargetRun, &CrashTimes)> = self.crashes.iter().collect();
        newest.sort_unstable_by_key(|(_, times)| std::cmp::Reverse(times.crashed_at));
        newest.truncate(MAX_CRASHES_SENT);
        newest
    }

    /// Returns what is known against the cause.
    pub(crate) fn evidence(&self, cause: CrashCause, now: ClockTime) -> CauseEvidence {
        let newest = self.newest_crashes();
        let crashes = newest.into_iter().map(|((target, incarnation), times)| {
            let (age, sent_age) = (now.since(times.crashed_at), now.since(times.sent_at));
            CrashPoint {
                target: target.clone(),
                incarnation: *incarnation,
                age,
                sent_age,
            }
        });
        CauseEvidence {
            cause,
            crashes: crashes.collect(),
            trials: self.trials,
            trial_in: self.trial_wait(now).unwrap_or_default(),
        }
    }
}
