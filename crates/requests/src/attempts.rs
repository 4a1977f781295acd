//! Heads, chunks and ends of attempts.
//!
//! Events are matched to requests by attempt id. Events of an attempt that is over are ignored, so
//! that an answer that arrives late, or crosses with a cancellation, never reaches a caller.

use crate::crash_suspects;
use crate::effect::{RefusalCode, RequestEffect};
use crate::event::{AttemptEnd, SendStatus};
use crate::outcome;
use crate::records;
use crate::recovery::{self, AttemptLoss};
use crate::reduce::RequestContext;
use crate::state::{
    AttemptEntry, IdleTimeouts, RequestEntry, RequestLimits, RequestPhase, RequestState,
};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// An engine's next chunk is expected within the time to generate this many tokens.
const CHUNK_TOKENS: f64 = 20.0;

/// Returns the idle timeouts of an attempt, scaled to the target's load report.
pub(crate) fn idle_timeouts(
    limits: &RequestLimits,
    routes: &RouteTable,
    entry: &RequestEntry,
    target: &TargetName,
) -> IdleTimeouts {
    let report = routes.report_of(target);
    let queue_factor = report.map_or(1.0, |report| {
        1.0 + f64::from(report.waiting) / f64::from(report.running.max(1))
    });
    if matches!(entry.spec.work, WorkKind::Service { .. }) {
        let timeout = limits.service_idle_timeout.scale(queue_factor);
        return IdleTimeouts {
            first_chunk: timeout,
            between_chunks: timeout,
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
    IdleTimeouts {
        first_chunk: limits.first_chunk_timeout.scale(queue_factor) + prefill,
        between_chunks: limits.between_chunks_timeout + decode,
    }
}

/// Returns the idle timeout that applies to an attempt at present.
pub(crate) fn idle_timeout(attempt: &AttemptEntry) -> ClockTime {
    match attempt.first_chunk_at {
        Some(_) => attempt.idle_timeouts.between_chunks,
        None => attempt.idle_timeouts.first_chunk,
    }
}

/// Returns the time at which a request needs the next action, apart from its deadline.
pub(crate) fn next_check(entry: &RequestEntry) -> ClockTime {
    match (&entry.phase, &entry.attempt) {
        (_, Some(attempt)) => attempt.last_activity + idle_timeout(attempt),
        (
            RequestPhase::PollingClaim { at }
            | RequestPhase::Retrying { at }
            | RequestPhase::Resuming { at },
            None,
        ) => *at,
        (RequestPhase::Recording { retry_at, .. } | RequestPhase::Checking { retry_at }, None) => {
            retry_at.unwrap_or(ClockTime::NEVER)
        }
        _ => ClockTime::NEVER,
    }
}

/// Returns the request whose attempt in progress is `attempt`, or `None` if the attempt is over.
fn current_entry(
    state: &mut RequestState,
    attempt: AttemptId,
) -> Option<(RequestKey, &mut RequestEntry)> {
    let key = *state.attempts.get(&attempt)?;
    let entry = state.requests.get_mut(&key)?;
    let current = entry.attempt.as_ref().map(|current| current.attempt);
    let matched = invariant!(
        current == Some(attempt),
        "attempt_belongs_to_request",
        "attempt {attempt} is not the one that request {key} has in progress"
    );
    matched.then_some((key, entry))
}

/// Records that the first bytes of an attempt are about to be sent.
pub(crate) fn on_sent(state: &mut RequestState, now: ClockTime, attempt: AttemptId) {
    if let Some((_, entry)) = current_entry(state, attempt) {
        if let Some(current) = &mut entry.attempt {
            current.sent = true;
            current.last_activity = now;
        }
    }
}

/// Records the arrival of an answer's head, which is passed on with the first chunk.
pub(crate) fn on_head(state: &mut RequestState, now: ClockTime, attempt: AttemptId) {
    if let Some((_, entry)) = current_entry(state, attempt) {
        if let Some(current) = &mut entry.attempt {
            current.head_received = true;
            current.last_activity = now;
        }
    }
}

/// Delivers a chunk if it is the next one of the answer; a gap abandons the attempt.
pub(crate) fn on_chunk(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    attempt: AttemptId,
    index: u32,
    data: Bytes,
    out: &mut Vec<RequestEffect>,
) {
    let Some((key, entry)) = current_entry(state, attempt) else {
        return;
    };
    let Some(current) = &mut entry.attempt else {
        return;
    };
    current.last_activity = context.now;
    if index < entry.next_chunk {
        return;
    }
    if index > entry.next_chunk || !current.head_received {
        return recovery::abandon_attempt(state, context, key, out);
    }
    let is_first_chunk = current.first_chunk_at.is_none();
    current.first_chunk_at.get_or_insert(context.now);
    entry.first_chunk_at.get_or_insert(context.now);
    entry.last_chunk_at = Some(context.now);
    entry.resume_count = 0;
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
    entry.next_chunk += 1;
    if !entry.detached {
        out.push(RequestEffect::DeliverChunk {
            key,
            attempt: origin,
            target,
            index,
            data,
        });
    }
    if is_first_chunk {
        // The timeout between chunks may end before the timer for the first chunk.
        let wake = next_check(entry);
        state.set_wake(key, wake);
    }
}

/// Passes the head of an answer to the caller, unless a head was passed before or the caller left.
fn deliver_head(
    entry: &mut RequestEntry,
    key: RequestKey,
    attempt: AttemptId,
    out: &mut Vec<RequestEffect>,
) {
    if !entry.head_delivered && !entry.detached {
        out.push(RequestEffect::DeliverHead { key, attempt });
    }
    entry.head_delivered = true;
}

/// Handles the end of an attempt.
pub(crate) fn on_ended(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    attempt: AttemptId,
    end: &AttemptEnd,
    out: &mut Vec<RequestEffect>,
) {
    let Some((key, entry)) = current_entry(state, attempt) else {
        return;
    };
    let next = entry.next_chunk;
    match *end {
        AttemptEnd::Complete => on_complete(state, context, key, next, out),
        AttemptEnd::CompleteWith { chunks } => on_complete(state, context, key, chunks, out),
        AttemptEnd::Refused {
            status,
            retry_after,
        } => on_refused(state, context, key, status, retry_after, out),
        AttemptEnd::Failed {
            send_status,
            connection_reset,
        } => on_failed(state, context, key, send_status, connection_reset, out),
        AttemptEnd::StreamGone => on_stream_gone(state, context, key, out),
    }
}

fn on_complete(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    chunks: u32,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let has_head = entry.head_delivered
        || entry
            .attempt
            .as_ref()
            .is_some_and(|current| current.head_received);
    if chunks != entry.next_chunk || !has_head {
        return recovery::abandon_attempt(state, context, key, out);
    }
    let Some(current) = take_attempt(state, key) else {
        return;
    };
    let first = current
        .first_chunk_at
        .map(|first| first.since(current.started));
    context
        .routes
        .record_ended(context.now, &current.target, first);
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.may_have_run = true;
    entry.stream = None;
    deliver_head(entry, key, current.attempt, out);
    if entry.claim_row.is_some() {
        records::store(state, key, Some(current.attempt), out);
    } else {
        outcome::finish(state, context, key, out);
    }
}

fn on_refused(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    status: u16,
    retry_after: Option<ClockTime>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take_attempt(state, key) else {
        return;
    };
    let work = state.requests.get(&key).map(|entry| &entry.spec.work);
    context
        .routes
        .record_refused(context.now, &current.target, status, work);
    let overloaded = matches!(status, 429 | 503);
    let entry = state.requests.get(&key);
    let runs_once = entry.is_some_and(|entry| !entry.spec.idempotent);
    // A target that has sent chunks has run the attempt, even if it refuses it afterwards. For a
    // call that may not run twice, a refusal does not prove that the target has not run it.
    let may_have_run = !current.is_resume && (current.first_chunk_at.is_some() || runs_once);
    if !overloaded && !may_have_run && !current.is_resume {
        let code = RefusalCode::TargetRefused;
        return outcome::refuse(state, context, key, code, retry_after, out);
    }
    let loss = AttemptLoss {
        may_have_run,
        stream_gone: false,
        try_resume: current.is_resume,
        code: RefusalCode::TargetRefused,
        retry_after,
    };
    recovery::recover(state, context, key, loss, out);
}

fn on_failed(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    send_status: SendStatus,
    connection_reset: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take_attempt(state, key) else {
        return;
    };
    context.routes.record_failed(context.now, &current.target);
    let may_have_run =
        send_status == SendStatus::MaybeSent || current.sent || current.head_received;
    let entry = state.requests.get_mut(&key);
    let digest = entry.map(|entry| {
        entry.unsent_attempts += usize::from(!may_have_run);
        entry.spec.digest
    });
    if let (true, true, Some(digest)) = (connection_reset, may_have_run, digest) {
        crash_suspects::report_crash(state, context.now, digest, &current.target, out);
    }
    let loss = AttemptLoss {
        may_have_run,
        stream_gone: false,
        try_resume: current.is_resume && !connection_reset,
        code: match may_have_run {
            true => RefusalCode::AnswerLost,
            false => RefusalCode::Unavailable,
        },
        retry_after: None,
    };
    recovery::recover(state, context, key, loss, out);
}

fn on_stream_gone(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take_attempt(state, key) else {
        return;
    };
    context
        .routes
        .record_ended(context.now, &current.target, None);
    let loss = AttemptLoss {
        may_have_run: true,
        stream_gone: true,
        try_resume: false,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recovery::recover(state, context, key, loss, out);
}

/// Removes the attempt in progress from a request, so that its later events are ignored.
pub(crate) fn take_attempt(state: &mut RequestState, key: RequestKey) -> Option<AttemptEntry> {
    let current = state.requests.get_mut(&key)?.attempt.take()?;
    state.attempts.remove(&current.attempt);
    if let Some(requests) = state.requests_by_target.get_mut(&current.target) {
        requests.remove(&key);
        if requests.is_empty() {
            state.requests_by_target.remove(&current.target);
        }
    }
    Some(current)
}

/// Ends the attempt in progress, if there is one.
///
/// Work that may not run twice is not cancelled at the target; only its connection is closed.
pub(crate) fn cancel(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = take_attempt(state, key) else {
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
    if current.is_resume || !entry.spec.idempotent {
        out.push(RequestEffect::CloseAttempt { attempt, target });
        recovery::cancel_stream(state, key, out);
    } else {
        entry.stream = None;
        out.push(RequestEffect::CancelAttempt { attempt, target });
    }
}

/// Lets a call continue without its caller.
pub(crate) fn detach(state: &mut RequestState, key: RequestKey) {
    if let Some(entry) = state.requests.get_mut(&key) {
        entry.detached = true;
        let wake = next_check(entry);
        state.set_wake(key, wake);
    }
}

/// Returns whether a call has to continue to its end although its caller has left.
pub(crate) fn must_outlive_caller(entry: &RequestEntry) -> bool {
    let in_progress = matches!(
        entry.phase,
        RequestPhase::Running | RequestPhase::Recording { .. } | RequestPhase::Checking { .. }
    );
    // A claim that is being written is released only after the reply to the write, which shows
    // whether there is anything to release.
    let writing_claim = entry.claim_requested && !entry.claim_granted;
    // A request that looks up the call of another host's claim only waits and need not continue.
    !entry.spec.idempotent && (in_progress || writing_claim) && entry.other_claim.is_none()
}

/// Ends a request whose caller has left, or detaches it if it must continue to its end.
pub(crate) fn caller_left(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if !entry.detached {
        let outcome = outcome::outcome_of(entry);
        let sample = Box::new(outcome::sample_of(entry, context.now, outcome));
        out.push(RequestEffect::EmitSample { key, sample });
    }
    if must_outlive_caller(entry) {
        return detach(state, key);
    }
    cancel(state, context, key, out);
    recovery::cancel_stream(state, key, out);
    outcome::remove_request(state, context, key, out);
}
