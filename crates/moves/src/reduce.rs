//! The move reducer: one event in, effects out.

use crate::effect::MoveEffect;
use crate::event::MoveEvent;
use crate::fleet::FleetSpec;
use crate::lease::{holder_deadline, LeaseState};
use crate::state::MoveState;
use crate::{demand, indexes, orders, schedule, table_calls};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Clock and random numbers for one call of the reducer.
pub struct MoveContext<'a> {
    /// Present time by the monotonic clock of this host, read directly before the call.
    pub now: ClockTime,
    /// Random generator of the host.
    pub rng: &'a mut SeededRng,
}

/// Applies one event to the state and appends the resulting effects to `out`.
pub fn reduce(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    event: MoveEvent,
    out: &mut Vec<MoveEffect>,
) {
    if state.instance.is_none() {
        state.instance = Some(context.rng.random());
    }
    state.now = context.now;
    check_lease(state, context.now, out);
    match event {
        MoveEvent::Tick => {
            orders::expire(state, context.now);
            orders::raise_fencing_numbers(state, context.now, out);
            schedule::schedule(state, context, out);
        }
        MoveEvent::FleetChanged(fleet) => change_fleet(state, fleet),
        MoveEvent::PlanChanged(plan) => {
            state.planned_names = plan.resident.values().flatten().cloned().collect();
            state.plan = plan;
            indexes::index_plan(state);
            state.logged.clear();
            schedule::schedule(state, context, out);
        }
        MoveEvent::ModelRequested { name } => {
            demand::record(state, name);
            schedule::schedule(state, context, out);
        }
        MoveEvent::TableAnswered { call, answer } => {
            table_calls::handle_answer(state, context, call, answer, out);
        }
        MoveEvent::OrderAnswered { order, answer } => {
            orders::handle_answer(state, context, order, answer, out);
        }
        MoveEvent::FencingConfirmed {
            target,
            incarnation,
            fencing,
        } => orders::handle_confirmation(state, context.now, &target, incarnation, fencing),
        MoveEvent::ReportReceived { report, finished } => {
            orders::handle_report(state, context.now, &report, &finished, out);
        }
    }
    table_calls::poll(state, context, out);
    orders::send_due(state, context, out);
    // The check scans every target, the cost that the indexes avoid in production.
    if cfg!(debug_assertions) {
        indexes::check_indexes(state);
    }
}

/// Drops the lease at its deadline. The reducer calls this before it handles any event, so also
/// before the first event after a pause of the process.
fn check_lease(state: &mut MoveState, now: ClockTime, out: &mut Vec<MoveEffect>) {
    let LeaseState::Held { row, .. } = &state.lease else {
        return;
    };
    if now >= holder_deadline(row, state.settings.clock_drift) {
        table_calls::drop_lease(state, out);
        state.next_call_at = now;
    }
}

/// Applies new declarations; targets that are no longer declared have a capacity of 0.
fn change_fleet(state: &mut MoveState, fleet: Arc<FleetSpec>) {
    for (name, target) in &fleet.targets {
        state.ledger.set_declared_capacity(name, target.capacity);
    }
    for name in state.fleet.targets.keys() {
        if !fleet.targets.contains_key(name) {
            state.ledger.set_declared_capacity(name, 0);
        }
    }
    state.fleet = fleet;
    state.logged.clear();
    indexes::recheck_all_fences(state);
}
