//! Keeps targets out of routing that the preset drains, a peer or the host list names as leaving.
//!
//! A leave concerns one process of a target. The host list names no process and lags, so that a
//! listed leave belongs to the process that was known when the list first named the target, or to
//! the next one that is reported if that knowledge was old. That can be the wrong process, so that
//! word of a leave is dropped when later lists do not confirm it.

use super::members;
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_membership::updates::{clear_leaving, leave_sequence};
use crocusyard_routing::prelude::LoadReport;
use crocusyard_wire::prelude::TargetUpdate;
use std::collections::{BTreeMap, BTreeSet};

/// Longest lag of the host list; a leave that a list read so much later does not name is dropped.
///
/// A leaving target that says so in its own reports stays out without the list.
const LIST_LAG: ClockTime = ClockTime::from_secs(30);

/// Time between a report and the host list within which both are taken to be about one process.
///
/// It is above the 2 s between two reads of an idle target. After a pause of this host the newest
/// report can be older, and a new process may have started since.
const REPORT_FRESH: ClockTime = ClockTime::from_secs(3);

/// Newest report of a target.
#[derive(Clone, Copy, Debug)]
struct SeenReport {
    incarnation: u64,
    sequence: u64,
    /// When this host took it.
    taken: ClockTime,
}

/// A place of a target in the host list.
#[derive(Clone, Copy, Debug)]
struct ListedLeave {
    /// Process that the list means, once it is known.
    process: Option<u64>,
    /// When this host first read it.
    since: ClockTime,
}

/// Word that a process of a target is leaving.
#[derive(Clone, Copy, Debug)]
struct ToldLeave {
    incarnation: u64,
    /// When this host last heard of it.
    heard: ClockTime,
}

/// What this host was told of leaving targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaveTable {
    /// Targets that the preset in force drains.
    drained: BTreeSet<TargetName>,
    /// Newest process of each target that is said to leave.
    told: BTreeMap<TargetName, ToldLeave>,
    /// Newest report of each target.
    seen: BTreeMap<TargetName, SeenReport>,
    /// Targets that the host list names.
    listed: BTreeMap<TargetName, ListedLeave>,
}

/// Returns whether a target may get no new work, whatever its own report says.
pub(crate) fn is_leaving(state: &HostState, target: &TargetName) -> bool {
    let process = state
        .routes
        .report_of(target)
        .map_or(0, |report| report.incarnation);
    let told = state.leaves.told.get(target);
    let listed = state.leaves.listed.get(target);
    is_drained(state, target)
        || told.is_some_and(|told| told.incarnation >= process)
        || listed.is_some_and(|listed| listed.process.is_none_or(|listed| listed >= process))
}

/// Returns whether the preset in force drains a target.
pub(crate) fn is_drained(state: &HostState, target: &TargetName) -> bool {
    state.leaves.drained.contains(target)
}

/// Takes the targets that the preset in force drains; the route table has just got its targets.
pub(crate) fn drain(state: &mut HostState, drained: Vec<TargetName>) {
    let drained = drained.into_iter().collect();
    let before = std::mem::replace(&mut state.leaves.drained, drained);
    let routes = &state.routes;
    let declared = |target: &TargetName| routes.spec_of(target).is_some();
    state.leaves.seen.retain(|target, _| declared(target));
    let leaves = &state.leaves;
    let told = leaves.told.keys().chain(leaves.listed.keys());
    let mut changed: BTreeSet<TargetName> = told.chain(&leaves.drained).cloned().collect();
    changed.extend(before);
    for target in changed {
        refresh(state, &target);
    }
}

/// Takes word that a process of a target is leaving or not.
pub(crate) fn tell(state: &mut HostState, now: ClockTime, notice: &TargetUpdate) {
    let told = state.leaves.told.get(&notice.target);
    if told.is_some_and(|told| told.incarnation > notice.incarnation) {
        return;
    }
    if notice.leaving {
        let told = ToldLeave {
            incarnation: notice.incarnation,
            heard: now,
        };
        state.leaves.told.insert(notice.target.clone(), told);
    } else {
        state.leaves.told.remove(&notice.target);
    }
    refresh(state, &notice.target);
}

