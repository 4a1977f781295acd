//! Direct and indirect probes of hosts, and the suspicion of hosts that send no ack.
//!
//! A ping without an ack within `probe_timeout` is repeated, and relays are asked to ping the host
//! too: one host of the probed host's failure domain and two of others. After a further
//! `indirect_probe_timeout`, the prober suspects the host, unless a packet or a load record of the
//! host arrived in the meantime. A relay whose ping failed becomes an observer only of a host that
//! another host suspects, so that the relay's lost packets alone start no suspicion.

use crate::compose::{send_packet, PiggybackLevel};
use crate::effect::MembershipEffect;
use crate::members;
use crate::settings::DisseminationLayout;
use crate::state::{MemberRecord, MembershipState};
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeMap;

/// Relays outside the probed host's failure domain.
const OUTSIDE_RELAYS: usize = 2;
/// Time for which a failed probe can make this host an observer of a suspect.
const FAILURE_RETENTION: ClockTime = ClockTime::from_secs(5);
/// Pending probes above which requests to ping other hosts are ignored.
const MAX_PENDING_PROBES: usize = 256;

/// Probe of a host that waits for an ack.
#[derive(Clone, Debug)]
pub struct HostProbe {
    /// Probed host.
    pub host: NameId,
    /// Time of the first ping.
    pub sent_at: ClockTime,
    /// Time of the second ping; `None` until it is sent.
    pub retried_at: Option<ClockTime>,
    /// Host that requested the probe, with the nonce of its request; `None` for a probe that this
    /// host started.
    pub requester: Option<(NameId, u32)>,
}

/// Pending and failed probes.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    /// Probes that wait for an ack, by nonce.
    pub pending: BTreeMap<u32, HostProbe>,
    /// Time of the last failed probe, by probed host; kept for `FAILURE_RETENTION`.
    pub failed: BTreeMap<NameId, ClockTime>,
    /// Nonce of the last probe.
    last_nonce: u32,
    /// Hosts that are still to be probed in this round, in reverse order.
    round: Vec<NameId>,
}

/// Starts the probes of one tick.
pub fn start_probes(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    if let Some(host) = next_in_round(state, rng) {
        start_probe(state, now, host, None, out);
    }
    if state.tick_count % 2 == 0 {
        if let Some(host) = pick_outside(state, rng) {
            start_probe(state, now, host, None, out);
        }
    }
    // A host declared dead may only have been cut off. The ping carries the declaration, which the
    // host then refutes.
    if state.tick_count % 16 == 0 {
        let dead = |member: &MemberRecord| member.state == LivenessState::Dead;
        if let Some(host) = pick_hosts(state, rng, 1, dead).pop() {
            start_probe(state, now, host, None, out);
        }
    }
}

/// Repeats unanswered probes, requests indirect probes and suspects silent hosts, once in each
/// tick.
pub fn check_probes(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    let probe_timeout = state.settings.probe_timeout;
    let indirect_timeout = state.settings.indirect_probe_timeout;
    let pending: Vec<_> = state
        .probes
        .pending
        .iter()
        .map(|(n, p)| (*n, p.clone()))
        .collect();
    for (nonce, probe) in pending {
        // The second wait starts when the ping is actually repeated. A short pause of this process
        // must not shorten the time that the relays have.
        if let Some(retried_at) = probe.retried_at {
            if now.since(retried_at) >= indirect_timeout {
                state.probes.pending.remove(&nonce);
                fail_probe(state, now, &probe, out);
            }
        } else if now.since(probe.sent_at) >= probe_timeout {
            if let Some(probe) = state.probes.pending.get_mut(&nonce) {
                probe.retried_at = Some(now);
            }
            let ping = vec![WireMessage::Ping { nonce }];
            send_packet(state, now, probe.host, ping, PiggybackLevel::Updates, out);
            if probe.requester.is_none() {
                request_indirect_probes(state, now, rng, nonce, probe.host, out);
            }
        }
    }
    let recent = |failed_at: &ClockTime| now.since(*failed_at) < FAILURE_RETENTION;
    state.probes.failed.retain(|_, failed_at| recent(failed_at));
}

/// Pings a host on behalf of another one, the requester.
pub fn relay_ping(
    state: &mut MembershipState,
    now: ClockTime,
    requester: NameId,
    nonce: u32,
    host: NameId,
    out: &mut Vec<MembershipEffect>,
) {
    if host == state.id {
        let ack = vec![WireMessage::Ack { nonce }];
        send_packet(state, now, requester, ack, PiggybackLevel::Updates, out);
    } else if state.members.contains_key(&host) && state.probes.pending.len() < MAX_PENDING_PROBES {
        start_probe(state, now, host, Some((requester, nonce)), out);
    }
}

/// Completes the probe with this nonce, and passes the ack on to a requester.
pub fn receive_ack(
    state: &mut MembershipState,
    now: ClockTime,
    nonce: u32,
    out: &mut Vec<MembershipEffect>,
) {
    let Some(probe) = state.probes.pending.remove(&nonce) else {
        return;
    };
    state.probes.failed.remove(&probe.host);
    if let Some((requester, nonce)) = probe.requester {
        let ack = vec![WireMessage::Ack { nonce }];
        send_packet(state, now, requester, ack, PiggybackLevel::Updates, out);
    }
}

