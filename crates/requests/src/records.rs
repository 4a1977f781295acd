//! Recording of answers under claims, and lookup of unanswered calls in a target's execution
//! record.
//!
//! A target that keeps records can say whether it ran a call and what the answer was.

use crate::claims;
use crate::effect::{RefusalCode, RequestEffect};
use crate::outcome;
use crate::reduce::RequestContext;
use crate::retry;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Records an answer under the claim: that of the attempt `source`, or with `None` the one that the
/// shell read from the target's execution record.
pub(crate) fn store(
    state: &mut RequestState,
    key: RequestKey,
    source: Option<AttemptId>,
    out: &mut Vec<RequestEffect>,
) {
    let phase = RequestPhase::Recording {
        source,
        retry_at: None,
    };
    state.set_phase(key, phase, ClockTime::NEVER);
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let claim = entry.other_claim.as_ref().or(entry.claim.as_ref());
    if let (Some(row), Some(claim)) = (&entry.claim_row, claim) {
        out.push(RequestEffect::RecordAnswer {
            key,
            row: row.clone(),
            claim: claim.claim,
            attempt: source,
        });
    }
}

/// Handles the table service's reply to the recording of an answer.
pub(crate) fn on_answer_recorded(
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
        source,
        retry_at: None,
    } = entry.phase
    else {
        return;
    };
    entry.failed_tries += 1;
    if stored || entry.failed_tries >= state.settings.limits.max_table_tries {
        return finish_recorded(state, context, key, out);
    }
    let wait = retry::backoff(&state.settings.limits, entry.failed_tries, context.rng);
    let at = context.now + wait;
    let phase = RequestPhase::Recording {
        source,
        retry_at: Some(at),
    };
    state.set_phase(key, phase, at);
}

/// Gives the caller its answer once it is recorded, or once the recording has finally failed.
///
/// The answer is complete, so it is given even if it could not be recorded. Repeats then find a
/// claim without an answer, and the target's execution record decides what becomes of them.
pub(crate) fn finish_recorded(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let RequestPhase::Recording { source, .. } = entry.phase else {
        invariant!(
            false,
            "record_before_finish",
            "request {key} would be finished although its answer is not being recorded"
        );
        return;
    };
    if source.is_some() {
        return outcome::finish(state, context, key, out);
    }
    if entry.head_delivered || entry.next_chunk > 0 {
        // The recorded answer may differ from the part that the caller has received.
        let code = RefusalCode::AnswerLost;
        let wait = Some(outcome::RETRY_AFTER);
        return outcome::refuse(state, context, key, code, wait, out);
    }
    outcome::replay(state, context, key, out);
}

/// Looks up a call that was dispatched and has no answer in the target's execution record, or
/// reports the answer as lost if the target keeps none.
pub(crate) fn resolve_unanswered(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let target = entry.last_target.clone().filter(|target| {
        let spec = context.routes.spec_of(target);
        entry.claim_row.is_some() && spec.is_some_and(|spec| spec.keeps_records)
    });
    match target {
        Some(target) => check_execution(state, key, target, out),
        None => outcome::refuse(state, context, key, RefusalCode::AnswerLost, None, out),
    }
}

/// Reads the execution record of the last target again.
pub(crate) fn recheck_execution(
    state: &mut RequestState,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let entry = state.requests.get(&key);
    if let Some(target) = entry.and_then(|entry| entry.last_target.clone()) {
        check_execution(state, key, target, out);
    }
}

/// Reads a target's execution record of a call.
pub(crate) fn check_execution(
    state: &mut RequestState,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let phase = RequestPhase::Checking { retry_at: None };
    state.set_phase(key, phase, ClockTime::NEVER);
    let entry = state.requests.get(&key);
    if let Some(row) = entry.and_then(|entry| entry.claim_row.clone()) {
        out.push(RequestEffect::CheckExecution { key, row, target });
    }
}

/// Handles the result of reading a target's execution record.
///
/// A record without the call does not prove that the call will not run, because the call may still
/// arrive at the target.
pub(crate) fn on_execution_checked(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    ran: Option<bool>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if entry.phase != (RequestPhase::Checking { retry_at: None }) {
        return;
    }
    if ran == Some(true) {
        entry.failed_tries = 0;
        return store(state, key, None, out);
    }
    if entry.other_claim.is_some() {
        return claims::schedule_poll(state, context, key);
    }
    entry.failed_tries += 1;
    if entry.failed_tries >= state.settings.limits.max_table_tries {
        let wait = Some(outcome::RETRY_AFTER);
        return outcome::refuse(state, context, key, RefusalCode::AnswerLost, wait, out);
    }
    let wait = state.settings.limits.max_backoff;
    let at = context.now + retry::jitter(wait, context.rng);
    let phase = RequestPhase::Checking { retry_at: Some(at) };
    state.set_phase(key, phase, at);
}
