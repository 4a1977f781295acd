//! Estimates of wait and run times, and the limits on what one host takes of shared slots.
//!
//! A call that needs no model is called plain, and so is a service without engines.

use super::ServingState;
use crate::call::CallInfo;
use crate::choose::NoTarget;
use crate::hosts::HostShare;
use crate::rules::ModelRule;
use crate::turns::TurnInput;
use crocusyard_base::heartbeat::heartbeat_interval;
use crocusyard_base::prelude::*;
use std::collections::HashSet;

/// Time after the start of the host in which calls wait although no target is known yet.
const STARTUP_GRACE: ClockTime = ClockTime::from_secs(1);
/// Time from the request for a copy to the first token, besides the load itself: the order, the
/// report of the engine's new holdings and the first token.
const LOAD_OVERHEAD: ClockTime = ClockTime::from_ms(400);
/// Time without a call for an absent model after which its load counts as overdue only from the next
/// call on; the model may have been held meanwhile.
const ABSENCE_MEMORY: ClockTime = ClockTime::from_secs(2);
/// Weight of a new run time in the moving average.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Run time that is assumed before any call has ended, ms.
const DEFAULT_RUN_TIME_MS: f64 = 500.0;
/// Calls that all hosts together send to a plain service, as a multiple of its slots. Some of them
/// queue at the targets, so that no target runs dry while a host's next call is on its way.
const SLOT_OVERCOMMIT: f64 = 1.2;
/// Fraction of the unused slots that one host takes beyond its share. What other hosts use is known
/// with a delay, and about one host in four has more calls than its share.
const SPARE_FRACTION: f64 = 0.25;

impl ServingState {
    /// Estimates the time until a target can take a call that no target can take now.
    pub(super) fn estimate_wait(
        &self,
        key: RequestKey,
        call: &CallInfo,
        reason: NoTarget,
        now: ClockTime,
    ) -> ClockTime {
        match reason {
            NoTarget::NoneKnown => {
                if self.targets_known && now.since(self.started) > STARTUP_GRACE {
                    ClockTime::NEVER
                } else {
                    ClockTime::ZERO
                }
            }
            NoTarget::ModelAbsent => self.estimate_load(call, now),
            NoTarget::AllPaused => self.pause_left(call, now).unwrap_or(ClockTime::ZERO),
            // The first event of another call is due at once.
            NoTarget::AdapterAbsent | NoTarget::Prefilling => ClockTime::ZERO,
            NoTarget::AllFull => self.estimate_full(key, call, now),
        }
    }

    /// Estimates the time until one of the full targets takes a call.
    ///
    /// Targets that have been full for some time are expected to stay full for as long again.
    fn estimate_full(&self, key: RequestKey, call: &CallInfo, now: ClockTime) -> ClockTime {
        let maybe_ran = self.requests.get(&key).is_some_and(|r| r.maybe_ran);
        if maybe_ran {
            // It cannot be refused any more.
            return ClockTime::ZERO;
        }
        let full_for = self
            .full_since
            .get(&queue_key(call))
            .map_or(ClockTime::ZERO, |since| now.since(*since));
        if self.waiting.contains(key) {
            return full_for;
        }
        self.estimate_queue(call, now).max(full_for)
    }

    /// Estimates the time until a model that no target holds is loaded. A load that is overdue is
    /// expected to take as long again as it is overdue: other models may have taken its place.
    fn estimate_load(&self, call: &CallInfo, now: ClockTime) -> ClockTime {
        let Some(rule) = self.model_rule(call) else {
            return ClockTime::NEVER;
        };
        let (waited, followed) = self
            .absent
            .get(&queue_key(call))
            .map_or((ClockTime::ZERO, ClockTime::ZERO), |absence| {
                (now.since(absence.since), now.since(absence.followed_from))
            });
        let full_time = rule.load_time + LOAD_OVERHEAD;
        let overdue = waited.since(full_time).min(followed);
        full_time.since(waited).max(LOAD_OVERHEAD).max(overdue)
    }

    /// Records why a call has no target now, for the estimates of later calls.
    pub(super) fn record_no_target(&mut self, call: &CallInfo, reason: NoTarget, now: ClockTime) {
        let key = queue_key(call);
        match reason {
            // Callers may ask for any name; only models of the configuration are recorded.
            NoTarget::ModelAbsent if self.model_rule(call).is_some() => {
                let absence = self.absent.entry(key).or_insert(ModelAbsence {
                    since: now,
                    followed_from: now,
                    seen_at: now,
                });
                if now.since(absence.seen_at) > ABSENCE_MEMORY {
                    absence.followed_from = now;
                }
                absence.seen_at = now;
            }
            NoTarget::AllFull => {
                self.absent.remove(&key);
                self.full_since.entry(key).or_insert(now);
            }
            _ => {}
        }
    }

    /// Returns the rule of the model that a call needs, if the configuration has the model.
    pub(super) fn model_rule(&self, call: &CallInfo) -> Option<&ModelRule> {
        let engine = self.rules.as_ref()?.engine(&call.service)?;
        engine.models.get(call.model()?)
    }

    /// Returns why a waiting call has no target now, if `reason` is why it had none when it was last
    /// judged. A call behind others is not judged again when a target comes or loads the model.
    pub(super) fn present_reason(&self, call: &CallInfo, reason: NoTarget) -> NoTarget {
        let holds_on = match reason {
            NoTarget::ModelAbsent => self.absent.contains_key(&queue_key(call)),
            NoTarget::NoneKnown => self.targets.of_service(&call.service).next().is_none(),
            _ => true,
        };
        if holds_on {
            reason
        } else {
            NoTarget::AllFull
        }
    }

