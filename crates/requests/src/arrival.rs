//! Arrival of a request, and its way through the admission queue.

use crate::blame;
use crate::claims;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::reduce::RequestContext;
use crate::spec::{RequestSpec, ResumePoint};
use crate::state::{RequestEntry, RequestPhase, RequestState, StreamState};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Takes a new request.
pub(crate) fn arrive(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    spec: RequestSpec,
    out: &mut Vec<RequestEffect>,
) {
    if !invariant!(
        !state.requests.contains_key(&key),
        "request_key_is_new",
        "request {key} arrived twice"
    ) {
        return;
    }
    let row = claims::row_of(&spec);
    let resume = spec.resume.clone();
    let expired = spec.deadline <= context.now;
    // A keyed call may be a repeat of one that ran, so its claim is read before it is refused. A
    // reconnecting caller runs nothing new.
    let fresh = row.is_none() && resume.is_none();
    let suspect = fresh && blame::is_suspect(state, context.now, spec.digest);
    let mut entry = RequestEntry::new(spec, context.now);
    entry.may_have_run = resume.is_some();
    entry.row.clone_from(&row);
    state.requests.insert(key, entry);
    state.set_wake(key, ClockTime::NEVER);
    if suspect {
        let wait = Some(state.settings.limits.crash_suspect_ttl);
        return ending::refuse(state, context, key, RefusalCode::CrashSuspect, wait, out);
    }
    if expired {
        return ending::refuse(state, context, key, RefusalCode::Deadline, None, out);
    }
    match (row, resume) {
        // A repeat of a keyed call gets its stored whole answer, so a resume point adds nothing.
        (Some(row), _) => claims::open(state, context, key, &row, out),
        (None, Some(point)) => reconnect(state, context, key, point, out),
        (None, None) => enqueue(state, context, key, out),
    }
}

/// Continues the stream of a caller that lost its connection.
///
/// The work is on the engine already, so it takes no place in admission, and it may go to a leaving
/// target.
fn reconnect(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    point: ResumePoint,
    out: &mut Vec<RequestEffect>,
) {
    let known = context.routes.spec_of(&point.target).is_some();
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.next = point.received_chunks;
    entry.target = Some(point.target.clone());
    if !known || !matches!(entry.spec.work, WorkKind::Model { .. }) {
        return ending::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    entry.stream = Some(StreamState {
        origin: point.attempt,
        target: point.target,
    });
    dispatch::send_resume(state, context, key, out);
}

/// Offers a request to the admission queue, or refuses it early.
pub(crate) fn enqueue(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let mut load = None;
    let estimate = match dispatch::choose(context, &state.proven, entry) {
        RouteChoice::Target { .. } => ClockTime::ZERO,
        RouteChoice::Busy { estimate } => estimate,
        RouteChoice::NotResident => {
            load = Some(context.routes.model_load_time(&entry.spec.work));
            dispatch::want_model(state, context.now, key, out);
            ClockTime::ZERO
        }
        RouteChoice::Unavailable => {
            let wait = Some(ending::RETRY_AFTER);
            return ending::refuse(state, context, key, RefusalCode::Unavailable, wait, out);
        }
    };
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let work = work_of(key, entry);
    let offered = match load {
        Some(load) => context.queue.offer_awaiting_load(context.now, work, load),
        None => context.queue.offer(context.now, work, estimate),
    };
    if let Err(refusal) = offered {
        let code = code_of(refusal.reason);
        return ending::refuse(state, context, key, code, refusal.retry_after, out);
    }
    state.budget.earn(&state.settings.limits);
    state.set_phase(key, RequestPhase::Queued, ClockTime::NEVER);
}

fn work_of(key: RequestKey, entry: &RequestEntry) -> QueuedWork {
    let spec = &entry.spec;
    let (resource, cost): (Arc<str>, u32) = match &spec.work {
        WorkKind::Model { model, adapter } => {
            let name = adapter
                .as_ref()
                .map_or(model.as_str(), |adapter| adapter.as_str());
            let tokens = spec.input_tokens.saturating_add(spec.output_tokens);
            (Arc::from(name), tokens.max(1))
        }
        WorkKind::Service { service } => (Arc::from(service.as_str()), 1),
    };
    QueuedWork {
        key,
        tenant: spec.tenant.clone(),
        class: spec.class.clone(),
        resource,
        deadline: spec.deadline,
        cost,
    }
}

fn code_of(reason: RefusalReason) -> RefusalCode {
    match reason {
        RefusalReason::TenantLimit => RefusalCode::TenantLimit,
        RefusalReason::QueueFull => RefusalCode::QueueFull,
        RefusalReason::DeadlineUnreachable | RefusalReason::DeadlinePassed => RefusalCode::Deadline,
        RefusalReason::Unknown => RefusalCode::Unavailable,
    }
}
