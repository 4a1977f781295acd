//! Silent connections: probing of a target on a new connection.
//!
//! One probe per target is under way, and probes of one target keep an interval, so that many
//! silent attempts cause no storm of probes.

use crate::attempts;
use crate::effect::{RefusalCode, RequestEffect};
use crate::recover::{self, AttemptLoss};
use crate::reduce::RequestContext;
use crate::state::{RequestEntry, RequestState};
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Probes of one target.
#[derive(Clone, Copy, Debug)]
struct ProbeState {
    last: ClockTime,
    pending: bool,
}

/// Probes of all targets; entries older than the interval are removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeTable {
    probes: BTreeMap<TargetName, ProbeState>,
}

/// Looks at a running attempt whose timer fired.
pub(crate) fn check_silence(
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
    match state.probes.probes.get(&target).copied() {
        Some(probe) if probe.pending && now >= probe.last + timeout => {
            answered(state, context, &target, false, out);
            // An attempt that the probe is too old to judge waits for the next one.
            if state.requests.contains_key(&key) && is_silent(state, key, now) {
                state.set_wake(key, probe.last + interval.max(timeout));
            }
        }
        Some(probe) if probe.pending => state.set_wake(key, probe.last + timeout),
        Some(probe) if now < probe.last + interval => {
            state.set_wake(key, probe.last + interval);
        }
        _ => {
            let probe = ProbeState {
                last: now,
                pending: true,
            };
            state
                .probes
                .probes
                .retain(|_, probe| probe.pending || now < probe.last + interval);
            state.probes.probes.insert(target.clone(), probe);
            out.push(RequestEffect::Probe { target });
            state.set_wake(key, now + timeout);
        }
    }
}

fn is_silent(state: &RequestState, key: RequestKey, now: ClockTime) -> bool {
    let entry = state.requests.get(&key);
    entry.is_some_and(|entry| entry.attempt.is_some() && attempts::next_check(entry) <= now)
}

/// Takes the end of a probe.
pub(crate) fn answered(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    target: &TargetName,
    alive: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(probe) = state.probes.probes.get_mut(target) else {
        return;
    };
    if !probe.pending {
        return;
    }
    probe.pending = false;
    let sent = probe.last;
    let silent: Vec<RequestKey> = state
        .at_target
        .get(target)
        .into_iter()
        .flatten()
        .copied()
        .filter(|key| {
            let entry = state.requests.get(key);
            entry.is_some_and(|entry| was_silent(entry, sent))
        })
        .collect();
    if silent.is_empty() {
        return;
    }
    if alive {
        out.push(RequestEffect::ClosePool {
            target: target.clone(),
        });
    }
    for key in silent {
        lose(state, context, key, alive, out);
    }
}

/// Returns whether an attempt had been silent for half its limit when a probe was sent.
///
/// Half, because attempts on a dead path fall silent at different times, and all of them are to be
/// recovered by one probe.
fn was_silent(entry: &RequestEntry, sent: ClockTime) -> bool {
    entry.attempt.as_ref().is_some_and(|current| {
        current.active + attempts::allowed_silence(current).scale(0.5) <= sent
    })
}

fn lose(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    alive: bool,
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
        // The connection is silent, not refused: its bytes may have arrived.
        ran: true,
        gone: false,
        resume: alive,
        code: RefusalCode::AnswerLost,
        retry_after: None,
    };
    recover::recover(state, context, key, loss, out);
}
