//! What follows on a lost attempt: a resume, a restart elsewhere, the target's record or a refusal.
//!
//! Another target may generate a different text, so a restart is allowed only while the caller has
//! nothing. After that, the stream is resumed on the target that generates it; if the target no
//! longer has it, the answer is reported as lost with outcome `unknown`.

use crate::arrival;
use crate::attempts;
use crate::budget;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::reduce::RequestContext;
use crate::settle;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// How an attempt was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLoss {
    /// Whether the target may have run it.
    pub(crate) ran: bool,
    /// Whether the target no longer has the stream.
    pub(crate) gone: bool,
    /// Whether the stream is to be resumed even if the caller has nothing of it.
    pub(crate) resume: bool,
    /// Code of the refusal if nothing can be done.
    pub(crate) code: RefusalCode,
    /// Wait that the target asked for.
    pub(crate) retry_after: Option<ClockTime>,
}

/// Gives up the connection of an attempt that lost a part of its answer.
pub(crate) fn abandon(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(current) = attempts::take(state, key) else {
        return;
    };
    context.routes.record_failed(context.now, &current.target);
    out.push(RequestEffect::CloseAttempt {
        attempt: current.attempt,
        target: current.target,
    });
    let loss = AttemptLoss {
        ran: true,
        gone: false,
        resume: true,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recover(state, context, key, loss, out);
}

/// Decides what follows on a lost attempt.
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
    entry.may_have_run |= loss.ran;
    if loss.gone {
        entry.stream = None;
    }
    let partial = entry.head || entry.next > 0;
    let resumable = entry.stream.is_some() && (partial || loss.resume);
    if resumable && entry.resumes < state.settings.limits.max_resumes {
        let wait = budget::backoff(&state.settings.limits, entry.resumes, context.rng);
        let at = context.now + wait.max(loss.retry_after.unwrap_or(ClockTime::ZERO));
        return state.set_phase(key, RequestPhase::Resuming { at }, at);
    }
    if !entry.spec.idempotent && entry.may_have_run {
        return settle::settle(state, context, key, out);
    }
    if partial {
        let code = RefusalCode::AnswerLost;
        return ending::refuse(state, context, key, code, None, out);
    }
    restart(state, context, key, loss, out);
}

/// Runs a request again whose caller has nothing, and which may run again.
fn restart(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    loss: AttemptLoss,
    out: &mut Vec<RequestEffect>,
) {
    cancel_stream(state, key, out);
    want_elsewhere(state, context, key, out);
    let limits = &state.settings.limits;
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.resumes = 0;
    if entry.admitted.is_none() {
        // A reconnected caller without a single chunk: the work enters like a new request.
        return arrival::enqueue(state, context, key, out);
    }
    let wait = budget::backoff(limits, entry.attempts, context.rng)
        .max(loss.retry_after.unwrap_or(ClockTime::ZERO));
    let at = context.now + wait;
    if entry.attempts > limits.max_retries || at >= entry.spec.deadline {
        let wait = loss.retry_after.or(Some(ending::RETRY_AFTER));
        return ending::refuse(state, context, key, loss.code, wait, out);
    }
    if !state.budget.take() {
        let wait = Some(ending::RETRY_AFTER);
        return ending::refuse(state, context, key, RefusalCode::RetryBudget, wait, out);
    }
    state.set_phase(key, RequestPhase::Retrying { at }, at);
}

/// Asks for a model to be loaded elsewhere once every target that holds it was tried in vain.
///
/// The last report of a target that is down goes on listing its models.
fn want_elsewhere(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let query = dispatch::query_of(entry, &entry.tried, None);
    let choice = context.routes.choose(context.now, &query, context.rng);
    if choice == RouteChoice::NotResident {
        dispatch::want_model(state, context.now, key, out);
    }
}

/// Stops a stream at its engine that nobody will resume.
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
