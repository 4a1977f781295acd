//! Arrival of a request, and its entry into the admission queue.

use crate::claims;
use crate::crash_suspects;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::outcome;
use crate::reduce::RequestContext;
use crate::spec::{RequestSpec, ResumePoint};
use crate::state::{RequestEntry, RequestPhase, RequestState, StreamState};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Accepts a new request, or refuses it at once.
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
    let row = claims::claim_row(&spec);
    let resume = spec.resume.clone();
    let is_expired = spec.deadline <= context.now;
    // A call with a claim row may be a repeat of one that ran, so its claim is read before it is
    // refused. A resumed request starts no new work.
    let is_new = row.is_none() && resume.is_none();
    let is_suspect = is_new && crash_suspects::is_suspect(state, context.now, spec.digest);
    let mut entry = RequestEntry::new(spec, context.now);
    entry.may_have_run = resume.is_some();
    entry.claim_row.clone_from(&row);
    state.requests.insert(key, entry);
    state.set_wake(key, ClockTime::NEVER);
    if is_suspect {
        let wait = Some(state.settings.limits.crash_suspect_ttl);
        return outcome::refuse(state, context, key, RefusalCode::CrashSuspect, wait, out);
    }
    if is_expired {
        return outcome::refuse(state, context, key, RefusalCode::Deadline, None, out);
    }
    match (row, resume) {
        // A repeat of such a call gets the whole recorded answer, so a resume point is ignored.
        (Some(row), _) => claims::begin(state, context, key, &row, out),
        (None, Some(point)) => resume_stream(state, context, key, point, out),
        (None, None) => enqueue(state, context, key, out),
    }
}

/// Resumes the stream of a caller that lost its connection.
///
/// The engine runs the work already, so the request does not pass admission, and the target may be
/// one that is leaving.
fn resume_stream(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    point: ResumePoint,
    out: &mut Vec<RequestEffect>,
) {
    let is_known = context.routes.spec_of(&point.target).is_some();
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.next_chunk = point.received_chunks;
    entry.last_target = Some(point.target.clone());
    if !is_known || !matches!(entry.spec.work, WorkKind::Model { .. }) {
        return outcome::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    entry.stream = Some(StreamState {
        origin: point.attempt,
        target: point.target,
    });
    dispatch::send_resume(state, context, key, out);
}

/// Offers a request to the admission queue, or refuses it if no target can serve it in time.
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
    let estimate = match dispatch::choose(context, &state.completed_digests, entry) {
        RouteChoice::Target { .. } => ClockTime::ZERO,
        RouteChoice::Busy { estimate } => estimate,
        RouteChoice::NotResident => {
            load = Some(context.routes.model_load_time(&entry.spec.work));
            dispatch::report_missing_model(state, context.now, key, out);
            ClockTime::ZERO
        }
        RouteChoice::Unavailable => {
            let wait = Some(outcome::RETRY_AFTER);
            return outcome::refuse(state, context, key, RefusalCode::Unavailable, wait, out);
        }
    };
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let work = queued_work(key, entry);
    let offered = match load {
        Some(load) => context.queue.offer_awaiting_load(context.now, work, load),
        None => context.queue.offer(context.now, work, estimate),
    };
    if let Err(refusal) = offered {
        let code = refusal_code(refusal.reason);
        return outcome::refuse(state, context, key, code, refusal.retry_after, out);
    }
    state.retry_budget.earn(&state.settings.limits);
    state.set_phase(key, RequestPhase::Queued, ClockTime::NEVER);
}

fn queued_work(key: RequestKey, entry: &RequestEntry) -> QueuedWork {
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

fn refusal_code(reason: RefusalReason) -> RefusalCode {
    match reason {
        RefusalReason::TenantLimit => RefusalCode::TenantLimit,
        RefusalReason::QueueFull => RefusalCode::QueueFull,
        RefusalReason::DeadlineUnreachable | RefusalReason::DeadlinePassed => RefusalCode::Deadline,
        RefusalReason::Unknown => RefusalCode::Unavailable,
    }
}
