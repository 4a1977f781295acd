//! Keeps leaving targets out of routing: those that the preset drains, and those that a peer or the
//! host list names as leaving. A leave is the time in which a target gets no new work before it
//! stops.
//!
//! A leave concerns one process of a target, which its incarnation identifies. The host list lags
//! and names no process. A listed leave is therefore assigned to the process that was known when
//! the list first named the target, or to the next reported process if the last report was too old.
//! That can be the wrong process, so an announced leave is dropped when later lists do not confirm
//! it.

use super::members;
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_membership::updates::{clear_leaving, leave_sequence};
use crocusyard_routing::prelude::LoadReport;
use crocusyard_wire::prelude::TargetUpdate;
use std::collections::{BTreeMap, BTreeSet};

/// Longest lag of the host list. An announced leave that is older and not in the list is dropped.
///
/// A target whose own load reports say that it is leaving stays out of routing without the list.
const MAX_LIST_LAG: ClockTime = ClockTime::from_secs(30);

/// Longest time between a load report and the host list for both to concern the same process.
///
/// It is above the 2 s between two reads of an idle target. After a pause of this host, the newest
/// report can be older, and a new process may have started since.
const FRESH_REPORT_AGE: ClockTime = ClockTime::from_secs(3);

/// Origin of the newest load report of a target.
#[derive(Clone, Copy, Debug)]
struct LatestReport {
    /// Number of the target's process.
    incarnation: u64,
    /// Sequence number of the report within the process.
    sequence: u64,
    /// When this host received the report.
    received_at: ClockTime,
}

/// A leave of a target that the host list names.
#[derive(Clone, Copy, Debug)]
struct ListedLeave {
    /// Process that the leave is assigned to; `None` until one is known.
    incarnation: Option<u64>,
    /// When this host first read a list that names the target.
    listed_at: ClockTime,
}

/// A leave of a target's process that this host or a peer announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedLeave {
    /// Number of the target's process.
    incarnation: u64,
    /// When the leave was last announced, or confirmed by the host list.
    confirmed_at: ClockTime,
}

/// What this host knows of leaving targets from sources other than the targets' own load reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaveTable {
    /// Targets that the preset in force drains.
    drained: BTreeSet<TargetName>,
    /// Newest announced leave of each target.
    announced: BTreeMap<TargetName, AnnouncedLeave>,
    /// Newest load report of each target.
    latest_reports: BTreeMap<TargetName, LatestReport>,
    /// Targets that the host list names as leaving.
    listed: BTreeMap<TargetName, ListedLeave>,
}

/// Returns whether a target gets no new work, even if its own load report does not say that it is
/// leaving.
pub(crate) fn is_leaving(state: &HostState, target: &TargetName) -> bool {
    let reported = state
        .routes
        .report_of(target)
        .map_or(0, |report| report.incarnation);
    let announced = state.leaves.announced.get(target);
    let listed = state.leaves.listed.get(target);
    is_drained(state, target)
        || announced.is_some_and(|announced| announced.incarnation >= reported)
        || listed.is_some_and(|listed| listed.incarnation.is_none_or(|listed| listed >= reported))
}

/// Returns whether the preset in force drains a target.
pub(crate) fn is_drained(state: &HostState, target: &TargetName) -> bool {
    state.leaves.drained.contains(target)
}

/// Replaces the targets that the preset in force drains.
///
/// The targets of the catalogue must be in the route table already.
pub(crate) fn set_drained(state: &mut HostState, drained: Vec<TargetName>) {
    let drained = drained.into_iter().collect();
    let drained_before = std::mem::replace(&mut state.leaves.drained, drained);
    let routes = &state.routes;
    let declared = |target: &TargetName| routes.spec_of(target).is_some();
    state
        .leaves
        .latest_reports
        .retain(|target, _| declared(target));
    let leaves = &state.leaves;
    let named = leaves.announced.keys().chain(leaves.listed.keys());
    let mut affected: BTreeSet<TargetName> = named.chain(&leaves.drained).cloned().collect();
    affected.extend(drained_before);
    for target in affected {
        update_routing(state, &target);
    }
}

/// Applies an update on whether a process of a target is leaving.
pub(crate) fn apply_update(state: &mut HostState, now: ClockTime, update: &TargetUpdate) {
    let announced = state.leaves.announced.get(&update.target);
    if announced.is_some_and(|announced| announced.incarnation > update.incarnation) {
        return;
    }
    if update.leaving {
        let announced = AnnouncedLeave {
            incarnation: update.incarnation,
            confirmed_at: now,
        };
        state
            .leaves
            .announced
            .insert(update.target.clone(), announced);
    } else {
        state.leaves.announced.remove(&update.target);
    }
    update_routing(state, &update.target);
}

