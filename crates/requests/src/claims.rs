//! Idempotency claims: at most one dispatch per key over all hosts.
//!
//! A call with an idempotency key that may not run twice is dispatched only if its claim is known
//! to be in the table: the write was granted, or a read after a lost reply shows the claim's id. No
//! host takes over the claim of another. Only the host that wrote a claim releases it, and only if
//! nothing of the call was sent.
//!
//! A released row stays in the table. The write of a claim is conditional on an absent row or on
//! the version of a released one, so a write that arrives after the release is refused.

use crate::arrival;
use crate::dispatch;
use crate::effect::{RefusalCode, RequestEffect};
use crate::event::ClaimReply;
use crate::outcome;
use crate::records;
use crate::reduce::RequestContext;
use crate::retry;
use crate::spec::RequestSpec;
use crate::state::{
    ClaimState, KeyRequests, RequestEntry, RequestLimits, RequestPhase, RequestState,
};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of times that the wait between two reads of a claim doubles.
const MAX_POLL_DOUBLINGS: u32 = 3;

/// Returns the key of the claim row of a call, or `None` if the call needs no claim.
///
/// A call without an idempotency key needs none, because no other host can know the key that this
/// host makes for it.
pub(crate) fn claim_row(spec: &RequestSpec) -> Option<Arc<str>> {
    let key = spec.idempotency_key.as_ref().filter(|_| !spec.idempotent)?;
    // The hash bounds the length and prevents a key with separators from reaching another tenant's
    // rows.
    let hash = blake3::hash(key.as_bytes());
    Some(Arc::from(format!(
        "claims/{}/{}",
        spec.tenant,
        hash.to_hex()
    )))
}

/// Starts a call that needs a claim: reads the claim row, or waits for the request of this host
/// that has the same idempotency key.
pub(crate) fn begin(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    row: &Arc<str>,
    out: &mut Vec<RequestEffect>,
) {
    let digest_of = |key: &RequestKey| state.requests.get(key).map(|entry| entry.spec.digest);
    let Some(same_key) = state.key_requests.get(row) else {
        let same_key = KeyRequests {
            owner: key,
            waiters: VecDeque::new(),
        };
        state.key_requests.insert(row.clone(), same_key);
        return read_claim(state, key, out);
    };
    let conflict = digest_of(&same_key.owner) != digest_of(&key);
    let is_full = same_key.waiters.len() >= state.settings.limits.max_key_waiters;
    state.set_phase(key, RequestPhase::WaitingForOwner, ClockTime::NEVER);
    if conflict {
        return outcome::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
    }
    if is_full {
        let wait = Some(outcome::RETRY_AFTER);
        return outcome::refuse(state, context, key, RefusalCode::InDoubt, wait, out);
    }
    if let Some(same_key) = state.key_requests.get_mut(row) {
        same_key.waiters.push_back(key);
    }
}

/// Starts the next request that waits for the idempotency key of an ended request.
pub(crate) fn promote_waiter(
    state: &mut RequestState,
    key: RequestKey,
    row: &Arc<str>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(same_key) = state.key_requests.get_mut(row) else {
        return;
    };
    if same_key.owner != key {
        same_key.waiters.retain(|waiter| *waiter != key);
        return;
    }
    match same_key.waiters.pop_front() {
        Some(next) => {
            same_key.owner = next;
            read_claim(state, next, out);
        }
        None => {
            state.key_requests.remove(row);
        }
    }
}

/// Emits the read of the claim row.
fn read_claim(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    state.set_phase(key, RequestPhase::ReadingClaim, ClockTime::NEVER);
    let entry = state.requests.get(&key);
    if let Some(row) = entry.and_then(|entry| entry.claim_row.clone()) {
        out.push(RequestEffect::ReadClaim { key, row });
    }
}

/// Writes the claim of a call that is to be sent to `target`.
pub(crate) fn write_claim(
    state: &mut RequestState,
    context: &RequestContext<'_>,
    key: RequestKey,
    target: TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let new_id = ClaimId(state.make_id());
    if let Some(entry) = state.requests.get_mut(&key) {
        let previous = entry.claim.as_ref();
        entry.claim = Some(ClaimState {
            claim: previous.map_or(new_id, |previous| previous.claim),
            target: Some(target),
            since: context.now,
            replaced_version: entry.released_version,
            maybe_written: previous.is_some_and(|previous| previous.maybe_written),
        });
        entry.claim_requested = true;
        entry.failed_tries = 0;
    }
    send_claim_write(state, key, out);
}

