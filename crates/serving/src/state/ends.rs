//! The ends of attempts and of requests: answers, retries, refusals and failures.

use super::{copy_request, Effects, ServingState, MAX_PAUSE, MAX_RETRY_DELAY, MIN_RETRY_DELAY};
use crate::call::{AttemptOutcome, CallInfo};
use crate::choose::NoTarget;
use crate::event::{RefusalReason, RequestRefusal, ServingEffect};
use crocusyard_base::prelude::*;

/// Shortest time in which an answer can arrive; a call with less time left is refused.
const MIN_ANSWER_TIME: ClockTime = ClockTime::from_ms(30);
/// Retry delay sent to callers when no target of the service is known; the target list is at most
/// this old.
const NO_TARGET_RETRY_DELAY: ClockTime = ClockTime::from_ms(1_000);

impl ServingState {
    /// Refuses a request that has not run; one that may have run fails instead.
    pub(super) fn refuse_or_fail(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        delay: ClockTime,
        out: &mut Effects,
    ) {
        if self
            .requests
            .get(&key)
            .is_some_and(|request| request.maybe_ran)
        {
            self.fail(key, false, out);
            return;
        }
        let (delay, longest) = match reason {
            RefusalReason::NoTarget => (NO_TARGET_RETRY_DELAY, MAX_RETRY_DELAY),
            RefusalReason::TargetsPaused => (delay, MAX_PAUSE),
            _ => (delay, MAX_RETRY_DELAY),
        };
        out.push(ServingEffect::Refuse(RequestRefusal {
            key,
            reason,
            retry_after: delay.clamp(MIN_RETRY_DELAY, longest),
            quota: None,
        }));
        self.remove_request(key);
    }

    /// Removes a request that has been answered, refused or given up by its caller.
    pub(super) fn remove_request(&mut self, key: RequestKey) {
        self.waiting.remove(key);
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        if request.charged && !request.maybe_ran && request.target.is_none() {
            self.unrun.push(request.call.clone());
        }
        if let Some((target, _)) = &request.target {
            self.targets.count_ended(target);
            self.targets
                .count_tokens_ended(target, &request.call, request.has_begun);
        }
        if request.counts_demand {
            self.demand.count_end(&request.call);
        }
    }

    /// Handles the end of an attempt: the request ends, is sent again or waits.
    pub(super) fn end(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        now: ClockTime,
        out: &mut Effects,
    ) {
        self.settle_attempt(key, Some(outcome), now);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let call = request.call.clone();
        let Some((target, incarnation)) = request.target.take() else {
            return;
        };
        let ran = now.since(request.sent_at);
        self.targets.count_ended(&target);
        self.targets
            .count_tokens_ended(&target, &call, request.has_begun);
        match outcome {
            AttemptOutcome::Answered { status } => {
                // It has run, so that the charge stays.
                request.charged = false;
                let sent_at = request.sent_at;
                let causes = request.causes.clone();
                self.record_answer((&target, incarnation), status, &causes, sent_at, now, out);
                self.record_run_time(&call, ran);
                self.targets.record_answer(&target, status >= 500, now);
                let may_retry = status >= 500 && call.route.kind.may_repeat();
                if may_retry && self.take_retry(key, now) {
                    self.mark_maybe_ran(key);
                    self.send_or_wait(key, now, out);
                } else {
                    self.remove_request(key);
                }
            }
            AttemptOutcome::NotRun { full, misplaced } => {
                self.record_refusal(&target, &call, full, misplaced, now);
                self.retry_or_refuse(key, RefusalReason::TargetRefused, now, out);
            }
            AttemptOutcome::Unsent => {
                self.targets.record_failure(&target, now);
                self.uncount_send(key);
                self.send_or_wait(key, now, out);
            }
            AttemptOutcome::NoSlot => {
                // Other targets need a connection as well; other hosts may have one.
                self.uncount_send(key);
                self.refuse_or_fail(key, RefusalReason::NoConnection, MIN_RETRY_DELAY, out);
            }
            AttemptOutcome::Dropped => {
                // The target is sound, and a second answer would need as much memory.
                self.mark_maybe_ran(key);
                self.fail(key, false, out);
            }
            AttemptOutcome::Lost { broken, .. } => {
                let sent_at = request.sent_at;
                let causes = request.causes.clone();
                self.targets.record_lost(&target, now);
                if broken {
                    self.record_lost((&target, incarnation), &causes, sent_at, now);
                }
                self.mark_maybe_ran(key);
                if call.route.kind.may_repeat() && !self.crashes.is_blamed(&causes) {
                    self.retry_or_refuse(key, RefusalReason::NoBudget, now, out);
                } else {
                    self.fail(key, false, out);
                }
            }
            AttemptOutcome::Expired => {
                self.mark_maybe_ran(key);
                self.fail(key, true, out);
            }
        }
        self.send_waiting(now, out);
    }

