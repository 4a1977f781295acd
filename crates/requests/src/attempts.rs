//! Heads, chunks and ends of attempts.
//!
//! Everything is matched by attempt id: what arrives for an attempt that is over is dropped, so a
//! late or crossed answer never reaches a caller.

use crate::blame;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::event::{AttemptEnd, SendStatus};
use crate::recover::{self, AttemptLoss};
use crate::reduce::RequestContext;
use crate::settle;
use crate::state::{
    AttemptEntry, RequestEntry, RequestLimits, RequestPhase, RequestState, SilenceLimits,
};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// Tokens within whose generation an engine's next chunk is expected.
const CHUNK_TOKENS: f64 = 20.0;

/// Returns the silence limits of an attempt, scaled to the target's load report.
pub(crate) fn silence_limits(
    limits: &RequestLimits,
    routes: &RouteTable,
    entry: &RequestEntry,
    target: &TargetName,
) -> SilenceLimits {
    let report = routes.report_of(target);
    let queueing = report.map_or(1.0, |report| {
        1.0 + f64::from(report.waiting) / f64::from(report.running.max(1))
    });
    if matches!(entry.spec.work, WorkKind::Service { .. }) {
        let silence = limits.service_idle_timeout.scale(queueing);
        return SilenceLimits {
            first: silence,
            between: silence,
        };
    }
    let seconds = |amount: f64, rate: f64| match rate > 0.0 {
        true => ClockTime::from_ms((1000.0 * amount / rate) as u64),
        false => ClockTime::ZERO,
    };
    let prefill = report.map_or(ClockTime::ZERO, |report| {
        let tokens = report.queued_tokens as f64 + f64::from(entry.spec.input_tokens);
        seconds(2.0 * tokens, report.prefill_rate)
    });
    let decode = report.map_or(ClockTime::ZERO, |report| {
        seconds(CHUNK_TOKENS, report.decode_rate)
    });
    SilenceLimits {
        first: limits.first_chunk_timeout.scale(queueing) + prefill,
        between: limits.between_chunks_timeout + decode,
    }
}

/// Returns the silence that an attempt is allowed at present.
pub(crate) fn allowed_silence(attempt: &AttemptEntry) -> ClockTime {
    match attempt.first {
        Some(_) => attempt.limits.between,
        None => attempt.limits.first,
    }
}

/// Returns when a request has to be looked at again, apart from its deadline.
pub(crate) fn next_check(entry: &RequestEntry) -> ClockTime {
    match (&entry.phase, &entry.attempt) {
        (_, Some(attempt)) => attempt.active + allowed_silence(attempt),
        (
            RequestPhase::Polling { at }
            | RequestPhase::Retrying { at }
            | RequestPhase::Resuming { at },
            None,
        ) => *at,
        (RequestPhase::Recording { retry, .. } | RequestPhase::Settling { retry }, None) => {
            retry.unwrap_or(ClockTime::NEVER)
        }
        _ => ClockTime::NEVER,
    }
}

fn entry_of(
    state: &mut RequestState,
    attempt: AttemptId,
) -> Option<(RequestKey, &mut RequestEntry)> {
    let key = *state.attempts.get(&attempt)?;
    let entry = state.requests.get_mut(&key)?;
    let current = entry.attempt.as_ref().map(|current| current.attempt);
    let matched = invariant!(
        current == Some(attempt),
        "attempt_belongs_to_request",
        "attempt {attempt} is not the current one of request {key}"
    );
    matched.then_some((key, entry))
}

/// Notes that the first bytes of an attempt are about to be sent.
pub(crate) fn sent(state: &mut RequestState, now: ClockTime, attempt: AttemptId) {
    if let Some((_, entry)) = entry_of(state, attempt) {
        if let Some(current) = &mut entry.attempt {
            current.sent = true;
            current.active = now;
        }
    }
}

/// Notes the head of an answer; it is passed on with the first chunk.
pub(crate) fn head(state: &mut RequestState, now: ClockTime, attempt: AttemptId) {
    if let Some((_, entry)) = entry_of(state, attempt) {
        if let Some(current) = &mut entry.attempt {
            current.head = true;
            current.active = now;
        }
    }
}

