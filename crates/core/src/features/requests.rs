//! Connects the request feature with routing, admission, membership and moves.

use super::{members, moves};
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_moves::prelude::MoveEvent;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::WorkKind;
use crocusyard_wire::prelude::CrashReport;
use std::sync::Arc;

/// Passes an event to the request reducer and handles its effects.
pub(crate) fn reduce(
    state: &mut HostState,
    now: ClockTime,
    event: RequestEvent,
    out: &mut Vec<HostEffect>,
) {
    if let RequestEvent::Arrived { spec, .. } = &event {
        count_demand(state, spec);
    }
    let mut effects = Vec::new();
    let mut context = RequestContext {
        now,
        routes: &mut state.routes,
        queue: &mut state.queue,
        rng: &mut state.rng,
    };
    crocusyard_requests::reduce::reduce(&mut state.requests, &mut context, event, &mut effects);
    for effect in effects {
        handle_effect(state, now, effect, out);
    }
}

/// Counts a request of this host in the demand, and its length in the mean cost of a request.
fn count_demand(state: &mut HostState, spec: &RequestSpec) {
    let WorkKind::Model { model, .. } = &spec.work else {
        return;
    };
    if let Some(&position) = state.catalog.model_positions.get(model) {
        state.own_demand.count(position);
    }
    state
        .planning
        .record_request_cost(spec.input_tokens, spec.output_tokens);
}

/// Passes an effect to the feature that it concerns, or to the shell.
fn handle_effect(
    state: &mut HostState,
    now: ClockTime,
    effect: RequestEffect,
    out: &mut Vec<HostEffect>,
) {
    match effect {
        RequestEffect::ReportCrash { digest, target } => {
            share_crash(state, now, digest, Some(target), out);
        }
        RequestEffect::ReportCrashCleared { digest } => share_crash(state, now, digest, None, out),
        RequestEffect::ReportMissingModel { model, .. } => {
            report_missing_model(state, now, &model, out);
            let name = Arc::from(model.as_str());
            moves::reduce(state, now, MoveEvent::ModelRequested { name }, out);
        }
        effect => out.push(HostEffect::Request(effect)),
    }
}

/// Reports a model that requests wait for to the holder of the region's lease, unless this host
/// holds the lease.
fn report_missing_model(
    state: &mut HostState,
    now: ClockTime,
    model: &ModelName,
    out: &mut Vec<HostEffect>,
) {
    let holder = state.leases.get(&state.identity.region);
    let holder = holder.map(|lease| lease.holder.clone());
    let Some(holder) = holder.filter(|holder| *holder != state.identity.name) else {
        return;
    };
    if let Some(&model) = state.catalog.model_positions.get(model) {
        let catalog = state.catalog.version;
        let event = MembershipEvent::MissingModelReported {
            holder,
            catalog,
            model,
        };
        members::reduce(state, now, event, out);
    }
}

/// Shares with other hosts that a request is suspected of crashing a target, or, without a target,
/// that it is cleared of that.
fn share_crash(
    state: &mut HostState,
    now: ClockTime,
    digest: BodyDigest,
    target: Option<TargetName>,
    out: &mut Vec<HostEffect>,
) {
    let report = CrashReport {
        digest: digest.0.to_le_bytes(),
        target,
    };
    members::reduce(state, now, MembershipEvent::CrashReported(report), out);
}
