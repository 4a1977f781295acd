//! Names that requests ask for on demand.

use crate::fleet::ItemKind;
use crate::state::MoveState;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Returns the base model of an adapter.
pub(crate) fn item_model<'a>(state: &'a MoveState, name: &Arc<str>) -> Option<&'a Arc<str>> {
    match &state.fleet.items.get(name)?.kind {
        ItemKind::Model => None,
        ItemKind::Adapter { model } => Some(model),
    }
}

/// Takes a request's want.
pub(crate) fn want(state: &mut MoveState, name: Arc<str>) {
    let until = state.now + state.settings.demand_retention;
    state.served.remove(&name);
    state.wants.insert(name, until);
}

/// Notes which wants the copies of a report serve.
pub(crate) fn note_served(state: &mut MoveState, report: &LoadReport) {
    // A target that leaves or is drained gets no requests, so that a copy there serves nobody.
    if report.leaving || state.plan.drained.contains(&report.target) {
        return;
    }
    for copy in &report.copies {
        if copy.state == CopyState::Resident && state.wants.contains_key(&copy.name) {
            state.served.insert(copy.name.clone());
        }
    }
}

/// Forgets wants whose time is over.
pub(crate) fn age_wants(state: &mut MoveState, now: ClockTime) {
    state.wants.retain(|_, until| now < *until);
    let wants = &state.wants;
    state.served.retain(|name| wants.contains_key(name));
}

/// Returns whether a name or an adapter of it is kept because requests asked for it.
pub(crate) fn is_wanted(state: &MoveState, name: &Arc<str>) -> bool {
    state
        .wants
        .keys()
        .any(|want| want == name || item_model(state, want) == Some(name))
}

/// Returns whether requests wait for a name or for an adapter of it now.
pub(crate) fn is_awaited(state: &MoveState, name: &Arc<str>) -> bool {
    let held = state.settings.demand_retention;
    let waiting = held - state.settings.demand_timeout.min(held);
    state.wants.iter().any(|(want, until)| {
        until.since(state.now) > waiting && (want == name || item_model(state, want) == Some(name))
    })
}
