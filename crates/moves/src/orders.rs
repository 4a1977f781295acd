//! Driving of orders: sending, repeating, ending and settling them.

use crate::demand;
use crate::effect::{EngineOrder, MoveEffect, MoveLog};
use crate::event::{FinishedOrder, OrderAnswer, OrderResult};
use crate::indexes::replace_view;
use crate::intent::{IntentStage, OrderAction, OrderPhase};
use crate::lease::LeaseState;
use crate::reduce::MoveContext;
use crate::schedule::may_unload;
use crate::state::{
    accepts_loads, is_ready, remove_entry, FenceConfirmation, MoveState, TargetView,
};
use crate::table_calls::is_writing;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Sends what is due: new orders and repetitions.
pub(crate) fn drive(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    let Some((row, deadline)) = state.active_lease(context.now) else {
        return;
    };
    let fencing = row.fencing;
    let due: Vec<OrderId> = state
        .entries
        .values()
        .filter(|entry| match entry.phase {
            OrderPhase::Unsent => entry.stored_stage == Some(IntentStage::Open),
            OrderPhase::Sent { retry_at, .. } => context.now >= retry_at,
            _ => false,
        })
        .map(|entry| entry.id)
        .collect();
    for order in due {
        send(state, context, order, fencing, deadline, out);
    }
}

fn send(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    id: OrderId,
    fencing: FencingNumber,
    deadline: ClockTime,
    out: &mut Vec<MoveEffect>,
) {
    let Some(entry) = state.entries.get(&id) else {
        return;
    };
    let row = entry.row.clone();
    let first = entry.phase == OrderPhase::Unsent;
    if !is_ready(state, &row.target) {
        return;
    }
    let (used, capacity) = state.ledger.usage(&row.target);
    let allowed = match row.action {
        OrderAction::Load => used <= capacity && accepts_loads(state, &row.target),
        // Once the copy is gone, a repetition only learns the end of the order; without it, the
        // open intent would keep the name from being loaded there again.
        OrderAction::Unload => {
            is_gone(state, &row.target, &row.name)
                || may_unload(state, &row.target, &row.name, Some(id))
        }
    };
    if !allowed {
        if first && row.action == OrderAction::Unload {
            set_phase(state, id, OrderPhase::Cancelled);
        }
        return;
    }
    let attempts = match entry.phase {
        OrderPhase::Sent { attempts, .. } => attempts,
        _ => 0,
    };
    let factor = f64::from(1_u32 << attempts.min(6)) * context.rng.random_range(0.75..1.25);
    let pause = state
        .settings
        .order_retry
        .scale(factor)
        .min(state.settings.order_retry_max);
    let phase = OrderPhase::Sent {
        retry_at: context.now + pause,
        attempts: attempts + 1,
    };
    set_phase(state, id, phase);
    out.push(MoveEffect::SendOrder {
        target: row.target,
        order: EngineOrder {
            id,
            fencing,
            action: row.action,
            name: row.name,
            bytes: row.bytes,
        },
        valid_until: deadline,
    });
}

/// Returns whether the last report of a target lists no copy of a name.
fn is_gone(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let view = state.views.get(target);
    view.is_some_and(|view| !view.copies.contains_key(name))
}

/// Raises the fencing number at engines that check it and have not confirmed it.
pub(crate) fn raise_fences(state: &mut MoveState, now: ClockTime, out: &mut Vec<MoveEffect>) {
    let Some((row, deadline)) = state.active_lease(now) else {
        return;
    };
    let fencing = row.fencing;
    let MoveState {
        unfenced,
        views,
        fleet,
        settings,
        ..
    } = state;
    unfenced.retain(|name| {
        let Some(view) = views.get_mut(name) else {
            return false;
        };
        let target = fleet.targets.get(name);
        let checks = target.is_some_and(|target| target.checks_fencing);
        if !checks || is_confirmed(view, fencing) {
            return false;
        }
        if now >= view.fence_retry {
            view.fence_retry = now + settings.order_retry;
            out.push(MoveEffect::RaiseFencing {
                target: name.clone(),
                fencing,
                valid_until: deadline,
            });
        }
        true
    });
}

