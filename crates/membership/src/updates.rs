//! Gossip updates other than liveness: leaving targets, crash reports, leases and the preset
//! version.
//!
//! Each `merge_*` function takes one update from this host or from a peer. If the update is new,
//! the function queues it, so that it spreads to the other hosts.

use crate::effect::MembershipEffect;
use crate::state::{MembershipState, TargetRecord};
use crate::update_queue::UpdateKey;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::ops::Bound;

/// Time for which a crash report is remembered; the same report is ignored within this time.
pub const CRASH_RETENTION: ClockTime = ClockTime::from_secs(120);
/// Crash reports that are remembered; further ones are dropped, since suspicions of crashes are
/// soft state.
pub const MAX_CRASHES: usize = 1024;
/// Targets whose leaving state is remembered; three times the planned number of targets.
pub const MAX_TARGETS: usize = 4096;
/// Time after an update in which further updates of the same leave are not disseminated again.
///
/// Several hosts may read of the same leave at the same time, and each of them announces it with a
/// sequence of its own. The window is longer than the 3 s in which an update reaches all hosts, so
/// that such duplicates are recognised. It is well below the 30 s for which a host keeps an
/// unconfirmed update, so that a later leave is disseminated before the earlier one expires.
pub const DUPLICATE_WINDOW: ClockTime = ClockTime::from_secs(5);

/// Merges an update on whether a target is leaving; returns whether the update is disseminated.
///
/// Of two updates about a target, the one with the higher incarnation of the target's process
/// applies; within one incarnation, the one with the higher sequence. If these are equal too, the
/// update that the target is leaving applies.
pub fn merge_target(state: &mut MembershipState, now: ClockTime, update: &TargetUpdate) -> bool {
    let full = state.targets.len() >= MAX_TARGETS;
    let Some(known) = state.targets.get_mut(&update.target) else {
        if full {
            return false;
        }
        let record = TargetRecord {
            update: update.clone(),
            disseminated_at: now,
        };
        state.targets.insert(update.target.clone(), record);
        // Hosts without a record of a target take it as not leaving, so an update that it is not
        // leaving need not spread.
        return update.leaving && queue_target(state, update);
    };
    if precedence(&known.update) >= precedence(update) {
        return false;
    }
    let before = std::mem::replace(&mut known.update, update.clone());
    let same = before.incarnation == update.incarnation && before.leaving == update.leaving;
    let recent = now.since(known.disseminated_at) < DUPLICATE_WINDOW;
    if (same && recent) || (!update.leaving && !before.leaving) {
        return false;
    }
    known.disseminated_at = now;
    queue_target(state, update)
}

/// Returns the sequence for this host's update about a leave that no load report contains.
///
/// The result is at least `report_sequence`, the sequence of the newest load report of the target's
/// process. It is also higher than the sequence of the known update, since several leaves may be
/// announced between two reports.
pub fn leave_sequence(
    state: &MembershipState,
    target: &TargetName,
    incarnation: u64,
    report_sequence: u64,
) -> u64 {
    let known = state.targets.get(target).map(|known| &known.update);
    let known = known.filter(|update| update.incarnation == incarnation);
    known.map_or(report_sequence, |update| {
        report_sequence.max(update.sequence.saturating_add(1))
    })
}

/// Marks a target as not leaving on this host only, without an update to other hosts.
///
/// An update about a later incarnation than `incarnation` is not changed. Afterwards this host
/// ignores the updates of hosts that still take the target as leaving, but accepts the update of a
/// later leave.
pub fn clear_leaving(state: &mut MembershipState, target: &TargetName, incarnation: u64) {
    let Some(TargetRecord { update, .. }) = state.targets.get_mut(target) else {
        return;
    };
    if !update.leaving || update.incarnation > incarnation {
        return;
    }
    update.leaving = false;
    update.sequence = update.sequence.saturating_add(1);
    state.updates.remove(&UpdateKey::Target(target.clone()));
}

/// Returns the next leaving targets in rotation, at most `limit`, to send outside the update queue.
pub fn next_leaving_targets(state: &mut MembershipState, limit: usize) -> Vec<TargetUpdate> {
    let leaving = |known: &&TargetRecord| known.update.leaving;
    let start = match &state.target_cursor {
        Some(last) => Bound::Excluded(last.clone()),
        None => Bound::Unbounded,
    };
    let rest = state.targets.range((start, Bound::Unbounded));
    let all = rest.chain(&state.targets).map(|(_, known)| known);
    let mut page: Vec<TargetUpdate> = Vec::new();
    for known in all.filter(leaving).take(limit) {
        // The rotation has come back to the first target of this page.
        if page
            .first()
            .is_some_and(|first| first.target == known.update.target)
        {
            break;
        }
        page.push(known.update.clone());
    }
    state.target_cursor = page.last().map(|update| update.target.clone());
    page
}

fn precedence(update: &TargetUpdate) -> (u64, u64, bool) {
    (update.incarnation, update.sequence, update.leaving)
}

fn queue_target(state: &mut MembershipState, update: &TargetUpdate) -> bool {
    state.updates.add(UpdateKey::Target(update.target.clone()));
    state.urgent = true;
    true
}

/// Merges a crash report; returns whether it was unknown.
pub fn merge_crash(state: &mut MembershipState, now: ClockTime, report: &CrashReport) -> bool {
    if state.crashes.contains_key(report) || state.crashes.len() >= MAX_CRASHES {
        return false;
    }
    state.crashes.insert(report.clone(), now);
    state.updates.add(UpdateKey::Crash(report.clone()));
    state.urgent = true;
    true
}

/// Merges a lease holder; returns whether its fencing number is higher than the known one.
pub fn merge_lease(state: &mut MembershipState, update: &LeaseUpdate) -> bool {
    let known = state.leases.get(&update.region);
    if known.is_some_and(|known| known.fencing >= update.fencing) {
        return false;
    }
    state.leases.insert(update.region.clone(), update.clone());
    state.view_hash = None;
    state.updates.add(UpdateKey::Lease(update.region.clone()));
    state.urgent = true;
    true
}

/// Sets the preset in force on this host, which every packet carries; lower versions are ignored.
pub fn set_preset(state: &mut MembershipState, report: PresetReport) {
    let known = state.preset.map_or(0, |preset| preset.version);
    if report.version > known {
        state.preset = Some(report);
        state.urgent = true;
    }
}

/// Removes crash reports that are older than [`CRASH_RETENTION`].
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
        WireMessage::Targets(updates) => {
            for update in updates {
                if merge_target(state, now, &update) {
                    out.push(MembershipEffect::TargetChanged(update));
                }
            }
        }
        WireMessage::Crashes(reports) => {
            for report in reports {
                if merge_crash(state, now, &report) {
                    out.push(MembershipEffect::CrashReceived(report));
                }
            }
        }
        WireMessage::Leases(updates) => {
            for update in updates {
                if merge_lease(state, &update) {
                    out.push(MembershipEffect::LeaseReceived(update));
                }
            }
        }
        _ => {}
    }
}