    /// Records that a target could take a call.
    pub(super) fn record_free_target(&mut self, call: &CallInfo) {
        if self.full_since.is_empty() && self.absent.is_empty() {
            return;
        }
        let key = queue_key(call);
        self.full_since.remove(&key);
        self.absent.remove(&key);
    }

    /// Forgets since when targets have been full for which no call waits.
    pub(super) fn forget_full_targets(&mut self) {
        if self.full_since.is_empty() {
            return;
        }
        let waiting: HashSet<QueueKey> = self.waiting_calls().map(queue_key).collect();
        self.full_since.retain(|key, _| waiting.contains(key));
    }

    /// Estimates the time until the waiting calls ahead of a new one have been sent.
    fn estimate_queue(&self, call: &CallInfo, now: ClockTime) -> ClockTime {
        let ahead = self.count_ahead(call, now);
        let running = self
            .requests
            .values()
            .filter(|request| request.target.is_some() && request.call.same_queue(call))
            .count();
        let interval = self.run_time(call) / running.max(1) as f64;
        let wait = ClockTime::from_ms(((ahead + 1) as f64 * interval) as u64);
        match self.estimate_promotion(call, interval, now) {
            Some(promotion) => wait.min(promotion),
            None => wait,
        }
    }

    /// Expected time from a send to the event that the latency objective bounds.
    ///
    /// For a plain call this is the whole run. A stream of a model only has to begin within the
    /// objective, so that its run does not count.
    pub(super) fn time_to_answer(&self, call: &CallInfo) -> ClockTime {
        match (&call.need, self.run_times.get(&queue_key(call))) {
            (None, Some(run_time)) => ClockTime::from_ms(*run_time as u64),
            _ => ClockTime::ZERO,
        }
    }

    /// Average run time of calls like this one, ms.
    pub(super) fn run_time(&self, call: &CallInfo) -> f64 {
        self.run_times
            .get(&queue_key(call))
            .copied()
            .unwrap_or(DEFAULT_RUN_TIME_MS)
    }

    /// Adds the run time of an answered call to the moving average.
    pub(super) fn record_run_time(&mut self, call: &CallInfo, ran: ClockTime) {
        let average = self
            .run_times
            .entry(queue_key(call))
            .or_insert(DEFAULT_RUN_TIME_MS);
        *average += (ran.as_ms() as f64 - *average) * RUN_TIME_WEIGHT;
    }

    /// Returns whether this host has used up its share of the slots of a plain service.
    ///
    /// Plain calls are too short for hosts to report them to each other in time, and targets whose
    /// queues are full run slower; each host therefore keeps to its share. Callers stay with one
    /// host, so that some hosts get several times the calls of others: while slots are unused, a
    /// host may go beyond its share. A new call also has to wait while an earlier one of its
    /// service waits.
    pub(super) fn exhausts_share(&self, key: RequestKey, call: &CallInfo, now: ClockTime) -> bool {
        if call.need.is_some() {
            return false;
        }
        let (mut slots, mut running, mut used) = (0, 0, 0);
        for state in self.targets.of_service(&call.service) {
            if state.pause_left(now).is_some() {
                continue;
            }
            slots += state.slots();
            running += state.in_flight;
            used += state.load(now);
        }
        if slots == 0 {
            return false;
        }
        let HostShare {
            hosts, fraction, ..
        } = self.share;
        let total = f64::from(slots) * SLOT_OVERCOMMIT;
        let share = total * fraction;
        // Hosts that have not reported their load are assumed to use their shares.
        let unreported = (hosts - 1).saturating_sub(self.targets.reporting_peers()) as f64;
        let unreported_fraction = (1.0 - fraction) * unreported / (hosts - 1).max(1) as f64;
        let spare = f64::from(slots) - f64::from(used) - total * unreported_fraction;
        // Calls arrive at random: the number in progress has a standard deviation of the square
        // root of its mean.
        let own = (share + share.sqrt()).floor().max(1.0);
        let limit = own + (spare.max(0.0) * SPARE_FRACTION).floor();
        let is_next =
            self.waiting.contains(key) || !self.waiting_calls().any(|other| other.same_queue(call));
        f64::from(running) >= limit || !is_next
    }

    /// Returns whether a call may take one of the free slots for its model now, while calls for the
    /// same model wait at other hosts as well.
    pub(super) fn takes_turn(&mut self, call: &CallInfo, now: ClockTime) -> bool {
        let (Some(model), Some((key, others))) = (call.model(), self.turns.waiting_elsewhere(call))
        else {
            return true;
        };
        if self.precedes_other_hosts(call) {
            return true;
        }
        let own = self.count_waiting(call);
        let (mut free, mut busy) = (0, 0);
        for state in self.targets.for_call(call) {
            if state.has_free_slot(Some(model), now) {
                let load = state.load(now);
                free += state.slots().saturating_sub(load);
                busy += load;
            }
        }
        let interval = heartbeat_interval(self.share.hosts);
        let runs_per_interval = interval.as_ms() as f64 / self.run_time(call).max(1.0);
        let input = TurnInput {
            own,
            others,
            free,
            interval,
            expected_free: f64::from(busy) * runs_per_interval,
        };
        self.turns.try_take(key, call, input, now)
    }
}

/// Service and model of calls that wait for the same targets and run for about the same time; no
/// model for plain calls.
pub(super) type QueueKey = (ServiceName, Option<ModelName>);

fn queue_key(call: &CallInfo) -> QueueKey {
    (call.service.clone(), call.model().cloned())
}

/// A time without a copy of a model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelAbsence {
    /// When a call first found no copy.
    since: ClockTime,
    /// Start of the time in which calls have found none without a long gap between them.
    followed_from: ClockTime,
    /// When a call last found none.
    seen_at: ClockTime,
}
