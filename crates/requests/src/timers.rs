//! Timers and deadlines of requests.

use crate::attempts;
use crate::claims;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::outcome;
use crate::probe;
use crate::records;
use crate::recovery;
use crate::reduce::RequestContext;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Refuses expired requests in the queue and fires the timers that are due.
pub(crate) fn tick(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    out: &mut Vec<RequestEffect>,
) {
    for work in context.queue.expire(context.now) {
        if let Some(entry) = state.requests.get_mut(&work.key) {
            if entry.phase == RequestPhase::Queued {
                outcome::refuse(state, context, work.key, RefusalCode::Deadline, None, out);
            }
        }
    }
    state.crash_suspects.expire(context.now);
    // Each timer that fires is set to a later time, unless its request ends. The limit only guards
    // against an endless loop if a defect breaks this rule.
    let mut remaining = state.timers.len();
    while let Some(&(wake, key)) = state.timers.first() {
        if wake > context.now || remaining == 0 {
            break;
        }
        remaining -= 1;
        state.timers.pop_first();
        fire_timer(state, context, key, out);
    }
}

/// Performs the action that a request waited for, or ends the request if its time is over.
fn fire_timer(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let now = context.now;
    let linger_until = entry.spec.deadline + state.settings.limits.claim_linger;
    if entry.detached && now >= linger_until {
        return outcome::remove_request(state, context, key, out);
    }
    if !entry.detached && now >= entry.spec.deadline {
        return on_deadline(state, context, key, out);
    }
    let due = attempts::next_check(entry);
    if due > now {
        return state.set_wake(key, due);
    }
    match entry.phase {
        RequestPhase::PollingClaim { .. } => claims::poll(state, key, out),
        RequestPhase::Retrying { .. } => dispatch::retry(state, context, key, out),
        RequestPhase::Resuming { .. } => dispatch::send_resume(state, context, key, out),
        RequestPhase::Recording { source, .. } => records::store(state, key, source, out),
        RequestPhase::Checking { .. } => records::recheck_execution(state, key, out),
        RequestPhase::Running => probe::check_idle(state, context, key, out),
        RequestPhase::ReadingClaim
        | RequestPhase::WaitingForOwner
        | RequestPhase::Queued
        | RequestPhase::WritingClaim => state.set_wake(key, ClockTime::NEVER),
    }
}

/// Refuses a request at its deadline; a call that must outlive its caller goes on.
fn on_deadline(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if matches!(entry.phase, RequestPhase::Recording { .. }) {
        return records::finish_recorded(state, context, key, out);
    }
    let code = match entry.other_claim.is_some() || entry.phase == RequestPhase::WaitingForOwner {
        true => RefusalCode::InDoubt,
        false => RefusalCode::Deadline,
    };
    let wait = Some(outcome::RETRY_AFTER);
    if attempts::must_outlive_caller(entry) {
        outcome::send_refusal(state, context, key, code, wait, out);
        return attempts::detach(state, key);
    }
    outcome::send_refusal(state, context, key, code, wait, out);
    attempts::cancel(state, context, key, out);
    recovery::cancel_stream(state, key, out);
    outcome::remove_request(state, context, key, out);
}
