//! End of a request: the outcome reported to its caller, and the removal of its state.

use crate::attempts;
use crate::claims;
use crate::crash_suspects;
use crate::effect::{RefusalCode, RequestEffect, RequestRefusal, RequestSample};
use crate::reduce::RequestContext;
use crate::spec::RequestOutcome;
use crate::state::{RequestEntry, RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Wait before a retry that is suggested to callers if no better value is known.
pub(crate) const RETRY_AFTER: ClockTime = ClockTime::from_secs(1);

/// Returns the outcome to report for a request that has no whole answer.
pub(crate) fn outcome_of(entry: &RequestEntry) -> RequestOutcome {
    // A dispatched attempt counts as run until its end shows otherwise, because a cancellation can
    // cross with its first bytes. The call of another host's claim, or of another request with the
    // same key in this host, may have run too.
    let other_may_run = entry.other_claim.is_some() || entry.phase == RequestPhase::WaitingForOwner;
    if entry.may_have_run || entry.attempt.is_some() || other_may_run {
        RequestOutcome::Unknown
    } else {
        RequestOutcome::NotRun
    }
}

/// Reports a refusal to the caller, if there still is one; the request stays in the state.
pub(crate) fn send_refusal(
    state: &mut RequestState,
    context: &RequestContext<'_>,
    key: RequestKey,
    code: RefusalCode,
    retry_after: Option<ClockTime>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if entry.detached {
        return;
    }
    let outcome = match code {
        // The body of this request was not run, even if the other body with the same key was.
        RefusalCode::KeyConflict => RequestOutcome::NotRun,
        _ => outcome_of(entry),
    };
    let is_consistent = invariant!(
        outcome != RequestOutcome::NotRun || (!entry.may_have_run && entry.attempt.is_none()),
        "not_run_is_true",
        "request {key} is reported as not run after an attempt"
    );
    let outcome = match is_consistent {
        true => outcome,
        false => RequestOutcome::Unknown,
    };
    entry.refusal_code = Some(code);
    let refusal = RequestRefusal {
        code,
        outcome,
        retry_after,
    };
    out.push(RequestEffect::Refuse { key, refusal });
    let sample = Box::new(sample_of(entry, context.now, outcome));
    out.push(RequestEffect::EmitSample { key, sample });
}

/// Reports a refusal to the caller and removes the request.
pub(crate) fn refuse(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    code: RefusalCode,
    retry_after: Option<ClockTime>,
    out: &mut Vec<RequestEffect>,
) {
    send_refusal(state, context, key, code, retry_after, out);
    remove_request(state, context, key, out);
}

/// Closes the caller's complete answer and removes the request.
pub(crate) fn finish(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    complete(state, context, key, RequestEffect::Finish { key }, out);
}

/// Gives the caller a recorded answer and removes the request.
pub(crate) fn replay(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    complete(state, context, key, RequestEffect::Replay { key }, out);
}

/// Ends a request with a whole answer: passes `effect` to the caller and clears the digest.
fn complete(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    effect: RequestEffect,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let digest = entry.spec.digest;
    if !entry.detached {
        out.push(effect);
        let sample = Box::new(sample_of(entry, context.now, RequestOutcome::Completed));
        out.push(RequestEffect::EmitSample { key, sample });
    }
    crash_suspects::mark_completed(state, digest, out);
    remove_request(state, context, key, out);
}

/// Removes a request, cancels its attempt, releases its claim if nothing was sent, and starts the
/// next request that waits for the same idempotency key.
pub(crate) fn remove_request(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    attempts::cancel(state, context, key, out);
    claims::release(state, key, out);
    let Some(entry) = state.requests.remove(&key) else {
        return;
    };
    state.timers.remove(&(entry.wake_at, key));
    if entry.phase == RequestPhase::Queued {
        context.queue.remove(key);
    }
    if let Some(work) = &entry.admitted {
        context.queue.record_ended(context.now, work);
    }
    if let Some(row) = &entry.claim_row {
        claims::promote_waiter(state, key, row, out);
    }
}

/// Makes the sample of a request for the metrics and the log.
pub(crate) fn sample_of(
    entry: &RequestEntry,
    now: ClockTime,
    outcome: RequestOutcome,
) -> RequestSample {
    let stream_time = match (entry.first_chunk_at, entry.last_chunk_at) {
        (Some(first), Some(last)) => last.since(first),
        _ => ClockTime::ZERO,
    };
    RequestSample {
        tenant: entry.spec.tenant.clone(),
        class: entry.spec.class.clone(),
        target: entry.last_target.clone(),
        outcome,
        code: entry.refusal_code,
        queue_time: entry.dispatched.unwrap_or(now).since(entry.arrived),
        time_to_first_chunk: entry.first_chunk_at.map(|first| first.since(entry.arrived)),
        stream_time,
        total_time: now.since(entry.arrived),
        chunks: entry.next_chunk,
        attempts: entry.attempt_count,
    }
}
