//! What is derived from the views of the engines, kept up to date by what changes them.
//!
//! Ticks look at the few targets listed here and not at all of them, since a region at the planned
//! size has hundreds of targets of which hardly any needs a move.

use crate::lease::LeaseState;
use crate::state::{is_reporting, MoveState, TargetView};
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Takes a target's new view.
pub(crate) fn replace_view(state: &mut MoveState, target: &TargetName, view: TargetView) {
    let old = state.views.insert(target.clone(), view);
    let copies = &state.views[target].copies;
    if old.as_ref().is_some_and(|old| old.copies == *copies) {
        return;
    }
    for name in old.iter().flat_map(|old| old.copies.keys()) {
        if let Some(targets) = state.copies_on.get_mut(name) {
            targets.remove(target);
        }
    }
    for name in copies.keys() {
        let targets = state.copies_on.entry(name.clone()).or_default();
        targets.insert(target.clone());
    }
    if lacks_planned(state, target) {
        state.missing.insert(target.clone());
    } else {
        state.missing.remove(target);
    }
}

/// Lists the targets that lack planned copies after the plan changed.
pub(crate) fn note_plan(state: &mut MoveState) {
    let targets = state.plan.resident.keys();
    state.missing = targets
        .filter(|target| lacks_planned(state, target))
        .cloned()
        .collect();
}

/// Lists all targets for the check of fencing numbers, after the lease or the declarations changed.
pub(crate) fn check_all_fences(state: &mut MoveState) {
    state.unfenced = state.views.keys().cloned().collect();
}

/// Returns whether a target that reports lacks a copy that the plan keeps there.
fn lacks_planned(state: &MoveState, target: &TargetName) -> bool {
    let (Some(view), Some(names)) = (state.views.get(target), state.plan.resident.get(target))
    else {
        return false;
    };
    names.iter().any(|name| !view.copies.contains_key(name))
}

/// Returns whether a copy, in whatever state, is on a target that reports and serves.
pub(crate) fn is_held(state: &MoveState, name: &Arc<str>) -> bool {
    let targets = state.copies_on.get(name).into_iter().flatten();
    targets.into_iter().any(|target| {
        // A target that is drained gets no requests, so that a copy there serves nobody.
        let view = state.views.get(target);
        view.is_some_and(|view| !view.leaving)
            && !state.plan.drained.contains(target)
            && is_reporting(state, target)
    })
}

/// Compares what is kept with what a look at every target gives.
pub(crate) fn check(state: &MoveState) {
    let mut copies_on: BTreeMap<Arc<str>, BTreeSet<TargetName>> = BTreeMap::new();
    for (target, view) in &state.views {
        for name in view.copies.keys() {
            let targets = copies_on.entry(name.clone()).or_default();
            targets.insert(target.clone());
        }
    }
    let kept = state.copies_on.iter().filter(|(_, on)| !on.is_empty());
    invariant!(
        kept.eq(copies_on.iter()),
        "copies_indexed",
        "{:?}",
        state.copies_on
    );
    let lacking = state
        .views
        .keys()
        .filter(|target| lacks_planned(state, target));
    invariant!(
        lacking.eq(&state.missing),
        "missing_listed",
        "{:?}",
        state.missing
    );
    let overrun = state.ledger.accounts().filter(|target| {
        let (used, capacity) = state.ledger.usage(target);
        used > capacity
    });
    invariant!(
        overrun.eq(state.ledger.overrun()),
        "overruns_listed",
        "{:?}",
        state.ledger.overrun()
    );
    let LeaseState::Held { row, .. } = &state.lease else {
        return;
    };
    let mut open = state.views.iter().filter(|(target, view)| {
        let spec = state.fleet.targets.get(*target);
        spec.is_some_and(|spec| spec.checks_fencing)
            && view.fence.is_none_or(|proof| proof.fencing != row.fencing)
    });
    invariant!(
        open.all(|(target, _)| state.unfenced.contains(target)),
        "unfenced_listed",
        "{:?}",
        state.unfenced
    );
}
