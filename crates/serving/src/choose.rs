//! The choice of a target for a call.
//!
//! Among the targets that hold what the call needs, the one with the lowest cost is chosen. The
//! cost is the load per slot; it is higher in another failure domain and lower at the target that
//! calls with the same prompt prefer. A target that failed recently is chosen only if no other
//! target holds the model.
//!
//! Targets that fail a part of their calls cost more by their failure rate, and most for further
//! attempts of a call that has failed. They are never excluded: the random term leaves them a few
//! calls, which show when they have recovered, and they take what the sound targets cannot run.
//!
//! For a target that reports its pace, the load counts by the time that the work takes there, the
//! call itself included. The random term is shifted by the logarithm of the pace, so that calls
//! which are spread at random are spread in proportion to the speed of the targets.
//!
//! A random term of the cost spreads the calls of many hosts. All hosts know the same loads with
//! the same delay and would otherwise send to the same target until newer loads arrive.

use crate::call::CallInfo;
use crate::target_model::{EngineDemand, EngineFigures};
use crate::targets::{TargetState, TargetTable};
use crocusyard_base::prelude::*;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Cost of a target in another failure domain, as a fraction of its slots; crossing to another
/// domain takes about 3 ms per call.
const REMOTE_DOMAIN_COST: f64 = 0.15;
/// Reduction of the cost of the target that calls with the same prompt prefer, as a fraction of its
/// slots.
const AFFINITY_GAIN: f64 = 0.25;
/// Scale of the random cost of a call that needs no model, as a fraction of a target's slots, at a
/// host that gets all callers. It is divided by the host's fraction of the callers. The known load
/// of other hosts is older than the run time of such a call, and more hosts send more calls in that
/// time: with 70 equal hosts the choice is almost even.
const PLAIN_SPREAD: f64 = 0.04;
/// Scale of the random cost of a call that needs a model, as a fraction of a target's slots. Such a
/// call runs for longer than the interval between heartbeats.
const MODEL_SPREAD: f64 = 0.1;
/// Random cost of a call to an engine that reports its pace, with heartbeats each 250 ms, as a
/// fraction of an engine's slots, besides `MODEL_SPREAD`; for a host that gets few of the callers. It
/// grows with the square root of the interval. Lower ones made 60 hosts follow the same old loads,
/// higher ones ignore them (`docs/measurements-targets.md`).
const ENGINE_SPREAD: f64 = 0.25;
/// The interval of those heartbeats, ms.
const ENGINE_SPREAD_INTERVAL_MS: f64 = 250.0;
/// Cost of each ms until the first event, at engines that report their pace, as a fraction of an
/// engine's slots. Crossing to another failure domain and tokens that are not in the prefix cache
/// cost by the time that they take.
const TIME_COST_PER_MS: f64 = 0.03;
/// Time that crossing to another failure domain takes, ms.
const REMOTE_DOMAIN_MS: f64 = 3.0;
/// Cost of each stream that is expected to be late, as a fraction of an engine's slots.
const LATENESS_COST: f64 = 0.3;
/// Cost of a target that failed recently, as a fraction of its slots; higher than any other cost,
/// so that every other target is preferred. It is multiplied by the scale of the random cost where
/// that is above 1, with more than 25 hosts.
const FAILED_COST: f64 = 10.0;
/// Smallest scale of the costs of failing calls, as a fraction of a target's slots; the scale of the
/// random cost is used if it is larger.
const MIN_FAILURE_SCALE: f64 = 0.25;
/// Cost of a target that fails all calls, for a call that can be sent again: an idle target that
/// fails half of them gets a twelfth of the calls of a sound one if calls are spread at random.
const FAILURE_COST: f64 = 5.0;
/// The same for a call that cannot be sent again, so that the failure is the caller's.
const FINAL_FAILURE_COST: f64 = 12.0;
/// The same for a further attempt of a call: one that fails twice uses up the retry budget.
const REPEATED_FAILURE_COST: f64 = 14.0;
/// Fraction of the slots of the sound targets that may be used while others of the service fail; the
/// failing ones get the other calls. A cost by the load of each target, as known 0.6 s late, made
/// many hosts leave the sound targets together and come back together.
const SOUND_USE: f64 = 0.95;
/// Limit on failure costs if no target of a service is sound: the better ones get more calls, but
/// not all.
const ALL_FAILING_LIMIT: f64 = 1.0;
/// Shift of the limit on failure costs for calls whose failure is final and for further attempts:
/// they get the slots of the sound targets first.
const FINAL_LIMIT_SHIFT: f64 = 1.0;
/// Shift of the limit for other calls, which leave them to those.
const REPEATABLE_LIMIT_SHIFT: f64 = -0.5;

