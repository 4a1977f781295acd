//! Recording of answers under claims, and settling of unanswered calls by the target's record.

use crate::budget;
use crate::claims;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::reduce::RequestContext;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Records an answer under the claim: that of an attempt, or the one of the target's record.
pub(crate) fn record(
    state: &mut RequestState,
    key: RequestKey,
    answer: Option<AttemptId>,
    out: &mut Vec<RequestEffect>,
) {
    let phase = RequestPhase::Recording {
        answer,
        retry: None,
    };
    state.set_phase(key, phase, ClockTime::NEVER);
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let claim = entry.holder.as_ref().or(entry.claim.as_ref());
    if let (Some(row), Some(claim)) = (&entry.row, claim) {
        out.push(RequestEffect::RecordAnswer {
            key,
            row: row.clone(),
            claim: claim.claim,
            attempt: answer,
        });
    }
}

/// Takes the table service's answer to the recording of an answer.
pub(crate) fn record_answered(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    stored: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let RequestPhase::Recording {
        answer,
        retry: None,
    } = entry.phase
    else {
        return;
    };
    entry.failures += 1;
    if stored || entry.failures >= state.settings.limits.max_table_tries {
        return close_recorded(state, context, key, out);
    }
    let wait = budget::backoff(&state.settings.limits, entry.failures, context.rng);
    let at = context.now + wait;
    let phase = RequestPhase::Recording {
        answer,
        retry: Some(at),
    };
    state.set_phase(key, phase, at);
}

/// Gives the caller its answer after the recording, or after the recording failed for good.
///
/// The answer is whole, so withholding it would help nobody; repeats find the claim in doubt and
/// are settled by the target's record.
pub(crate) fn close_recorded(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let RequestPhase::Recording { answer, .. } = entry.phase else {
        invariant!(
            false,
            "record_before_finish",
            "request {key} is not recorded"
        );
        return;
    };
    if answer.is_some() {
        return ending::finish(state, context, key, out);
    }
    if entry.head || entry.next > 0 {
        // The target's stored answer need not match the part that the caller has.
        let code = RefusalCode::AnswerLost;
        let wait = Some(ending::RETRY_AFTER);
        return ending::refuse(state, context, key, code, wait, out);
    }
    ending::replay(state, context, key, out);
}

/// Settles a call that was dispatched and has no answer.
pub(crate) fn settle(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let keeps = entry.target.clone().filter(|target| {
        let spec = context.routes.spec_of(target);
        entry.row.is_some() && spec.is_some_and(|spec| spec.keeps_records)
    });
    match keeps {
        Some(target) => ask_record(state, key, target, out),
        None => ending::refuse(state, context, key, RefusalCode::AnswerLost, None, out),
    }
}

/// Reads the target's record again.
pub(crate) fn settle_again(
    state: &mut RequestState,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let entry = state.requests.get(&key);
    if let Some(target) = entry.and_then(|entry| entry.target.clone()) {
        ask_record(state, key, target, out);
    }
}

/// Reads a target's record of a call.
pub(crate) fn ask_record(
    state: &mut RequestState,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let phase = RequestPhase::Settling { retry: None };
    state.set_phase(key, phase, ClockTime::NEVER);
    let entry = state.requests.get(&key);
    if let Some(row) = entry.and_then(|entry| entry.row.clone()) {
        out.push(RequestEffect::CheckExecution { key, row, target });
    }
}

/// Takes what a target's record says of a call.
///
/// That a record does not show the call proves nothing: it may still arrive there.
pub(crate) fn settle_answered(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    ran: Option<bool>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if entry.phase != (RequestPhase::Settling { retry: None }) {
        return;
    }
    if ran == Some(true) {
        entry.failures = 0;
        return record(state, key, None, out);
    }
    if entry.holder.is_some() {
        return claims::poll_later(state, context, key);
    }
    entry.failures += 1;
    if entry.failures >= state.settings.limits.max_table_tries {
        let wait = Some(ending::RETRY_AFTER);
        return ending::refuse(state, context, key, RefusalCode::AnswerLost, wait, out);
    }
    let wait = state.settings.limits.max_backoff;
    let at = context.now + budget::jitter(wait, context.rng);
    let phase = RequestPhase::Settling { retry: Some(at) };
    state.set_phase(key, phase, at);
}
