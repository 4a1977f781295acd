//! News other than liveness: leaving targets, crash digests, leases and the preset version.

use crate::effect::MembershipEffect;
use crate::state::{MembershipState, TargetRecord};
use crate::update_queue::UpdateKey;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::ops::Bound;

/// Time for which a crash digest is recognised as known; repeats within it are not news.
pub const CRASH_RETENTION: ClockTime = ClockTime::from_secs(120);
/// Crash digests that are remembered; more are dropped, since blame is soft state.
pub const MAX_CRASHES: usize = 1024;
/// Targets whose leaving state is remembered; three times the planned number.
pub const MAX_TARGETS: usize = 4096;
/// Time within which further word of the same leave is taken as a repetition and not spread.
///
/// Hosts that read of one leave at the same time each tell it with a sequence of their own. The
/// time is above the 3 s in which word reaches all hosts, and well below the 30 s for which a host
/// holds unconfirmed word, so that a later leave is spread before the earlier one is dropped.
pub const REPEAT_WINDOW: ClockTime = ClockTime::from_secs(5);

/// Takes a target's leaving state; returns whether it was news.
///
/// Of two words about a target, the one about the later process holds, and within one process the
/// one with the higher sequence. At equal sequences, that the process is leaving holds.
pub fn merge_target(state: &mut MembershipState, now: ClockTime, notice: &TargetNotice) -> bool {
    let full = state.targets.len() >= MAX_TARGETS;
    let Some(known) = state.targets.get_mut(&notice.target) else {
        if full {
            return false;
        }
        let known = TargetRecord {
            notice: notice.clone(),
            disseminated_at: now,
        };
        state.targets.insert(notice.target.clone(), known);
        // That a target is not leaving is news only if it was leaving before.
        return notice.leaving && spread_target(state, notice);
    };
    if rank(&known.notice) >= rank(notice) {
        return false;
    }
    let before = std::mem::replace(&mut known.notice, notice.clone());
    let same = before.incarnation == notice.incarnation && before.leaving == notice.leaving;
    let recent = now.since(known.disseminated_at) < REPEAT_WINDOW;
    if (same && recent) || (!notice.leaving && !before.leaving) {
        return false;
    }
    known.disseminated_at = now;
    spread_target(state, notice)
}

/// Returns the sequence for own word of a leave that no load report tells.
///
/// `newest` is the sequence of the newest report of the process. The result is also above that of
/// any known word, since reports may be read more rarely than leaves are told.
pub fn leave_sequence(
    state: &MembershipState,
    target: &TargetName,
    incarnation: u64,
    newest: u64,
) -> u64 {
    let known = state.targets.get(target).map(|known| &known.notice);
    let known = known.filter(|notice| notice.incarnation == incarnation);
    known.map_or(newest, |notice| {
        newest.max(notice.sequence.saturating_add(1))
    })
}

/// Stops holding a target's process, or an earlier one, for leaving, without word to other hosts.
///
/// Hosts that still hold it cannot revive the word here; a later leave is news.
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

/// Returns the next leaving targets in turn, at most `limit`, to be told beside updates.
pub fn next_leaving_targets(state: &mut MembershipState, limit: usize) -> Vec<TargetNotice> {
    let leaving = |known: &&TargetRecord| known.notice.leaving;
    let first = match &state.target_cursor {
        Some(last) => Bound::Excluded(last.clone()),
        None => Bound::Unbounded,
    };
    let rest = state.targets.range((first, Bound::Unbounded));
    let all = rest.chain(&state.targets).map(|(_, known)| known);
    let mut page: Vec<TargetNotice> = Vec::new();
    for known in all.filter(leaving).take(limit) {
        // The turn is over where it began.
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

fn rank(notice: &TargetNotice) -> (u64, u64, bool) {
    (notice.incarnation, notice.sequence, notice.leaving)
}

fn spread_target(state: &mut MembershipState, notice: &TargetNotice) -> bool {
    state.updates.add(UpdateKey::Target(notice.target.clone()));
    state.urgent = true;
    true
}

/// Takes a crash digest; returns whether it was news.
pub fn merge_crash(state: &mut MembershipState, now: ClockTime, notice: &CrashNotice) -> bool {
    if state.crashes.contains_key(notice) || state.crashes.len() >= MAX_CRASHES {
        return false;
    }
    state.crashes.insert(notice.clone(), now);
    state.updates.add(UpdateKey::Crash(notice.clone()));
    state.urgent = true;
    true
}

/// Takes a lease holder; returns whether the fencing number is higher than known.
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

/// Takes a preset version; every packet carries the newest.
pub fn set_preset(state: &mut MembershipState, notice: PresetNotice) {
    let known = state.preset.map_or(0, |preset| preset.version);
    if notice.version > known {
        state.preset = Some(notice);
        state.urgent = true;
    }
}

/// Forgets old crash digests.
pub fn expire_crashes(state: &mut MembershipState, now: ClockTime) {
    let fresh = |heard: &ClockTime| now.since(*heard) < CRASH_RETENTION;
    state.crashes.retain(|_, heard| fresh(heard));
}

/// Takes the news of a packet and reports what is new.
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
