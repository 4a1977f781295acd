//! Life of an order at the holder: it is sent, repeated until its end is known, and settled by a
//! later load report.

use crate::demand;
use crate::effect::{EngineOrder, MoveEffect, MoveLog};
use crate::event::{FinishedOrder, OrderAnswer, OrderResult};
use crate::indexes::update_view;
use crate::intent::{IntentStage, OrderAction, OrderPhase};
use crate::lease::LeaseState;
use crate::reduce::MoveContext;
use crate::schedule::can_unload;
use crate::state::{
    accepts_loads, is_ready, remove_entry, FenceConfirmation, MoveState, TargetView,
};
use crate::table_calls::is_write_in_flight;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Sends new orders and due repetitions.
pub(crate) fn send_due(
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

/// Sends an order if its target is ready and its move is still allowed.
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
    let is_first = entry.phase == OrderPhase::Unsent;
    if !is_ready(state, &row.target) {
        return;
    }
    let (used, capacity) = state.ledger.usage(&row.target);
    let is_allowed = match row.action {
        OrderAction::Load => used <= capacity && accepts_loads(state, &row.target),
        // Once the copy is gone, a repetition changes nothing and only returns the end of the
        // order. Without it, the open intent would block further loads of the name on this target.
        OrderAction::Unload => {
            is_copy_gone(state, &row.target, &row.name)
                || can_unload(state, &row.target, &row.name, Some(id))
        }
    };
    if !is_allowed {
        if is_first && row.action == OrderAction::Unload {
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
fn is_copy_gone(state: &MoveState, target: &TargetName, name: &Arc<str>) -> bool {
    let view = state.views.get(target);
    view.is_some_and(|view| !view.copies.contains_key(name))
}

/// Sends the fencing number to engines that check it and have not confirmed it.
pub(crate) fn raise_fencing_numbers(
    state: &mut MoveState,
    now: ClockTime,
    out: &mut Vec<MoveEffect>,
) {
    let Some((row, deadline)) = state.active_lease(now) else {
        return;
    };
    let fencing = row.fencing;
    let MoveState {
        unfenced_targets,
        views,
        fleet,
        settings,
        ..
    } = state;
    unfenced_targets.retain(|target| {
        let Some(view) = views.get_mut(target) else {
            return false;
        };
        let spec = fleet.targets.get(target);
        let checks_fencing = spec.is_some_and(|spec| spec.checks_fencing);
        if !checks_fencing || is_confirmed(view, fencing) {
            return false;
        }
        if now >= view.fence_retry {
            view.fence_retry = now + settings.order_retry;
            out.push(MoveEffect::RaiseFencing {
                target: target.clone(),
                fencing,
                valid_until: deadline,
            });
        }
        true
    });
}

/// Returns whether an engine confirmed a fencing number.
fn is_confirmed(view: &TargetView, fencing: FencingNumber) -> bool {
    view.fence.is_some_and(|fence| fence.fencing == fencing)
}

/// Handles an engine's confirmation of a fencing number.
pub(crate) fn handle_confirmation(
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

/// Handles an engine's answer to an order.
pub(crate) fn handle_answer(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    order: OrderId,
    answer: OrderAnswer,
    out: &mut Vec<MoveEffect>,
) {
    match answer {
        OrderAnswer::Ended(result) => record_end(state, context.now, order, result, out),
        // The engine has seen a higher number, so another host holds the lease, even if this host
        // has not read the lease row yet.
        OrderAnswer::StaleFencing => {
            let is_sent = state
                .entries
                .get(&order)
                .is_some_and(|entry| matches!(entry.phase, OrderPhase::Sent { .. }));
            if !is_sent {
                return;
            }
            crate::table_calls::drop_lease(state, out);
            state.next_call_at = context.now;
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

/// Records the end of an order that was sent.
fn record_end(
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
        let key = (entry.row.target.clone(), entry.row.name.clone());
        let retry_at = now + state.settings.order_retry_max;
        state.refused_until.insert(key, retry_at);
    }
    out.push(MoveEffect::Log(MoveLog::OrderEnded {
        order,
        target: entry.row.target.clone(),
        action: entry.row.action,
        name: entry.row.name.clone(),
        result,
    }));
}

/// Handles a load report: copies, capacity, restarts and ended orders.
pub(crate) fn handle_report(
    state: &mut MoveState,
    now: ClockTime,
    report: &LoadReport,
    finished: &[FinishedOrder],
    out: &mut Vec<MoveEffect>,
) {
    let max_delay = state.settings.max_order_delay;
    let previous = state.views.get(&report.target);
    if previous.is_some_and(|view| {
        (report.incarnation, report.sequence) <= (view.incarnation, view.sequence)
    }) {
        return;
    }
    let restarted = previous.is_some_and(|view| view.incarnation < report.incarnation);
    let is_first_report = previous.is_none();
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
        loads_blocked_until: previous.map_or(ClockTime::ZERO, |view| view.loads_blocked_until),
        fence: previous.and_then(|view| view.fence),
        fence_retry: previous.map_or(ClockTime::ZERO, |view| view.fence_retry),
    };
    if restarted {
        view.loads_blocked_until = now + max_delay;
        view.fence = None;
        view.fence_retry = now;
    }
    if is_first_report || restarted {
        state.unfenced_targets.insert(report.target.clone());
    }
    update_view(state, &report.target, view);
    demand::mark_served(state, report);
    let copies = report
        .copies
        .iter()
        .map(|copy| (copy.name.clone(), copy.memory_bytes))
        .collect();
    for ended in finished {
        record_end(state, now, ended.id, ended.result, out);
    }
    repeat_completed_orders(state, now, &report.target);
    state
        .ledger
        .apply_report(&report.target, report.memory_bytes, copies);
    settle(state, now, &report.target, finished);
}

/// Repeats orders at once if the latest report shows their effect, since the answer states their
/// end.
///
/// The copies alone do not prove the end: they can be the effect of an earlier order, while this
/// order may still arrive.
fn repeat_completed_orders(state: &mut MoveState, now: ClockTime, target: &TargetName) {
    let Some(view) = state.views.get(target) else {
        return;
    };
    for order in state.entries_by_target.get(target).into_iter().flatten() {
        let Some(entry) = state.entries.get_mut(order) else {
            continue;
        };
        let copy = view.copies.get(&entry.row.name);
        let shows_effect = match entry.row.action {
            OrderAction::Load => copy == Some(&CopyState::Resident),
            OrderAction::Unload => copy.is_none(),
        };
        if let OrderPhase::Sent { retry_at, .. } = &mut entry.phase {
            if shows_effect {
                *retry_at = now.min(*retry_at);
            }
        }
    }
}

/// Settles the orders of a target that ended before its latest report, or that can no longer run.
fn settle(state: &mut MoveState, now: ClockTime, target: &TargetName, finished: &[FinishedOrder]) {
    let Some(view) = state.views.get(target) else {
        return;
    };
    let measured_at = view.measured_at;
    let target_is_ready = is_ready(state, target);
    let checks_fencing = state
        .fleet
        .targets
        .get(target)
        .is_some_and(|spec| spec.checks_fencing);
    let max_delay = state.settings.max_order_delay;
    let until = now + max_delay;
    for order in state.entries_by_target.get(target).into_iter().flatten() {
        let Some(entry) = state.entries.get_mut(order) else {
            continue;
        };
        // A fencing number does not stop a late repetition by the same holder: an engine that
        // restarted in between runs the order again.
        let (is_settled, needs_reservation) = match entry.phase {
            OrderPhase::Ended { at, repeated } => {
                let is_listed = finished.iter().any(|ended| ended.id == *order);
                (measured_at >= at || is_listed, repeated || !checks_fencing)
            }
            OrderPhase::Fenced => (target_is_ready, false),
            // An unload is not repeated once its copy is the last one, nor is a load once the
            // engine has too little memory. If the report shows no effect of the order and was
            // measured after the latest repetition could arrive, the order will not run.
            OrderPhase::Sent { retry_at, .. } => {
                let copy = view.copies.get(&entry.row.name);
                let has_no_effect = match entry.row.action {
                    OrderAction::Load => copy.is_none(),
                    OrderAction::Unload => copy == Some(&CopyState::Resident),
                };
                (has_no_effect && measured_at >= retry_at + max_delay, false)
            }
            _ => (false, false),
        };
        if is_settled && needs_reservation {
            entry.phase = OrderPhase::Reserved { until };
        } else if is_settled {
            entry.phase = OrderPhase::Settled;
        }
    }
}

/// Ends expired reservations and refusals, and removes orders that were cancelled before their
/// intent was written.
pub(crate) fn expire(state: &mut MoveState, now: ClockTime) {
    for entry in state.entries.values_mut() {
        if matches!(entry.phase, OrderPhase::Reserved { until } if now >= until) {
            entry.phase = OrderPhase::Settled;
        }
    }
    if !is_write_in_flight(state) {
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
    state.refused_until.retain(|_, retry_at| now < *retry_at);
    demand::expire(state, now);
}

/// Sets the phase of an order, if it still exists.
fn set_phase(state: &mut MoveState, order: OrderId, phase: OrderPhase) {
    if let Some(entry) = state.entries.get_mut(&order) {
        entry.phase = phase;
    }
}