/// Reason why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// No target of the service is known.
    NoneKnown,
    /// No target of the service holds the model.
    ModelAbsent,
    /// All targets that hold the model want no request from this host for a while.
    AllPaused,
    /// Some targets hold the model, but none of them holds the adapter.
    AdapterAbsent,
    /// All targets that hold the model and the adapter are full.
    AllFull,
    /// Targets have free slots, but prompts of this host are prefilled there, and one more would make
    /// the streams pause for too long.
    Prefilling,
}

/// Properties of the choosing host that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct OwnHost<'a> {
    /// Failure domain of the host.
    pub domain: &'a DomainName,
    /// Fraction of all callers that the host gets.
    pub fraction: f64,
    /// Interval at which the hosts report to each other.
    pub report_interval: ClockTime,
}

/// Chooses a target that has not been tried.
///
/// # Errors
///
/// Returns the reason if no target can take the call.
pub fn choose_target(
    table: &TargetTable,
    call: &CallInfo,
    tried: &[TargetName],
    own: OwnHost<'_>,
    now: ClockTime,
) -> Result<TargetName, NoTarget> {
    let mut reason = NoTarget::NoneKnown;
    let failures = ServiceFailures::of(table, call, now);
    let has_model = call.need.is_some() && table.is_paced(&call.service, now);
    let engines = has_model.then(|| table.figures(&call.service));
    let mut preferred: Option<(u64, &TargetName)> = None;
    let mut candidates: Vec<&TargetState> = Vec::new();
    for state in table.for_call(call) {
        if state.pause_left(now).is_some() {
            reason = reason.max_with(NoTarget::AllPaused);
            continue;
        }
        let holds_adapter = call.adapter().is_none_or(|adapter| {
            call.model()
                .is_some_and(|model| state.holds(model, Some(adapter)))
        });
        if holds_adapter && call.need.is_some() && !state.is_avoided(now) {
            let weight = affinity_weight(state, call);
            preferred = preferred.max(weight.map(|weight| (weight, &state.record.name)));
        }
        if tried.contains(&state.record.name) {
            continue;
        }
        if !holds_adapter {
            reason = reason.max_with(NoTarget::AdapterAbsent);
            continue;
        }
        if !state.has_free_slot(call.model(), now) {
            reason = reason.max_with(NoTarget::AllFull);
            continue;
        }
        if let Some(figures) = &engines {
            let demand = engine_demand(call, false);
            let own_prefilling = f64::from(state.own_prefilling());
            if figures.exceeds_prefill_limit(&state.engine_load(now), own_prefilling, &demand) {
                reason = reason.max_with(NoTarget::Prefilling);
                continue;
            }
        }
        candidates.push(state);
    }
    let preferred = preferred.map(|(_, name)| name);
    let cost = |state: &TargetState| {
        let mut cost = target_cost(state, call, preferred, engines.as_ref(), own, now);
        if let Some(failures) = &failures {
            cost += failures.cost(state, call, !tried.is_empty(), own, now);
        }
        cost
    };
    let costs = candidates.into_iter().map(|state| (cost(state), state));
    if let Some((_, best)) = costs.min_by(|a, b| a.0.total_cmp(&b.0)) {
        return Ok(best.record.name.clone());
    }
    let is_model_absent = reason == NoTarget::NoneKnown
        && table
            .of_service(&call.service)
            .any(|state| !tried.contains(&state.record.name));
    Err(if is_model_absent && call.need.is_some() {
        NoTarget::ModelAbsent
    } else {
        reason
    })
}

impl NoTarget {
    /// Returns how close the service came to having a target for the call.
    fn rank(self) -> u8 {
        match self {
            Self::NoneKnown => 0,
            Self::ModelAbsent => 1,
            Self::AllPaused => 2,
            Self::AdapterAbsent => 3,
            Self::AllFull => 4,
            Self::Prefilling => 5,
        }
    }

    /// Returns the reason with the higher rank.
    fn max_with(self, other: Self) -> Self {
        if other.rank() > self.rank() {
            other
        } else {
            self
        }
    }
}

/// Cost of sending a call to a target, as a fraction of the target's slots.
fn target_cost(
    state: &TargetState,
    call: &CallInfo,
    preferred: Option<&TargetName>,
    engines: Option<&EngineFigures>,
    own: OwnHost<'_>,
    now: ClockTime,
) -> f64 {
    let load = f64::from(state.load(now)) / f64::from(state.slots());
    let spread = match engines {
        Some(_) => engine_random_scale(own),
        None => random_scale(call, own),
    };
    let mut cost = load + random_cost(state, call) * spread;
    if let Some(pace) = state.pace(now) {
        let slots = f64::from(state.slots());
        cost += (load + 1.0 / slots) * (pace - 1.0) + spread * pace.ln();
    }
    if state.is_avoided(now) {
        cost += FAILED_COST * spread.max(1.0);
    }
    let is_remote = state.record.domain != *own.domain;
    let is_preferred = preferred == Some(&state.record.name);
    if let Some(figures) = engines {
        let load = state.engine_load(now);
        let demand = engine_demand(call, is_preferred);
        let mut start_ms = figures.time_to_first_event(&load, demand.prompt_tokens);
        if is_remote {
            start_ms += REMOTE_DOMAIN_MS;
        }
        let lateness = figures.expected_lateness(&load, &demand);
        return cost + start_ms * TIME_COST_PER_MS + lateness * LATENESS_COST;
    }
    if is_remote {
        cost += REMOTE_DOMAIN_COST;
    }
    if is_preferred {
        cost -= AFFINITY_GAIN;
    }
    cost
}

