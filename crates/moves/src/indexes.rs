//! Indexes over the views of the engines, updated whenever a view, the plan or the lease changes.
//!
//! A region at the planned size has hundreds of targets, of which very few need a move. A tick
//! therefore examines only the targets in these indexes.

use crate::lease::LeaseState;
use crate::state::{is_reporting, MoveState, TargetView};
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Replaces the view of a target and updates the indexes.
pub(crate) fn update_view(state: &mut MoveState, target: &TargetName, view: TargetView) {
    let old = state.views.insert(target.clone(), view);
    let copies = &state.views[target].copies;
    if old.as_ref().is_some_and(|old| old.copies == *copies) {
        return;
    }
    for name in old.iter().flat_map(|old| old.copies.keys()) {
        if let Some(targets) = state.targets_by_name.get_mut(name) {
            targets.remove(target);
        }
    }
    for name in copies.keys() {
        let targets = state.targets_by_name.entry(name.clone()).or_default();
        targets.insert(target.clone());
    }
    if is_incomplete(state, target) {
        state.incomplete_targets.insert(target.clone());
    } else {
        state.incomplete_targets.remove(target);
    }
}

/// Lists the targets that lack planned copies, after the plan changed.
pub(crate) fn index_plan(state: &mut MoveState) {
    let targets = state.plan.resident.keys();
    state.incomplete_targets = targets
        .filter(|target| is_incomplete(state, target))
        .cloned()
        .collect();
}

/// Marks all targets as unfenced, after the lease or the declarations changed.
pub(crate) fn recheck_all_fences(state: &mut MoveState) {
    state.unfenced_targets = state.views.keys().cloned().collect();
}

/// Returns whether a reporting target lacks a copy that the plan keeps there.
fn is_incomplete(state: &MoveState, target: &TargetName) -> bool {
    let (Some(view), Some(names)) = (state.views.get(target), state.plan.resident.get(target))
    else {
        return false;
    };
    names.iter().any(|name| !view.copies.contains_key(name))
}

/// Returns whether a target that reports and may serve has a copy, in whatever state.
pub(crate) fn has_copy(state: &MoveState, name: &Arc<str>) -> bool {
    let targets = state.targets_by_name.get(name).into_iter().flatten();
    targets.into_iter().any(|target| {
        // A drained target gets no requests, so its copies serve no demand.
        let view = state.views.get(target);
        view.is_some_and(|view| !view.leaving)
            && !state.plan.drained.contains(target)
            && is_reporting(state, target)
    })
}

/// Checks that the indexes match a full scan of all targets.
pub(crate) fn check_indexes(state: &MoveState) {
    let mut targets_by_name: BTreeMap<Arc<str>, BTreeSet<TargetName>> = BTreeMap::new();
    for (target, view) in &state.views {
        for name in view.copies.keys() {
            let targets = targets_by_name.entry(name.clone()).or_default();
            targets.insert(target.clone());
        }
    }
    let indexed = state
        .targets_by_name
        .iter()
        .filter(|(_, targets)| !targets.is_empty());
    invariant!(
        indexed.eq(targets_by_name.iter()),
        "copies_indexed",
        "the targets by name differ from the views: {:?}",
        state.targets_by_name
    );
    let incomplete = state
        .views
        .keys()
        .filter(|target| is_incomplete(state, target));
    invariant!(
        incomplete.eq(&state.incomplete_targets),
        "missing_listed",
        "the incomplete targets differ from plan and views: {:?}",
        state.incomplete_targets
    );
    let over_capacity = state.ledger.targets().filter(|target| {
        let (used, capacity) = state.ledger.usage(target);
        used > capacity
    });
    invariant!(
        over_capacity.eq(state.ledger.over_capacity()),
        "overruns_listed",
        "the targets over capacity differ from the ledger: {:?}",
        state.ledger.over_capacity()
    );
    let LeaseState::Held { row, .. } = &state.lease else {
        return;
    };
    let mut unconfirmed = state.views.iter().filter(|(target, view)| {
        let spec = state.fleet.targets.get(*target);
        spec.is_some_and(|spec| spec.checks_fencing)
            && view.fence.is_none_or(|fence| fence.fencing != row.fencing)
    });
    invariant!(
        unconfirmed.all(|(target, _)| state.unfenced_targets.contains(target)),
        "unfenced_listed",
        "a target without the present fencing number is not listed: {:?}",
        state.unfenced_targets
    );
}
