//! What the request path does with evidence of crashes.

use super::{Effects, ServingState};
use crate::event::{RefusalReason, ServingEffect};
use crate::hashing::unit_hash;
use crocusyard_base::prelude::*;
use crocusyard_crashes::prelude::{
    CrashCause, CrashHistory, CrashReport, EvidenceReport, LostCall,
};
use std::collections::BTreeSet;

impl ServingState {
    /// Returns whether a tick is needed although no call waits.
    pub fn has_crash_work(&self) -> bool {
        self.crashes.has_work()
    }

    /// Returns the blamed causes with the evidence against them, to be sent to the other hosts with
    /// each heartbeat; `None` if no cause is blamed.
    pub fn evidence_report(&self, now: ClockTime) -> Option<EvidenceReport> {
        let evidence = self.crashes.evidence(now);
        (!evidence.is_empty()).then_some(evidence)
    }

    /// Returns the crashes that count against causes, for hosts that start later.
    pub fn crash_history(&self, now: ClockTime) -> CrashHistory {
        self.crashes.history(now)
    }

    /// Returns the number of crashes that count against a cause.
    pub fn crash_count(&self, cause: CrashCause) -> usize {
        self.crashes.crash_count(cause)
    }

    /// Returns the number of causes that are suspected, blamed ones included.
    pub fn suspect_count(&self) -> usize {
        self.crashes.suspect_count()
    }

    /// Returns the number of causes that are blamed.
    pub fn blamed_count(&self) -> usize {
        self.crashes.blamed().count()
    }

    /// Records a call whose connection to a target broke.
    pub(super) fn record_lost(
        &mut self,
        (target, incarnation): (&TargetName, u64),
        causes: &[CrashCause],
        sent_at: ClockTime,
        now: ClockTime,
    ) {
        let lost = LostCall {
            target,
            incarnation,
            causes,
            sent_at,
        };
        self.crashes.record_lost(&lost, now);
    }

    /// Records a complete answer; one without a failure of the target shows that the call is sound.
    pub(super) fn record_answer(
        &mut self,
        (target, incarnation): (&TargetName, u64),
        status: u16,
        causes: &[CrashCause],
        sent_at: ClockTime,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let before = self.blamed();
        self.crashes
            .record_answer(target, incarnation, sent_at, now);
        if status < 500 {
            self.crashes.record_complete(causes, sent_at, now);
        }
        self.apply_blame(&before, out);
    }

    /// Reports crashes and news of causes to the other hosts.
    pub(super) fn report_crashes(&mut self, now: ClockTime, out: &mut Effects) {
        if !self.crashes.has_work() {
            return;
        }
        let before = self.blamed();
        let requests = &self.requests;
        let runs_since = |target: &TargetName, incarnation: u64| {
            requests
                .values()
                .filter(|request| {
                    let run = request.target.as_ref();
                    run.is_some_and(|(name, born)| name == target && *born == incarnation)
                })
                .map(|request| request.sent_at)
                .min()
        };
        for report in self.crashes.take_reports(now, runs_since) {
            out.push(ServingEffect::ReportCrash(report));
        }
        let draw = unit_hash(&(&self.config.host, now));
        let news = self.crashes.take_news(self.share.hosts, draw, now);
        if !news.is_empty() {
            out.push(ServingEffect::ReportEvidence(news));
        }
        self.apply_blame(&before, out);
    }

    pub(super) fn receive_crash(
        &mut self,
        report: &CrashReport,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let before = self.blamed();
        self.crashes.receive_report(report, now);
        self.apply_blame(&before, out);
    }

    pub(super) fn receive_crash_history(
        &mut self,
        history: &CrashHistory,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let before = self.blamed();
        self.crashes.receive_history(history, now);
        self.apply_blame(&before, out);
    }

    pub(super) fn receive_evidence(
        &mut self,
        evidence: &EvidenceReport,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let before = self.blamed();
        self.crashes.receive_evidence(evidence, now);
        self.apply_blame(&before, out);
    }

    fn blamed(&self) -> BTreeSet<CrashCause> {
        self.crashes.blamed().collect()
    }

    /// Logs changes of the blamed causes, and ends waiting calls that contain one.
    fn apply_blame(&mut self, before: &BTreeSet<CrashCause>, out: &mut Effects) {
        let after = self.blamed();
        if *before == after {
            return;
        }
        for cause in before.symmetric_difference(&after) {
            out.push(ServingEffect::LogBlame {
                cause: *cause,
                is_blamed: after.contains(cause),
            });
        }
        let waiting: Vec<RequestKey> = self.waiting.keys().collect();
        for key in waiting {
            self.refuse_blamed(key, out);
        }
    }

    /// Refuses a request that contains a blamed cause and is no trial; returns whether it did.
    pub(super) fn refuse_blamed(&mut self, key: RequestKey, out: &mut Effects) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        if request.is_trial || !self.crashes.is_blamed(&request.causes) {
            return false;
        }
        let delay = super::MAX_RETRY_DELAY;
        self.refuse_or_fail(key, RefusalReason::Crashes, delay, out);
        true
    }
}
