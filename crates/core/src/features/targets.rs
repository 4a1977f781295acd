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

/// Load deltas that are taken from the route table in one update.
const MAX_DELTAS: usize = 1024;

/// Applies a load report of a target to the moves, the route table and the waiting requests.
pub(crate) fn apply_report(
    state: &mut HostState,
    now: ClockTime,
    report: LoadReport,
    finished: Vec<FinishedOrder>,
    out: &mut Vec<HostEffect>,
) {
    announce_leaving(state, now, &report, out);
    let shared = Arc::new(report.clone());
    let event = MoveEvent::ReportReceived {
        report: shared,
        finished,
    };
    moves::reduce(state, now, event, out);
    let target = report.target.clone();
    state.routes.apply_report(now, report);
    if let Some(newest) = state.routes.report_of(&target).cloned() {
        leaving::apply_report(state, now, &newest, out);
    }
    requests::reduce(state, now, RequestEvent::Tick, out);
}

/// Announces to other hosts that a target starts or stops leaving, since they may read its load
/// report later than this host.
fn announce_leaving(
    state: &mut HostState,
    now: ClockTime,
    report: &LoadReport,
    out: &mut Vec<HostEffect>,
) {
    let known = state.routes.report_of(&report.target);
    let was_leaving = known.is_some_and(|known| known.leaving);
    if report.leaving == was_leaving {
        return;
    }
    let update = TargetUpdate {
        target: report.target.clone(),
        incarnation: report.incarnation,
        sequence: report.sequence,
        leaving: report.leaving,
    };
    members::reduce(state, now, MembershipEvent::TargetUpdated(update), out);
}

/// Shares the load that this host added to targets since their last reports with other hosts.
pub(crate) fn share_load_deltas(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    for delta in state.routes.take_deltas(MAX_DELTAS) {
        state.own_load_deltas.insert(delta.target.clone(), delta);
    }
    let routes = &state.routes;
    state.own_load_deltas.retain(|target, delta| {
        let reported = routes.report_of(target).map_or(0, |report| report.sequence);
        delta.sequence >= reported && delta.requests != 0
    });
    let deltas = state.own_load_deltas.values().filter_map(|delta| {
        Some(TargetDelta {
            target: *state.catalog.target_positions.get(&delta.target)?,
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

/// Applies the load deltas of another host or failure domain to the route table.
///
/// Deltas for another catalogue version are ignored, since their target positions differ.
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
