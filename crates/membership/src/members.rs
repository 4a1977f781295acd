//! Liveness of hosts: merging of updates, suspicion, refutation, death and removal.

use crate::effect::MembershipEffect;
use crate::event::ListedHost;
use crate::state::{view_of, MemberRecord, MembershipState, SuspectObserver};
use crate::update_queue::UpdateKey;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::BTreeSet;

/// Observers that are kept for each suspect.
pub const MAX_OBSERVERS: usize = 4;
/// Unknown hosts whose ids are kept to request their introductions.
pub const MAX_UNKNOWN_HOSTS: usize = 512;
/// Multiple of the suspicion timeout after which a suspect is declared dead with a single observer
/// if this host knows no live host.
const LONE_OBSERVER_FACTOR: u64 = 10;

/// Merges an update about a host.
///
/// An update of an older incarnation is ignored. One of a newer incarnation ends a suspicion or
/// death. Within one incarnation, leaving and death are final.
pub fn merge_update(
    state: &mut MembershipState,
    now: ClockTime,
    update: MemberUpdate,
    out: &mut Vec<MembershipEffect>,
) {
    if update.host == state.id {
        merge_own_update(state, update, out);
        return;
    }
    let Some(member) = state.members.get_mut(&update.host) else {
        let dead = update.state == LivenessState::Dead;
        if !dead && state.unknown.len() < MAX_UNKNOWN_HOSTS {
            state.unknown.insert(update.host);
        }
        return;
    };
    if update.incarnation < member.incarnation {
        return;
    }
    let before = (member.incarnation, member.state, member.leaving);
    if update.incarnation > member.incarnation {
        member.incarnation = update.incarnation;
        member.leaving = update.leaving;
        member.observers.clear();
        member.state = LivenessState::Alive;
        member.needs_target_sync = true;
    }
    member.leaving |= update.leaving;
    if update.state == LivenessState::Dead {
        member.state = LivenessState::Dead;
    }
    let changed = before != (member.incarnation, member.state, member.leaving);
    // Only the refuting host sends a refutation at once. If all hosts did so, the refutations at
    // the end of a cut would use up the budget for acks.
    let died = member.state == LivenessState::Dead && before.1 != LivenessState::Dead;
    let urgent = member.leaving != before.2 || died;
    if changed {
        member.state_since = now;
        state.view_hash = None;
        state.urgent |= urgent;
        state.updates.add(UpdateKey::Member(update.host));
        out.push(MembershipEffect::HostChanged(view_of(member)));
    }
    if let (LivenessState::Suspect, Some(observer)) = (update.state, update.observer) {
        add_observer(state, now, update.host, observer, out);
    }
}

/// Merges an update about this host: refutes suspicion and death, and starts to leave if peers say
/// so.
fn merge_own_update(
    state: &mut MembershipState,
    update: MemberUpdate,
    out: &mut Vec<MembershipEffect>,
) {
    let suspect_or_dead = update.state != LivenessState::Alive;
    let ahead = update.incarnation > state.incarnation;
    if ahead || (suspect_or_dead && update.incarnation == state.incarnation) {
        let raised = update.incarnation.saturating_add(1);
        invariant!(
            raised > state.incarnation,
            "incarnation_never_falls",
            "incarnation {} refuted with {raised}",
            state.incarnation
        );
        state.incarnation = raised;
        state.view_hash = None;
        state.updates.add(UpdateKey::Member(state.id));
        state.urgent = true;
        out.push(MembershipEffect::IncarnationRaised {
            incarnation: raised,
        });
    } else if update.incarnation == state.incarnation && update.leaving && !state.leaving {
        start_leaving(state);
        out.push(MembershipEffect::SelfLeaving);
    }
}

/// Marks this host as leaving and announces it.
pub fn start_leaving(state: &mut MembershipState) {
    state.leaving = true;
    state.view_hash = None;
    state.updates.add(UpdateKey::Member(state.id));
    state.urgent = true;
}

