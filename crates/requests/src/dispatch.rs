//! Choice of a target and dispatch of attempts.

use crate::attempts;
use crate::blame::{self, ProvenTable};
use crate::budget;
use crate::claims;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::reduce::RequestContext;
use crate::state::{AttemptEntry, RequestEntry, RequestPhase, RequestState, StreamState};
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Makes the question to the route table for a request.
pub(crate) fn query_of<'a>(
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

/// Asks the route table for a target that the request has not tried, if there is one.
pub(crate) fn choose(
    context: &mut RequestContext<'_>,
    proven: &ProvenTable,
    entry: &RequestEntry,
) -> RouteChoice {
    choose_target(context.now, context.routes, context.rng, proven, entry)
}

fn choose_target(
    now: ClockTime,
    routes: &RouteTable,
    rng: &mut SeededRng,
    proven: &ProvenTable,
    entry: &RequestEntry,
) -> RouteChoice {
    let mut shared = blame::shared_rng(proven, entry.spec.digest, entry.tried.len());
    let rng = shared.as_mut().unwrap_or(rng);
    let last = match entry.tried.is_empty() {
        true => None,
        false => entry.target.as_ref(),
    };
    let avoid_domain = last.and_then(|target| routes.domain_of(target));
    let choice = routes.choose(now, &query_of(entry, &entry.tried, avoid_domain), rng);
    match choice {
        RouteChoice::NotResident | RouteChoice::Unavailable if !entry.tried.is_empty() => {
            routes.choose(now, &query_of(entry, &[], avoid_domain), rng)
        }
        choice => choice,
    }
}

/// Takes work from the admission queue while there are targets for it.
pub(crate) fn pump(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    out: &mut Vec<RequestEffect>,
) {
    let mut blocked: Vec<Arc<str>> = Vec::new();
    let mut absent: Vec<RequestKey> = Vec::new();
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
            match choose_target(*now, routes, rng, &state.proven, entry) {
                RouteChoice::Target { target, .. } => {
                    chosen.push((work.key, target));
                    return true;
                }
                RouteChoice::NotResident => absent.push(work.key),
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
        entry.wants_model = false;
        entry.dispatched = Some(context.now);
        // The queue may ask about several requests before it takes one of them.
        match chosen.into_iter().rev().find(|(other, _)| *other == key) {
            Some((_, target)) => launch(state, context, key, target, out),
            None => wait_for_target(state, key, context.now),
        }
    }
    for key in absent {
        want_model(state, context.now, key, out);
    }
}

/// Sends an admitted request to a target, or writes its claim first.
pub(crate) fn launch(
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
        // Its caller has left, or was told that it was not run.
        return ending::end(state, context, key, out);
    }
    let needs_claim = entry.row.is_some() && !entry.granted;
    let names_other = claims::names_other(entry, &target);
    let open = claims::window_open(entry, &state.settings.limits, context.now);
    if blame::is_suspect(state, context.now, entry.spec.digest) {
        let wait = Some(state.settings.limits.crash_suspect_ttl);
        return ending::refuse(state, context, key, RefusalCode::CrashSuspect, wait, out);
    }
    if blame::must_wait(state, context.now, key) {
        let wait = budget::backoff(&state.settings.limits, 1, context.rng);
        return wait_for_target(state, key, context.now + wait);
    }
    if !open {
        let wait = Some(ending::RETRY_AFTER);
        return ending::refuse(
            state,
            context,
            key,
            RefusalCode::ClaimUnavailable,
            wait,
            out,
        );
    }
    if needs_claim {
        claims::write(state, context, key, target, out);
    } else if names_other {
        claims::retarget(state, key, target, out);
    } else {
        send(state, context, key, target, out);
    }
}

/// Lets an admitted request ask for a target at a later time.
pub(crate) fn wait_for_target(state: &mut RequestState, key: RequestKey, at: ClockTime) {
    state.set_phase(key, RequestPhase::Retrying { at }, at);
}

