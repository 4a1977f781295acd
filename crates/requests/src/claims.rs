//! Idempotency claims: at most one dispatch per key over all hosts.
//!
//! A keyed call is dispatched only on proof that its own claim stands in the table: the claim was
//! granted, or a read after a lost answer shows its id. Nobody takes over a claim; only its owner
//! releases it, and only if nothing was sent.
//!
//! A released row stays in the table. Claims are written on condition of an absent row or of the
//! version of a released one, so a write that arrives after the release finds its condition broken.

use crate::arrival;
use crate::budget;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::ending;
use crate::event::ClaimReply;
use crate::reduce::RequestContext;
use crate::settle;
use crate::spec::RequestSpec;
use crate::state::{ClaimState, KeyWork, RequestEntry, RequestLimits, RequestPhase, RequestState};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

/// Doublings of the wait between two reads of a claim.
const POLL_DOUBLINGS: u32 = 3;

/// Returns the claim row of a call, if it needs one.
///
/// A call without a key needs none: no other host can know the key that this host makes for it.
pub(crate) fn row_of(spec: &RequestSpec) -> Option<Arc<str>> {
    let key = spec.idempotency_key.as_ref().filter(|_| !spec.idempotent)?;
    // Hashing bounds the length and keeps separators in a key from reaching another tenant's rows.
    let hash = blake3::hash(key.as_bytes());
    Some(Arc::from(format!(
        "claims/{}/{}",
        spec.tenant,
        hash.to_hex()
    )))
}

/// Begins a keyed call: reads its row, or waits for the same call in this host.
pub(crate) fn open(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    row: &Arc<str>,
    out: &mut Vec<RequestEffect>,
) {
    let digest_of = |key: &RequestKey| state.requests.get(key).map(|entry| entry.spec.digest);
    let Some(work) = state.keys.get(row) else {
        let work = KeyWork {
            owner: key,
            waiters: VecDeque::new(),
        };
        state.keys.insert(row.clone(), work);
        return read(state, key, out);
    };
    let conflict = digest_of(&work.owner) != digest_of(&key);
    let full = work.waiters.len() >= state.settings.limits.max_key_waiters;
    state.set_phase(key, RequestPhase::Joined, ClockTime::NEVER);
    if conflict {
        return ending::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
    }
    if full {
        let wait = Some(ending::RETRY_AFTER);
        return ending::refuse(state, context, key, RefusalCode::InDoubt, wait, out);
    }
    if let Some(work) = state.keys.get_mut(row) {
        work.waiters.push_back(key);
    }
}

/// Hands the key of an ended request to the next repeat that waits for it.
pub(crate) fn hand_over(
    state: &mut RequestState,
    key: RequestKey,
    row: &Arc<str>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(work) = state.keys.get_mut(row) else {
        return;
    };
    if work.owner != key {
        work.waiters.retain(|waiter| *waiter != key);
        return;
    }
    match work.waiters.pop_front() {
        Some(next) => {
            work.owner = next;
            read(state, next, out);
        }
        None => {
            state.keys.remove(row);
        }
    }
}

fn read(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    state.set_phase(key, RequestPhase::Reading, ClockTime::NEVER);
    let entry = state.requests.get(&key);
    if let Some(row) = entry.and_then(|entry| entry.row.clone()) {
        out.push(RequestEffect::ReadClaim { key, row });
    }
}

/// Writes the claim of a call that is to be sent to a target.
pub(crate) fn write(
    state: &mut RequestState,
    context: &RequestContext<'_>,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let fresh = ClaimId(state.make_id());
    if let Some(entry) = state.requests.get_mut(&key) {
        let known = entry.claim.as_ref();
        entry.claim = Some(ClaimState {
            claim: known.map_or(fresh, |own| own.claim),
            target: Some(target),
            since: context.now,
            over: entry.released,
            doubtful: known.is_some_and(|own| own.doubtful),
        });
        entry.claiming = true;
        entry.failures = 0;
    }
    write_again(state, key, out);
}

