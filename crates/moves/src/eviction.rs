//! Room on full targets: which copies may go, and their unloading.

use crate::demand::{is_awaited, is_wanted, item_model};
use crate::effect::{MoveEffect, MoveLog};
use crate::intent::OrderAction;
use crate::reduce::MoveContext;
use crate::schedule::{can_lose, has_other_copy, is_planned, may_unload, note_once, start_unload};
use crate::state::{entries_on, is_ready, MoveState, TargetView};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Returns the memory that has to stay free on a target beside what is used there, bytes.
///
/// Engines load adapters for requests by themselves. An engine without room for any adapter of a
/// resident model would refuse every request for those that it does not hold.
pub(crate) fn reserve_on(state: &MoveState, target: &TargetName) -> u64 {
    let leaves = |name: &Arc<str>| {
        entries_on(state, target).any(|entry| {
            entry.is_open() && entry.row.action == OrderAction::Unload && entry.row.name == *name
        })
    };
    let copies = state.views.get(target).into_iter().flat_map(|view| {
        let kept = view.copies.iter();
        kept.filter(|(_, phase)| **phase != CopyState::Unloading)
    });
    let copies = copies.map(|(name, _)| name);
    let loads = entries_on(state, target)
        .filter(|entry| entry.is_open() && entry.row.action == OrderAction::Load)
        .map(|entry| &entry.row.name);
    let names: BTreeSet<&Arc<str>> = copies.chain(loads).collect();
    let stay = names.into_iter().filter(|name| !leaves(name));
    stay.map(|name| unused_reserve(state, target, name)).sum()
}

/// Returns the part of a model's reserve on a target that no adapter uses, bytes.
///
/// An adapter that the plan keeps on the target has room of its own there.
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
        .filter(|copy| item_model(state, copy) == Some(name) && !is_planned(state, target, copy))
        .map(|copy| state.ledger.copy_bytes(target, copy));
    reserve.saturating_sub(used.sum())
}

/// Returns the memory that a load of a name needs on a target, with its own reserve and those of
/// the models that are there, bytes.
pub(crate) fn load_bytes(state: &MoveState, target: &TargetName, name: &Arc<str>) -> u64 {
    let item = state.fleet.items.get(name);
    let own = item.map_or(0, |item| item.bytes + item.adapter_reserve);
    own + reserve_on(state, target)
}

/// Returns whether a name can be loaded on a target without taking the room of adapters.
pub(crate) fn has_room(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let bytes = load_bytes(state, target, name);
    state.ledger.fits(target, name, bytes)
}

/// A copy that may go, with the adapters that have to go before it.
pub(crate) struct SurplusCopy {
    name: Arc<str>,
    /// Memory of the copy, of its reserve and of its adapters that have no order yet.
    pub(crate) bytes: u64,
    /// Adapters that have no order yet.
    adapters: Vec<Arc<str>>,
    /// Whether adapters of it are being unloaded.
    waits: bool,
}

/// Lists the copies on a target that may go and that the plan does not want, largest first.
///
/// Copies that are kept since a request asked for them come last, and only if `awaited` tells that
/// requests wait for the room.
pub(crate) fn surplus(state: &MoveState, target: &TargetName, awaited: bool) -> Vec<SurplusCopy> {
    let Some(view) = state.views.get(target) else {
        return Vec::new();
    };
    let idle = view.copies.keys().filter(|name| {
        !entries_on(state, target).any(|entry| entry.row.name == **name)
            && is_surplus(state, view, target, name, awaited)
    });
    let copies = idle.filter_map(|name| with_adapters(state, view, target, name, awaited));
    let mut copies: Vec<SurplusCopy> = copies.collect();
    // An adapter that goes with its model is not counted a second time.
    let listed = copies.iter().flat_map(|copy| copy.adapters.clone());
    let listed: BTreeSet<Arc<str>> = listed.collect();
    copies.retain(|copy| !listed.contains(&copy.name));
    copies.sort_by(|a, b| (b.bytes, &b.name).cmp(&(a.bytes, &a.name)));
    copies.sort_by_key(|copy| is_wanted(state, &copy.name));
    copies
}

