//! Carries out a placement plan as moves.
//!
//! Names that somebody waits for come first, then names without any copy, then further copies. A
//! copy that the plan does not want is unloaded only when its memory is needed, and only when
//! another resident copy is confirmed or the name may be loaded on demand.

use crate::demand::{is_awaited, is_wanted, item_model};
use crate::effect::{MoveEffect, MoveLog};
use crate::eviction::{has_room, load_bytes, make_room, relieve_overruns, surplus};
use crate::indexes::is_held;
use crate::intent::{IntentEntry, IntentRow, IntentStage, OrderAction, OrderPhase};
use crate::reduce::MoveContext;
use crate::state::{
    accepts_loads, add_entry, entries_on, is_ready, is_reporting, is_safe_copy, MoveState,
};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names wanted on demand that are placed at once; each one looks at every target.
const WANTS_PER_TICK: u32 = 16;

/// A load that is not yet an intent.
struct LoadWish {
    name: Arc<str>,
    target: TargetName,
    /// 0 for a name that somebody waits for, 1 for one without a copy, 2 for a further copy.
    rank: u8,
}

/// Why loads did not start.
#[derive(Default)]
struct WishWait {
    /// Loads that have no room and none on its way.
    blocked: Vec<LoadWish>,
    /// Whether a load started, waits for a slot, or waits for memory that is being freed. A
    /// temporary copy made meanwhile could take the very memory that is being freed.
    coming: bool,
}

/// Loads that may still start now.
struct LoadSlots {
    models: u32,
    adapters: u32,
    orders: usize,
}

/// Starts the moves that are due.
pub(crate) fn schedule(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    // While the table fails no new intent is queued, so that its return causes no burst.
    if state.active_lease(context.now).is_none() || state.failures > 0 {
        return;
    }
    refill(state, context.now);
    cancel_unwanted(state);
    relieve_overruns(state, context, out);
    let mut slots = free_slots(state);
    let mut wait = WishWait::default();
    for wish in wishes(state, &slots) {
        if slots.orders == 0 {
            break;
        }
        start_wish(state, context, wish, &mut slots, &mut wait);
    }
    if !wait.coming && !wait.blocked.is_empty() && open_entries(state).next().is_none() {
        bridge(state, context, &wait.blocked, out);
    }
}

fn refill(state: &mut MoveState, now: ClockTime) {
    let rate = state.fleet.model_loads_per_second;
    let passed = now.since(state.tokens_at).as_ms() as f64 / 1000.0;
    // One second's worth at most, so that an idle hour does not allow a burst.
    state.load_tokens = (state.load_tokens + passed * rate).min(rate.max(1.0));
    state.tokens_at = now;
}

fn free_slots(state: &MoveState) -> LoadSlots {
    let (mut models, mut adapters, mut orders) = (0, 0, 0);
    for entry in open_entries(state) {
        orders += 1;
        if entry.row.action == OrderAction::Load {
            match item_model(state, &entry.row.name) {
                Some(_) => adapters += 1,
                None => models += 1,
            }
        }
    }
    LoadSlots {
        models: state
            .fleet
            .max_model_loads
            .saturating_sub(models)
            .min(state.load_tokens as u32),
        adapters: state.fleet.max_adapter_loads.saturating_sub(adapters),
        orders: state.settings.max_open_orders.saturating_sub(orders),
    }
}

pub(crate) fn is_planned(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    state
        .plan
        .resident
        .get(target)
        .is_some_and(|names| names.contains(name))
}

/// Gives up orders that were not sent and that the plan and the callers no longer want.
fn cancel_unwanted(state: &mut MoveState) {
    let unwanted: Vec<OrderId> = state
        .entries
        .values()
        .filter(|entry| {
            let row = &entry.row;
            let useful = is_planned(state, &row.target, &row.name) || is_wanted(state, &row.name);
            let (used, capacity) = state.ledger.usage(&row.target);
            let unwanted = match row.action {
                OrderAction::Load => !useful && !entry.is_temporary,
                OrderAction::Unload => useful && used <= capacity,
            };
            entry.phase == OrderPhase::Unsent && unwanted
        })
        .map(|entry| entry.id)
        .collect();
    for order in unwanted {
        if let Some(entry) = state.entries.get_mut(&order) {
            entry.phase = OrderPhase::Cancelled;
        }
    }
}

/// Returns whether a copy can go: another one is confirmed, or the name may be loaded on demand,
/// or it is no longer declared.
pub(crate) fn may_unload(
    state: &MoveState,
    target: &TargetName,
    name: &Arc<str>,
    own: Option<OrderId>,
) -> bool {
    let has_adapters = state.views.get(target).is_some_and(|view| {
        view.copies
            .keys()
            .any(|copy| item_model(state, copy) == Some(name))
    });
    let has_orders = entries_on(state, target).any(|entry| {
        Some(entry.id) != own
            && entry.is_open()
            && (entry.row.name == *name || item_model(state, &entry.row.name) == Some(name))
    });
    if has_adapters || has_orders {
        return false;
    }
    can_lose(state, target, name)
}

