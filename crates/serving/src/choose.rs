//! The choice of a target for a call.
//!
//! Among targets that hold what the call needs, the one with the lowest cost wins: its load per
//! slot, more for another failure domain, less for the target at which calls with the same prompt
//! meet. Targets that failed are taken only if no other holds the model.
//!
//! A random part of the cost spreads the calls of many hosts, which all know the same loads with
//! the same delay and would otherwise send to the same target until they know better.

use crate::call::CallInfo;
use crate::targets::{TargetState, TargetTable};
use crocusyard_base::prelude::*;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Cost of another failure domain, share of a target's slots; a crossing costs about 3 ms a call.
const DOMAIN_COST: f64 = 0.15;
/// Gain of the target that calls with the same prompt prefer, share of a target's slots.
const AFFINITY_GAIN: f64 = 0.25;
/// Scale of the random part of the cost of a plain call, share of a target's slots, at a host that
/// gets all callers; it grows as the host's part of them falls. What is known of other hosts is
/// older than such a call runs, and they send more in that time the more they are: with 70 equal
/// hosts the choice is almost even.
const PLAIN_SPREAD: f64 = 0.04;
/// Scale of the random part for a call that needs a model, share of a target's slots; such a call
/// runs for longer than the pause between beats.
const MODEL_SPREAD: f64 = 0.1;
/// Cost of a target that failed just now, share of a target's slots; any other goes before it.
const FAILED_COST: f64 = 10.0;

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// No target of the service is known.
    NoneKnown,
    /// No target holds the model.
    ModelAbsent,
    /// Targets hold the model, none holds the adapter.
    AdapterAbsent,
    /// All targets that hold it are full.
    AllFull,
}

/// Where the host that chooses stands.
#[derive(Clone, Copy, Debug)]
pub struct OwnHost<'a> {
    /// Its failure domain.
    pub domain: &'a DomainName,
    /// Its part of the callers.
    pub fraction: f64,
}

/// Chooses a target that has not been tried.
///
/// # Errors
///
/// Says why there is none.
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
        if tried.contains(&state.record.name) {
            continue;
        }
        if let Some(need) = &call.need {
            if !state.holds(&need.model, None) {
                reason = reason.max_with(NoTarget::ModelAbsent);
                continue;
            }
            if !state.holds(&need.model, need.adapter.as_ref()) {
                reason = reason.max_with(NoTarget::AdapterAbsent);
                continue;
            }
        }
        if !state.has_place(call.model(), now) {
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
    fn rank(self) -> u8 {
        match self {
            Self::NoneKnown => 0,
            Self::ModelAbsent => 1,
            Self::AdapterAbsent => 2,
            Self::AllFull => 3,
        }
    }

    fn max_with(self, other: Self) -> Self {
        if other.rank() > self.rank() {
            other
        } else {
            self
        }
    }
}

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
    let mut cost = load + random_part(state, call) * spread;
    if state.record.domain != *own.domain {
        cost += DOMAIN_COST;
    }
    if state.is_avoided(now) {
        cost += FAILED_COST;
    }
    if preferred == Some(&state.record.name) {
        cost -= AFFINITY_GAIN;
    }
    cost
}

/// Target with the highest affinity weight among those that hold what the call needs.
fn preferred_target<'a>(
    table: &'a TargetTable,
    call: &'a CallInfo,
    now: ClockTime,
) -> Option<&'a TargetName> {
    let need = call.need.as_ref()?;
    table
        .of_service(&call.service)
        .filter(|state| state.holds(&need.model, need.adapter.as_ref()) && !state.is_avoided(now))
        .filter_map(|state| Some((affinity_weight(state, call)?, &state.record.name)))
        .max()
        .map(|(_, name)| name)
}

fn affinity_weight(state: &TargetState, call: &CallInfo) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    call.affinity()?.hash(&mut hasher);
    state.record.name.hash(&mut hasher);
    Some(hasher.finish())
}

/// Random part for a call and a target; the lowest of several costs is then chosen with a
/// probability that falls exponentially with the cost (the Gumbel-max method).
fn random_part(state: &TargetState, call: &CallInfo) -> f64 {
    (-call.random_unit(&state.record.name).ln()).ln()
}
