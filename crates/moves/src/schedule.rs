//! Turns a placement plan into loads and unloads.
//!
//! Names that requests wait for are loaded first, then names without any copy, then further copies.
//! A copy that is not in the plan is unloaded only when its memory is needed, and only if another
//! resident copy is confirmed or the name may be loaded on demand.

use crate::demand::{base_model, has_waiting_requests, is_in_demand};
use crate::effect::{MoveEffect, MoveLog};
use crate::eviction::{
    bytes_for_load, free_over_capacity_targets, has_room, make_room, surplus_copies,
};
use crate::indexes::has_copy;
use crate::intent::{IntentEntry, IntentRow, IntentStage, OrderAction, OrderPhase};
use crate::reduce::MoveContext;
use crate::state::{
    accepts_loads, add_entry, entries_on, is_ready, is_reporting, is_safe_copy, MoveState,
};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Names in demand for which one tick chooses a target; each choice examines every target.
const MAX_DEMAND_LOADS_PER_TICK: u32 = 16;

/// A load that has no intent yet.
struct LoadCandidate {
    name: Arc<str>,
    target: TargetName,
    /// 0 if requests wait for the name, 1 if the name has no copy, 2 for a further copy.
    priority: u8,
}

/// Candidates that did not start, and whether any load is under way.
#[derive(Default)]
struct LoadBacklog {
    /// Loads without enough memory, while none is being freed for them.
    blocked: Vec<LoadCandidate>,
    /// Whether a load started, waits for a slot, or waits for memory that is being freed. A
    /// temporary copy made at the same time could take the memory that is being freed.
    in_progress: bool,
}

/// Orders that may still be created in this tick.
struct LoadSlots {
    /// Model loads.
    models: u32,
    /// Adapter loads.
    adapters: u32,
    /// Orders of any kind.
    orders: usize,
}

/// Creates intents for the loads and unloads that the plan and the demand call for.
pub(crate) fn schedule(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    // No intent is queued while the table fails, so that its recovery causes no burst.
    if state.active_lease(context.now).is_none() || state.table_failures > 0 {
        return;
    }
    refill_load_tokens(state, context.now);
    cancel_obsolete(state);
    free_over_capacity_targets(state, context, out);
    let mut slots = free_slots(state);
    let mut backlog = LoadBacklog::default();
    for candidate in candidates(state, &slots) {
        if slots.orders == 0 {
            break;
        }
        start_candidate(state, context, candidate, &mut slots, &mut backlog);
    }
    if !backlog.in_progress && !backlog.blocked.is_empty() && open_entries(state).next().is_none() {
        break_deadlock(state, context, &backlog.blocked, out);
    }
}

/// Adds the model loads that the weight store has allowed since the last call.
fn refill_load_tokens(state: &mut MoveState, now: ClockTime) {
    let rate = state.fleet.model_loads_per_second;
    let elapsed_secs = now.since(state.tokens_refilled_at).as_ms() as f64 / 1000.0;
    // At most the tokens of one second, so that an idle hour does not allow a burst.
    state.load_tokens = (state.load_tokens + elapsed_secs * rate).min(rate.max(1.0));
    state.tokens_refilled_at = now;
}