/// Takes the targets that the host list names as leaving.
pub(crate) fn list(
    state: &mut HostState,
    now: ClockTime,
    leaving: &[TargetName],
    out: &mut Vec<HostEffect>,
) {
    let before = std::mem::take(&mut state.leaves.listed);
    for target in leaving {
        let seen = state.leaves.seen.get(target).copied();
        let fresh = seen.filter(|seen| now.since(seen.taken) < REPORT_FRESH);
        let known = before.get(target).copied();
        let listed = known.unwrap_or(ListedLeave {
            process: fresh.map(|seen| seen.incarnation),
            since: now,
        });
        state.leaves.listed.insert(target.clone(), listed);
        refresh(state, target);
        if let (None, Some(seen)) = (known, seen) {
            tell_peers(state, now, target, seen, out);
        }
    }
    drop_unconfirmed(state, now);
    for target in before.keys().filter(|target| !leaving.contains(target)) {
        refresh(state, target);
    }
}

/// Drops word of leaves that the host list, which was just read, should name by now.
fn drop_unconfirmed(state: &mut HostState, now: ClockTime) {
    let LeaveTable { told, listed, .. } = &mut state.leaves;
    let mut dropped = Vec::new();
    told.retain(|target, told| {
        if listed.contains_key(target) {
            told.heard = now;
        }
        let stands = now.since(told.heard) < LIST_LAG;
        if !stands {
            dropped.push((target.clone(), told.incarnation));
        }
        stands
    });
    for (target, process) in dropped {
        // A later leave of the same process has to be news, here and at the other hosts, while
        // these may still tell the dropped one.
        clear_leaving(&mut state.members, &target, process);
        refresh(state, &target);
    }
}

/// Takes the process of a target from its newest report, which the route table has.
pub(crate) fn report(
    state: &mut HostState,
    now: ClockTime,
    report: &LoadReport,
    out: &mut Vec<HostEffect>,
) {
    let target = &report.target;
    let told = state.leaves.told.get(target);
    if told.is_some_and(|told| told.incarnation < report.incarnation) {
        state.leaves.told.remove(target);
        // Hosts that start later need not hear of the former process.
        clear_leaving(&mut state.members, target, report.incarnation - 1);
        refresh(state, target);
    }
    let newest = (report.incarnation, report.sequence);
    let before = state.leaves.seen.get(target).copied();
    // The newest report stays the same when an older one arrives late.
    if before.is_some_and(|seen| (seen.incarnation, seen.sequence) == newest) {
        return;
    }
    let seen = SeenReport {
        incarnation: report.incarnation,
        sequence: report.sequence,
        taken: now,
    };
    state.leaves.seen.insert(target.clone(), seen);
    let Some(listed) = state.leaves.listed.get_mut(target) else {
        return;
    };
    if listed.process.is_none() {
        // A process that is first seen long after the list named the target is a later one.
        let late = now.since(listed.since) >= REPORT_FRESH;
        let meant = before.filter(|_| late).unwrap_or(seen);
        listed.process = Some(meant.incarnation);
        tell_peers(state, now, target, meant, out);
    }
    refresh(state, target);
}

/// Tells the other hosts of a leave, and keeps it beyond the target's place in the host list.
fn tell_peers(
    state: &mut HostState,
    now: ClockTime,
    target: &TargetName,
    seen: SeenReport,
    out: &mut Vec<HostEffect>,
) {
    let notice = TargetUpdate {
        target: target.clone(),
        incarnation: seen.incarnation,
        sequence: leave_sequence(&state.members, target, seen.incarnation, seen.sequence),
        leaving: true,
    };
    tell(state, now, &notice);
    members::reduce(state, now, MembershipEvent::TargetUpdated(notice), out);
}

fn refresh(state: &mut HostState, target: &TargetName) {
    let leaving = is_leaving(state, target);
    state.routes.set_leaving(target, leaving);
}