/// Returns whether a granted claim names another target than the one that the call is to go to.
pub(crate) fn names_other(entry: &RequestEntry, target: &TargetName) -> bool {
    let claim = entry.claim.as_ref().filter(|_| entry.granted);
    claim.is_some_and(|claim| claim.target.as_ref() != Some(target))
}

/// Returns the target that a granted claim names, if the call can go there and has not been.
pub(crate) fn untried_target(entry: &RequestEntry, routes: &RouteTable) -> Option<TargetName> {
    let claim = entry.claim.as_ref().filter(|_| entry.granted)?;
    let target = claim.target.as_ref()?;
    let untried = routes.is_usable(target) && !entry.tried.contains(target);
    untried.then(|| target.clone())
}

/// Names another target in the granted claim of a call of which nothing was sent.
///
/// Other hosts settle the call by the record of the target that the row names.
pub(crate) fn retarget(
    state: &mut RequestState,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    if let Some(entry) = state.requests.get_mut(&key) {
        if let Some(claim) = &mut entry.claim {
            claim.target = Some(target);
        }
        entry.failures = 0;
    }
    write_again(state, key, out);
}

fn write_again(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    state.set_phase(key, RequestPhase::Claiming, ClockTime::NEVER);
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if let (Some(row), Some(claim)) = (&entry.row, &entry.claim) {
        let Some(target) = claim.target.clone() else {
            return;
        };
        let (row, claim, replaced_version) = (row.clone(), claim.claim, claim.over);
        out.push(match entry.granted {
            true => RequestEffect::RetargetClaim {
                key,
                row,
                claim,
                target,
            },
            false => RequestEffect::WriteClaim {
                key,
                row,
                claim,
                digest: entry.spec.digest,
                target,
                replaced_version,
            },
        });
    }
}

/// Returns whether a call may still be dispatched under its claim.
///
/// A host that was paused after it asked for the claim must not send the call late: its caller may
/// have been told another outcome, and its choice of the target is old.
pub(crate) fn window_open(entry: &RequestEntry, limits: &RequestLimits, now: ClockTime) -> bool {
    let claim = entry.claim.as_ref().filter(|_| entry.claiming);
    claim.is_none_or(|claim| now <= claim.since + limits.dispatch_window)
}

/// Takes the table service's answer to the reading or writing of a claim.
pub(crate) fn answered(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    reply: ClaimReply,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let reading = entry.phase == RequestPhase::Reading;
    if !reading && entry.phase != RequestPhase::Claiming {
        return;
    }
    match reply {
        ClaimReply::Granted if !reading => granted(state, context, key, out),
        ClaimReply::Absent if reading => free(state, context, key, None, out),
        // A released row that answers a write was not there when the row was read.
        ClaimReply::Released { version } => free(state, context, key, Some(version), out),
        ClaimReply::Held {
            claim,
            digest,
            target,
        } => {
            let own = entry.claim.as_ref().filter(|own| own.claim == claim);
            if let Some(own) = own {
                let named = own.target == target;
                return stands(state, context, key, named, out);
            }
            let holder = ClaimState {
                claim,
                target,
                since: context.now,
                over: None,
                doubtful: false,
            };
            held(state, context, key, holder, digest, out);
        }
        ClaimReply::Recorded { digest } => {
            entry.claiming = false;
            if digest == entry.spec.digest {
                ending::replay(state, context, key, out);
            } else {
                ending::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
            }
        }
        ClaimReply::Failed => unreachable_table(state, context, key, !reading, out),
        ClaimReply::Unknown if !reading => {
            if let Some(claim) = &mut entry.claim {
                claim.doubtful = true;
            }
            read(state, key, out);
        }
        ClaimReply::Unknown => unreachable_table(state, context, key, false, out),
        // These answer no call that is under way: one was delivered twice.
        ClaimReply::Granted | ClaimReply::Absent => {}
    }
}

fn granted(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.granted = true;
    entry.claiming = true;
    entry.holder = None;
    let target = entry.claim.as_ref().and_then(|claim| claim.target.clone());
    match target.filter(|target| context.routes.is_usable(target)) {
        Some(target) => dispatch::launch(state, context, key, target, out),
        None => dispatch::retry(state, context, key, out),
    }
}

