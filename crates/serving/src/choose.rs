//! The choice of a target for a call.
//!
//! Among the targets that hold what the call needs, the one with the lowest cost is chosen. The
//! cost is the load per slot; it is higher in another failure domain and lower at the target that
//! calls with the same prompt prefer. A target that failed recently is chosen only if no other
//! target holds the model.
//!
//! For a target that reports its pace, the load counts by the time that the work takes there, the
//! call itself included. The random term is shifted by the logarithm of the pace, so that calls
//! which are spread at random are spread in proportion to the speed of the targets.
//!
//! A random term of the cost spreads the calls of many hosts. All hosts know the same loads with
//! the same delay and would otherwise send to the same target until newer loads arrive.

use crate::call::CallInfo;
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
/// Cost of a target that failed recently, as a fraction of its slots; higher than any other cost,
/// so that every other target is preferred.
const FAILED_COST: f64 = 10.0;

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
}

/// Properties of the choosing host that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct OwnHost<'a> {
    /// Failure domain of the host.
    pub domain: &'a DomainName,
    /// Fraction of all callers that the host gets.
    pub fraction: f64,
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
    let mut best: Option<(f64, &TargetState)> = None;
    let mut reason = NoTarget::NoneKnown;
    let preferred = preferred_target(table, call, now);
    for state in table.of_service(&call.service) {
        let holds_model = call.model().is_none_or(|model| state.holds(model, None));
        if holds_model && state.pause_left(now).is_some() {
            reason = reason.max_with(NoTarget::AllPaused);
            continue;
        }
        if tried.contains(&state.record.name) {
            continue;
        }
        if let Some(need) = &call.need {
            if !holds_model {
                reason = reason.max_with(NoTarget::ModelAbsent);
                continue;
            }
            if !state.holds(&need.model, need.adapter.as_ref()) {
                reason = reason.max_with(NoTarget::AdapterAbsent);
                continue;
            }
        }
        if !state.has_free_slot(call.model(), now) {
            reason = reason.max_with(NoTarget::AllFull);
            continue;
        }
        let cost = target_cost(state, call, preferred, own, now);
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, state));
        }
    }
    best.map(|(_, state)| state.record.name.clone())
        .ok_or(reason)
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
    own: OwnHost<'_>,
    now: ClockTime,
) -> f64 {
    let load = f64::from(state.load(now)) / f64::from(state.slots());
    let spread = match &call.need {
        Some(_) => MODEL_SPREAD,
        None => PLAIN_SPREAD / own.fraction,
    };
    let mut cost = load + random_cost(state, call) * spread;
    if let Some(pace) = state.pace(now) {
        let slots = f64::from(state.slots());
        cost += (load + 1.0 / slots) * (pace - 1.0) + spread * pace.ln();
    }
    if state.record.domain != *own.domain {
        cost += REMOTE_DOMAIN_COST;
    }
    if state.is_avoided(now) {
        cost += FAILED_COST;
    }
    if preferred == Some(&state.record.name) {
        cost -= AFFINITY_GAIN;
    }
    cost
}

/// Returns the target that calls with the same prompt prefer: the one with the highest affinity
/// weight among those that hold what the call needs.
fn preferred_target<'a>(
    table: &'a TargetTable,
    call: &'a CallInfo,
    now: ClockTime,
) -> Option<&'a TargetName> {
    let need = call.need.as_ref()?;
    table
        .of_service(&call.service)
        .filter(|state| state.holds(&need.model, need.adapter.as_ref()) && !state.is_avoided(now))
        .filter(|state| state.pause_left(now).is_none())
        .filter_map(|state| Some((affinity_weight(state, call)?, &state.record.name)))
        .max()
        .map(|(_, name)| name)
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
