//! Recovery from a lost attempt: a resume, a restart on another target, a lookup in the target's
//! execution record, or a refusal.
//!
//! Another target may generate a different text, so a restart is allowed only while the caller has
//! received nothing. After that, the stream is resumed on the target that generates it. If that
//! target no longer has the stream, the answer is reported as lost with outcome `unknown`.

use crate::arrival;
use crate::attempts;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::outcome;
use crate::records;
use crate::reduce::RequestContext;
use crate::retry;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// How an attempt was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLoss {
    /// Whether the target may have run the attempt.
    pub(crate) may_have_run: bool,
    /// Whether the target no longer has the stream.
    pub(crate) stream_gone: bool,
    /// Whether the stream is to be resumed even if the caller has received nothing of it.
    pub(crate) try_resume: bool,
    /// Reason to report if the request cannot be recovered.
    pub(crate) code: RefusalCode,
    /// Time after which the target asked for a retry, if it did.
    pub(crate) retry_after: Option<ClockTime>,
}

/// Closes the connection of an attempt that lost a part of its answer, and recovers the request.
pub(crate) fn abandon_attempt(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = attempts::take_attempt(state, key) else {
        return;
    };
    context.routes.record_failed(context.now, &current.target);
    out.push(RequestEffect::CloseAttempt {
        attempt: current.attempt,
        target: current.target,
    });
    let loss = AttemptLoss {
        may_have_run: true,
        stream_gone: false,
        try_resume: true,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recover(state, context, key, loss, out);
}

/// Decides how to continue a request whose attempt was lost.
pub(crate) fn recover(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    loss: AttemptLoss,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.may_have_run |= loss.may_have_run;
    if loss.stream_gone {
        entry.stream = None;
    }
    let partial = entry.head_delivered || entry.next_chunk > 0;
    let resumable = entry.stream.is_some() && (partial || loss.try_resume);
    if resumable && entry.resume_count < state.settings.limits.max_resumes {
        let wait = retry::backoff(&state.settings.limits, entry.resume_count, context.rng);
        let at = context.now + wait.max(loss.retry_after.unwrap_or(ClockTime::ZERO));
        return state.set_phase(key, RequestPhase::Resuming { at }, at);
    }
    if !entry.spec.idempotent && entry.may_have_run {
        return records::resolve_unanswered(state, context, key, out);
    }
    if partial {
        let code = RefusalCode::AnswerLost;
        return outcome::refuse(state, context, key, code, None, out);
    }
    restart(state, context, key, loss, out);
}

/// Schedules a new attempt of a request that may run again and whose caller has received nothing.
fn restart(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    loss: AttemptLoss,
    out: &mut Vec<RequestEffect>,
) {
    cancel_stream(state, key, out);
    report_if_not_resident(state, context, key, out);
    let limits = &state.settings.limits;
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.resume_count = 0;
    if entry.admitted.is_none() {
        // A resumed request has not passed admission. It is queued like a new one here, because its
        // caller has not a single chunk.
        return arrival::enqueue(state, context, key, out);
    }
    let wait = retry::backoff(limits, entry.attempt_count, context.rng)
        .max(loss.retry_after.unwrap_or(ClockTime::ZERO));
    let at = context.now + wait;
    if entry.attempt_count > limits.max_retries || at >= entry.spec.deadline {
        let wait = loss.retry_after.or(Some(outcome::RETRY_AFTER));
        return outcome::refuse(state, context, key, loss.code, wait, out);
    }
    if !state.retry_budget.try_take() {
        let wait = Some(outcome::RETRY_AFTER);
        return outcome::refuse(state, context, key, RefusalCode::RetryBudget, wait, out);
    }
    state.set_phase(key, RequestPhase::Retrying { at }, at);
}

/// Reports a model as missing once every target that has loaded it was tried without success.
///
/// This is needed because the last load report of a target that is down still lists its models.
fn report_if_not_resident(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let query = dispatch::route_query(entry, &entry.tried_targets, None);
    let choice = context.routes.choose(context.now, &query, context.rng);
    if choice == RouteChoice::NotResident {
        dispatch::report_missing_model(state, context.now, key, out);
    }
}

/// Cancels the request's stream at its engine, because nobody will resume it.
pub(crate) fn cancel_stream(
    state: &mut RequestState,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if let Some(stream) = entry.stream.take() {
        out.push(RequestEffect::CancelAttempt {
            attempt: stream.origin,
            target: stream.target,
        });
    }
}