/// Asks again for a target for an admitted request.
pub(crate) fn retry(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if let Some(target) = claims::untried_target(entry, context.routes) {
        return launch(state, context, key, target, out);
    }
    let limits = &state.settings.limits;
    match choose(context, &state.proven, entry) {
        RouteChoice::Target { target, .. } => launch(state, context, key, target, out),
        RouteChoice::Busy { estimate } => {
            let wait = estimate.max(limits.initial_backoff).min(limits.max_backoff);
            let at = context.now + budget::jitter(wait, context.rng);
            wait_for_target(state, key, at);
        }
        RouteChoice::NotResident => {
            let at = context.now + budget::jitter(limits.max_backoff, context.rng);
            want_model(state, context.now, key, out);
            wait_for_target(state, key, at);
        }
        RouteChoice::Unavailable => {
            let wait = Some(ending::RETRY_AFTER);
            ending::refuse(state, context, key, RefusalCode::Unavailable, wait, out);
        }
    }
}

/// Sends an attempt.
pub(crate) fn send(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let once = invariant!(
        entry.spec.idempotent || !entry.may_have_run,
        "runs_at_most_once",
        "request {key} would be dispatched after an attempt that may have run"
    );
    let claimed = invariant!(
        entry.row.is_none() || (entry.granted && entry.claim.is_some()),
        "claim_before_dispatch",
        "request {key} would be dispatched without its claim"
    );
    let single = invariant!(
        entry.attempt.is_none() && entry.next == 0 && !entry.head,
        "one_attempt_at_a_time",
        "request {key} would be dispatched beside an attempt or after a part of an answer"
    );
    let awaited = invariant!(
        !entry.detached,
        "dispatch_for_a_caller",
        "request {key} would be dispatched after its caller's end"
    );
    if !(once && claimed && single && awaited) {
        return ending::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    let attempt = start(state, context, key, &target, false);
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.attempts += 1;
    entry.held = None;
    entry.tried.push(target.clone());
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

/// Sends an attempt that continues the request's stream on its target.
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
    entry.resumes += 1;
    let from = entry.next;
    let attempt = start(state, context, key, &stream.target, true);
    out.push(RequestEffect::Dispatch {
        key,
        attempt,
        target: stream.target,
        resume: Some((stream.origin, from)),
    });
}

fn start(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target: &TargetName,
    resumes: bool,
) -> AttemptId {
    let now = context.now;
    let attempt = AttemptId(state.make_id());
    state.attempts.insert(attempt, key);
    let running = state.at_target.entry(target.clone()).or_default();
    running.insert(key);
    let Some(entry) = state.requests.get_mut(&key) else {
        return attempt;
    };
    context
        .routes
        .record_sent(now, target, &query_of(entry, &[], None));
    entry.target = Some(target.clone());
    entry.failures = 0;
    entry.attempt = Some(AttemptEntry {
        attempt,
        target: target.clone(),
        started: now,
        active: now,
        sent: false,
        head: false,
        first: None,
        resumes,
        limits: attempts::silence_limits(&state.settings.limits, context.routes, entry, target),
    });
    let wake = attempts::next_check(entry);
    state.set_phase(key, RequestPhase::Running, wake);
    attempt
}

/// Asks for a model to be loaded, at most once per interval.
pub(crate) fn want_model(
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
    entry.wants_model = true;
    if state.wanted.get(&model).is_some_and(|next| *next > now) {
        return;
    }
    let next = now + state.settings.limits.demand_interval;
    state.wanted.retain(|_, next| *next > now);
    state.wanted.insert(model.clone(), next);
    let waits = |entry: &&RequestEntry| {
        let same =
            matches!(&entry.spec.work, WorkKind::Model { model: other, .. } if *other == model);
        entry.wants_model && same
    };
    let waiting = state.requests.values().filter(waits).count();
    out.push(RequestEffect::DemandModel {
        model,
        waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
    });
}
