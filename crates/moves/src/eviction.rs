//! Eviction from full targets: which copies are surplus, and when they are unloaded.

use crate::demand::{base_model, has_waiting_requests, is_in_demand};
use crate::effect::{MoveEffect, MoveLog};
use crate::intent::OrderAction;
use crate::reduce::MoveContext;
use crate::schedule::{
    can_unload, has_other_copy, is_expendable, is_planned, log_once, start_unload,
};
use crate::state::{entries_on, is_ready, MoveState, TargetView};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Returns the memory that has to stay free on a target for adapters, bytes.
///
/// Engines load adapters for requests by themselves. An engine without room for any adapter of a
/// resident model would refuse every request for an adapter that is not resident.
pub(crate) fn reserve_on(state: &MoveState, target: &TargetName) -> u64 {
    let is_unloading = |name: &Arc<str>| {
        entries_on(state, target).any(|entry| {
            entry.is_open() && entry.row.action == OrderAction::Unload && entry.row.name == *name
        })
    };
    let copies = state.views.get(target).into_iter().flat_map(|view| {
        let present = view.copies.iter();
        present.filter(|(_, copy_state)| **copy_state != CopyState::Unloading)
    });
    let copies = copies.map(|(name, _)| name);
    let loading = entries_on(state, target)
        .filter(|entry| entry.is_open() && entry.row.action == OrderAction::Load)
        .map(|entry| &entry.row.name);
    let names: BTreeSet<&Arc<str>> = copies.chain(loading).collect();
    let remaining = names.into_iter().filter(|name| !is_unloading(name));
    remaining
        .map(|name| unused_reserve(state, target, name))
        .sum()
}

/// Returns the part of a model's adapter reserve on a target that no adapter uses, bytes.
///
/// An adapter that the plan keeps on the target uses memory of its own, not the reserve.
fn unused_reserve(state: &MoveState, target: &TargetName, name: &Arc<str>) -> u64 {
    let reserve = state
        .fleet
        .items
        .get(name)
        .map_or(0, |item| item.adapter_reserve);
    if reserve == 0 {
        return 0;
    }
    let copies = state.views.get(target).map(|view| view.copies.keys());
    let used = copies
        .into_iter()
        .flatten()
        .filter(|copy| base_model(state, copy) == Some(name) && !is_planned(state, target, copy))
        .map(|copy| state.ledger.copy_bytes(target, copy));
    reserve.saturating_sub(used.sum())
}

/// Returns the free memory that a load of a name requires on a target, bytes: the copy, its adapter
/// reserve, and the reserves of the models on the target.
pub(crate) fn bytes_for_load(state: &MoveState, target: &TargetName, name: &Arc<str>) -> u64 {
    let item = state.fleet.items.get(name);
    let own = item.map_or(0, |item| item.bytes + item.adapter_reserve);
    own + reserve_on(state, target)
}

/// Returns whether a name can be loaded on a target without using the memory kept for adapters.
pub(crate) fn has_room(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let bytes = bytes_for_load(state, target, name);
    state.ledger.fits(target, name, bytes)
}

/// A copy that may be unloaded, with the adapters that have to be unloaded before it.
pub(crate) struct SurplusCopy {
    name: Arc<str>,
    /// Memory of the copy, of its unused reserve and of the adapters in `adapters`, bytes.
    pub(crate) bytes: u64,
    /// Adapters of the copy that have no order yet.
    adapters: Vec<Arc<str>>,
    /// Whether orders for adapters of the copy are still in progress.
    waits_for_adapters: bool,
}

/// Lists the copies on a target that may be unloaded and are not in the plan, largest first.
///
/// Copies in demand come last, and only if `for_waiting_requests` says that requests wait for the
/// memory.
pub(crate) fn surplus_copies(
    state: &MoveState,
    target: &TargetName,
    for_waiting_requests: bool,
) -> Vec<SurplusCopy> {
    let Some(view) = state.views.get(target) else {
        return Vec::new();
    };
    let evictable = view.copies.keys().filter(|name| {
        !entries_on(state, target).any(|entry| entry.row.name == **name)
            && is_surplus(state, view, target, name, for_waiting_requests)
    });
    let copies =
        evictable.filter_map(|name| with_adapters(state, view, target, name, for_waiting_requests));
    let mut copies: Vec<SurplusCopy> = copies.collect();
    // An adapter that is unloaded with its model is not counted a second time.
    let listed = copies.iter().flat_map(|copy| copy.adapters.clone());
    let listed: BTreeSet<Arc<str>> = listed.collect();
    copies.retain(|copy| !listed.contains(&copy.name));
    copies.sort_by(|a, b| (b.bytes, &b.name).cmp(&(a.bytes, &a.name)));
    copies.sort_by_key(|copy| is_in_demand(state, &copy.name));
    copies
}

