//! Gossip updates other than liveness: leaving targets, crash digests, leases and the preset
//! version.
//!
//! Each `merge_*` function takes one notice from this host or from a peer. If the notice is new,
//! the function queues an update, so that the notice spreads to the other hosts.

use crate::effect::MembershipEffect;
use crate::state::{MembershipState, TargetRecord};
use crate::update_queue::UpdateKey;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::ops::Bound;

/// Time for which a crash digest is remembered; a repeated notice within this time is ignored.
pub const CRASH_RETENTION: ClockTime = ClockTime::from_secs(120);
/// Crash digests that are remembered; further ones are dropped, since blame is soft state.
pub const MAX_CRASHES: usize = 1024;
/// Targets whose leaving state is remembered; three times the planned number of targets.
pub const MAX_TARGETS: usize = 4096;
/// Time after a notice in which further notices of the same leave are not disseminated again.
///
/// Several hosts may read of the same leave at the same time, and each of them announces it with a
/// sequence of its own. The window is longer than the 3 s in which a notice reaches all hosts, so
/// that such duplicates are recognised. It is well below the 30 s for which a host keeps an
/// unconfirmed notice, so that a later leave is disseminated before the earlier one expires.
pub const DUPLICATE_WINDOW: ClockTime = ClockTime::from_secs(5);

/// Merges a notice of whether a target is leaving; returns whether the notice is disseminated.
///
/// Of two notices about a target, the one with the higher incarnation of the target's process
/// applies; within one incarnation, the one with the higher sequence. If these are equal too, the
/// notice that the target is leaving applies.
pub fn merge_target(state: &mut MembershipState, now: ClockTime, notice: &TargetNotice) -> bool {
    let full = state.targets.len() >= MAX_TARGETS;
    let Some(known) = state.targets.get_mut(&notice.target) else {
        if full {
            return false;
        }
        let record = TargetRecord {
            notice: notice.clone(),
            disseminated_at: now,
        };
        state.targets.insert(notice.target.clone(), record);
        // Hosts without a record of a target take it as not leaving, so that state is not spread.
        return notice.leaving && queue_target(state, notice);
    };
    if precedence(&known.notice) >= precedence(notice) {
        return false;
    }
    let before = std::mem::replace(&mut known.notice, notice.clone());
    let same = before.incarnation == notice.incarnation && before.leaving == notice.leaving;
    let recent = now.since(known.disseminated_at) < DUPLICATE_WINDOW;
    if (same && recent) || (!notice.leaving && !before.leaving) {
        return false;
    }
    known.disseminated_at = now;
    queue_target(state, notice)
}

/// Returns the sequence for a notice by this host of a leave that is in no load report.
///
/// `report_sequence` is that of the newest load report of the target's process. The result is also
/// higher than the sequence of the known notice, since several leaves may be announced between two
/// reports.
pub fn leave_sequence(
    state: &MembershipState,
    target: &TargetName,
    incarnation: u64,
    report_sequence: u64,
) -> u64 {
    let known = state.targets.get(target).map(|known| &known.notice);
    let known = known.filter(|notice| notice.incarnation == incarnation);
    known.map_or(report_sequence, |notice| {
        report_sequence.max(notice.sequence.saturating_add(1))
    })
}

/// Marks a target as not leaving on this host only, without a notice to other hosts.
///
/// A notice about a later incarnation than `incarnation` stays. Afterwards this host ignores the
/// notices of hosts that still take the target as leaving, but accepts the notice of a later leave.
pub fn clear_leaving(state: &mut MembershipState, target: &TargetName, incarnation: u64) {
    let Some(TargetRecord { notice, .. }) = state.targets.get_mut(target) else {
        return;
    };
    if !notice.leaving || notice.incarnation > incarnation {
        return;
    }
    notice.leaving = false;
    notice.sequence = notice.sequence.saturating_add(1);
    state.updates.remove(&UpdateKey::Target(target.clone()));
}

/// Returns the next leaving targets in rotation, at most `limit`, to send outside the update queue.
pub fn next_leaving_targets(state: &mut MembershipState, limit: usize) -> Vec<TargetNotice> {
    let leaving = |known: &&TargetRecord| known.notice.leaving;
    let start = match &state.target_cursor {
        Some(last) => Bound::Excluded(last.clone()),
        None => Bound::Unbounded,
    };
    let rest = state.targets.range((start, Bound::Unbounded));
    let all = rest.chain(&state.targets).map(|(_, known)| known);
    let mut page: Vec<TargetNotice> = Vec::new();
    for known in all.filter(leaving).take(limit) {
        // The rotation has come back to the first target of this page.
        if page
            .first()
            .is_some_and(|first| first.target == known.notice.target)
        {
            break;
        }
        page.push(known.notice.clone());
    }
    state.target_cursor = page.last().map(|notice| notice.target.clone());
    page
}

fn precedence(notice: &TargetNotice) -> (u64, u64, bool) {
    (notice.incarnation, notice.sequence, notice.leaving)
}

fn queue_target(state: &mut MembershipState, notice: &TargetNotice) -> bool {
    state.updates.add(UpdateKey::Target(notice.target.clone()));
    state.urgent = true;
    true
}

/// Merges a crash notice; returns whether it was unknown.
pub fn merge_crash(state: &mut MembershipState, now: ClockTime, notice: &CrashNotice) -> bool {
    if state.crashes.contains_key(notice) || state.crashes.len() >= MAX_CRASHES {
        return false;
    }
    state.crashes.insert(notice.clone(), now);
    state.updates.add(UpdateKey::Crash(notice.clone()));
    state.urgent = true;
    true
}

/// Merges a lease holder; returns whether its fencing number is higher than the known one.
pub fn merge_lease(state: &mut MembershipState, notice: &LeaseNotice) -> bool {
    let known = state.leases.get(&notice.region);
    if known.is_some_and(|known| known.fencing >= notice.fencing) {
        return false;
    }
    state.leases.insert(notice.region.clone(), notice.clone());
    state.view_hash = None;
    state.updates.add(UpdateKey::Lease(notice.region.clone()));
    state.urgent = true;
    true
}

/// Sets the preset in force on this host, which every packet carries; lower versions are ignored.
pub fn set_preset(state: &mut MembershipState, notice: PresetNotice) {
    let known = state.preset.map_or(0, |preset| preset.version);
    if notice.version > known {
        state.preset = Some(notice);
        state.urgent = true;
    }
}

/// Removes crash digests that are older than [`CRASH_RETENTION`].
pub fn expire_crashes(state: &mut MembershipState, now: ClockTime) {
    let fresh = |learned_at: &ClockTime| now.since(*learned_at) < CRASH_RETENTION;
    state.crashes.retain(|_, learned_at| fresh(learned_at));
}

/// Merges the targets, crashes or leases of a received message, and emits an effect for each that
/// changed the state.
pub fn receive(
    state: &mut MembershipState,
    now: ClockTime,
    message: WireMessage,
    out: &mut Vec<MembershipEffect>,
) {
    match message {
        WireMessage::Targets(notices) => {
            for notice in notices {
                if merge_target(state, now, &notice) {
                    out.push(MembershipEffect::TargetChanged(notice));
                }
            }
        }
        WireMessage::Crashes(notices) => {
            for notice in notices {
                if merge_crash(state, now, &notice) {
                    out.push(MembershipEffect::CrashReceived(notice));
                }
            }
        }
        WireMessage::Leases(notices) => {
            for notice in notices {
                if merge_lease(state, &notice) {
                    out.push(MembershipEffect::LeaseReceived(notice));
                }
            }
        }
        _ => {}
    }
}
