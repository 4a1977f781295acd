//! Digests that are blamed for crashes of targets.
//!
//! Every request that ran on a target when its connection broke is blamed, because the host cannot
//! see which of them crashed it. Innocent requests lose the blame when they complete.
//!
//! Hosts that start a digest at the same time know of no crash yet. They choose its targets by the
//! same draws until it has completed, so that its first attempts meet on the same targets.

use crate::effect::RequestEffect;
use crate::state::{RequestLimits, RequestState};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Keeps the seeds of successive attempts apart: generators of neighbouring seeds draw alike.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

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
        let until = now + limits.crash_suspect_ttl;
        let mut entry = self.remove(digest).unwrap_or(BlameEntry {
            targets: SmallVec::new(),
            until,
        });
        let known = entry.targets.contains(target);
        if !known && entry.targets.len() < limits.max_crashed_targets {
            entry.targets.push(target.clone());
        }
        if !known {
            entry.until = until;
        }
        while self.entries.len() >= limits.max_crash_suspects.max(1) {
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

/// Digests that have completed on this host lately, bounded; the oldest makes room.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProvenTable {
    digests: BTreeSet<BodyDigest>,
    order: VecDeque<BodyDigest>,
}

impl ProvenTable {
    fn note(&mut self, limits: &RequestLimits, digest: BodyDigest) {
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        while self.order.len() > limits.max_completed_digests {
            if let Some(oldest) = self.order.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }
}

/// Returns the generator of the draws for a digest's next target, unless it has completed here.
///
/// Draws from it are the same on all hosts, but a popular body would load few targets with them.
pub(crate) fn shared_rng(
    proven: &ProvenTable,
    digest: BodyDigest,
    tried: usize,
) -> Option<SeededRng> {
    let seed = (digest.0 >> 64) as u64 ^ digest.0 as u64;
    let unproven = !proven.digests.contains(&digest);
    unproven.then(|| seeded_rng(seed ^ (tried as u64).wrapping_mul(SEED_STEP)))
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
    state.proven.note(&state.settings.limits, digest);
    if state.blame.remove(digest).is_some() {
        out.push(RequestEffect::ReportCrashCleared { digest });
    }
}

/// Clears a digest whose request completed on another host.
pub(crate) fn clear_reported(state: &mut RequestState, digest: BodyDigest) {
    state.blame.remove(digest);
}

/// Returns whether a digest crashed too many targets to be run.
pub(crate) fn is_suspect(state: &RequestState, now: ClockTime, digest: BodyDigest) -> bool {
    state.blame.crashes(now, digest) >= state.settings.limits.max_crashed_targets
}

/// Returns whether an attempt has to wait.
///
/// It has to if the digest is blamed or could not reach as many targets as it may crash, and either
/// runs already or was held for less than the pause in which news of crashes at other hosts arrives.
///
/// Without this, repeats sent side by side, or to several hosts one after another, would crash more
/// targets than the limit.
pub(crate) fn must_wait(state: &mut RequestState, now: ClockTime, key: RequestKey) -> bool {
    let pause = state.settings.limits.crash_report_wait;
    let Some(entry) = state.requests.get_mut(&key) else {
        return false;
    };
    let digest = entry.spec.digest;
    // Targets that refuse connections may have been crashed by this digest from other hosts.
    let unreached = entry.unreached >= state.settings.limits.max_crashed_targets;
    if state.blame.crashes(now, digest) == 0 && !unreached {
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
