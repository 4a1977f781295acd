//! Timers of requests and their deadlines.

use crate::attempts;
use crate::claims;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::probe;
use crate::recover;
use crate::reduce::RequestContext;
use crate::settle;
use crate::state::{RequestPhase, RequestState};
use crocusyard_base::prelude::*;

/// Fires everything that is due.
pub(crate) fn tick(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    out: &mut Vec<RequestEffect>,
) {
    for work in context.queue.expire(context.now) {
        if let Some(entry) = state.requests.get_mut(&work.key) {
            if entry.phase == RequestPhase::Queued {
                ending::refuse(state, context, work.key, RefusalCode::Deadline, None, out);
            }
        }
    }
    state.blame.expire(context.now);
    // What fires is put off to a later point or ends, so the limit only guards against a fault.
    let mut due = state.timers.len();
    while let Some(&(wake, key)) = state.timers.first() {
        if wake > context.now || due == 0 {
            break;
        }
        due -= 1;
        state.timers.pop_first();
        fire(state, context, key, out);
    }
}

fn fire(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let now = context.now;
    let linger = entry.spec.deadline + state.settings.limits.claim_linger;
    if entry.detached && now >= linger {
        return ending::end(state, context, key, out);
    }
    if !entry.detached && now >= entry.spec.deadline {
        return expire(state, context, key, out);
    }
    let due = attempts::next_check(entry);
    if due > now {
        return state.set_wake(key, due);
    }
    match entry.phase {
        RequestPhase::Polling { .. } => claims::poll(state, key, out),
        RequestPhase::Retrying { .. } => dispatch::retry(state, context, key, out),
        RequestPhase::Resuming { .. } => dispatch::send_resume(state, context, key, out),
        RequestPhase::Recording { answer, .. } => settle::record(state, key, answer, out),
        RequestPhase::Settling { .. } => settle::settle_again(state, key, out),
        RequestPhase::Running => probe::check_silence(state, context, key, out),
        RequestPhase::Reading
        | RequestPhase::Joined
        | RequestPhase::Queued
        | RequestPhase::Claiming => state.set_wake(key, ClockTime::NEVER),
    }
}

/// Ends the caller's wait at its deadline.
fn expire(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if matches!(entry.phase, RequestPhase::Recording { .. }) {
        return settle::close_recorded(state, context, key, out);
    }
    let code = match entry.holder.is_some() || entry.phase == RequestPhase::Joined {
        true => RefusalCode::InDoubt,
        false => RefusalCode::Deadline,
    };
    let wait = Some(ending::RETRY_AFTER);
    if attempts::must_go_on(entry) {
        ending::tell_refusal(state, context, key, code, wait, out);
        return attempts::detach(state, key);
    }
    ending::tell_refusal(state, context, key, code, wait, out);
    attempts::cancel(state, context, key, out);
    recover::cancel_stream(state, key, out);
    ending::end(state, context, key, out);
}
