//! Pings, pings through other hosts, and the suspicion that follows silence.
//!
//! A probe that is not acknowledged within `probe_timeout` is repeated, and helpers are asked to
//! ping too: one host of the probed host's failure domain and two of others. After
//! `indirect_probe_timeout` more, the prober suspects the host, unless anything of the host was heard in
//! the meantime. A helper whose own ping failed becomes an observer only of a host that somebody
//! suspects, so that its lost packets alone start no suspicion.

use crate::compose::{send_packet, PiggybackLevel};
use crate::effect::MembershipEffect;
use crate::members;
use crate::settings::DisseminationLayout;
use crate::state::{MemberRecord, MembershipState};
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeMap;

/// Helpers outside the probed host's failure domain.
const OUTSIDE_HELPERS: usize = 2;
/// Time for which a helper remembers that its ping failed.
const FAILURE_RETENTION: ClockTime = ClockTime::from_secs(5);
/// Probes in progress at once; more requests for help are ignored.
const PROBE_LIMIT: usize = 256;

/// A ping that waits for its ack.
#[derive(Clone, Debug)]
pub struct HostProbe {
    /// Probed host.
    pub host: NameId,
    /// When the first ping was sent.
    pub sent_at: ClockTime,
    /// When the ping was repeated.
    pub retried_at: Option<ClockTime>,
    /// Host that asked for the probe, with its nonce.
    pub requester: Option<(NameId, u32)>,
}

/// Probes in progress.
#[derive(Clone, Debug, Default)]
pub struct ProbeTable {
    /// Probes by nonce.
    pub pending: BTreeMap<u32, HostProbe>,
    /// Hosts that did not answer a ping on behalf of another host.
    pub failed: BTreeMap<NameId, ClockTime>,
    nonce: u32,
    round: Vec<NameId>,
}

/// Pings the next hosts; called on every tick.
pub fn start_probes(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    if let Some(host) = next_in_round(state, rng) {
        ping(state, now, host, None, out);
    }
    if state.tick_count % 2 == 0 {
        if let Some(host) = pick_elsewhere(state, rng) {
            ping(state, now, host, None, out);
        }
    }
    // A host declared dead that was only cut off learns of it by this ping and refutes.
    if state.tick_count % 16 == 0 {
        let dead = |member: &MemberRecord| member.state == LivenessState::Dead;
        if let Some(host) = pick_hosts(state, rng, 1, dead).pop() {
            ping(state, now, host, None, out);
        }
    }
}

/// Repeats probes, asks helpers and suspects silent hosts; called on every tick.
pub fn check_probes(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    let direct = state.settings.probe_timeout;
    let indirect = state.settings.indirect_probe_timeout;
    let due: Vec<_> = state
        .probes
        .pending
        .iter()
        .map(|(n, p)| (*n, p.clone()))
        .collect();
    for (nonce, probe) in due {
        // The second wait starts when the ping is repeated, not when it was due: a short pause of
        // the own process must not take the helpers' time.
        if let Some(repeated) = probe.retried_at {
            if now.since(repeated) >= indirect {
                state.probes.pending.remove(&nonce);
                conclude(state, now, &probe, out);
            }
        } else if now.since(probe.sent_at) >= direct {
            if let Some(probe) = state.probes.pending.get_mut(&nonce) {
                probe.retried_at = Some(now);
            }
            let repeat = vec![WireMessage::Ping { nonce }];
            send_packet(state, now, probe.host, repeat, PiggybackLevel::Updates, out);
            if probe.requester.is_none() {
                ask_helpers(state, now, rng, nonce, probe.host, out);
            }
        }
    }
    let fresh = |failed: &ClockTime| now.since(*failed) < FAILURE_RETENTION;
    state.probes.failed.retain(|_, failed| fresh(failed));
}

/// Pings a host on behalf of another one.
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
    } else if state.members.contains_key(&host) && state.probes.pending.len() < PROBE_LIMIT {
        ping(state, now, host, Some((requester, nonce)), out);
    }
}

/// Takes an ack.
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

