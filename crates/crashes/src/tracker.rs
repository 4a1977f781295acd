//! Adds up evidence of crashes and decides which calls may run.

use crate::history::{CrashHistory, MAX_COUNTED, MAX_OTHER_CRASHES};
use crate::pending::PendingCrashes;
use crate::report::{CauseEvidence, CrashCause, CrashReport, EvidenceReport, LostCause};
use crate::suspect::{CrashSuspect, CrashTimes, TargetRun, CRASH_LIFETIME, SOUND_GRACE};
use crocusyard_base::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which evidence is kept, counted from the last lost or refused call.
const EVIDENCE_LIFETIME: ClockTime = ClockTime::from_secs(600);
/// Largest number of suspected causes; the oldest are dropped first.
const MAX_SUSPECTS: usize = 4_096;
/// Largest number of prompt parts that are known from complete answers.
const MAX_SOUND_PARTS: usize = 16_384;
/// Difference from what other hosts know for which the send of a completed call is told to them.
const NEWS_STEP: ClockTime = ClockTime::from_ms(500);
/// Number of hosts, on average, that tell the others in the first round if all have the same news;
/// the rest hear it first. It doubles with each round.
const NEWS_SENDERS: f64 = 4.0;
/// Largest number of rounds for which it doubles.
const MAX_NEWS_ROUNDS: u32 = 12;
/// Least fraction of the crashes since the first one with a cause that have it, for blame. Where many
/// targets crash for other reasons, a part of few calls may be in three crashes by chance.
const MIN_CRASH_FRACTION: f64 = 0.25;
/// Largest number of blamed causes in a message.
const MAX_BLAMED_SENT: usize = 32;
/// Largest number of sound causes in a message.
const MAX_SOUND_SENT: usize = 512;
/// Time for which crashes and withdrawn reports are remembered, so that late copies of a withdrawn
/// report do not count.
const RUN_LIFETIME: ClockTime = ClockTime::from_secs(60);
/// Time after a crash in which an answer shows that there was none. Later, the next incarnation may
/// have answered under the same name.
const ALIVE_TIME: ClockTime = ClockTime::from_ms(1_000);

/// Decision about a call with certain causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CauseVerdict {
    /// Nothing is known that forbids the call.
    Allowed,
    /// The call contains a blamed cause; a trial may run after this time.
    Refused(ClockTime),
    /// The call contains a blamed cause and runs as a trial, of which the other hosts are to be told
    /// first.
    Trial,
}

/// A call whose connection broke.
#[derive(Clone, Debug)]
pub struct LostCall<'a> {
    /// Target that it was sent to.
    pub target: &'a TargetName,
    /// Incarnation of the target.
    pub incarnation: u64,
    /// What it contained.
    pub causes: &'a [CrashCause],
    /// When it was sent.
    pub sent_at: ClockTime,
}

/// Evidence of crashes that one host has collected or received.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    pending: PendingCrashes,
    suspects: HashMap<CrashCause, CrashSuspect>,
    /// Blamed causes, for quick checks.
    blamed: BTreeSet<CrashCause>,
    /// Prompt parts of complete answers, with the newest send of such a call.
    sound: HashMap<CrashCause, ClockTime>,
    /// Sound causes that other hosts may not know of, with the number of rounds in which this host
    /// has not told them.
    sound_news: BTreeMap<CrashCause, u32>,
    /// Reported crashes, with the time of each.
    reported: BTreeMap<TargetRun, ClockTime>,
    /// Targets that have answered after their reported crash, with the time of the answer.
    withdrawn: BTreeMap<TargetRun, ClockTime>,
    /// Such targets that other hosts may not know of, with the number of rounds in which this host
    /// has not told them.
    alive_news: BTreeMap<TargetRun, u32>,
}

impl CrashTracker {
    /// Returns whether [`take_reports`](Self::take_reports) or [`take_news`](Self::take_news) has to
    /// be called soon.
    pub fn has_work(&self) -> bool {
        !self.pending.is_empty() || !self.sound_news.is_empty() || !self.alive_news.is_empty()
    }

