//! Demand: models and adapters that were requested while no copy of them was resident.

use crate::fleet::ItemKind;
use crate::state::MoveState;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Returns the base model of an adapter, `None` for other names.
pub(crate) fn base_model<'a>(state: &'a MoveState, name: &Arc<str>) -> Option<&'a Arc<str>> {
    match &state.fleet.items.get(name)?.kind {
        ItemKind::Model => None,
        ItemKind::Adapter { model } => Some(model),
    }
}

/// Records that a request asked for a name.
pub(crate) fn record(state: &mut MoveState, name: Arc<str>) {
    let until = state.now + state.settings.demand_retention;
    state.served_demand.remove(&name);
    state.demand.insert(name, until);
}

/// Marks names in demand as served if a report shows a resident copy of them.
pub(crate) fn mark_served(state: &mut MoveState, report: &LoadReport) {
    // A target that is leaving or drained gets no requests, so its copies serve no demand.
    if report.leaving || state.plan.drained.contains(&report.target) {
        return;
    }
    for copy in &report.copies {
        if copy.state == CopyState::Resident && state.demand.contains_key(&copy.name) {
            state.served_demand.insert(copy.name.clone());
        }
    }
}

/// Removes names whose demand has expired.
pub(crate) fn expire(state: &mut MoveState, now: ClockTime) {
    state.demand.retain(|_, until| now < *until);
    let demand = &state.demand;
    state.served_demand.retain(|name| demand.contains_key(name));
}

/// Returns whether a name or an adapter of it was requested within `demand_retention`.
pub(crate) fn is_in_demand(state: &MoveState, name: &Arc<str>) -> bool {
    state
        .demand
        .keys()
        .any(|demanded| demanded == name || base_model(state, demanded) == Some(name))
}

/// Returns whether a name or an adapter of it was requested within `demand_timeout`.
pub(crate) fn has_waiting_requests(state: &MoveState, name: &Arc<str>) -> bool {
    let retention = state.settings.demand_retention;
    let min_remaining = retention - state.settings.demand_timeout.min(retention);
    state.demand.iter().any(|(demanded, until)| {
        until.since(state.now) > min_remaining
            && (demanded == name || base_model(state, demanded) == Some(name))
    })
}
