//! Digests that are blamed for crashes of targets.
//!
//! Every request that ran on a target when its connection broke is blamed, because the host cannot
//! see which of them crashed it. Innocent requests lose the blame when they complete.

use crate::effect::RequestEffect;
use crate::state::{RequestLimits, RequestState};
use crocusyard_base::prelude::*;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// Blame of one digest.
#[derive(Clone, Debug)]
struct BlameEntry {
    targets: SmallVec<[TargetName; 2]>,
    until: ClockTime,
}

/// Blamed digests, bounded; the one that expires first makes room.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlameTable {
    entries: BTreeMap<BodyDigest, BlameEntry>,
    expiry: BTreeSet<(ClockTime, BodyDigest)>,
}

impl BlameTable {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Notes a crash; returns whether the target is new for the digest.
    pub(crate) fn note(
        &mut self,
        now: ClockTime,
        limits: &RequestLimits,
        digest: BodyDigest,
        target: &TargetName,
    ) -> bool {
        let until = now + limits.crash_expiry;
        let mut entry = self.remove(digest).unwrap_or(BlameEntry {
            targets: SmallVec::new(),
            until,
        });
        let known = entry.targets.contains(target);
        if !known && entry.targets.len() < limits.crash_targets {
            entry.targets.push(target.clone());
        }
        if !known {
            entry.until = until;
        }
        while self.entries.len() >= limits.crash_entries.max(1) {
            let Some((_, oldest)) = self.expiry.pop_first() else {
                break;
            };
            self.entries.remove(&oldest);
        }
        self.expiry.insert((entry.until, digest));
        self.entries.insert(digest, entry);
        !known
    }

    /// Removes the blame of a digest.
    fn remove(&mut self, digest: BodyDigest) -> Option<BlameEntry> {
        let entry = self.entries.remove(&digest)?;
        self.expiry.remove(&(entry.until, digest));
        Some(entry)
    }

    /// Returns how many targets a digest is blamed for.
    pub(crate) fn crashes(&self, now: ClockTime, digest: BodyDigest) -> usize {
        match self.entries.get(&digest) {
            Some(entry) if entry.until > now => entry.targets.len(),
            _ => 0,
        }
    }

    /// Removes expired blame.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        while let Some(&(until, digest)) = self.expiry.first() {
            if until > now {
                return;
            }
            self.remove(digest);
        }
    }
}

/// Blames a digest for a crash that this host saw, and tells the other hosts.
pub(crate) fn blame_crash(
    state: &mut RequestState,
    now: ClockTime,
    digest: BodyDigest,
    target: &TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let limits = &state.settings.limits;
    if state.blame.note(now, limits, digest, target) {
        out.push(RequestEffect::ReportCrash {
            digest,
            target: target.clone(),
        });
    }
}

/// Clears a digest whose request completed here, and tells the other hosts if it was blamed.
pub(crate) fn clear_completed(
    state: &mut RequestState,
    digest: BodyDigest,
    out: &mut Vec<RequestEffect>,
) {
    if state.blame.remove(digest).is_some() {
        out.push(RequestEffect::ReportCleared { digest });
    }
}

/// Clears a digest whose request completed on another host.
pub(crate) fn clear_reported(state: &mut RequestState, digest: BodyDigest) {
    state.blame.remove(digest);
}

/// Returns whether a digest crashed too many targets to be run.
pub(crate) fn is_suspect(state: &RequestState, now: ClockTime, digest: BodyDigest) -> bool {
    state.blame.crashes(now, digest) >= state.settings.limits.crash_targets
}

/// Returns whether an attempt has to wait because the digest is blamed, and either runs already or
/// was held for less than the pause in which news of crashes at other hosts arrives.
///
/// Without this, repeats sent side by side, or to several hosts one after another, would crash more
/// targets than the limit.
pub(crate) fn must_wait(state: &mut RequestState, now: ClockTime, key: RequestKey) -> bool {
    let pause = state.settings.limits.crash_pause;
    let Some(entry) = state.requests.get_mut(&key) else {
        return false;
    };
    let digest = entry.spec.digest;
    if state.blame.crashes(now, digest) == 0 {
        return false;
    }
    if now < *entry.held.get_or_insert(now) + pause {
        return true;
    }
    state
        .attempts
        .values()
        .filter(|other| **other != key)
        .filter_map(|other| state.requests.get(other))
        .any(|other| other.spec.digest == digest)
}