/// Returns how many orders the limits on open orders and load rates still allow.
fn free_slots(state: &MoveState) -> LoadSlots {
    let (mut models, mut adapters, mut orders) = (0, 0, 0);
    for entry in open_entries(state) {
        orders += 1;
        if entry.row.action == OrderAction::Load {
            match base_model(state, &entry.row.name) {
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

/// Returns whether the plan keeps a name on a target.
pub(crate) fn is_planned(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    state
        .plan
        .resident
        .get(target)
        .is_some_and(|names| names.contains(name))
}

/// Cancels unsent orders that neither the plan nor the present demand calls for.
fn cancel_obsolete(state: &mut MoveState) {
    let obsolete: Vec<OrderId> = state
        .entries
        .values()
        .filter(|entry| {
            let row = &entry.row;
            let is_needed =
                is_planned(state, &row.target, &row.name) || is_in_demand(state, &row.name);
            let (used, capacity) = state.ledger.usage(&row.target);
            let obsolete = match row.action {
                OrderAction::Load => !is_needed && !entry.is_temporary,
                OrderAction::Unload => is_needed && used <= capacity,
            };
            entry.phase == OrderPhase::Unsent && obsolete
        })
        .map(|entry| entry.id)
        .collect();
    for order in obsolete {
        if let Some(entry) = state.entries.get_mut(&order) {
            entry.phase = OrderPhase::Cancelled;
        }
    }
}

/// Returns whether a copy can be unloaded now: it is expendable, no adapter on the target uses it,
/// and no order other than `own` is open for it or for an adapter of it. `own` is the order that
/// unloads this copy, if it was created already.
pub(crate) fn can_unload(
    state: &MoveState,
    target: &TargetName,
    name: &Arc<str>,
    own: Option<OrderId>,
) -> bool {
    let has_adapters = state.views.get(target).is_some_and(|view| {
        view.copies
            .keys()
            .any(|copy| base_model(state, copy) == Some(name))
    });
    let has_orders = entries_on(state, target).any(|entry| {
        Some(entry.id) != own
            && entry.is_open()
            && (entry.row.name == *name || base_model(state, &entry.row.name) == Some(name))
    });
    if has_adapters || has_orders {
        return false;
    }
    is_expendable(state, target, name)
}

/// Returns whether a target may lose its copy of a name: another copy is confirmed, the name may be
/// loaded on demand, or the name is no longer declared.
pub(crate) fn is_expendable(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    if !state.fleet.items.contains_key(name) {
        return true;
    }
    // An adapter that is nowhere in the plan was loaded by an engine for a request. The next
    // request loads it again wherever its model is resident.
    let reloads_on_request =
        base_model(state, name).is_some() && !state.planned_names.contains(name);
    has_other_copy(state, target, name)
        || ((state.plan.on_demand.contains(name) || reloads_on_request)
            && !has_waiting_requests(state, name))
}

/// Returns whether another target has a confirmed resident copy that is going to stay.
pub(crate) fn has_other_copy(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    state.targets_by_name.get(name).is_some_and(|targets| {
        targets
            .iter()
            .any(|other| other != target && is_safe_copy(state, other, name))
    })
}

/// Returns the open intents on targets that report. Intents on silent targets still reserve memory,
/// but they take no slot and do not count as a copy that is being loaded.
fn open_entries(state: &MoveState) -> impl Iterator<Item = &IntentEntry> {
    state
        .entries
        .values()
        .filter(|entry| entry.is_open() && is_reporting(state, &entry.row.target))
}

/// Lists the loads that demand and the plan call for, most urgent first.
fn candidates(state: &MoveState, slots: &LoadSlots) -> Vec<LoadCandidate> {
    let loads = open_entries(state).filter(|entry| entry.row.action == OrderAction::Load);
    let loading: BTreeSet<&Arc<str>> = loads.map(|entry| &entry.row.name).collect();
    let has_any_copy = |name: &Arc<str>| loading.contains(name) || has_copy(state, name);
    let mut candidates = Vec::new();
    let limit = (slots.models + slots.adapters).min(MAX_DEMAND_LOADS_PER_TICK) as usize;
    // A copy that was evicted for a name with waiting requests is loaded again only after the next
    // request for it.
    let unserved = state
        .demand
        .keys()
        .filter(|demanded| !has_any_copy(demanded) && !state.served_demand.contains(*demanded));
    for demanded in unserved.take(limit) {
        let name = match base_model(state, demanded) {
            Some(model) if !has_any_copy(model) => model.clone(),
            _ => demanded.clone(),
        };
        if let Some(target) = choose_demand_target(state, &name) {
            candidates.push(LoadCandidate {
                name,
                target,
                priority: 0,
            });
        }
    }
    for target in &state.incomplete_targets {
        let (Some(names), Some(view)) = (state.plan.resident.get(target), state.views.get(target))
        else {
            continue;
        };
        for name in names.iter().filter(|name| !view.copies.contains_key(*name)) {
            candidates.push(LoadCandidate {
                name: name.clone(),
                target: target.clone(),
                priority: if has_any_copy(name) { 2 } else { 1 },
            });
        }
    }
    candidates.sort_by_key(|candidate| candidate.priority);
    candidates
}

/// Chooses the target for a load on demand: a planned one with room, else the one that is left with
/// the least free memory, else the one where the least memory has to be freed.
fn choose_demand_target(state: &MoveState, name: &Arc<str>) -> Option<TargetName> {
    let item = state.fleet.items.get(name)?;
    let min_bytes = item.bytes + item.adapter_reserve;
    let model = base_model(state, name);
    let planned = state.plan.resident.iter().find(|(target, names)| {
        names.contains(name)
            && can_load(state, target, name)
            && has_room(state, target, name)
            && model.is_none_or(|model| is_safe_copy(state, target, model))
    });
    if let Some((target, _)) = planned {
        return Some(target.clone());
    }
    let mut best: Option<(bool, u64, &TargetName)> = None;
    for target in state.fleet.targets.keys() {
        let base_is_resident = model.is_none_or(|model| is_safe_copy(state, target, model));
        if !base_is_resident
            || state.plan.drained.contains(target)
            || !can_load(state, target, name)
        {
            continue;
        }
        let (used, capacity) = state.ledger.usage(target);
        let free = capacity.saturating_sub(used);
        if free < min_bytes && best.is_some_and(|(evicts, ..)| !evicts) {
            continue;
        }
        let bytes = bytes_for_load(state, target, name);
        let rank = if free >= bytes {
            (false, free - bytes, target)
        } else {
            if best.is_some_and(|(evicts, ..)| !evicts) {
                continue;
            }
            let copies = surplus_copies(state, target, true);
            let surplus: u64 = copies.iter().map(|copy| copy.bytes).sum();
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

/// Returns whether a name may be loaded on a target, apart from memory and load limits.
fn can_load(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let view = state.views.get(target);
    let key = (target.clone(), name.clone());
    is_ready(state, target)
        && accepts_loads(state, target)
        && !state.refused_until.contains_key(&key)
        && view.is_some_and(|view| !view.leaving && !view.copies.contains_key(name))
        && !entries_on(state, target).any(|entry| {
            entry.row.name == *name
                && (entry.stored_stage != Some(IntentStage::Reserved) || entry.is_open())
        })
}

/// Starts a load, or makes room for it, as far as the slots allow.
fn start_candidate(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    candidate: LoadCandidate,
    slots: &mut LoadSlots,
    backlog: &mut LoadBacklog,
) {
    let Some(bytes) = state
        .fleet
        .items
        .get(&candidate.name)
        .map(|item| item.bytes)
    else {
        return;
    };
    if !can_load(state, &candidate.target, &candidate.name) {
        return;
    }
    let model = base_model(state, &candidate.name).cloned();
    let free_slots = match &model {
        Some(model) if !is_safe_copy(state, &candidate.target, model) => return,
        Some(_) => &mut slots.adapters,
        None => &mut slots.models,
    };
    if *free_slots == 0 {
        backlog.in_progress = true;
        return;
    }
    let needed = bytes_for_load(state, &candidate.target, &candidate.name);
    if state
        .ledger
        .fits(&candidate.target, &candidate.name, needed)
        && start_load(
            state,
            context,
            &candidate.target,
            &candidate.name,
            bytes,
            false,
        )
    {
        *free_slots -= 1;
        slots.orders -= 1;
        backlog.in_progress = true;
    } else if make_room(
        state,
        context,
        &candidate.target,
        needed,
        candidate.priority == 0,
        &mut slots.orders,
    ) {
        backlog.in_progress = true;
    } else {
        backlog.blocked.push(candidate);
    }
}

/// Reserves memory and creates the intent of a load; returns whether the memory sufficed.
fn start_load(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    name: &Arc<str>,
    bytes: u64,
    is_temporary: bool,
) -> bool {
    let order = OrderId(context.rng.random());
    if !state.ledger.reserve(target, order, name, bytes) {
        return false;
    }
    if base_model(state, name).is_none() {
        state.load_tokens -= 1.0;
    }
    let row = new_row(state, order, target, OrderAction::Load, name, bytes);
    add_entry(state, new_entry(order, row, is_temporary));
    true
}

/// Creates the intent of an unload.
pub(crate) fn start_unload(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    target: &TargetName,
    name: &Arc<str>,
    bytes: u64,
) {
    let order = OrderId(context.rng.random());
    // The copy itself uses the memory; the reservation keeps it counted until the unload is
    // settled.
    state.ledger.reserve_unchecked(target, order, name, bytes);
    let row = new_row(state, order, target, OrderAction::Unload, name, bytes);
    add_entry(state, new_entry(order, row, false));
}

/// Returns the row of a new open intent.
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
        fencing: state.own_fencing,
        stage: IntentStage::Open,
    }
}

/// Returns the entry of an intent that is neither stored nor sent.
fn new_entry(id: OrderId, row: IntentRow, is_temporary: bool) -> IntentEntry {
    IntentEntry {
        id,
        row,
        phase: OrderPhase::Unsent,
        stored_stage: None,
        is_temporary,
    }
}

/// Breaks a cycle of full accelerators that wait for each other. One of the copies in the way is
/// also loaded on any target with room, after which the original can be unloaded. If no target has
/// room, a name that may be loaded on demand is unloaded until its planned target has room.
fn break_deadlock(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    blocked: &[LoadCandidate],
    out: &mut Vec<MoveEffect>,
) {
    if state.load_tokens < 1.0 {
        return;
    }
    let obstacles: BTreeMap<TargetName, Vec<Arc<str>>> = blocked
        .iter()
        .filter_map(|candidate| {
            let view = state.views.get(&candidate.target)?;
            let names = view
                .copies
                .keys()
                .filter(|name| {
                    !is_planned(state, &candidate.target, name)
                        && !has_other_copy(state, &candidate.target, name)
                })
                .cloned()
                .collect();
            Some((candidate.target.clone(), names))
        })
        .collect();
    for (source, names) in &obstacles {
        for name in names {
            let Some(bytes) = state.fleet.items.get(name).map(|item| item.bytes) else {
                continue;
            };
            let Some(target) = choose_temporary_target(state, source, name, bytes) else {
                if state.plan.on_demand.contains(name) && can_unload(state, source, name, None) {
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
    for candidate in blocked {
        log_once(
            state,
            &candidate.target,
            &candidate.name,
            || MoveLog::LoadBlocked {
                target: candidate.target.clone(),
                name: candidate.name.clone(),
            },
            out,
        );
    }
}

/// Returns a target with room for a temporary copy.
fn choose_temporary_target(
    state: &MoveState,
    source: &TargetName,
    name: &Arc<str>,
    bytes: u64,
) -> Option<TargetName> {
    let model = base_model(state, name);
    state
        .fleet
        .targets
        .keys()
        .find(|target| {
            *target != source
                && !state.plan.drained.contains(*target)
                && state.ledger.fits(target, name, bytes)
                && can_load(state, target, name)
                && model.is_none_or(|model| is_safe_copy(state, target, model))
        })
        .cloned()
}

/// Logs an occurrence for a name on a target, once until the plan or the declarations change.
pub(crate) fn log_once(
    state: &mut MoveState,
    target: &TargetName,
    name: &Arc<str>,
    event: impl Fn() -> MoveLog,
    out: &mut Vec<MoveEffect>,
) {
    if state.logged.insert((target.clone(), name.clone())) {
        out.push(MoveEffect::Log(event()));
    }
}