/// Returns whether a copy may be unloaded, apart from orders in progress.
fn is_surplus(
    state: &MoveState,
    view: &TargetView,
    target: &TargetName,
    name: &Arc<str>,
    for_waiting_requests: bool,
) -> bool {
    view.copies.get(name) == Some(&CopyState::Resident)
        && !is_planned(state, target, name)
        && !has_waiting_requests(state, name)
        && (for_waiting_requests || !is_in_demand(state, name))
        && is_expendable(state, target, name)
        && (has_other_copy(state, target, name) || !state.planned_names.contains(name))
}

/// Describes a surplus copy with its adapters; `None` if an adapter stays or is being loaded.
fn with_adapters(
    state: &MoveState,
    view: &TargetView,
    target: &TargetName,
    name: &Arc<str>,
    for_waiting_requests: bool,
) -> Option<SurplusCopy> {
    let mut copy = SurplusCopy {
        name: name.clone(),
        bytes: state.ledger.copy_bytes(target, name) + unused_reserve(state, target, name),
        adapters: Vec::new(),
        waits_for_adapters: false,
    };
    for entry in entries_on(state, target).filter(|entry| entry.is_open()) {
        if base_model(state, &entry.row.name) == Some(name) {
            if entry.row.action == OrderAction::Load {
                return None;
            }
            copy.waits_for_adapters = true;
        }
    }
    let adapters = view.copies.keys();
    for adapter in adapters.filter(|adapter| base_model(state, adapter) == Some(name)) {
        if entries_on(state, target).any(|entry| entry.row.name == *adapter) {
            copy.waits_for_adapters = true;
        } else if is_surplus(state, view, target, adapter, for_waiting_requests) {
            copy.bytes += state.ledger.copy_bytes(target, adapter);
            copy.adapters.push(adapter.clone());
        } else {
            return None;
        }
    }
    Some(copy)
}

/// Unloads surplus copies until `bytes` fit; returns whether the memory is free or being freed.
///
/// Adapters are unloaded before their model, which follows in a later call. `orders` is the number
/// of orders that may still be created.
pub(crate) fn make_room(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    bytes: u64,
    for_waiting_requests: bool,
    orders: &mut usize,
) -> bool {
    let (used, capacity) = state.ledger.usage(target);
    let being_freed: u64 = entries_on(state, target)
        .filter(|entry| entry.row.action == OrderAction::Unload || !entry.is_open())
        .map(|entry| entry.row.bytes)
        .sum();
    let mut shortfall = (used + bytes).saturating_sub(capacity + being_freed);
    let surplus = surplus_copies(state, target, for_waiting_requests);
    // Unloading copies without freeing enough memory would only cost moves.
    if surplus.iter().map(|copy| copy.bytes).sum::<u64>() < shortfall {
        return false;
    }
    for copy in surplus {
        if shortfall == 0 || *orders == 0 {
            break;
        }
        let names = match copy.adapters.is_empty() && !copy.waits_for_adapters {
            true => vec![copy.name.clone()],
            false => copy.adapters,
        };
        for name in names {
            // An earlier unload in this loop may have made this copy the last one.
            if *orders > 0 && can_unload(state, target, &name, None) {
                let freed = state.ledger.copy_bytes(target, &name);
                start_unload(state, context, target, &name, freed);
                *orders -= 1;
            }
        }
        if is_expendable(state, target, &copy.name) {
            shortfall = shortfall.saturating_sub(copy.bytes);
        }
    }
    shortfall == 0
}

/// Unloads copies from targets that use more memory than their capacity.
pub(crate) fn free_over_capacity_targets(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    let over_capacity = state.ledger.over_capacity().iter();
    let targets: Vec<TargetName> = over_capacity
        .filter(|target| state.fleet.targets.contains_key(*target))
        .cloned()
        .collect();
    for target in targets {
        let (used, capacity) = state.ledger.usage(&target);
        if used <= capacity || !is_ready(state, &target) {
            continue;
        }
        log_once(
            state,
            &target,
            &Arc::from(""),
            || MoveLog::OverCapacity {
                target: target.clone(),
                used,
                capacity,
            },
            out,
        );
        let mut orders = state.settings.max_open_orders;
        if make_room(state, context, &target, 0, false, &mut orders) {
            continue;
        }
        let names: Vec<Arc<str>> = state
            .views
            .get(&target)
            .map(|view| view.copies.keys().cloned().collect())
            .unwrap_or_default();
        // Unloading surplus copies does not suffice, so a planned copy is unloaded if possible.
        let planned_copy = names.into_iter().find(|name| {
            !entries_on(state, &target).any(|entry| entry.row.name == *name)
                && can_unload(state, &target, name, None)
        });
        if let Some(name) = planned_copy {
            let bytes = state.ledger.copy_bytes(&target, &name);
            start_unload(state, context, &target, &name, bytes);
        }
    }
}
