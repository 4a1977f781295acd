//! Detection of dead connections: the target of an idle attempt is probed on a new connection.
//!
//! An attempt is idle if nothing has arrived from its target for the idle timeout. Each target has
//! at most one probe in progress and a minimum interval between probes, so that many idle attempts
//! do not cause a storm of probes.

use crate::attempts;
use crate::effect::{RefusalCode, RequestEffect};
use crate::recovery::{self, AttemptLoss};
use crate::reduce::RequestContext;
use crate::state::{RequestEntry, RequestState};
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Last probe of one target.
#[derive(Clone, Copy, Debug)]
struct ProbeState {
    sent_at: ClockTime,
    /// Whether the probe has not ended yet.
    pending: bool,
}

/// Last probes of all targets. Probes that have ended are removed after the probe interval.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeTable {
    by_target: BTreeMap<TargetName, ProbeState>,
}

/// Probes the target of an attempt that has reached its idle timeout.
pub(crate) fn check_idle(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    let Some(current) = &entry.attempt else {
        return;
    };
    let due = attempts::next_check(entry);
    if due > context.now {
        return state.set_wake(key, due);
    }
    let target = current.target.clone();
    let limits = &state.settings.limits;
    let (interval, timeout) = (limits.probe_interval, limits.probe_timeout);
    let now = context.now;
    match state.probes.by_target.get(&target).copied() {
        Some(probe) if probe.pending && now >= probe.sent_at + timeout => {
            on_probe_ended(state, context, &target, false, out);
            // The probe was sent before this attempt was idle long enough, so the attempt waits for
            // the next probe.
            if state.requests.contains_key(&key) && is_idle(state, key, now) {
                state.set_wake(key, probe.sent_at + interval.max(timeout));
            }
        }
        Some(probe) if probe.pending => state.set_wake(key, probe.sent_at + timeout),
        Some(probe) if now < probe.sent_at + interval => {
            state.set_wake(key, probe.sent_at + interval);
        }
        _ => {
            let probe = ProbeState {
                sent_at: now,
                pending: true,
            };
            state
                .probes
                .by_target
                .retain(|_, probe| probe.pending || now < probe.sent_at + interval);
            state.probes.by_target.insert(target.clone(), probe);
            out.push(RequestEffect::Probe { target });
            state.set_wake(key, now + timeout);
        }
    }
}

/// Returns whether the attempt of a request has reached its idle timeout.
fn is_idle(state: &RequestState, key: RequestKey, now: ClockTime) -> bool {
    let entry = state.requests.get(&key);
    entry.is_some_and(|entry| entry.attempt.is_some() && attempts::next_check(entry) <= now)
}

/// Handles the end of a probe: recovers the attempts that were already idle when it was sent.
pub(crate) fn on_probe_ended(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    target: &TargetName,
    alive: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(probe) = state.probes.by_target.get_mut(target) else {
        return;
    };
    if !probe.pending {
        return;
    }
    probe.pending = false;
    let sent_at = probe.sent_at;
    let idle: Vec<RequestKey> = state
        .requests_by_target
        .get(target)
        .into_iter()
        .flatten()
        .copied()
        .filter(|key| {
            let entry = state.requests.get(key);
            entry.is_some_and(|entry| was_idle(entry, sent_at))
        })
        .collect();
    if idle.is_empty() {
        return;
    }
    if alive {
        out.push(RequestEffect::ClosePool {
            target: target.clone(),
        });
    }
    for key in idle {
        lose_attempt(state, context, key, alive, out);
    }
}

/// Returns whether an attempt had been idle for half its timeout when a probe was sent.
///
/// Half the timeout is enough because the attempts on a dead path become idle at different times,
/// and one probe should recover all of them.
fn was_idle(entry: &RequestEntry, sent_at: ClockTime) -> bool {
    entry.attempt.as_ref().is_some_and(|current| {
        current.last_activity + attempts::idle_timeout(current).scale(0.5) <= sent_at
    })
}

/// Closes the connection of an idle attempt and recovers its request; `alive` says whether the
/// target answered the probe.
fn lose_attempt(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    alive: bool,
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
        // The connection is idle, not refused, so the bytes sent may have arrived.
        may_have_run: true,
        stream_gone: false,
        try_resume: alive,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recovery::recover(state, context, key, loss, out);
}
