//! The end of a request: what its caller is told, and what is cleaned up.

use crate::attempts;
use crate::blame;
use crate::claims;
use crate::effect::{RefusalCode, RequestEffect, RequestRefusal, RequestSample};
use crate::reduce::RequestContext;
use crate::spec::RequestOutcome;
use crate::state::{RequestEntry, RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Wait suggested to callers when nothing better is known.
pub(crate) const RETRY_AFTER: ClockTime = ClockTime::from_secs(1);

/// Returns what can truly be said of a request that has no whole answer.
pub(crate) fn outcome_of(entry: &RequestEntry) -> RequestOutcome {
    // A dispatched attempt counts as run until its end shows otherwise: a cancellation can cross
    // with its first bytes. A claim of another host, or a call with the same key in this host,
    // may have run too.
    let held = entry.holder.is_some() || entry.phase == RequestPhase::Joined;
    if entry.may_have_run || entry.attempt.is_some() || held {
        RequestOutcome::Unknown
    } else {
        RequestOutcome::NotRun
    }
}

/// Tells the caller of a refusal; the entry stays.
pub(crate) fn tell_refusal(
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
        // The body of this request was not run, whatever became of the other one.
        RefusalCode::KeyConflict => RequestOutcome::NotRun,
        _ => outcome_of(entry),
    };
    let truthful = invariant!(
        outcome != RequestOutcome::NotRun || (!entry.may_have_run && entry.attempt.is_none()),
        "not_run_is_true",
        "request {key} is reported as not run after an attempt"
    );
    let outcome = match truthful {
        true => outcome,
        false => RequestOutcome::Unknown,
    };
    entry.code = Some(code);
    let refusal = RequestRefusal {
        code,
        outcome,
        retry_after,
    };
    out.push(RequestEffect::Refuse { key, refusal });
    let sample = Box::new(sample_of(entry, context.now, outcome));
    out.push(RequestEffect::EmitSample { key, sample });
}

/// Refuses a request and ends it.
pub(crate) fn refuse(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    code: RefusalCode,
    retry_after: Option<ClockTime>,
    out: &mut Vec<RequestEffect>,
) {
    tell_refusal(state, context, key, code, retry_after, out);
    end(state, context, key, out);
}

/// Closes the caller's answer, which is whole, and ends the request.
pub(crate) fn finish(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    close(state, context, key, RequestEffect::Finish { key }, out);
}

/// Gives the caller a stored answer and ends the request.
pub(crate) fn replay(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    close(state, context, key, RequestEffect::Replay { key }, out);
}

fn close(
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
    blame::clear_completed(state, digest, out);
    end(state, context, key, out);
}

/// Removes a request, cancels its attempt and hands its key to the next waiting repeat.
pub(crate) fn end(
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
    state.timers.remove(&(entry.wake, key));
    if entry.phase == RequestPhase::Queued {
        context.queue.remove(key);
    }
    if let Some(work) = &entry.admitted {
        context.queue.record_ended(context.now, work);
    }
    if let Some(row) = &entry.row {
        claims::hand_over(state, key, row, out);
    }
}

/// Makes the figures of a request for the metrics.
pub(crate) fn sample_of(
    entry: &RequestEntry,
    now: ClockTime,
    outcome: RequestOutcome,
) -> RequestSample {
    let stream_time = match (entry.first, entry.last) {
        (Some(first), Some(last)) => last.since(first),
        _ => ClockTime::ZERO,
    };
    RequestSample {
        tenant: entry.spec.tenant.clone(),
        class: entry.spec.class.clone(),
        target: entry.target.clone(),
        outcome,
        code: entry.code,
        queue_time: entry.dispatched.unwrap_or(now).since(entry.arrived),
        time_to_first_chunk: entry.first.map(|first| first.since(entry.arrived)),
        stream_time,
        total_time: now.since(entry.arrived),
        chunks: entry.next,
        attempts: entry.attempts,
    }
}
