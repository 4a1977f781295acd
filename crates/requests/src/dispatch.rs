//! Choice of targets and dispatch of attempts.

use crate::attempts;
use crate::claims;
use crate::crash_suspects::{self, CompletedDigests};
use crate::effect::{RefusalCode, RequestEffect};
use crate::outcome;
use crate::reduce::RequestContext;
use crate::retry;
use crate::state::{AttemptEntry, RequestEntry, RequestPhase, RequestState, StreamState};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Makes the query of a request to the route table, which excludes the targets in `tried` and
/// avoids the failure domain `avoid` if it can.
pub(crate) fn route_query<'a>(
    entry: &'a RequestEntry,
    tried: &'a [TargetName],
    avoid_domain: Option<&'a DomainName>,
) -> RouteQuery<'a> {
    RouteQuery {
        work: &entry.spec.work,
        prefix_blocks: &entry.spec.prefix,
        input_tokens: entry.spec.input_tokens,
        output_tokens: entry.spec.output_tokens,
        tried,
        avoid_domain,
    }
}

/// Chooses a target for a request, preferably one that the request has not tried.
pub(crate) fn choose(
    context: &mut RequestContext<'_>,
    completed: &CompletedDigests,
    entry: &RequestEntry,
) -> RouteChoice {
    choose_target(context.now, context.routes, context.rng, completed, entry)
}

/// Chooses a target with the parts of the context that [`dispatch_queued`] can borrow separately.
fn choose_target(
    now: ClockTime,
    routes: &RouteTable,
    rng: &mut SeededRng,
    completed: &CompletedDigests,
    entry: &RequestEntry,
) -> RouteChoice {
    let mut shared =
        crash_suspects::shared_rng(completed, entry.spec.digest, entry.tried_targets.len());
    let rng = shared.as_mut().unwrap_or(rng);
    let last_target = match entry.tried_targets.is_empty() {
        true => None,
        false => entry.last_target.as_ref(),
    };
    let avoid_domain = last_target.and_then(|target| routes.domain_of(target));
    let choice = routes.choose(
        now,
        &route_query(entry, &entry.tried_targets, avoid_domain),
        rng,
    );
    match choice {
        RouteChoice::NotResident | RouteChoice::Unavailable if !entry.tried_targets.is_empty() => {
            routes.choose(now, &route_query(entry, &[], avoid_domain), rng)
        }
        choice => choice,
    }
}

/// Takes requests from the admission queue and dispatches them while there are targets for them.
pub(crate) fn dispatch_queued(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    out: &mut Vec<RequestEffect>,
) {
    let mut blocked: Vec<Arc<str>> = Vec::new();
    let mut missing_models: Vec<RequestKey> = Vec::new();
    while !context.queue.is_empty() {
        let mut chosen: Vec<(RequestKey, TargetName)> = Vec::new();
        let RequestContext {
            now,
            routes,
            queue,
            rng,
        } = context;
        let mut ready = |work: &QueuedWork| {
            if blocked.contains(&work.resource) {
                return false;
            }
            let Some(entry) = state.requests.get(&work.key) else {
                return true;
            };
            match choose_target(*now, routes, rng, &state.completed_digests, entry) {
                RouteChoice::Target { target, .. } => {
                    chosen.push((work.key, target));
                    return true;
                }
                RouteChoice::NotResident => missing_models.push(work.key),
                RouteChoice::Busy { .. } | RouteChoice::Unavailable => {}
            }
            blocked.push(work.resource.clone());
            false
        };
        let Some(work) = queue.pop_ready(*now, &mut ready) else {
            break;
        };
        let key = work.key;
        let Some(entry) = state.requests.get_mut(&key) else {
            context.queue.record_ended(context.now, &work);
            continue;
        };
        entry.admitted = Some(work);
        entry.awaiting_model = false;
        entry.dispatched = Some(context.now);
        // The queue may call `ready` for several requests before it takes one of them.
        match chosen.into_iter().rev().find(|(other, _)| *other == key) {
            Some((_, target)) => claim_or_send(state, context, key, target, out),
            None => schedule_retry(state, key, context.now),
        }
    }
    for key in missing_models {
        report_missing_model(state, context.now, key, out);
    }
}

/// Sends an admitted request to a target, or first writes its claim or the new target in its claim.
pub(crate) fn claim_or_send(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if entry.detached {
        // The caller has left, or has received a refusal that says that the request was not run.
        return outcome::remove_request(state, context, key, out);
    }
    let needs_claim = entry.claim_row.is_some() && !entry.claim_granted;
    let names_other = claims::names_other_target(entry, &target);
    let in_window = claims::within_dispatch_window(entry, &state.settings.limits, context.now);
    if crash_suspects::is_suspect(state, context.now, entry.spec.digest) {
        let wait = Some(state.settings.limits.crash_suspect_ttl);
        return outcome::refuse(state, context, key, RefusalCode::CrashSuspect, wait, out);
    }
    if crash_suspects::must_wait(state, context.now, key) {
        let wait = retry::backoff(&state.settings.limits, 1, context.rng);
        return schedule_retry(state, key, context.now + wait);
    }
    if !in_window {
        let wait = Some(outcome::RETRY_AFTER);
        return outcome::refuse(
            state,
            context,
            key,
            RefusalCode::ClaimUnavailable,
            wait,
            out,
        );
    }
    if needs_claim {
        claims::write_claim(state, context, key, target, out);
    } else if names_other {
        claims::retarget(state, key, target, out);
    } else {
        send_attempt(state, context, key, target, out);
    }
}