/// Returns whether a name can do without its copy on a target.
pub(crate) fn can_lose(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    if !state.fleet.items.contains_key(name) {
        return true;
    }
    // An adapter that the plan keeps nowhere was loaded by an engine for a request; the next request
    // loads it again wherever its model is resident.
    let loads_itself = item_model(state, name).is_some() && !state.planned.contains(name);
    has_other_copy(state, target, name)
        || ((state.plan.on_demand.contains(name) || loads_itself) && !is_awaited(state, name))
}

/// Returns whether another copy is confirmed resident and stays.
pub(crate) fn has_other_copy(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    state.copies_on.get(name).is_some_and(|targets| {
        targets
            .iter()
            .any(|other| other != target && is_safe_copy(state, other, name))
    })
}

/// Returns the open intents on targets that report. Those on silent targets keep their memory, but
/// take no slot and do not count as a copy on its way.
fn open_entries(state: &MoveState) -> impl Iterator<Item = &IntentEntry> {
    state
        .entries
        .values()
        .filter(|entry| entry.is_open() && is_reporting(state, &entry.row.target))
}

/// Lists the loads that are missing, most urgent first.
fn wishes(state: &MoveState, slots: &LoadSlots) -> Vec<LoadWish> {
    let loads = open_entries(state).filter(|entry| entry.row.action == OrderAction::Load);
    let loading: BTreeSet<&Arc<str>> = loads.map(|entry| &entry.row.name).collect();
    let held = |name: &Arc<str>| loading.contains(name) || is_held(state, name);
    let mut wishes = Vec::new();
    let limit = (slots.models + slots.adapters).min(WANTS_PER_TICK) as usize;
    // A copy that gave way to an awaited one is loaded again only when a request asks again.
    let missing = state
        .wants
        .keys()
        .filter(|want| !held(want) && !state.served.contains(*want));
    for want in missing.take(limit) {
        let name = match item_model(state, want) {
            Some(model) if !held(model) => model.clone(),
            _ => want.clone(),
        };
        if let Some(target) = demand_target(state, &name) {
            wishes.push(LoadWish {
                name,
                target,
                rank: 0,
            });
        }
    }
    for target in &state.missing {
        let (Some(names), Some(view)) = (state.plan.resident.get(target), state.views.get(target))
        else {
            continue;
        };
        for name in names.iter().filter(|name| !view.copies.contains_key(*name)) {
            wishes.push(LoadWish {
                name: name.clone(),
                target: target.clone(),
                rank: if held(name) { 2 } else { 1 },
            });
        }
    }
    wishes.sort_by_key(|wish| wish.rank);
    wishes
}

/// Chooses the target for a load on demand: the tightest one with room, or else the one where the
/// least surplus memory has to go.
fn demand_target(state: &MoveState, name: &Arc<str>) -> Option<TargetName> {
    let item = state.fleet.items.get(name)?;
    let least = item.bytes + item.adapter_reserve;
    let model = item_model(state, name);
    let planned = state.plan.resident.iter().find(|(target, names)| {
        names.contains(name)
            && can_start(state, target, name)
            && has_room(state, target, name)
            && model.is_none_or(|model| is_safe_copy(state, target, model))
    });
    if let Some((target, _)) = planned {
        return Some(target.clone());
    }
    let mut best: Option<(bool, u64, &TargetName)> = None;
    for target in state.fleet.targets.keys() {
        let base = model.is_none_or(|model| is_safe_copy(state, target, model));
        if !base || state.plan.drained.contains(target) || !can_start(state, target, name) {
            continue;
        }
        let (used, capacity) = state.ledger.usage(target);
        let free = capacity.saturating_sub(used);
        if free < least && best.is_some_and(|(evicts, ..)| !evicts) {
            continue;
        }
        let bytes = load_bytes(state, target, name);
        let rank = if free >= bytes {
            (false, free - bytes, target)
        } else {
            if best.is_some_and(|(evicts, ..)| !evicts) {
                continue;
            }
            let surplus = surplus(state, target, true);
            let surplus: u64 = surplus.iter().map(|copy| copy.bytes).sum();
            if free + surplus < bytes {
                continue;
            }
            (true, bytes - free, target)
        };
        if best.is_none_or(|best| rank < best) {
            best = Some(rank);
        }
    }
    best.map(|(_, _, target)| target.clone())
}

/// Returns whether a load of a name may be ordered on a target, memory and limits apart.
fn can_start(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let view = state.views.get(target);
    let place = (target.clone(), name.clone());
    is_ready(state, target)
        && accepts_loads(state, target)
        && !state.refused.contains_key(&place)
        && view.is_some_and(|view| !view.leaving && !view.copies.contains_key(name))
        && !entries_on(state, target).any(|entry| {
            entry.row.name == *name
                && (entry.stored_stage != Some(IntentStage::Reserved) || entry.is_open())
        })
}