    /// Updates the target table after a target has refused a call.
    fn record_refusal(
        &mut self,
        target: &TargetName,
        call: &CallInfo,
        full: bool,
        misplaced: bool,
        now: ClockTime,
    ) {
        if full {
            self.targets.record_full(target, call.model(), now);
        }
        if let (true, Some(need)) = (misplaced, &call.need) {
            self.targets
                .record_missing(target, &need.model, need.adapter.as_ref());
        }
    }

    fn mark_maybe_ran(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.maybe_ran = true;
        }
    }

    /// Takes back the count of an attempt that has not reached its target.
    fn uncount_send(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.sends = request.sends.saturating_sub(1);
        }
    }

    /// Takes a retry from the budget if the route allows another attempt.
    fn take_retry(&mut self, key: RequestKey, now: ClockTime) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        if request.sends >= request.call.route.max_attempts {
            return false;
        }
        let service = request.call.service.clone();
        self.budget
            .try_take(&service, self.share.known_fraction, now)
    }

    fn retry_or_refuse(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let call = self.requests.get(&key).map(|request| request.call.clone());
        let pause = call.and_then(|call| self.pause_left(&call, now));
        if let Some(pause) = pause {
            let reason = RefusalReason::TargetsPaused;
            self.refuse_or_fail(key, reason, pause, out);
            return;
        }
        if self.take_retry(key, now) {
            self.send_or_wait(key, now, out);
            return;
        }
        self.refuse_or_fail(key, reason, MIN_RETRY_DELAY, out);
    }

    /// Returns the time until the first target that could run a call takes requests again; `None`
    /// if one takes requests now, or if no target could run the call.
    pub(super) fn pause_left(&self, call: &CallInfo, now: ClockTime) -> Option<ClockTime> {
        let mut shortest = None;
        for state in self.targets.for_call(call) {
            let left = state.pause_left(now)?;
            shortest = Some(shortest.map_or(left, |least: ClockTime| least.min(left)));
        }
        shortest
    }

    pub(super) fn fail(&mut self, key: RequestKey, expired: bool, out: &mut Effects) {
        out.push(ServingEffect::Fail { key, expired });
        self.remove_request(key);
    }

    /// Ends waiting requests that no longer have time for an answer.
    pub(super) fn end_expired(&mut self, now: ClockTime, out: &mut Effects) {
        for key in self.waiting.expired(MIN_ANSWER_TIME, now) {
            let maybe_ran = self
                .requests
                .get(&key)
                .is_some_and(|request| request.maybe_ran);
            if maybe_ran {
                self.fail(key, true, out);
            } else {
                self.refuse_or_fail(key, RefusalReason::Expired, MIN_RETRY_DELAY, out);
            }
        }
    }

    /// Refuses waiting calls that are not expected to get a target before their callers stop
    /// waiting, so that the callers can turn elsewhere.
    pub(super) fn end_hopeless(&mut self, now: ClockTime, out: &mut Effects) {
        let waiting: Vec<RequestKey> = self.waiting.keys().collect();
        for key in waiting {
            let request = self.requests.get(&key);
            let reason = request.and_then(|request| request.waited_for);
            let (Some(request), Some(reason)) = (request, reason) else {
                continue;
            };
            let call = request.call.clone();
            let reason = self.present_reason(&call, reason);
            self.refuse_hopeless(key, &call, reason, now, out);
        }
    }

    /// Refuses a request if the wait for a target would last too long; returns whether it did.
    pub(super) fn refuse_hopeless(
        &mut self,
        key: RequestKey,
        call: &CallInfo,
        reason: NoTarget,
        now: ClockTime,
        out: &mut Effects,
    ) -> bool {
        let time_left = call.start_deadline.since(now);
        let estimate = self.estimate_wait(key, call, reason, now);
        if estimate + MIN_ANSWER_TIME <= time_left {
            return false;
        }
        let refusal = match reason {
            NoTarget::NoneKnown => RefusalReason::NoTarget,
            NoTarget::ModelAbsent | NoTarget::AdapterAbsent => RefusalReason::ModelAbsent,
            NoTarget::AllPaused => RefusalReason::TargetsPaused,
            NoTarget::AllFull | NoTarget::Prefilling => RefusalReason::Overloaded,
        };
        self.refuse_or_fail(key, refusal, estimate, out);
        if let (Some(need), true) = (&call.need, refusal == RefusalReason::ModelAbsent) {
            out.push(copy_request(call, need));
        }
        true
    }
}