/// Takes a read that shows the own claim in the row.
fn stands(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    named: bool,
    out: &mut Vec<RequestEffect>,
) {
    if named {
        return granted(state, context, key, out);
    }
    if let Some(entry) = state.requests.get_mut(&key) {
        entry.granted = true;
        entry.claiming = true;
        entry.holder = None;
    }
    // The row does not name the target that the call is to go to.
    try_again(state, context, key, out);
}

/// Takes a read that shows no claim in the row.
fn free(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    released: Option<u64>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    // A claim is released only if nothing was sent, so nothing stands against a new one.
    entry.holder = None;
    entry.released = released;
    if entry.may_have_run {
        // The caller holds a part of an answer, so the call ran, whatever became of its claim.
        return ending::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    if !entry.claiming {
        return arrival::enqueue(state, context, key, out);
    }
    // The claim's write was lost, or is late; writing the same id again is harmless either way.
    if let Some(claim) = &mut entry.claim {
        claim.over = released;
        claim.doubtful |= entry.granted;
    }
    entry.granted = false;
    try_again(state, context, key, out);
}

/// Writes the claim again within its window and number of tries, or refuses the call.
fn try_again(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.failures += 1;
    let open = window_open(entry, &state.settings.limits, context.now);
    if open && entry.failures < state.settings.limits.max_table_tries {
        write_again(state, key, out);
    } else {
        let wait = Some(ending::RETRY_AFTER);
        let code = RefusalCode::ClaimUnavailable;
        ending::refuse(state, context, key, code, wait, out);
    }
}

fn held(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    holder: ClaimState,
    digest: BodyDigest,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.claiming = false;
    if digest != entry.spec.digest {
        return ending::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
    }
    match &mut entry.holder {
        // Its holder names another target before it sends the call there.
        Some(seen) if seen.claim == holder.claim => seen.target = holder.target,
        _ => {
            entry.holder = Some(holder);
            entry.failures = 0;
        }
    }
    let due = entry.holder.as_ref().and_then(|holder| {
        let waited = context.now.since(holder.since);
        let target = holder.target.as_ref()?;
        let keeps = context.routes.spec_of(target)?.keeps_records;
        (keeps && waited >= state.settings.limits.execution_check_delay).then(|| target.clone())
    });
    match due {
        Some(target) => settle::ask_record(state, key, target, out),
        None => poll_later(state, context, key),
    }
}

pub(crate) fn poll_later(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let doublings = entry.failures.min(POLL_DOUBLINGS);
    entry.failures += 1;
    let wait = state.settings.limits.claim_poll_interval;
    let wait = wait.scale(f64::from(1u32 << doublings));
    let at = context.now + budget::jitter(wait, context.rng);
    state.set_phase(key, RequestPhase::Polling { at }, at);
}

/// Reads a claim again that another host holds, or that a lost answer left open.
pub(crate) fn poll(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    read(state, key, out);
}

fn unreachable_table(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    wrote: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let waits = entry.holder.is_some();
    if wrote && !entry.granted {
        // No write of the claim can take effect any more, so there is nothing to release.
        entry.claiming = entry.claim.as_ref().is_some_and(|claim| claim.doubtful);
    }
    let tries = entry.failures + 1;
    let open = window_open(entry, &state.settings.limits, context.now);
    if waits || (!wrote && open && tries < state.settings.limits.max_table_tries) {
        return poll_later(state, context, key);
    }
    let wait = Some(ending::RETRY_AFTER);
    let code = RefusalCode::ClaimUnavailable;
    ending::refuse(state, context, key, code, wait, out);
}

/// Releases the claim of an ending call if nothing of it was sent.
pub(crate) fn release(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if entry.may_have_run || entry.attempt.is_some() {
        return;
    }
    if !entry.claiming {
        return;
    }
    if let (Some(row), Some(claim)) = (&entry.row, entry.claim.take()) {
        entry.granted = false;
        entry.claiming = false;
        out.push(RequestEffect::ReleaseClaim {
            key,
            row: row.clone(),
            claim: claim.claim,
        });
    }
}