fn start_wish(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    wish: LoadWish,
    slots: &mut LoadSlots,
    wait: &mut WishWait,
) {
    let Some(bytes) = state.fleet.items.get(&wish.name).map(|item| item.bytes) else {
        return;
    };
    if !can_start(state, &wish.target, &wish.name) {
        return;
    }
    let model = item_model(state, &wish.name).cloned();
    let free = match &model {
        Some(model) if !is_safe_copy(state, &wish.target, model) => return,
        Some(_) => &mut slots.adapters,
        None => &mut slots.models,
    };
    if *free == 0 {
        wait.coming = true;
        return;
    }
    let room = load_bytes(state, &wish.target, &wish.name);
    if state.ledger.fits(&wish.target, &wish.name, room)
        && start_load(state, context, &wish.target, &wish.name, bytes, false)
    {
        *free -= 1;
        slots.orders -= 1;
        wait.coming = true;
    } else if make_room(
        state,
        context,
        &wish.target,
        room,
        wish.rank == 0,
        &mut slots.orders,
    ) {
        wait.coming = true;
    } else {
        wait.blocked.push(wish);
    }
}

fn start_load(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    name: &Arc<str>,
    bytes: u64,
    bridge: bool,
) -> bool {
    let order = OrderId(context.rng.random());
    if !state.ledger.reserve(target, order, name, bytes) {
        return false;
    }
    if item_model(state, name).is_none() {
        state.load_tokens -= 1.0;
    }
    let row = new_row(state, order, target, OrderAction::Load, name, bytes);
    add_entry(state, new_entry(order, row, bridge));
    true
}

pub(crate) fn start_unload(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    name: &Arc<str>,
    bytes: u64,
) {
    let order = OrderId(context.rng.random());
    // The copy itself holds the memory; the hold keeps it counted until the unload is settled.
    state.ledger.reserve_unchecked(target, order, name, bytes);
    let row = new_row(state, order, target, OrderAction::Unload, name, bytes);
    add_entry(state, new_entry(order, row, false));
}

fn new_row(
    state: &MoveState,
    order: OrderId,
    target: &TargetName,
    action: OrderAction,
    name: &Arc<str>,
    bytes: u64,
) -> IntentRow {
    IntentRow {
        order: order.to_string().into(),
        target: target.clone(),
        action,
        name: name.clone(),
        bytes,
        fencing: state.held_fencing,
        stage: IntentStage::Open,
    }
}

fn new_entry(id: OrderId, row: IntentRow, is_temporary: bool) -> IntentEntry {
    IntentEntry {
        id,
        row,
        phase: OrderPhase::Unsent,
        stored_stage: None,
        is_temporary,
    }
}

/// Breaks a circle of full accelerators that wait for each other: one copy that stands in the way
/// gets a further copy on any target with room, after which the first one can go. Without room, a
/// name that may be loaded on demand is unloaded until its place is free.
fn bridge(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    blocked: &[LoadWish],
    out: &mut Vec<MoveEffect>,
) {
    if state.load_tokens < 1.0 {
        return;
    }
    let planned: BTreeMap<TargetName, Vec<Arc<str>>> = blocked
        .iter()
        .filter_map(|wish| {
            let view = state.views.get(&wish.target)?;
            let names = view
                .copies
                .keys()
                .filter(|name| {
                    !is_planned(state, &wish.target, name)
                        && !has_other_copy(state, &wish.target, name)
                })
                .cloned()
                .collect();
            Some((wish.target.clone(), names))
        })
        .collect();
    for (source, names) in &planned {
        for name in names {
            let Some(bytes) = state.fleet.items.get(name).map(|item| item.bytes) else {
                continue;
            };
            let Some(target) = bridge_target(state, source, name, bytes) else {
                if state.plan.on_demand.contains(name) && may_unload(state, source, name, None) {
                    start_unload(state, context, source, name, bytes);
                    return;
                }
                continue;
            };
            if start_load(state, context, &target, name, bytes, true) {
                return;
            }
        }
    }
    for wish in blocked {
        note_once(
            state,
            &wish.target,
            &wish.name,
            || MoveLog::LoadBlocked {
                target: wish.target.clone(),
                name: wish.name.clone(),
            },
            out,
        );
    }
}

fn bridge_target(
    state: &MoveState,
    source: &TargetName,
    name: &Arc<str>,
    bytes: u64,
) -> Option<TargetName> {
    let model = item_model(state, name);
    state
        .fleet
        .targets
        .keys()
        .find(|target| {
            *target != source
                && !state.plan.drained.contains(*target)
                && state.ledger.fits(target, name, bytes)
                && can_start(state, target, name)
                && model.is_none_or(|model| is_safe_copy(state, target, model))
        })
        .cloned()
}

pub(crate) fn note_once(
    state: &mut MoveState,
    target: &TargetName,
    name: &Arc<str>,
    note: impl Fn() -> MoveLog,
    out: &mut Vec<MoveEffect>,
) {
    if state.noted.insert((target.clone(), name.clone())) {
        out.push(MoveEffect::Log(note()));
    }
}