fn is_surplus(
    state: &MoveState,
    view: &TargetView,
    target: &TargetName,
    name: &Arc<str>,
    awaited: bool,
) -> bool {
    view.copies.get(name) == Some(&CopyState::Resident)
        && !is_planned(state, target, name)
        && !is_awaited(state, name)
        && (awaited || !is_wanted(state, name))
        && can_lose(state, target, name)
        && (has_other_copy(state, target, name) || !state.planned.contains(name))
}

/// Adds a copy's adapters to it; `None` if one of them stays or is on its way.
fn with_adapters(
    state: &MoveState,
    view: &TargetView,
    target: &TargetName,
    name: &Arc<str>,
    awaited: bool,
) -> Option<SurplusCopy> {
    let mut copy = SurplusCopy {
        name: name.clone(),
        bytes: state.ledger.copy_bytes(target, name) + unused_reserve(state, target, name),
        adapters: Vec::new(),
        waits: false,
    };
    for entry in entries_on(state, target).filter(|entry| entry.is_open()) {
        if item_model(state, &entry.row.name) == Some(name) {
            if entry.row.action == OrderAction::Load {
                return None;
            }
            copy.waits = true;
        }
    }
    let adapters = view.copies.keys();
    for adapter in adapters.filter(|adapter| item_model(state, adapter) == Some(name)) {
        if entries_on(state, target).any(|entry| entry.row.name == *adapter) {
            copy.waits = true;
        } else if is_surplus(state, view, target, adapter, awaited) {
            copy.bytes += state.ledger.copy_bytes(target, adapter);
            copy.adapters.push(adapter.clone());
        } else {
            return None;
        }
    }
    Some(copy)
}

/// Unloads surplus copies until `bytes` fit; returns whether the room is there or on its way.
///
/// A model goes after its adapters, in a later call.
pub(crate) fn make_room(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    bytes: u64,
    awaited: bool,
    orders: &mut usize,
) -> bool {
    let (used, capacity) = state.ledger.usage(target);
    let coming: u64 = entries_on(state, target)
        .filter(|entry| entry.row.action == OrderAction::Unload || !entry.is_open())
        .map(|entry| entry.row.bytes)
        .sum();
    let mut short = (used + bytes).saturating_sub(capacity + coming);
    let surplus = surplus(state, target, awaited);
    // Unloading some copies without reaching the goal would only cost moves.
    if surplus.iter().map(|copy| copy.bytes).sum::<u64>() < short {
        return false;
    }
    for copy in surplus {
        if short == 0 || *orders == 0 {
            break;
        }
        let names = match copy.adapters.is_empty() && !copy.waits {
            true => vec![copy.name.clone()],
            false => copy.adapters,
        };
        for name in names {
            // An earlier unload of this loop may have left this copy as the last one.
            if *orders > 0 && may_unload(state, target, &name, None) {
                let freed = state.ledger.copy_bytes(target, &name);
                start_unload(state, context, target, &name, freed);
                *orders -= 1;
            }
        }
        if can_lose(state, target, &copy.name) {
            short = short.saturating_sub(copy.bytes);
        }
    }
    short == 0
}

/// Unloads copies from targets that use more memory than they have.
pub(crate) fn relieve_overruns(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    let overrun = state.ledger.overrun().iter();
    let targets: Vec<TargetName> = overrun
        .filter(|target| state.fleet.targets.contains_key(*target))
        .cloned()
        .collect();
    for target in targets {
        let (used, capacity) = state.ledger.usage(&target);
        if used <= capacity || !is_ready(state, &target) {
            continue;
        }
        note_once(
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
        let planned = names.into_iter().find(|name| {
            !entries_on(state, &target).any(|entry| entry.row.name == *name)
                && may_unload(state, &target, name, None)
        });
        if let Some(name) = planned {
            let bytes = state.ledger.copy_bytes(&target, &name);
            start_unload(state, context, &target, &name, bytes);
        }
    }
}