/// Records that `observer` got no answer from `host`, which becomes a suspect if it was alive.
///
/// Ignores unknown hosts, unknown observers and dead hosts.
pub fn add_observer(
    state: &mut MembershipState,
    now: ClockTime,
    host: NameId,
    observer: NameId,
    out: &mut Vec<MembershipEffect>,
) {
    let domain = if observer == state.id {
        state.domain_id
    } else {
        match state.members.get(&observer) {
            Some(member) => member.domain_id,
            None => return,
        }
    };
    let Some(member) = state.members.get_mut(&host) else {
        return;
    };
    if member.state == LivenessState::Dead {
        return;
    }
    let known = member.observers.iter().any(|known| known.host == observer);
    // At most two observers in one failure domain are kept, to leave room for those in others.
    let same_domain = member
        .observers
        .iter()
        .filter(|known| known.domain == domain);
    let full = member.observers.len() >= MAX_OBSERVERS || same_domain.count() >= 2;
    if !known && !full {
        let suspect_observer = SuspectObserver {
            host: observer,
            domain,
        };
        member.observers.push(suspect_observer);
        // The time to refute starts again. After a cut, the observers of both sides become known
        // before the suspect's refutation arrives.
        member.state_since = now;
        state.updates.add(UpdateKey::Suspicion { host, observer });
    }
    if member.state == LivenessState::Alive {
        member.state = LivenessState::Suspect;
        member.state_since = now;
        state.view_hash = None;
        out.push(MembershipEffect::HostChanged(view_of(member)));
        // Only the observer itself sends the suspicion at once; other hosts piggyback it.
        state.urgent |= observer == state.id;
    }
}

/// Declares a suspect dead if it had time to refute and has enough observers.
pub fn declare_deaths(
    state: &mut MembershipState,
    now: ClockTime,
    out: &mut Vec<MembershipEffect>,
) {
    if now < state.grace_until {
        return;
    }
    let mut dead = Vec::new();
    for (id, member) in &state.members {
        let waited = now.since(member.state_since);
        let suspect = member.state == LivenessState::Suspect;
        if suspect
            && waited >= state.settings.suspicion_timeout
            && has_enough_observers(state, member, waited)
        {
            dead.push(*id);
        }
    }
    for id in dead {
        let single_domain = is_single_domain(state);
        let Some(member) = state.members.get_mut(&id) else {
            continue;
        };
        let domains: BTreeSet<_> = member.observers.iter().map(|o| o.domain).collect();
        if !invariant!(
            domains.len() >= 2 || single_domain,
            "death_needs_two_domains",
            "{} would be declared dead with observers in one failure domain only",
            member.host
        ) {
            continue;
        }
        member.state = LivenessState::Dead;
        member.state_since = now;
        state.view_hash = None;
        state.updates.add(UpdateKey::Member(id));
        state.urgent = true;
        out.push(MembershipEffect::HostChanged(view_of(member)));
    }
}

/// Returns whether a suspect has enough observers to be declared dead.
///
/// With several failure domains, one observer must be in the suspect's failure domain and one in
/// another, so that the hosts on one side of a cut cannot declare those on the other side dead.
/// With one failure domain, two observers are needed, or one and [`LONE_OBSERVER_FACTOR`] times the
/// suspicion timeout if this host knows no live host.
fn has_enough_observers(
    state: &MembershipState,
    suspect: &MemberRecord,
    waited: ClockTime,
) -> bool {
    let inside = suspect
        .observers
        .iter()
        .filter(|observer| observer.domain == suspect.domain_id)
        .count();
    if !is_single_domain(state) {
        return inside >= 1 && suspect.observers.len() > inside;
    }
    let live = |member: &&MemberRecord| member.state == LivenessState::Alive;
    let alone = state.members.values().filter(live).count() == 0;
    let long_silent =
        waited.as_ms() >= state.settings.suspicion_timeout.as_ms() * LONE_OBSERVER_FACTOR;
    inside >= 2 || (alone && long_silent)
}

/// Returns whether all known hosts are in this host's failure domain.
fn is_single_domain(state: &MembershipState) -> bool {
    let mut domains = state.members.values().map(|member| member.domain_id);
    domains.all(|domain| domain == state.domain_id)
}