/// Schedules another choice of a target for an admitted request.
pub(crate) fn schedule_retry(state: &mut RequestState, key: RequestKey, at: ClockTime) {
    state.set_phase(key, RequestPhase::Retrying { at }, at);
}

/// Chooses a target again for an admitted request, and dispatches the request if there is one.
pub(crate) fn retry(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if let Some(target) = claims::untried_claim_target(entry, context.routes) {
        return claim_or_send(state, context, key, target, out);
    }
    let limits = &state.settings.limits;
    match choose(context, &state.completed_digests, entry) {
        RouteChoice::Target { target, .. } => claim_or_send(state, context, key, target, out),
        RouteChoice::Busy { estimate } => {
            let wait = estimate.max(limits.initial_backoff).min(limits.max_backoff);
            let at = context.now + retry::jitter(wait, context.rng);
            schedule_retry(state, key, at);
        }
        RouteChoice::NotResident => {
            let at = context.now + retry::jitter(limits.max_backoff, context.rng);
            report_missing_model(state, context.now, key, out);
            schedule_retry(state, key, at);
        }
        RouteChoice::Unavailable => {
            let wait = Some(outcome::RETRY_AFTER);
            outcome::refuse(state, context, key, RefusalCode::Unavailable, wait, out);
        }
    }
}

/// Starts a new attempt of a request on a target.
pub(crate) fn send_attempt(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let runs_once = invariant!(
        entry.spec.idempotent || !entry.may_have_run,
        "runs_at_most_once",
        "request {key} would be dispatched again although it may have run and may not run twice"
    );
    let claimed = invariant!(
        entry.claim_row.is_none() || (entry.claim_granted && entry.claim.is_some()),
        "claim_before_dispatch",
        "request {key} would be dispatched without a granted claim"
    );
    let is_single = invariant!(
        entry.attempt.is_none() && entry.next_chunk == 0 && !entry.head_delivered,
        "one_attempt_at_a_time",
        "request {key} would be dispatched during another attempt or after a part of its answer"
    );
    let has_caller = invariant!(
        !entry.detached,
        "dispatch_for_a_caller",
        "request {key} would be dispatched although its caller has left"
    );
    if !(runs_once && claimed && is_single && has_caller) {
        return outcome::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    let attempt = start_attempt(state, context, key, &target, false);
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.attempt_count += 1;
    entry.held_since = None;
    entry.tried_targets.push(target.clone());
    if entry.spec.idempotent && matches!(entry.spec.work, WorkKind::Model { .. }) {
        entry.stream = Some(StreamState {
            origin: attempt,
            target: target.clone(),
        });
    }
    out.push(RequestEffect::Dispatch {
        key,
        attempt,
        target,
        resume: None,
    });
}

/// Starts an attempt that resumes the request's stream on the stream's target.
pub(crate) fn send_resume(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let Some(stream) = entry.stream.clone() else {
        return;
    };
    entry.resume_count += 1;
    let from = entry.next_chunk;
    let attempt = start_attempt(state, context, key, &stream.target, true);
    out.push(RequestEffect::Dispatch {
        key,
        attempt,
        target: stream.target,
        resume: Some((stream.origin, from)),
    });
}

/// Registers a new attempt as the one that the request has in progress, and returns its id.
fn start_attempt(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target: &TargetName,
    is_resume: bool,
) -> AttemptId {
    let now = context.now;
    let attempt = AttemptId(state.make_id());
    state.attempts.insert(attempt, key);
    let requests = state.requests_by_target.entry(target.clone()).or_default();
    requests.insert(key);
    let Some(entry) = state.requests.get_mut(&key) else {
        return attempt;
    };
    context
        .routes
        .record_sent(now, target, &route_query(entry, &[], None));
    entry.last_target = Some(target.clone());
    entry.failed_tries = 0;
    entry.attempt = Some(AttemptEntry {
        attempt,
        target: target.clone(),
        started: now,
        last_activity: now,
        sent: false,
        head_received: false,
        first_chunk_at: None,
        is_resume,
        idle_timeouts: attempts::idle_timeouts(
            &state.settings.limits,
            context.routes,
            entry,
            target,
        ),
    });
    let wake = attempts::next_check(entry);
    state.set_phase(key, RequestPhase::Running, wake);
    attempt
}

/// Reports that a request waits for its model, at most once per model in each
/// `RequestLimits::missing_model_interval`.
pub(crate) fn report_missing_model(
    state: &mut RequestState,
    now: ClockTime,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let WorkKind::Model { model, .. } = &entry.spec.work else {
        return;
    };
    let model = model.clone();
    entry.awaiting_model = true;
    if state
        .next_model_reports
        .get(&model)
        .is_some_and(|next| *next > now)
    {
        return;
    }
    let next = now + state.settings.limits.missing_model_interval;
    state.next_model_reports.retain(|_, next| *next > now);
    state.next_model_reports.insert(model.clone(), next);
    let is_waiting = |entry: &&RequestEntry| {
        let same_model =
            matches!(&entry.spec.work, WorkKind::Model { model: other, .. } if *other == model);
        entry.awaiting_model && same_model
    };
    let waiting = state.requests.values().filter(is_waiting).count();
    out.push(RequestEffect::ReportMissingModel {
        model,
        waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
    });
}