/// Returns what a call needs of an engine; at the engine that calls with the same prompt prefer, the
/// parts that they share need not be prefilled.
fn engine_demand(call: &CallInfo, is_preferred: bool) -> EngineDemand {
    let cached = if is_preferred {
        call.shared_tokens()
    } else {
        0
    };
    EngineDemand {
        prompt_tokens: f64::from(call.prompt_tokens.saturating_sub(cached)),
        tokens: f64::from(call.prompt_tokens) + f64::from(call.output_tokens),
        start_objective: call.route.latency_objective,
        pause_objective: call.route.pause_objective,
    }
}

/// Scale of the random cost of a call.
fn random_scale(call: &CallInfo, own: OwnHost<'_>) -> f64 {
    match &call.need {
        Some(_) => MODEL_SPREAD,
        None => PLAIN_SPREAD / own.fraction,
    }
}

/// Scale of the random cost of a call to an engine that reports its pace.
fn engine_random_scale(own: OwnHost<'_>) -> f64 {
    let intervals = own.report_interval.as_ms() as f64 / ENGINE_SPREAD_INTERVAL_MS;
    (MODEL_SPREAD + ENGINE_SPREAD * (1.0 - own.fraction)) * intervals.max(1.0).sqrt()
}

/// Failures of the targets of a service.
struct ServiceFailures {
    /// Largest cost of failures, in units of the scale of the random cost, at which the sound targets
    /// can still run the calls that avoid the others.
    limit: f64,
}

impl ServiceFailures {
    /// Returns the failures of the targets that could run a call; `None` if all are sound.
    fn of(table: &TargetTable, call: &CallInfo, now: ClockTime) -> Option<Self> {
        if !table.has_failures(now) {
            return None;
        }
        let holders = || {
            table
                .for_call(call)
                .map(|state| (state, state.failure_rate(now)))
        };
        let highest = holders().map(|(_, rate)| rate).fold(0.0, f64::max);
        if highest <= 0.0 {
            return None;
        }
        let (mut sound, mut failing, mut load) = (0.0, 0.0, 0.0);
        for (state, rate) in holders() {
            let capacity = f64::from(state.slots()) / state.pace(now).unwrap_or(1.0);
            if rate > highest / 2.0 {
                failing += capacity;
            } else {
                sound += capacity;
            }
            load += f64::from(state.load(now));
        }
        // With costs of this size, the sound targets get the fraction of the calls that fills them.
        let sound_fraction = SOUND_USE * sound / f64::max(load, 1.0);
        let limit = if sound <= 0.0 {
            ALL_FAILING_LIMIT
        } else if sound_fraction >= 1.0 {
            f64::INFINITY
        } else {
            (sound_fraction / (1.0 - sound_fraction) * failing / sound).ln()
        };
        Some(Self { limit })
    }

    /// Cost of the failures that are expected at a target.
    fn cost(
        &self,
        state: &TargetState,
        call: &CallInfo,
        is_repeated: bool,
        own: OwnHost<'_>,
        now: ClockTime,
    ) -> f64 {
        let can_repeat = call.route.kind.may_repeat() && call.route.max_attempts > 1;
        let (per_failure, shift) = match (is_repeated, can_repeat) {
            (true, _) => (REPEATED_FAILURE_COST, FINAL_LIMIT_SHIFT),
            (false, true) => (FAILURE_COST, REPEATABLE_LIMIT_SHIFT),
            (false, false) => (FINAL_FAILURE_COST, FINAL_LIMIT_SHIFT),
        };
        let limit = (self.limit + shift).max(0.0);
        let cost = (state.failure_rate(now) * per_failure).min(limit);
        cost * random_scale(call, own).max(MIN_FAILURE_SCALE)
    }
}

/// Weight of a target for calls with the same prompt (rendezvous hashing).
fn affinity_weight(state: &TargetState, call: &CallInfo) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    call.affinity()?.hash(&mut hasher);
    state.record.name.hash(&mut hasher);
    Some(hasher.finish())
}

/// Random term of the cost for a call and a target. With it, a target is chosen with a probability
/// that falls exponentially with its cost (the Gumbel-max method).
fn random_cost(state: &TargetState, call: &CallInfo) -> f64 {
    (-call.random_unit(&state.record.name).ln()).ln()
}