/// Delivers a chunk if it is the next one of the answer.
pub(crate) fn chunk(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    attempt: AttemptId,
    index: u32,
    data: Bytes,
    out: &mut Vec<RequestEffect>,
) {
    let Some((key, entry)) = entry_of(state, attempt) else {
        return;
    };
    let Some(current) = &mut entry.attempt else {
        return;
    };
    current.active = context.now;
    if index < entry.next {
        return;
    }
    if index > entry.next || !current.head {
        return recover::abandon(state, context, key, out);
    }
    let begins = current.first.is_none();
    current.first.get_or_insert(context.now);
    entry.first.get_or_insert(context.now);
    entry.last = Some(context.now);
    entry.resumes = 0;
    let target = current.target.clone();
    let origin = entry
        .stream
        .as_ref()
        .map_or(attempt, |stream| stream.origin);
    let same_target = invariant!(
        entry
            .stream
            .as_ref()
            .is_none_or(|stream| stream.target == target),
        "answer_has_one_source",
        "request {key} got chunk {index} from {target}, which does not run its stream"
    );
    if !same_target {
        return;
    }
    deliver_head(entry, key, attempt, out);
    entry.next += 1;
    if !entry.detached {
        out.push(RequestEffect::DeliverChunk {
            key,
            attempt: origin,
            target,
            index,
            data,
        });
    }
    if begins {
        // The limit between chunks may end before the timer for the first chunk.
        let wake = next_check(entry);
        state.set_wake(key, wake);
    }
}

fn deliver_head(
    entry: &mut RequestEntry,
    key: RequestKey,
    attempt: AttemptId,
    out: &mut Vec<RequestEffect>,
) {
    if !entry.head && !entry.detached {
        out.push(RequestEffect::DeliverHead { key, attempt });
    }
    entry.head = true;
}

/// Takes the end of an attempt.
pub(crate) fn ended(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    attempt: AttemptId,
    end: &AttemptEnd,
    out: &mut Vec<RequestEffect>,
) {
    let Some((key, entry)) = entry_of(state, attempt) else {
        return;
    };
    let next = entry.next;
    match *end {
        AttemptEnd::Complete => complete(state, context, key, next, out),
        AttemptEnd::CompleteWith { chunks } => complete(state, context, key, chunks, out),
        AttemptEnd::Refused {
            status,
            retry_after,
        } => refused(state, context, key, status, retry_after, out),
        AttemptEnd::Failed {
            send_status,
            connection_reset,
        } => failed(state, context, key, send_status, connection_reset, out),
        AttemptEnd::StreamGone => gone(state, context, key, out),
    }
}

fn complete(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    chunks: u32,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let has_head = entry.head || entry.attempt.as_ref().is_some_and(|current| current.head);
    if chunks != entry.next || !has_head {
        return recover::abandon(state, context, key, out);
    }
    let Some(current) = take(state, key) else {
        return;
    };
    let first = current.first.map(|first| first.since(current.started));
    context
        .routes
        .record_ended(context.now, &current.target, first);
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.may_have_run = true;
    entry.stream = None;
    deliver_head(entry, key, current.attempt, out);
    if entry.row.is_some() {
        settle::record(state, key, Some(current.attempt), out);
    } else {
        ending::finish(state, context, key, out);
    }
}

fn refused(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    status: u16,
    retry_after: Option<ClockTime>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take(state, key) else {
        return;
    };
    let work = state.requests.get(&key).map(|entry| &entry.spec.work);
    context
        .routes
        .record_refused(context.now, &current.target, status, work);
    let overloaded = matches!(status, 429 | 503);
    let entry = state.requests.get(&key);
    let once = entry.is_some_and(|entry| !entry.spec.idempotent);
    // A target cannot refuse what it has begun to answer. That it refuses a call is no proof that
    // it did not run it.
    let ran = !current.resumes && (current.first.is_some() || once);
    if !overloaded && !ran && !current.resumes {
        let code = RefusalCode::TargetRefused;
        return ending::refuse(state, context, key, code, retry_after, out);
    }
    let loss = AttemptLoss {
        ran,
        gone: false,
        resume: current.resumes,
        code: RefusalCode::TargetRefused,
        retry_after,
    };
    recover::recover(state, context, key, loss, out);
}