/// Adds this host as an observer of a suspect that did not answer this host's probe either, unless
/// a packet or a load record of the suspect arrived since that probe failed.
pub fn confirm_suspicion(
    state: &mut MembershipState,
    now: ClockTime,
    host: NameId,
    out: &mut Vec<MembershipEffect>,
) {
    let own_id = state.id;
    let member = state.members.get(&host);
    let suspect = member.is_some_and(|member| member.state == LivenessState::Suspect);
    let failed_at = state.probes.failed.get(&host).copied();
    let silent = failed_at.is_some_and(|at| member.is_some_and(|m| m.last_seen < at));
    if suspect && silent && now >= state.grace_until {
        members::add_observer(state, now, host, own_id, out);
    }
}

/// Ends a probe without an ack, and suspects the host unless a packet or a load record of it
/// arrived since the first ping.
fn fail_probe(
    state: &mut MembershipState,
    now: ClockTime,
    probe: &HostProbe,
    out: &mut Vec<MembershipEffect>,
) {
    let member = state.members.get(&probe.host);
    let was_seen = member.is_some_and(|member| member.last_seen > probe.sent_at);
    if was_seen || now < state.grace_until {
        return;
    }
    state.probes.failed.insert(probe.host, now);
    if probe.requester.is_some() {
        confirm_suspicion(state, now, probe.host, out);
    } else {
        let own_id = state.id;
        members::add_observer(state, now, probe.host, own_id, out);
    }
}

/// Pings a host and waits for the ack.
fn start_probe(
    state: &mut MembershipState,
    now: ClockTime,
    host: NameId,
    requester: Option<(NameId, u32)>,
    out: &mut Vec<MembershipEffect>,
) {
    state.probes.last_nonce = state.probes.last_nonce.wrapping_add(1);
    let nonce = state.probes.last_nonce;
    let piggyback = match requester {
        Some(_) => PiggybackLevel::Updates,
        None => PiggybackLevel::All,
    };
    let ping = vec![WireMessage::Ping { nonce }];
    // If the budget does not allow the ping, there is no probe that could fail.
    if send_packet(state, now, host, ping, piggyback, out) {
        let probe = HostProbe {
            host,
            sent_at: now,
            retried_at: None,
            requester,
        };
        state.probes.pending.insert(nonce, probe);
    }
}

/// Asks relays inside and outside the host's failure domain to ping the host.
fn request_indirect_probes(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    nonce: u32,
    host: NameId,
    out: &mut Vec<MembershipEffect>,
) {
    let Some(domain) = state.members.get(&host).map(|member| member.domain_id) else {
        return;
    };
    let live = |member: &MemberRecord| member.state == LivenessState::Alive;
    let inside = pick_hosts(state, rng, 2, |m| live(m) && m.domain_id == domain);
    let inside = inside.into_iter().find(|id| *id != host);
    let outside = |m: &MemberRecord| live(m) && m.domain_id != domain;
    let outside = pick_hosts(state, rng, OUTSIDE_RELAYS, outside);
    for relay in inside.into_iter().chain(outside) {
        let request = vec![WireMessage::PingRequest { nonce, host }];
        send_packet(state, now, relay, request, PiggybackLevel::Updates, out);
    }
}

/// Returns the next host of a shuffled round over all hosts that get full load records.
fn next_in_round(state: &mut MembershipState, rng: &mut SeededRng) -> Option<NameId> {
    for _ in 0..2 {
        while let Some(id) = state.probes.round.pop() {
            let member = state.members.get(&id);
            if member.is_some_and(|member| member.state != LivenessState::Dead) {
                return Some(id);
            }
        }
        let flat = state.settings.layout == DisseminationLayout::Flat;
        let in_round = |m: &MemberRecord| flat || m.domain_id == state.domain_id;
        let ids = state.members.iter().filter(|(_, member)| in_round(member));
        let mut round: Vec<_> = ids.map(|(id, _)| *id).collect();
        round.shuffle(rng);
        state.probes.round = round;
    }
    None
}

/// Returns a random host of a random other failure domain; with the flat layout, of any failure
/// domain.
fn pick_outside(state: &MembershipState, rng: &mut SeededRng) -> Option<NameId> {
    if state.settings.layout == DisseminationLayout::Flat {
        let not_dead = |member: &MemberRecord| member.state != LivenessState::Dead;
        return pick_hosts(state, rng, 1, not_dead).pop();
    }
    let domains = other_domains(state);
    let domain = *domains.choose(rng)?;
    let eligible =
        |member: &MemberRecord| member.domain_id == domain && member.state != LivenessState::Dead;
    pick_hosts(state, rng, 1, eligible).pop()
}

/// Returns the other failure domains in which at least one host is not dead.
pub fn other_domains(state: &MembershipState) -> Vec<NameId> {
    let members = state.members.values();
    let members = members.filter(|member| member.state != LivenessState::Dead);
    let mut domains: Vec<_> = members.map(|member| member.domain_id).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.retain(|domain| *domain != state.domain_id);
    domains
}

/// Returns up to `count` distinct random hosts for which `is_eligible` holds.
pub fn pick_hosts(
    state: &MembershipState,
    rng: &mut SeededRng,
    count: usize,
    is_eligible: impl Fn(&MemberRecord) -> bool,
) -> Vec<NameId> {
    let ids = state
        .members
        .iter()
        .filter(|(_, member)| is_eligible(member));
    let ids: Vec<_> = ids.map(|(id, _)| *id).collect();
    ids.choose_multiple(rng, count).copied().collect()
}