/// Becomes an observer of a suspect that also failed the own ping.
pub fn confirm_suspicion(
    state: &mut MembershipState,
    now: ClockTime,
    host: NameId,
    out: &mut Vec<MembershipEffect>,
) {
    let me = state.id;
    let member = state.members.get(&host);
    let suspect = member.is_some_and(|member| member.state == LivenessState::Suspect);
    let failed = state.probes.failed.get(&host).copied();
    let silent = failed.is_some_and(|at| member.is_some_and(|m| m.last_heard < at));
    if suspect && silent && now >= state.grace_until {
        members::add_observer(state, now, host, me, out);
    }
}

fn conclude(
    state: &mut MembershipState,
    now: ClockTime,
    probe: &HostProbe,
    out: &mut Vec<MembershipEffect>,
) {
    let member = state.members.get(&probe.host);
    let heard = member.is_some_and(|member| member.last_heard > probe.sent_at);
    if heard || now < state.grace_until {
        return;
    }
    state.probes.failed.insert(probe.host, now);
    if probe.requester.is_some() {
        confirm_suspicion(state, now, probe.host, out);
    } else {
        let me = state.id;
        members::add_observer(state, now, probe.host, me, out);
    }
}

fn ping(
    state: &mut MembershipState,
    now: ClockTime,
    host: NameId,
    requester: Option<(NameId, u32)>,
    out: &mut Vec<MembershipEffect>,
) {
    state.probes.nonce = state.probes.nonce.wrapping_add(1);
    let nonce = state.probes.nonce;
    let fill = match requester {
        Some(_) => PiggybackLevel::Updates,
        None => PiggybackLevel::All,
    };
    let ping = vec![WireMessage::Ping { nonce }];
    // A ping that the budget does not allow is no probe.
    if send_packet(state, now, host, ping, fill, out) {
        let probe = HostProbe {
            host,
            sent_at: now,
            retried_at: None,
            requester,
        };
        state.probes.pending.insert(nonce, probe);
    }
}

fn ask_helpers(
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
    let outside = pick_hosts(state, rng, OUTSIDE_HELPERS, outside);
    for helper in inside.into_iter().chain(outside) {
        let request = vec![WireMessage::PingRequest { nonce, host }];
        send_packet(state, now, helper, request, PiggybackLevel::Updates, out);
    }
}

/// Returns the next host of the shuffled round over the hosts that get full records.
fn next_in_round(state: &mut MembershipState, rng: &mut SeededRng) -> Option<NameId> {
    for _ in 0..2 {
        while let Some(id) = state.probes.round.pop() {
            let member = state.members.get(&id);
            if member.is_some_and(|member| member.state != LivenessState::Dead) {
                return Some(id);
            }
        }
        let flat = state.settings.layout == DisseminationLayout::Flat;
        let near = |m: &MemberRecord| flat || m.domain_id == state.domain_id;
        let ids = state.members.iter().filter(|(_, member)| near(member));
        let mut round: Vec<_> = ids.map(|(id, _)| *id).collect();
        round.shuffle(rng);
        state.probes.round = round;
    }
    None
}

/// Returns a random host of a random other failure domain; with the flat layout, any host.
fn pick_elsewhere(state: &MembershipState, rng: &mut SeededRng) -> Option<NameId> {
    if state.settings.layout == DisseminationLayout::Flat {
        let any = |member: &MemberRecord| member.state != LivenessState::Dead;
        return pick_hosts(state, rng, 1, any).pop();
    }
    let domains = other_domains(state);
    let domain = *domains.choose(rng)?;
    let there =
        |member: &MemberRecord| member.domain_id == domain && member.state != LivenessState::Dead;
    pick_hosts(state, rng, 1, there).pop()
}

/// Returns all other failure domains with hosts that are not dead.
pub fn other_domains(state: &MembershipState) -> Vec<NameId> {
    let members = state.members.values();
    let members = members.filter(|member| member.state != LivenessState::Dead);
    let mut domains: Vec<_> = members.map(|member| member.domain_id).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.retain(|domain| *domain != state.domain_id);
    domains
}

/// Picks up to `count` distinct random hosts.
pub fn pick_hosts(
    state: &MembershipState,
    rng: &mut SeededRng,
    count: usize,
    wanted: impl Fn(&MemberRecord) -> bool,
) -> Vec<NameId> {
    let ids = state.members.iter().filter(|(_, member)| wanted(member));
    let ids: Vec<_> = ids.map(|(id, _)| *id).collect();
    ids.choose_multiple(rng, count).copied().collect()
}