fn is_confirmed(view: &TargetView, fencing: FencingNumber) -> bool {
    view.fence.is_some_and(|proof| proof.fencing == fencing)
}

/// Takes a confirmed fencing number.
pub(crate) fn confirmed(
    state: &mut MoveState,
    now: ClockTime,
    target: &TargetName,
    incarnation: u64,
    fencing: FencingNumber,
) {
    let LeaseState::Held { row, .. } = &state.lease else {
        return;
    };
    let Some(view) = state.views.get_mut(target) else {
        return;
    };
    if row.fencing != fencing || view.incarnation != incarnation || is_confirmed(view, fencing) {
        return;
    }
    view.fence = Some(FenceConfirmation {
        fencing,
        incarnation,
        at: now,
    });
}

/// Takes an engine's answer to an order.
pub(crate) fn answered(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    order: OrderId,
    answer: OrderAnswer,
    out: &mut Vec<MoveEffect>,
) {
    match answer {
        OrderAnswer::Ended(result) => end(state, context.now, order, result, out),
        // The engine has seen a higher number, so this host's lease is over even if its row has
        // not been read yet.
        OrderAnswer::StaleFencing => {
            let sent = state
                .entries
                .get(&order)
                .is_some_and(|entry| matches!(entry.phase, OrderPhase::Sent { .. }));
            if !sent {
                return;
            }
            crate::table_calls::lose(state, out);
            state.next_call = context.now;
        }
        OrderAnswer::Accepted => {
            let pause = state.settings.order_retry_max;
            if let Some(entry) = state.entries.get_mut(&order) {
                if let OrderPhase::Sent { attempts, .. } = entry.phase {
                    let retry_at = context.now + pause;
                    entry.phase = OrderPhase::Sent { retry_at, attempts };
                }
            }
        }
        OrderAnswer::Lost => {}
    }
}

fn end(
    state: &mut MoveState,
    now: ClockTime,
    order: OrderId,
    result: OrderResult,
    out: &mut Vec<MoveEffect>,
) {
    let Some(entry) = state.entries.get_mut(&order) else {
        return;
    };
    let OrderPhase::Sent { attempts, .. } = entry.phase else {
        return;
    };
    entry.phase = OrderPhase::Ended {
        at: now,
        repeated: attempts > 1,
    };
    if result == OrderResult::Refused {
        let place = (entry.row.target.clone(), entry.row.name.clone());
        let retry_at = now + state.settings.order_retry_max;
        state.refused.insert(place, retry_at);
    }
    out.push(MoveEffect::Log(MoveLog::OrderEnded {
        order,
        target: entry.row.target.clone(),
        action: entry.row.action,
        name: entry.row.name.clone(),
        result,
    }));
}

/// Takes a load report: residency, capacity, restarts and ended orders.
pub(crate) fn reported(
    state: &mut MoveState,
    now: ClockTime,
    report: &LoadReport,
    finished: &[FinishedOrder],
    out: &mut Vec<MoveEffect>,
) {
    let lateness = state.settings.max_order_delay;
    let known = state.views.get(&report.target);
    if known.is_some_and(|view| {
        (report.incarnation, report.sequence) <= (view.incarnation, view.sequence)
    }) {
        return;
    }
    let restarted = known.is_some_and(|view| view.incarnation < report.incarnation);
    let first = known.is_none();
    let mut view = TargetView {
        incarnation: report.incarnation,
        sequence: report.sequence,
        measured_at: now.since(report.age),
        copies: report
            .copies
            .iter()
            .map(|copy| (copy.name.clone(), copy.state))
            .collect(),
        leaving: report.leaving,
        loads_blocked_until: known.map_or(ClockTime::ZERO, |view| view.loads_blocked_until),
        fence: known.and_then(|view| view.fence),
        fence_retry: known.map_or(ClockTime::ZERO, |view| view.fence_retry),
    };
    if restarted {
        view.loads_blocked_until = now + lateness;
        view.fence = None;
        view.fence_retry = now;
    }
    if first || restarted {
        state.unfenced.insert(report.target.clone());
    }
    replace_view(state, &report.target, view);
    demand::note_served(state, report);
    let copies = report
        .copies
        .iter()
        .map(|copy| (copy.name.clone(), copy.memory_bytes))
        .collect();
    for ended in finished {
        end(state, now, ended.id, ended.result, out);
    }
    ask_for_ends(state, now, &report.target);
    state
        .ledger
        .apply_report(&report.target, report.memory_bytes, copies);
    settle(state, now, &report.target, finished);
}

