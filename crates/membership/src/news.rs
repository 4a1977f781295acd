//! News other than liveness: leaving targets, crash digests, leases and the preset version.

use crate::effect::MembershipEffect;
use crate::rumours::RumourKey;
use crate::state::MembershipState;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;

/// Time for which a crash digest is recognised as known; repeats within it are not news.
pub const CRASH_RETENTION: ClockTime = ClockTime::from_secs(120);
/// Crash digests that are remembered; more are dropped, since blame is soft state.
pub const CRASH_LIMIT: usize = 1024;
/// Targets whose leaving state is remembered; three times the planned number.
pub const TARGET_LIMIT: usize = 4096;

/// Takes a target's leaving state; returns whether it was news.
pub fn learn_target(state: &mut MembershipState, notice: &TargetNotice) -> bool {
    let known = state.targets.get(&notice.target);
    let rank = (notice.incarnation, notice.leaving);
    if known.is_some_and(|known| (known.incarnation, known.leaving) >= rank) {
        return false;
    }
    // That a target is not leaving is news only if it was leaving before.
    let was_leaving = known.is_some_and(|known| known.leaving);
    if known.is_none() && state.targets.len() >= TARGET_LIMIT {
        return false;
    }
    state.targets.insert(notice.target.clone(), notice.clone());
    if !notice.leaving && !was_leaving {
        return false;
    }
    state.rumours.add(RumourKey::Target(notice.target.clone()));
    state.urgent = true;
    true
}

/// Takes a crash digest; returns whether it was news.
pub fn learn_crash(state: &mut MembershipState, now: ClockTime, notice: &CrashNotice) -> bool {
    if state.crashes.contains_key(notice) || state.crashes.len() >= CRASH_LIMIT {
        return false;
    }
    state.crashes.insert(notice.clone(), now);
    state.rumours.add(RumourKey::Crash(notice.clone()));
    state.urgent = true;
    true
}

/// Takes a lease holder; returns whether the fencing number is higher than known.
pub fn learn_lease(state: &mut MembershipState, notice: &LeaseNotice) -> bool {
    let known = state.leases.get(&notice.region);
    if known.is_some_and(|known| known.fencing >= notice.fencing) {
        return false;
    }
    state.leases.insert(notice.region.clone(), notice.clone());
    state.view = None;
    state.rumours.add(RumourKey::Lease(notice.region.clone()));
    state.urgent = true;
    true
}

/// Takes a preset version; every packet carries the newest.
pub fn learn_preset(state: &mut MembershipState, notice: PresetNotice) {
    let known = state.preset.map_or(0, |preset| preset.version);
    if notice.version > known {
        state.preset = Some(notice);
        state.urgent = true;
    }
}

/// Forgets old crash digests.
pub fn expire(state: &mut MembershipState, now: ClockTime) {
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
                if learn_target(state, &notice) {
                    out.push(MembershipEffect::TargetChanged(notice));
                }
            }
        }
        WireMessage::Crashes(notices) => {
            for notice in notices {
                if learn_crash(state, now, &notice) {
                    out.push(MembershipEffect::CrashSeen(notice));
                }
            }
        }
        WireMessage::Leases(notices) => {
            for notice in notices {
                if learn_lease(state, &notice) {
                    out.push(MembershipEffect::LeaseSeen(notice));
                }
            }
        }
        _ => {}
    }
}
