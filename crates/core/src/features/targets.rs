//! Connects load reports with routing, membership and moves.

use super::{leaving, members, moves, requests};
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_moves::prelude::{FinishedOrder, MoveEvent};
use crocusyard_requests::prelude::RequestEvent;
use crocusyard_routing::prelude::*;
use crocusyard_wire::prelude::{TargetDelta, TargetUpdate};
use std::sync::Arc;

/// Load deltas that are taken from the route table at once.
const DELTA_LIMIT: usize = 1024;

/// Takes a load report.
pub(crate) fn report(
    state: &mut HostState,
    now: ClockTime,
    report: LoadReport,
    finished: Vec<FinishedOrder>,
    out: &mut Vec<HostEffect>,
) {
    tell_leaving(state, now, &report, out);
    let shared = Arc::new(report.clone());
    let event = MoveEvent::ReportReceived {
        report: shared,
        finished,
    };
    moves::reduce(state, now, event, out);
    let target = report.target.clone();
    state.routes.apply_report(now, report);
    if let Some(newest) = state.routes.report_of(&target).cloned() {
        leaving::report(state, now, &newest, out);
    }
    requests::reduce(state, now, RequestEvent::Tick, out);
}

/// Tells the other hosts when a target starts to leave, since they may read its report later.
fn tell_leaving(
    state: &mut HostState,
    now: ClockTime,
    report: &LoadReport,
    out: &mut Vec<HostEffect>,
) {
    let known = state.routes.report_of(&report.target);
    let before = known.is_some_and(|known| known.leaving);
    if report.leaving == before {
        return;
    }
    let notice = TargetUpdate {
        target: report.target.clone(),
        incarnation: report.incarnation,
        sequence: report.sequence,
        leaving: report.leaving,
    };
    members::reduce(state, now, MembershipEvent::TargetUpdated(notice), out);
}

/// Tells the other hosts what this one sent since the targets' last reports.
pub(crate) fn share_loads(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    for delta in state.routes.take_deltas(DELTA_LIMIT) {
        state.own_loads.insert(delta.target.clone(), delta);
    }
    let routes = &state.routes;
    state.own_loads.retain(|target, delta| {
        let known = routes.report_of(target).map_or(0, |report| report.sequence);
        delta.sequence >= known && delta.requests != 0
    });
    let deltas = state.own_loads.values().filter_map(|delta| {
        Some(TargetDelta {
            target: *state.catalog.targets.get(&delta.target)?,
            sequence: delta.sequence,
            requests: delta.requests,
            tokens: delta.tokens,
        })
    });
    let event = MembershipEvent::OwnLoads {
        catalog: state.catalog.version,
        deltas: deltas.collect(),
    };
    members::reduce(state, now, event, out);
}

/// Takes the load deltas of another host or failure domain.
pub(crate) fn apply_deltas(
    state: &mut HostState,
    now: ClockTime,
    from: &HostName,
    catalog: u64,
    deltas: &[TargetDelta],
) {
    if catalog != state.catalog.version {
        return;
    }
    let declared = state.catalog.catalog.clone();
    for delta in deltas {
        let Some(spec) = declared.targets.get(usize::from(delta.target)) else {
            continue;
        };
        let delta = LoadDelta {
            target: spec.name.clone(),
            sequence: delta.sequence,
            requests: delta.requests,
            tokens: delta.tokens,
        };
        state.routes.apply_delta(now, from, &delta);
    }
}
