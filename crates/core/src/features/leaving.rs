//! Keeps targets out of routing that the preset drains, a peer or the host list names as leaving.
//!
//! A leave concerns one process of a target. The host list names no process and lags, so that a
//! listed leave belongs to the process that was known when the list first named the target. That
//! can be the wrong process, so that word of a leave is dropped when later lists do not confirm it.

use super::members;
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::news::{leave_sequence, withdraw_target};
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_routing::prelude::LoadReport;
use crocusyard_wire::prelude::TargetNotice;
use std::collections::{BTreeMap, BTreeSet};

/// Longest lag of the host list; a leave that a list read so much later does not name is dropped.
///
/// A leaving target that says so in its own reports stays out without the list.
const LIST_LAG: ClockTime = ClockTime::from_secs(30);

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
    /// Targets that the host list names, with the process that was known then, if any.
    listed: BTreeMap<TargetName, Option<u64>>,
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
        || listed.is_some_and(|listed| listed.is_none_or(|listed| listed >= process))
}

/// Returns whether the preset in force drains a target.
pub(crate) fn is_drained(state: &HostState, target: &TargetName) -> bool {
    state.leaves.drained.contains(target)
}

/// Takes the targets that the preset in force drains; the route table has just got its targets.
pub(crate) fn drain(state: &mut HostState, drained: Vec<TargetName>) {
    let drained = drained.into_iter().collect();
    let before = std::mem::replace(&mut state.leaves.drained, drained);
    let leaves = &state.leaves;
    let told = leaves.told.keys().chain(leaves.listed.keys());
    let mut changed: BTreeSet<TargetName> = told.chain(&leaves.drained).cloned().collect();
    changed.extend(before);
    for target in changed {
        refresh(state, &target);
    }
}

/// Takes word that a process of a target is leaving or not.
pub(crate) fn tell(state: &mut HostState, now: ClockTime, notice: &TargetNotice) {
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
        let report = state.routes.report_of(target);
        let process = report.map(|report| (report.incarnation, report.sequence));
        let known = before.get(target).copied();
        let listed = known.unwrap_or(process.map(|(incarnation, _)| incarnation));
        state.leaves.listed.insert(target.clone(), listed);
        refresh(state, target);
        if let (None, Some(process)) = (known, process) {
            tell_peers(state, now, target, process, out);
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
            dropped.push(target.clone());
        }
        stands
    });
    for target in dropped {
        // A later leave of the same process has to be news, here and at the other hosts, while
        // these may still tell the dropped one.
        withdraw_target(&mut state.members, &target);
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
        refresh(state, target);
    }
    match state.leaves.listed.get_mut(target) {
        Some(listed @ None) => {
            *listed = Some(report.incarnation);
            let process = (report.incarnation, report.sequence);
            tell_peers(state, now, target, process, out);
        }
        Some(Some(_)) => refresh(state, target),
        None => {}
    }
}

/// Tells the other hosts of a leave, and keeps it beyond the target's place in the host list.
///
/// `process` is the process and the sequence of its newest report.
fn tell_peers(
    state: &mut HostState,
    now: ClockTime,
    target: &TargetName,
    process: (u64, u64),
    out: &mut Vec<HostEffect>,
) {
    let (incarnation, newest) = process;
    let notice = TargetNotice {
        target: target.clone(),
        incarnation,
        sequence: leave_sequence(&state.members, target, incarnation, newest),
        leaving: true,
    };
    tell(state, now, &notice);
    members::reduce(state, now, MembershipEvent::TargetSeen(notice), out);
}

fn refresh(state: &mut HostState, target: &TargetName) {
    let leaving = is_leaving(state, target);
    state.routes.set_leaving(target, leaving);
}