/// Replaces the targets that the host list names as leaving.
pub(crate) fn apply_host_list(
    state: &mut HostState,
    now: ClockTime,
    leaving: &[TargetName],
    out: &mut Vec<HostEffect>,
) {
    let listed_before = std::mem::take(&mut state.leaves.listed);
    for target in leaving {
        let latest = state.leaves.latest_reports.get(target).copied();
        let fresh = latest.filter(|latest| now.since(latest.received_at) < FRESH_REPORT_AGE);
        let known = listed_before.get(target).copied();
        let listed = known.unwrap_or(ListedLeave {
            incarnation: fresh.map(|latest| latest.incarnation),
            listed_at: now,
        });
        state.leaves.listed.insert(target.clone(), listed);
        update_routing(state, target);
        if let (None, Some(latest)) = (known, latest) {
            announce_leave(state, now, target, latest, out);
        }
    }
    drop_unconfirmed_leaves(state, now);
    for target in listed_before
        .keys()
        .filter(|target| !leaving.contains(target))
    {
        update_routing(state, target);
    }
}

/// Drops announced leaves that the host list, which was just read, should name by now.
fn drop_unconfirmed_leaves(state: &mut HostState, now: ClockTime) {
    let LeaveTable {
        announced, listed, ..
    } = &mut state.leaves;
    let mut dropped = Vec::new();
    announced.retain(|target, announced| {
        if listed.contains_key(target) {
            announced.confirmed_at = now;
        }
        let keep = now.since(announced.confirmed_at) < MAX_LIST_LAG;
        if !keep {
            dropped.push((target.clone(), announced.incarnation));
        }
        keep
    });
    for (target, incarnation) in dropped {
        // Other hosts may still announce the dropped leave. A later leave of the same process must
        // count as newer than it, here and on the other hosts.
        clear_leaving(&mut state.members, &target, incarnation);
        update_routing(state, &target);
    }
}

/// Updates the leaves of a target from its newest load report, which is in the route table.
pub(crate) fn apply_report(
    state: &mut HostState,
    now: ClockTime,
    report: &LoadReport,
    out: &mut Vec<HostEffect>,
) {
    let target = &report.target;
    let announced = state.leaves.announced.get(target);
    if announced.is_some_and(|announced| announced.incarnation < report.incarnation) {
        state.leaves.announced.remove(target);
        // Hosts that start later need no update about the earlier process.
        clear_leaving(&mut state.members, target, report.incarnation - 1);
        update_routing(state, target);
    }
    let newest = (report.incarnation, report.sequence);
    let previous = state.leaves.latest_reports.get(target).copied();
    // A report that arrives late does not replace a newer one, so nothing has changed.
    if previous.is_some_and(|latest| (latest.incarnation, latest.sequence) == newest) {
        return;
    }
    let latest = LatestReport {
        incarnation: report.incarnation,
        sequence: report.sequence,
        received_at: now,
    };
    state.leaves.latest_reports.insert(target.clone(), latest);
    let Some(listed) = state.leaves.listed.get_mut(target) else {
        return;
    };
    if listed.incarnation.is_none() {
        // A process that is first reported long after the list named the target is a later one.
        let late = now.since(listed.listed_at) >= FRESH_REPORT_AGE;
        let leaving_report = previous.filter(|_| late).unwrap_or(latest);
        listed.incarnation = Some(leaving_report.incarnation);
        announce_leave(state, now, target, leaving_report, out);
    }
    update_routing(state, target);
}

/// Announces a listed leave to other hosts, and keeps it after the host list drops the target.
fn announce_leave(
    state: &mut HostState,
    now: ClockTime,
    target: &TargetName,
    latest: LatestReport,
    out: &mut Vec<HostEffect>,
) {
    let update = TargetUpdate {
        target: target.clone(),
        incarnation: latest.incarnation,
        sequence: leave_sequence(&state.members, target, latest.incarnation, latest.sequence),
        leaving: true,
    };
    apply_update(state, now, &update);
    members::reduce(state, now, MembershipEvent::TargetUpdated(update), out);
}

/// Sets in the route table whether a target is leaving.
fn update_routing(state: &mut HostState, target: &TargetName) {
    let leaving = is_leaving(state, target);
    state.routes.set_leaving(target, leaving);
}