/// Repeats orders at once whose effect the latest report shows, since the answer tells their end.
///
/// The copies alone prove no end: they can be the work of an earlier order, and this one may still
/// arrive.
fn ask_for_ends(state: &mut MoveState, now: ClockTime, target: &TargetName) {
    let Some(view) = state.views.get(target) else {
        return;
    };
    for order in state.by_target.get(target).into_iter().flatten() {
        let Some(entry) = state.entries.get_mut(order) else {
            continue;
        };
        let copy = view.copies.get(&entry.row.name);
        let is_shown = match entry.row.action {
            OrderAction::Load => copy == Some(&CopyState::Resident),
            OrderAction::Unload => copy.is_none(),
        };
        if let OrderPhase::Sent { retry_at, .. } = &mut entry.phase {
            if is_shown {
                *retry_at = now.min(*retry_at);
            }
        }
    }
}

/// Settles the orders of a target whose end its latest report reflects.
fn settle(state: &mut MoveState, now: ClockTime, target: &TargetName, finished: &[FinishedOrder]) {
    let Some(view) = state.views.get(target) else {
        return;
    };
    let taken = view.measured_at;
    let fenced = is_ready(state, target);
    let checks = state
        .fleet
        .targets
        .get(target)
        .is_some_and(|spec| spec.checks_fencing);
    let lateness = state.settings.max_order_delay;
    let until = now + lateness;
    for order in state.by_target.get(target).into_iter().flatten() {
        let Some(entry) = state.entries.get_mut(order) else {
            continue;
        };
        // A fencing number does not stop a late repetition by the same holder, which an engine runs
        // again if it restarted in between.
        let (settled, reserve) = match entry.phase {
            OrderPhase::Ended { at, repeated } => {
                let listed = finished.iter().any(|ended| ended.id == *order);
                (taken >= at || listed, repeated || !checks)
            }
            OrderPhase::Fenced => (fenced, false),
            // An unload is not repeated once its copy has become the last one, and a load not once
            // the engine has too little memory. When the latest repetition can no longer arrive and
            // the report shows no effect of it, the order will not run.
            OrderPhase::Sent { retry_at, .. } => {
                let copy = view.copies.get(&entry.row.name);
                let untouched = match entry.row.action {
                    OrderAction::Load => copy.is_none(),
                    OrderAction::Unload => copy == Some(&CopyState::Resident),
                };
                (untouched && taken >= retry_at + lateness, false)
            }
            _ => (false, false),
        };
        if settled && reserve {
            entry.phase = OrderPhase::Reserved { until };
        } else if settled {
            entry.phase = OrderPhase::Settled;
        }
    }
}

/// Ends reservations whose time is over, and forgets orders that were given up before their intent
/// was written.
pub(crate) fn age(state: &mut MoveState, now: ClockTime) {
    for entry in state.entries.values_mut() {
        if matches!(entry.phase, OrderPhase::Reserved { until } if now >= until) {
            entry.phase = OrderPhase::Settled;
        }
    }
    if !is_writing(state) {
        let unwritten: Vec<OrderId> = state
            .entries
            .values()
            .filter(|entry| entry.stored_stage.is_none() && entry.desired_stage().is_none())
            .map(|entry| entry.id)
            .collect();
        for order in unwritten {
            remove_entry(state, order);
        }
    }
    state.refused.retain(|_, retry_at| now < *retry_at);
    demand::age_wants(state, now);
}

fn set_phase(state: &mut MoveState, order: OrderId, phase: OrderPhase) {
    if let Some(entry) = state.entries.get_mut(&order) {
        entry.phase = phase;
    }
}