/// Returns whether the granted claim of a request names another target than `target`.
pub(crate) fn names_other_target(entry: &RequestEntry, target: &TargetName) -> bool {
    let claim = entry.claim.as_ref().filter(|_| entry.claim_granted);
    claim.is_some_and(|claim| claim.target.as_ref() != Some(target))
}

/// Returns the target that the granted claim names, if it is usable and was not tried yet.
pub(crate) fn untried_claim_target(
    entry: &RequestEntry,
    routes: &RouteTable,
) -> Option<TargetName> {
    let claim = entry.claim.as_ref().filter(|_| entry.claim_granted)?;
    let target = claim.target.as_ref()?;
    let untried = routes.is_usable(target) && !entry.tried_targets.contains(target);
    untried.then(|| target.clone())
}

/// Changes the target in the granted claim of a call of which nothing was sent.
///
/// Other hosts look the call up in the execution record of the target that the row names.
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
        entry.failed_tries = 0;
    }
    send_claim_write(state, key, out);
}

/// Emits the write of a new claim, or the change of the target in a granted one.
fn send_claim_write(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    state.set_phase(key, RequestPhase::WritingClaim, ClockTime::NEVER);
    let Some(entry) = state.requests.get(&key) else {
        return;
    };
    if let (Some(row), Some(claim)) = (&entry.claim_row, &entry.claim) {
        let Some(target) = claim.target.clone() else {
            return;
        };
        let (row, claim, replaced_version) = (row.clone(), claim.claim, claim.replaced_version);
        out.push(match entry.claim_granted {
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
/// A host that was paused after it wrote the claim must not send the call late, because the caller
/// may have received another outcome, and the target was chosen long ago.
pub(crate) fn within_dispatch_window(
    entry: &RequestEntry,
    limits: &RequestLimits,
    now: ClockTime,
) -> bool {
    let claim = entry.claim.as_ref().filter(|_| entry.claim_requested);
    claim.is_none_or(|claim| now <= claim.since + limits.dispatch_window)
}

/// Handles the table service's reply to the reading or writing of a claim.
pub(crate) fn on_claim_reply(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    reply: ClaimReply,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let reading = entry.phase == RequestPhase::ReadingClaim;
    if !reading && entry.phase != RequestPhase::WritingClaim {
        return;
    }
    match reply {
        ClaimReply::Granted if !reading => on_granted(state, context, key, out),
        ClaimReply::Absent if reading => on_no_claim(state, context, key, None, out),
        // In reply to a write, the row was released after it was read.
        ClaimReply::Released { version } => on_no_claim(state, context, key, Some(version), out),
        ClaimReply::Held {
            claim,
            digest,
            target,
        } => {
            let own = entry.claim.as_ref().filter(|own| own.claim == claim);
            if let Some(own) = own {
                let target_matches = own.target == target;
                return on_own_claim(state, context, key, target_matches, out);
            }
            let other = ClaimState {
                claim,
                target,
                since: context.now,
                replaced_version: None,
                maybe_written: false,
            };
            on_other_claim(state, context, key, other, digest, out);
        }
        ClaimReply::Recorded { digest } => {
            entry.claim_requested = false;
            if digest == entry.spec.digest {
                outcome::replay(state, context, key, out);
            } else {
                outcome::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
            }
        }
        ClaimReply::Failed => on_table_unreachable(state, context, key, !reading, out),
        ClaimReply::Unknown if !reading => {
            if let Some(claim) = &mut entry.claim {
                claim.maybe_written = true;
            }
            read_claim(state, key, out);
        }
        ClaimReply::Unknown => on_table_unreachable(state, context, key, false, out),
        // The reply does not match the phase, so it was delivered twice.
        ClaimReply::Granted | ClaimReply::Absent => {}
    }
}

/// Handles a granted claim: dispatches the call, or chooses another target if the claimed one is no
/// longer usable.
fn on_granted(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.claim_granted = true;
    entry.claim_requested = true;
    entry.other_claim = None;
    let target = entry.claim.as_ref().and_then(|claim| claim.target.clone());
    match target.filter(|target| context.routes.is_usable(target)) {
        Some(target) => dispatch::claim_or_send(state, context, key, target, out),
        None => dispatch::retry(state, context, key, out),
    }
}

/// Handles a reply that shows the request's own claim in the row.
fn on_own_claim(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    target_matches: bool,
    out: &mut Vec<RequestEffect>,
) {
    if target_matches {
        return on_granted(state, context, key, out);
    }
    if let Some(entry) = state.requests.get_mut(&key) {
        entry.claim_granted = true;
        entry.claim_requested = true;
        entry.other_claim = None;
    }
    // The row names another target than the one chosen for the call.
    retry_write(state, context, key, out);
}

/// Handles a reply that shows an absent or released row.
fn on_no_claim(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    released: Option<u64>,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    // A claim is released only if nothing of its call was sent, so a new claim is safe.
    entry.other_claim = None;
    entry.released_version = released;
    if entry.may_have_run {
        // The caller has a part of an answer, so the call ran even if its claim is gone.
        return outcome::refuse(state, context, key, RefusalCode::AnswerLost, None, out);
    }
    if !entry.claim_requested {
        return arrival::enqueue(state, context, key, out);
    }
    // The write of the claim was lost or is late. In both cases it is safe to write the same id
    // again.
    if let Some(claim) = &mut entry.claim {
        claim.replaced_version = released;
        claim.maybe_written |= entry.claim_granted;
    }
    entry.claim_granted = false;
    retry_write(state, context, key, out);
}

/// Writes the claim again, or refuses the call if the dispatch window or the tries are used up.
fn retry_write(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.failed_tries += 1;
    let in_window = within_dispatch_window(entry, &state.settings.limits, context.now);
    if in_window && entry.failed_tries < state.settings.limits.max_table_tries {
        send_claim_write(state, key, out);
    } else {
        let wait = Some(outcome::RETRY_AFTER);
        let code = RefusalCode::ClaimUnavailable;
        outcome::refuse(state, context, key, code, wait, out);
    }
}

/// Handles a reply that shows the claim of another host in the row.
fn on_other_claim(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    other: ClaimState,
    digest: BodyDigest,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    entry.claim_requested = false;
    if digest != entry.spec.digest {
        return outcome::refuse(state, context, key, RefusalCode::KeyConflict, None, out);
    }
    match &mut entry.other_claim {
        // The holder changes the target in its claim before it sends the call to the new target.
        Some(known) if known.claim == other.claim => known.target = other.target,
        _ => {
            entry.other_claim = Some(other);
            entry.failed_tries = 0;
        }
    }
    let record_target = entry.other_claim.as_ref().and_then(|other| {
        let waited = context.now.since(other.since);
        let target = other.target.as_ref()?;
        let keeps_records = context.routes.spec_of(target)?.keeps_records;
        (keeps_records && waited >= state.settings.limits.execution_check_delay)
            .then(|| target.clone())
    });
    match record_target {
        Some(target) => records::check_execution(state, key, target, out),
        None => schedule_poll(state, context, key),
    }
}

/// Schedules the next read of the claim row, with a wait that doubles with each failed try.
pub(crate) fn schedule_poll(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let doublings = entry.failed_tries.min(MAX_POLL_DOUBLINGS);
    entry.failed_tries += 1;
    let wait = state.settings.limits.claim_poll_interval;
    let wait = wait.scale(f64::from(1u32 << doublings));
    let at = context.now + retry::jitter(wait, context.rng);
    state.set_phase(key, RequestPhase::PollingClaim { at }, at);
}

/// Reads the claim row again: another host holds the claim, or the last read failed.
pub(crate) fn poll(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    read_claim(state, key, out);
}

/// Handles a claim that could not be read or written: polls the row, or refuses the call.
///
/// `writing` says that the write of the claim failed, not a read.
fn on_table_unreachable(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    writing: bool,
    out: &mut Vec<RequestEffect>,
) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    let is_waiting = entry.other_claim.is_some();
    if writing && !entry.claim_granted {
        // The claim needs a release only if an earlier write may still take effect.
        entry.claim_requested = entry
            .claim
            .as_ref()
            .is_some_and(|claim| claim.maybe_written);
    }
    let tries = entry.failed_tries + 1;
    let in_window = within_dispatch_window(entry, &state.settings.limits, context.now);
    if is_waiting || (!writing && in_window && tries < state.settings.limits.max_table_tries) {
        return schedule_poll(state, context, key);
    }
    let wait = Some(outcome::RETRY_AFTER);
    let code = RefusalCode::ClaimUnavailable;
    outcome::refuse(state, context, key, code, wait, out);
}

/// Releases the claim of a request that ends, if nothing of its call was sent.
pub(crate) fn release(state: &mut RequestState, key: RequestKey, out: &mut Vec<RequestEffect>) {
    let Some(entry) = state.requests.get_mut(&key) else {
        return;
    };
    if entry.may_have_run || entry.attempt.is_some() {
        return;
    }
    if !entry.claim_requested {
        return;
    }
    if let (Some(row), Some(claim)) = (&entry.claim_row, entry.claim.take()) {
        entry.claim_granted = false;
        entry.claim_requested = false;
        out.push(RequestEffect::ReleaseClaim {
            key,
            row: row.clone(),
            claim: claim.claim,
        });
    }
}
