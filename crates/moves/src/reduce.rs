//! The move reducer.

use crate::effect::MoveEffect;
use crate::event::MoveEvent;
use crate::fleet::FleetSpec;
use crate::lease::{holder_deadline, LeaseState};
use crate::state::MoveState;
use crate::{demand, indexes, orders, schedule, table_calls};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// What the reducer is given with each event.
pub struct MoveContext<'a> {
    /// Now, by the monotonic clock of this host; read directly before the call.
    pub now: ClockTime,
    /// Random generator.
    pub rng: &'a mut SeededRng,
}

/// Takes one event and appends its effects.
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
            orders::age(state, context.now);
            orders::raise_fences(state, context.now, out);
            schedule::schedule(state, context, out);
        }
        MoveEvent::FleetChanged(fleet) => change_fleet(state, fleet),
        MoveEvent::PlanChanged(plan) => {
            state.planned = plan.resident.values().flatten().cloned().collect();
            state.plan = plan;
            indexes::note_plan(state);
            state.noted.clear();
            schedule::schedule(state, context, out);
        }
        MoveEvent::ModelRequested { name } => {
            demand::want(state, name);
            schedule::schedule(state, context, out);
        }
        MoveEvent::TableAnswered { call, answer } => {
            table_calls::answered(state, context, call, answer, out);
        }
        MoveEvent::OrderAnswered { order, answer } => {
            orders::answered(state, context, order, answer, out);
        }
        MoveEvent::FencingConfirmed {
            target,
            incarnation,
            fencing,
        } => orders::confirmed(state, context.now, &target, incarnation, fencing),
        MoveEvent::ReportReceived { report, finished } => {
            orders::reported(state, context.now, &report, &finished, out);
        }
    }
    table_calls::poll(state, context, out);
    orders::drive(state, context, out);
    // The comparison looks at every target, which is what the lists spare a host in production.
    if cfg!(debug_assertions) {
        indexes::check(state);
    }
}

/// Drops the lease at its deadline; every event passes through here, also the first after a pause.
fn check_lease(state: &mut MoveState, now: ClockTime, out: &mut Vec<MoveEffect>) {
    let LeaseState::Held { row, .. } = &state.lease else {
        return;
    };
    if now >= holder_deadline(row, state.settings.clock_drift) {
        table_calls::lose(state, out);
        state.next_call = now;
    }
}

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
    state.noted.clear();
    indexes::check_all_fences(state);
}