/// Merges the description of a host, and adds the host if it is unknown.
pub fn merge_introduction(
    state: &mut MembershipState,
    now: ClockTime,
    introduction: HostIntroduction,
    out: &mut Vec<MembershipEffect>,
) {
    let id = NameId::of(introduction.host.as_str());
    state.unknown.remove(&id);
    if id == state.id {
        return;
    }
    let update = MemberUpdate {
        host: id,
        incarnation: introduction.incarnation,
        state: LivenessState::Alive,
        leaving: introduction.leaving,
        observer: None,
    };
    if let Some(member) = state.members.get_mut(&id) {
        if introduction.incarnation > member.incarnation {
            member.address = introduction.address;
        }
        let newest = introduction.incarnation >= member.incarnation;
        if newest
            && introduction.caller_address.is_some()
            && introduction.caller_address != member.caller_address
        {
            member.caller_address = introduction.caller_address;
            out.push(MembershipEffect::HostChanged(view_of(member)));
        }
        merge_update(state, now, update, out);
        return;
    }
    let member = MemberRecord {
        domain_id: NameId::of(introduction.domain.as_str()),
        host: introduction.host,
        address: introduction.address,
        caller_address: introduction.caller_address,
        domain: introduction.domain,
        region: introduction.region,
        incarnation: introduction.incarnation,
        state: LivenessState::Alive,
        state_since: now,
        leaving: introduction.leaving,
        listed: false,
        listed_leaving: false,
        last_seen: now,
        needs_target_sync: true,
        observers: Vec::new(),
    };
    out.push(MembershipEffect::HostChanged(view_of(&member)));
    state.members.insert(id, member);
    state.updates.add(UpdateKey::Introduction(id));
    state.view_hash = None;
}

/// Applies the host list, which may be older than the state that peers announce.
pub fn apply_host_list(
    state: &mut MembershipState,
    now: ClockTime,
    hosts: Vec<ListedHost>,
    out: &mut Vec<MembershipEffect>,
) {
    let mut unlisted: BTreeSet<NameId> = state.members.keys().copied().collect();
    for listed in hosts {
        let id = NameId::of(listed.host.as_str());
        unlisted.remove(&id);
        if id == state.id {
            if listed.leaving && !state.leaving {
                start_leaving(state);
                out.push(MembershipEffect::SelfLeaving);
            }
            continue;
        }
        if !state.members.contains_key(&id) {
            let introduction = HostIntroduction {
                host: listed.host.clone(),
                address: listed.address,
                caller_address: listed.caller_address,
                domain: listed.domain.clone(),
                region: listed.region.clone(),
                incarnation: 0,
                leaving: false,
            };
            merge_introduction(state, now, introduction, out);
            // All hosts get the list, so peers need no introduction of its hosts.
            state.updates.remove(&UpdateKey::Introduction(id));
        }
        let Some(member) = state.members.get_mut(&id) else {
            continue;
        };
        member.listed = true;
        if member.incarnation == 0 {
            member.address = listed.address;
            member.caller_address = listed.caller_address;
        }
        member.caller_address = member.caller_address.or(listed.caller_address);
        if member.listed_leaving == listed.leaving {
            continue;
        }
        member.listed_leaving = listed.leaving;
        if listed.leaving && !member.leaving {
            member.leaving = true;
            state.view_hash = None;
            state.updates.add(UpdateKey::Member(id));
            state.urgent = true;
        }
        out.push(MembershipEffect::HostChanged(view_of(member)));
    }
    for id in unlisted {
        if let Some(member) = state.members.get_mut(&id) {
            member.listed = false;
            member.listed_leaving = false;
        }
    }
}

/// Removes hosts that were silent for `settings.forget_after` and are not in the host list.
pub fn forget_silent_hosts(
    state: &mut MembershipState,
    now: ClockTime,
    out: &mut Vec<MembershipEffect>,
) {
    let limit = state.settings.forget_after;
    let forgettable = |member: &MemberRecord| {
        let silent = now.since(member.last_seen.max(member.state_since)) >= limit;
        silent && !member.listed && member.state != LivenessState::Alive
    };
    let silent: Vec<_> = state
        .members
        .iter()
        .filter(|(_, m)| forgettable(m))
        .collect();
    let silent: Vec<NameId> = silent.into_iter().map(|(id, _)| *id).collect();
    for id in silent {
        if let Some(member) = state.members.remove(&id) {
            state.loads.hosts.remove(&id);
            state.demand.hosts.remove(&id);
            state.view_hash = None;
            out.push(MembershipEffect::HostForgotten(member.host));
        }
    }
}
