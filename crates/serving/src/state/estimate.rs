//! How long calls wait and run, and a host's share of a plain service.

use super::ServingState;
use crate::call::CallInfo;
use crate::choose::NoTarget;
use crate::hosts::{heartbeat_interval, HostShare};
use crate::turns::TurnInput;
use crocusyard_base::prelude::*;

/// Time for which targets may be unknown after a start before calls are refused.
const START_WAIT: ClockTime = ClockTime::from_secs(1);
/// Time that a load takes besides the load itself: order, notice and first token.
const LOAD_OVERHEAD: ClockTime = ClockTime::from_ms(400);
/// Weight of a new run time in the average.
const RUN_TIME_WEIGHT: f64 = 0.1;
/// Run time before any call has ended, ms.
const RUN_TIME_START_MS: f64 = 500.0;
/// Places of a plain service that all hosts use together, as a share; some queue at the targets, so
/// that none runs dry while a host's next call is on its way.
const PLACE_SHARE: f64 = 1.2;
/// Part of the places that nobody uses that one host takes beyond its share. What others use is
/// known with a delay, and about one host in four has more calls than its share.
const SPARE_SHARE: f64 = 0.25;

impl ServingState {
    /// Time until a target can take a call that none can take now.
    pub(super) fn wait_estimate(
        &self,
        key: RequestKey,
        call: &CallInfo,
        reason: NoTarget,
        now: ClockTime,
    ) -> ClockTime {
        match reason {
            NoTarget::NoneKnown => {
                if self.targets_known && now.since(self.started) > START_WAIT {
                    ClockTime::NEVER
                } else {
                    ClockTime::ZERO
                }
            }
            NoTarget::ModelAbsent => self.load_estimate(call, now),
            NoTarget::AdapterAbsent => ClockTime::ZERO,
            NoTarget::AllFull => {
                if self.waiting.contains(key) {
                    return ClockTime::ZERO;
                }
                self.queue_estimate(call)
            }
        }
    }

    /// Time until a model that no target holds is loaded.
    fn load_estimate(&self, call: &CallInfo, now: ClockTime) -> ClockTime {
        let rule = self.rules.as_ref().and_then(|rules| {
            let need = call.need.as_ref()?;
            rules.engine(&call.service)?.models.get(&need.model)
        });
        let Some(rule) = rule else {
            return ClockTime::NEVER;
        };
        let key = (call.service.clone(), rule.name.clone());
        let waited = self
            .absent
            .get(&key)
            .map_or(ClockTime::ZERO, |at| now.since(*at));
        let whole = rule.load_time + LOAD_OVERHEAD;
        whole.since(waited).max(LOAD_OVERHEAD)
    }

    /// Notes since when a model has been missed.
    pub(super) fn note_absent(&mut self, call: &CallInfo, reason: NoTarget, now: ClockTime) {
        let Some(need) = &call.need else {
            return;
        };
        let key = (call.service.clone(), need.model.clone());
        if reason == NoTarget::ModelAbsent {
            self.absent.entry(key).or_insert(now);
        }
    }

    /// Time until the calls ahead of a new one have been sent.
    fn queue_estimate(&self, call: &CallInfo) -> ClockTime {
        let ahead = self
            .waiting_calls()
            .filter(|other| other.same_queue(call) && other.route.priority <= call.route.priority)
            .count();
        let running = self
            .requests
            .values()
            .filter(|request| request.target.is_some() && request.call.same_queue(call))
            .count();
        let wait = (ahead + 1) as f64 * self.run_time(call) / running.max(1) as f64;
        ClockTime::from_ms(wait as u64)
    }

    /// Time from a send to the point by which an answer is in time or late: the whole run of a
    /// plain call; a stream only has to begin.
    pub(super) fn answer_lead(&self, call: &CallInfo) -> ClockTime {
        match (&call.need, self.run_times.get(&run_key(call))) {
            (None, Some(run_time)) => ClockTime::from_ms(*run_time as u64),
            _ => ClockTime::ZERO,
        }
    }

    fn run_time(&self, call: &CallInfo) -> f64 {
        self.run_times
            .get(&run_key(call))
            .copied()
            .unwrap_or(RUN_TIME_START_MS)
    }

    /// Takes the run time of an answered call.
    pub(super) fn note_run_time(&mut self, call: &CallInfo, ran: ClockTime) {
        let average = self
            .run_times
            .entry(run_key(call))
            .or_insert(RUN_TIME_START_MS);
        *average += (ran.as_ms() as f64 - *average) * RUN_TIME_WEIGHT;
    }

    /// Returns whether this host has used its share of the places of a plain service.
    ///
    /// Plain calls are too short for hosts to tell each other of them in time; targets whose
    /// queues are full run slower, so that each host keeps to its share. Callers stay with one
    /// host, so that some hosts get several times the calls of others: while places are unused, a
    /// host may go beyond its share.
    pub(super) fn spends_share(&self, key: RequestKey, call: &CallInfo, now: ClockTime) -> bool {
        if call.need.is_some() {
            return false;
        }
        let (mut places, mut running, mut used) = (0, 0, 0);
        for state in self.targets.of_service(&call.service) {
            places += state.slots();
            running += state.in_flight;
            used += state.load(now);
        }
        if places == 0 {
            return false;
        }
        let HostShare { hosts, fraction } = self.share;
        let all = f64::from(places) * PLACE_SHARE;
        let share = all * fraction;
        // Hosts that were not heard are taken to use their shares.
        let unheard = (hosts - 1).saturating_sub(self.targets.reporting_peers()) as f64;
        let unheard_part = (1.0 - fraction) * unheard / (hosts - 1).max(1) as f64;
        let spare = f64::from(places) - f64::from(used) - all * unheard_part;
        // Calls arrive at random: their number in progress varies by the root of its mean.
        let own = (share + share.sqrt()).floor().max(1.0);
        let limit = own + (spare.max(0.0) * SPARE_SHARE).floor();
        let waits_longer =
            self.waiting.contains(key) || !self.waiting_calls().any(|other| other.same_queue(call));
        f64::from(running) >= limit || !waits_longer
    }

    /// Returns whether a call may take one of the free places for its model now, while calls for it
    /// wait at other hosts as well.
    pub(super) fn takes_turn(&mut self, call: &CallInfo, now: ClockTime) -> bool {
        let (Some(model), Some((key, others))) = (call.model(), self.turns.waiting_elsewhere(call))
        else {
            return true;
        };
        let own = self
            .waiting_calls()
            .filter(|other| other.same_queue(call))
            .count();
        let (mut free, mut busy) = (0, 0);
        for state in self.targets.of_service(&call.service) {
            if state.holds(model, None) && state.has_place(Some(model), now) {
                let load = state.load(now);
                free += state.slots().saturating_sub(load);
                busy += load;
            }
        }
        let period = heartbeat_interval(self.share.hosts);
        let periods = period.as_ms() as f64 / self.run_time(call).max(1.0);
        let input = TurnInput {
            own: u32::try_from(own).unwrap_or(u32::MAX),
            others,
            free,
            period,
            expected_free: f64::from(busy) * periods,
        };
        self.turns.try_take(key, call, input, now)
    }
}

/// Calls with the same key run for about the same time.
fn run_key(call: &CallInfo) -> (ServiceName, Option<ModelName>) {
    (call.service.clone(), call.model().cloned())
}