    /// Iterates over the blamed causes.
    pub fn blamed(&self) -> impl Iterator<Item = CrashCause> + '_ {
        self.blamed.iter().copied()
    }

    /// Returns the number of suspected causes, blamed ones included.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of crashes that count against a cause.
    pub fn crash_count(&self, cause: CrashCause) -> usize {
        let suspect = self.suspects.get(&cause);
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns whether one of the causes is blamed.
    pub fn is_blamed(&self, causes: &[CrashCause]) -> bool {
        !self.blamed.is_empty() && causes.iter().any(|cause| self.blamed.contains(cause))
    }

    /// Decides whether a call may run. A trial counts as begun.
    pub fn judge(&mut self, causes: &[CrashCause], now: ClockTime) -> CauseVerdict {
        let blamed: Vec<CrashCause> = causes
            .iter()
            .filter(|cause| self.blamed.contains(cause))
            .copied()
            .collect();
        let mut longest = None;
        for cause in &blamed {
            if let Some(suspect) = self.suspects.get_mut(cause) {
                suspect.last = now;
                longest = longest.max(suspect.trial_wait(now));
            }
        }
        if blamed.is_empty() {
            return CauseVerdict::Allowed;
        }
        if let Some(wait) = longest {
            return CauseVerdict::Refused(wait);
        }
        for cause in &blamed {
            if let Some(suspect) = self.suspects.get_mut(cause) {
                suspect.start_trial(now);
            }
        }
        CauseVerdict::Trial
    }

    /// Records a call of this host whose connection broke.
    pub fn record_lost(&mut self, call: &LostCall<'_>, now: ClockTime) {
        let run = (call.target.clone(), call.incarnation);
        self.pending.add(run, call.causes, call.sent_at, now);
    }

    /// Records a complete answer.
    pub fn record_complete(&mut self, causes: &[CrashCause], sent_at: ClockTime, now: ClockTime) {
        for cause in causes {
            let is_suspect = self.suspects.contains_key(cause);
            if matches!(cause, CrashCause::Part(_)) || is_suspect {
                self.record_sound(*cause, sent_at, now);
            }
            if is_suspect {
                self.queue_sound(*cause);
            }
        }
    }

    /// Records that a target has answered a call that was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        target: &TargetName,
        incarnation: u64,
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        if self.pending.is_empty() && self.reported.is_empty() {
            return;
        }
        let run = (target.clone(), incarnation);
        self.pending.withdraw(&run, sent_at);
        let is_alive = self
            .reported
            .get(&run)
            .is_some_and(|at| *at < sent_at && sent_at.since(*at) < ALIVE_TIME);
        if is_alive {
            self.withdraw(&run, now);
            self.alive_news.insert(run, MAX_NEWS_ROUNDS);
        }
    }

    /// Returns the reports that are due, after recording them. `runs_since` tells when the oldest
    /// call of this host that still runs at a target was sent.
    pub fn take_reports(
        &mut self,
        now: ClockTime,
        runs_since: impl Fn(&TargetName, u64) -> Option<ClockTime>,
    ) -> Vec<CrashReport> {
        let due = self.pending.take_due(now, |(target, incarnation)| {
            runs_since(target, *incarnation)
        });
        let mut reports = Vec::new();
        for ((target, incarnation), lost) in due {
            let mut causes: Vec<LostCause> = lost
                .causes
                .iter()
                .filter(|(cause, _)| !self.is_sound_at(**cause, lost.broken_at))
                .map(|(cause, sent_at)| LostCause {
                    cause: *cause,
                    sent_age: now.since(*sent_at),
                })
                .collect();
            causes.sort_unstable_by_key(|lost| lost.cause);
            let report = CrashReport {
                target,
                incarnation,
                age: now.since(lost.broken_at),
                causes,
            };
            self.receive_report(&report, now);
            reports.push(report);
        }
        reports
    }

    /// Returns whether a recent complete answer shows that a part was sound shortly before a crash.
    fn is_sound_at(&self, cause: CrashCause, broken_at: ClockTime) -> bool {
        let sent_at = self.sound.get(&cause);
        sent_at.is_some_and(|sent_at| broken_at.since(*sent_at) < SOUND_GRACE)
    }

    /// Records a report of this or another host.
    pub fn receive_report(&mut self, report: &CrashReport, now: ClockTime) {
        let run = (report.target.clone(), report.incarnation);
        if self.withdrawn.contains_key(&run) {
            return;
        }
        self.make_room(now);
        let crashed_at = now - report.age;
        self.reported.entry(run.clone()).or_insert(crashed_at);
        self.reported.retain(|_, at| now.since(*at) < RUN_LIFETIME);
        for lost in &report.causes {
            let times = CrashTimes {
                crashed_at,
                sent_at: now - lost.sent_age,
            };
            self.add_crash(lost.cause, run.clone(), times);
        }
        let causes: Vec<CrashCause> = report.causes.iter().map(|lost| lost.cause).collect();
        self.update_blame(&causes);
    }

    /// Records what another host knows.
    pub fn receive_evidence(&mut self, evidence: &EvidenceReport, now: ClockTime) {
        for (target, incarnation) in &evidence.alive {
            let run = (target.clone(), *incarnation);
            self.alive_news.remove(&run);
            self.withdraw(&run, now);
        }
        for (cause, age) in &evidence.sound {
            let sent_at = now - *age;
            if let Some(suspect) = self.suspects.get_mut(cause) {
                suspect.announced = suspect.announced.max(Some(sent_at));
            }
            self.record_sound(*cause, sent_at, now);
        }
        self.make_room(now);
        for evidence in &evidence.blamed {
            for point in &evidence.crashes {
                let run = (point.target.clone(), point.incarnation);
                if self.withdrawn.contains_key(&run) {
                    // The sender has missed that the target answered.
                    self.alive_news.entry(run).or_default();
                    continue;
                }
                let times = CrashTimes {
                    crashed_at: now - point.age,
                    sent_at: now - point.sent_age,
                };
                self.add_crash(evidence.cause, run, times);
            }
            self.correct_sender(evidence);
            if let Some(suspect) = self.suspects.get_mut(&evidence.cause) {
                suspect.merge_trials(evidence, now);
            }
        }
        let causes: Vec<CrashCause> = evidence.blamed.iter().map(|known| known.cause).collect();
        self.update_blame(&causes);
    }

    /// Tells of a complete answer again if the sender of evidence has missed it.
    fn correct_sender(&mut self, evidence: &CauseEvidence) {
        let Some(suspect) = self.suspects.get_mut(&evidence.cause) else {
            return;
        };
        if suspect.crashes.is_empty() {
            suspect.announced = None;
            self.queue_sound(evidence.cause);
        }
    }

    /// Returns the news that other hosts may not have. `draw` is a random number between 0 and 1; of
    /// many hosts with the same news, only a few send them.
    pub fn take_news(&mut self, hosts: usize, draw: f64, now: ClockTime) -> EvidenceReport {
        let mut report = EvidenceReport::default();
        let draw = draw * hosts as f64;
        for (run, rounds) in std::mem::take(&mut self.alive_news) {
            if draw >= news_senders(rounds) {
                self.alive_news.insert(run, rounds + 1);
            } else {
                report.alive.push(run);
            }
        }
        for (cause, rounds) in std::mem::take(&mut self.sound_news) {
            let sent_at = self.sound.get(&cause).copied();
            let (Some(sent_at), true) = (sent_at, self.is_news(cause)) else {
                continue;
            };
            if draw >= news_senders(rounds) || report.sound.len() >= MAX_SOUND_SENT {
                self.sound_news.insert(cause, rounds + 1);
                continue;
            }
            if let Some(suspect) = self.suspects.get_mut(&cause) {
                suspect.announced = Some(sent_at);
            }
            report.sound.push((cause, now.since(sent_at)));
        }
        report
    }

    /// Returns the blamed causes with the evidence against them, for hosts that have just started or
    /// missed reports.
    pub fn evidence(&self, now: ClockTime) -> EvidenceReport {
        let blamed = self.blamed.iter().take(MAX_BLAMED_SENT);
        EvidenceReport {
            blamed: blamed
                .filter_map(|cause| Some(self.suspects.get(cause)?.evidence(*cause, now)))
                .collect(),
            ..EvidenceReport::default()
        }
    }

    /// Returns the crashes that count against causes, for hosts that start later.
    pub fn history(&self, now: ClockTime) -> CrashHistory {
        let mut reports: BTreeMap<TargetRun, CrashReport> = BTreeMap::new();
        let mut sound = Vec::new();
        let mut counted = 0;
        for (cause, suspect) in self.suspects_by_weight(now) {
            let crashes = suspect.newest_crashes();
            counted += crashes.len();
            if counted > MAX_COUNTED {
                break;
            }
            for (run, times) in crashes {
                let report = reports.entry(run.clone());
                let report = report.or_insert_with(|| empty_report(run, times.crashed_at, now));
                report.causes.push(LostCause {
                    cause,
                    sent_age: now.since(times.sent_at),
                });
            }
            let sent_at = self.sound.get(&cause);
            sound.extend(sent_at.map(|sent_at| (cause, now.since(*sent_at))));
        }
        let others = self.other_crashes(&reports, now);
        let crashes = reports.into_values().chain(others).collect();
        CrashHistory { crashes, sound }
    }

    /// Returns the causes with crashes that still count, those with the most and newest crashes first.
    fn suspects_by_weight(&self, now: ClockTime) -> Vec<(CrashCause, &CrashSuspect)> {
        let mut suspects: Vec<(CrashCause, &CrashSuspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.crashes.is_empty())
            .filter(|(_, suspect)| now.since(suspect.last_crash()) < CRASH_LIFETIME)
            .map(|(cause, suspect)| (*cause, suspect))
            .collect();
        suspects.sort_unstable_by_key(|(cause, suspect)| {
            Reverse((suspect.crashes.len(), suspect.last_crash(), *cause))
        });
        suspects
    }

    /// Returns the newest crashes that are not among these reports. Blame depends on their number too.
    fn other_crashes(
        &self,
        reports: &BTreeMap<TargetRun, CrashReport>,
        now: ClockTime,
    ) -> Vec<CrashReport> {
        let mut others: Vec<(&TargetRun, &ClockTime)> = self
            .reported
            .iter()
            .filter(|(run, _)| !reports.contains_key(*run))
            .collect();
        others.sort_unstable_by_key(|(_, at)| Reverse(**at));
        others.truncate(MAX_OTHER_CRASHES);
        others
            .into_iter()
            .map(|(run, at)| empty_report(run, *at, now))
            .collect()
    }

    /// Records the history that another host has collected.
    pub fn receive_history(&mut self, history: &CrashHistory, now: ClockTime) {
        for (cause, age) in &history.sound {
            self.record_sound(*cause, now - *age, now);
        }
        for report in &history.crashes {
            if report.age < CRASH_LIFETIME {
                self.receive_report(report, now);
            }
        }
    }

    /// Adds a crash to a cause, unless the cause was sound in a later call.
    fn add_crash(&mut self, cause: CrashCause, run: TargetRun, times: CrashTimes) {
        let sound_at = self.sound.get(&cause).copied();
        let suspect = self.suspects.entry(cause).or_default();
        suspect.add(run, times);
        if let Some(sound_at) = sound_at {
            self.queue_sound(cause);
            self.drop_crashes(cause, sound_at);
        }
    }

    /// Queues a sound cause if other hosts may not know that it is.
    fn queue_sound(&mut self, cause: CrashCause) {
        if self.is_news(cause) {
            self.sound_news.entry(cause).or_default();
        }
    }

    /// Returns whether this host knows of a later complete answer than it and others have told.
    fn is_news(&self, cause: CrashCause) -> bool {
        let announced = self
            .suspects
            .get(&cause)
            .and_then(|suspect| suspect.announced);
        match (self.sound.get(&cause), announced) {
            (Some(sound_at), Some(announced)) => *sound_at >= announced + NEWS_STEP,
            (sound_at, _) => sound_at.is_some(),
        }
    }

    /// Records that a cause was sound in a call sent at `sent_at`.
    fn record_sound(&mut self, cause: CrashCause, sent_at: ClockTime, now: ClockTime) {
        if self.sound.len() >= MAX_SOUND_PARTS && !self.sound.contains_key(&cause) {
            drop_older_half(&mut self.sound, |sent_at| *sent_at);
        }
        let newest = self.sound.entry(cause).or_default();
        *newest = sent_at.max(*newest);
        if self.suspects.contains_key(&cause) {
            self.drop_crashes(cause, sent_at);
            self.update_blame(&[cause]);
        }
        debug_assert!(sent_at <= now, "a call is sent before its answer");
    }

    fn drop_crashes(&mut self, cause: CrashCause, sent_at: ClockTime) {
        if let Some(suspect) = self.suspects.get_mut(&cause) {
            suspect.drop_until(sent_at);
        }
    }

    /// Withdraws the crash of a target that has answered since.
    fn withdraw(&mut self, run: &TargetRun, now: ClockTime) {
        self.withdrawn.retain(|_, at| now.since(*at) < RUN_LIFETIME);
        self.withdrawn.insert(run.clone(), now);
        self.reported.remove(run);
        let mut changed = Vec::new();
        for (cause, suspect) in &mut self.suspects {
            if suspect.crashes.remove(run).is_some() {
                changed.push(*cause);
            }
        }
        self.update_blame(&changed);
    }

    /// Decides again which of the causes, and of the blamed ones, are blamed. All are judged by the
    /// blame before, so that causes that cannot be told apart are blamed together.
    fn update_blame(&mut self, causes: &[CrashCause]) {
        let judged: Vec<(CrashCause, bool)> = causes
            .iter()
            .chain(&self.blamed)
            .map(|cause| (*cause, self.should_blame(*cause)))
            .collect();
        for (cause, is_blamed) in judged {
            if is_blamed {
                self.blamed.insert(cause);
            } else {
                self.blamed.remove(&cause);
            }
        }
    }

    fn should_blame(&self, cause: CrashCause) -> bool {
        let Some(suspect) = self.suspects.get(&cause) else {
            return false;
        };
        let sound_at = self.sound.get(&cause).copied();
        let sound_at = sound_at.filter(|_| matches!(cause, CrashCause::Part(_)));
        let stronger: Vec<&CrashSuspect> = self
            .blamed
            .iter()
            .filter(|blamed| **blamed != cause)
            .filter_map(|blamed| self.suspects.get(blamed))
            .filter(|blamed| blamed.crashes.len() > suspect.crashes.len())
            .collect();
        let is_explained =
            |run: &TargetRun| stronger.iter().any(|other| other.crashes.contains_key(run));
        if !suspect.has_enough(cause, sound_at, |run| !is_explained(run)) {
            return false;
        }
        let first = suspect.first_crash();
        let others = self.reported.iter().filter(|(run, at)| {
            **at >= first && !is_explained(run) && !suspect.crashes.contains_key(*run)
        });
        let crashes = suspect.crashes.len() as f64;
        let is_frequent = crashes >= (crashes + others.count() as f64) * MIN_CRASH_FRACTION;
        is_frequent || self.blamed.contains(&cause)
    }

    /// Drops expired suspects, and the older half if there are too many.
    fn make_room(&mut self, now: ClockTime) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| {
            !suspect.crashes.is_empty() && now.since(suspect.last) < EVIDENCE_LIFETIME
        });
        if self.suspects.len() >= MAX_SUSPECTS {
            drop_older_half(&mut self.suspects, |suspect| suspect.last);
        }
        let suspects = &self.suspects;
        self.blamed.retain(|cause| suspects.contains_key(cause));
    }
}

/// Returns the report of a crash without causes.
fn empty_report(run: &TargetRun, crashed_at: ClockTime, now: ClockTime) -> CrashReport {
    let (target, incarnation) = run.clone();
    CrashReport {
        target,
        incarnation,
        age: now.since(crashed_at),
        causes: Vec::new(),
    }
}

/// Returns how many hosts send the same news in a round, on average.
fn news_senders(rounds: u32) -> f64 {
    NEWS_SENDERS * f64::from(1_u32 << rounds.min(MAX_NEWS_ROUNDS))
}

/// Drops the entries whose time is not later than the median.
fn drop_older_half<V>(entries: &mut HashMap<CrashCause, V>, time: impl Fn(&V) -> ClockTime) {
    let mut times: Vec<ClockTime> = entries.values().map(&time).collect();
    times.sort_unstable();
    if let Some(median) = times.get(times.len() / 2).copied() {
        entries.retain(|_, value| time(value) > median);
    }
}