fn failed(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    send_status: SendStatus,
    connection_reset: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take(state, key) else {
        return;
    };
    context.routes.record_failed(context.now, &current.target);
    let ran = send_status == SendStatus::MaybeSent || current.sent || current.head;
    let entry = state.requests.get_mut(&key);
    let digest = entry.map(|entry| {
        entry.unreached += usize::from(!ran);
        entry.spec.digest
    });
    if let (true, true, Some(digest)) = (connection_reset, ran, digest) {
        blame::blame_crash(state, context.now, digest, &current.target, out);
    }
    let loss = AttemptLoss {
        ran,
        gone: false,
        resume: current.resumes && !connection_reset,
        code: match ran {
            true => RefusalCode::AnswerLost,
            false => RefusalCode::Unavailable,
        },
        retry_after: None,
    };
    recover::recover(state, context, key, loss, out);
}

fn gone(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take(state, key) else {
        return;
    };
    context
        .routes
        .record_ended(context.now, &current.target, None);
    let loss = AttemptLoss {
        ran: true,
        gone: true,
        resume: false,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recover::recover(state, context, key, loss, out);
}

/// Takes the attempt in progress out of a request, so that nothing of it is accepted any more.
pub(crate) fn take(state: &mut RequestState, key: RequestKey) -> Option<AttemptEntry> {
    let current = state.requests.get_mut(&key)?.attempt.take()?;
    state.attempts.remove(&current.attempt);
    if let Some(running) = state.at_target.get_mut(&current.target) {
        running.remove(&key);
        if running.is_empty() {
            state.at_target.remove(&current.target);
        }
    }
    Some(current)
}

/// Stops the attempt in progress, if there is one; work that may not run twice is not stopped at
/// the target.
pub(crate) fn cancel(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take(state, key) else {
        return;
    };
    context
        .routes
        .record_ended(context.now, &current.target, None);
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.may_have_run = true;
    let attempt = current.attempt;
    let target = current.target;
    if current.resumes || !entry.spec.idempotent {
        out.push(RequestEffect::CloseAttempt { attempt, target });
        recover::cancel_stream(state, key, out);
    } else {
        entry.stream = None;
        out.push(RequestEffect::CancelAttempt { attempt, target });
    }
}

/// Lets a call go on without its caller.
pub(crate) fn detach(state: &mut RequestState, key: RequestKey) {
    if let Some(entry) = state.requests.get_mut(&key) {
        entry.detached = true;
        let wake = next_check(entry);
        state.set_wake(key, wake);
    }
}

/// Returns whether a call has to be followed to its end although nobody waits for it.
pub(crate) fn must_go_on(entry: &RequestEntry) -> bool {
    let collecting = matches!(
        entry.phase,
        RequestPhase::Running | RequestPhase::Recording { .. } | RequestPhase::Settling { .. }
    );
    // A claim whose write is under way is released only after the write's answer, which says
    // whether there is anything to release.
    let claiming = entry.claiming && !entry.granted;
    // Settling for another host's claim is only waiting.
    !entry.spec.idempotent && (collecting || claiming) && entry.holder.is_none()
}

/// Drops a request whose caller has left, or lets it go on unseen if it may not run twice.
pub(crate) fn caller_gone(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if !entry.detached {
        let outcome = ending::outcome_of(entry);
        let sample = Box::new(ending::sample_of(entry, context.now, outcome));
        out.push(RequestEffect::EmitSample { key, sample });
    }
    if must_go_on(entry) {
        return detach(state, key);
    }
    cancel(state, context, key, out);
    recover::cancel_stream(state, key, out);
    ending::end(state, context, key, out);
}
