//! Digests of requests that are suspected of crashing targets.
//!
//! Every request that ran on a target when its connection was reset becomes a suspect, because the
//! host cannot see which of them crashed the target. A suspect that completes is cleared.
//!
//! Hosts that start requests with the same digest at the same time know of no crash yet. Until the
//! digest has completed, they choose its targets with the same random numbers, so that its first
//! attempts go to the same targets.

use crate::effect::RequestEffect;
use crate::state::{RequestLimits, RequestState};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Factor that keeps the seeds of successive attempts far apart, because generators with
/// neighbouring seeds produce similar numbers.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Crashes that one digest is suspected of.
#[derive(Clone, Debug)]
struct CrashSuspect {
    /// Crashed targets, at most `RequestLimits::max_crashed_targets`.
    targets: SmallVec<[TargetName; 2]>,
    expires_at: ClockTime,
}

/// Suspected digests. When the table is full, the entry that expires first is removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    entries: BTreeMap<BodyDigest, CrashSuspect>,
    /// Suspected digests in order of their expiry.
    expiry: BTreeSet<(ClockTime, BodyDigest)>,
}

impl CrashSuspects {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records a crash; returns whether the target is new for the digest.
    pub(crate) fn record_crash(
        &mut self,
        now: ClockTime,
        limits: &RequestLimits,
        digest: BodyDigest,
        target: &TargetName,
    ) -> bool {
        let expires_at = now + limits.crash_suspect_ttl;
        let mut entry = self.remove(digest).unwrap_or(CrashSuspect {
            targets: SmallVec::new(),
            expires_at,
        });
        let known = entry.targets.contains(target);
        if !known && entry.targets.len() < limits.max_crashed_targets {
            entry.targets.push(target.clone());
        }
        if !known {
            entry.expires_at = expires_at;
        }
        while self.entries.len() >= limits.max_crash_suspects.max(1) {
            let Some((_, oldest)) = self.expiry.pop_first() else {
                break;
            };
            self.entries.remove(&oldest);
        }
        self.expiry.insert((entry.expires_at, digest));
        self.entries.insert(digest, entry);
        !known
    }

    /// Removes a digest and returns its entry, if there was one.
    fn remove(&mut self, digest: BodyDigest) -> Option<CrashSuspect> {
        let entry = self.entries.remove(&digest)?;
        self.expiry.remove(&(entry.expires_at, digest));
        Some(entry)
    }

    /// Returns the number of targets that a digest is suspected of crashing.
    pub(crate) fn crashed_targets(&self, now: ClockTime, digest: BodyDigest) -> usize {
        match self.entries.get(&digest) {
            Some(entry) if entry.expires_at > now => entry.targets.len(),
            _ => 0,
        }
    }

    /// Removes expired entries.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        while let Some(&(expires_at, digest)) = self.expiry.first() {
            if expires_at > now {
                return;
            }
            self.remove(digest);
        }
    }
}

/// Digests of requests that have recently completed on this host. When the table is full, the
/// oldest digest is removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedDigests {
    digests: BTreeSet<BodyDigest>,
    /// The same digests, oldest first.
    order: VecDeque<BodyDigest>,
}

impl CompletedDigests {
    fn insert(&mut self, limits: &RequestLimits, digest: BodyDigest) {
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

/// Returns a generator for the choice of a digest's next target that is the same on all hosts.
///
/// Returns `None` if the digest has completed on this host, because the shared choice would send
/// all requests with a popular body to the same few targets.
pub(crate) fn shared_rng(
    completed: &CompletedDigests,
    digest: BodyDigest,
    tried_targets: usize,
) -> Option<SeededRng> {
    let seed = (digest.0 >> 64) as u64 ^ digest.0 as u64;
    let uncompleted = !completed.digests.contains(&digest);
    uncompleted.then(|| seeded_rng(seed ^ (tried_targets as u64).wrapping_mul(SEED_STEP)))
}

/// Records a crash that this host observed, and reports it to the other hosts if it is new.
pub(crate) fn report_crash(
    state: &mut RequestState,
    now: ClockTime,
    digest: BodyDigest,
    target: &TargetName,
    out: &mut Vec<RequestEffect>,
) {
    let limits = &state.settings.limits;
    if state
        .crash_suspects
        .record_crash(now, limits, digest, target)
    {
        out.push(RequestEffect::ReportCrash {
            digest,
            target: target.clone(),
        });
    }
}

/// Clears a digest whose request completed on this host, and reports it to the other hosts if it
/// was suspected.
pub(crate) fn mark_completed(
    state: &mut RequestState,
    digest: BodyDigest,
    out: &mut Vec<RequestEffect>,
) {
    state
        .completed_digests
        .insert(&state.settings.limits, digest);
    if state.crash_suspects.remove(digest).is_some() {
        out.push(RequestEffect::ReportCrashCleared { digest });
    }
}

/// Clears a digest that completed on another host.
pub(crate) fn clear_suspect(state: &mut RequestState, digest: BodyDigest) {
    state.crash_suspects.remove(digest);
}

/// Returns whether a digest is suspected of crashing so many targets that it is refused.
pub(crate) fn is_suspect(state: &RequestState, now: ClockTime, digest: BodyDigest) -> bool {
    state.crash_suspects.crashed_targets(now, digest) >= state.settings.limits.max_crashed_targets
}

/// Returns whether the next attempt of a request has to wait.
///
/// This concerns requests whose digest is suspected, and requests with as many unsent attempts as
/// they may crash targets. They wait for `RequestLimits::crash_report_wait`, in which crash reports
/// of other hosts arrive, and then while another request with the same digest has an attempt in
/// progress.
///
/// Without this wait, repeats sent at the same time, or to several hosts one after another, would
/// crash more targets than the limit.
pub(crate) fn must_wait(state: &mut RequestState, now: ClockTime, key: RequestKey) -> bool {
    let wait = state.settings.limits.crash_report_wait;
    let Some(entry) = state.requests.get_mut(&key) else {
        return false;
    };
    let digest = entry.spec.digest;
    // Targets that refuse connections may have been crashed by the same request on other hosts.
    let many_unsent = entry.unsent_attempts >= state.settings.limits.max_crashed_targets;
    if state.crash_suspects.crashed_targets(now, digest) == 0 && !many_unsent {
        return false;
    }
    if now < *entry.held_since.get_or_insert(now) + wait {
        return true;
    }
    state
        .attempts
        .values()
        .filter(|other| **other != key)
        .filter_map(|other| state.requests.get(other))
        .any(|other| other.spec.digest == digest)
}
