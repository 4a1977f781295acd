//! The membership reducer.

use crate::compose::{introduction_of, send_packet, send_urgent_updates, PiggybackLevel};
use crate::demand;
use crate::effect::MembershipEffect;
use crate::event::MembershipEvent;
use crate::loads;
use crate::members;
use crate::probes;
use crate::state::{view_hash, MembershipState};
use crate::updates;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;

/// Introductions that answer one packet.
const INTRODUCTION_LIMIT: usize = 8;
/// Pages of the view that are sent after one packet with another view.
const PAGES_PER_DIFFERENCE: u32 = 2;
/// Pages of the view that wait at most.
const PAGE_BACKLOG: u32 = 16;

/// Takes one event and appends its effects.
pub fn reduce(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    event: MembershipEvent,
    out: &mut Vec<MembershipEffect>,
) {
    let incarnation = state.incarnation;
    match event {
        MembershipEvent::Tick => tick(state, now, rng, out),
        MembershipEvent::PacketReceived { from, packet } => receive(state, now, from, packet, out),
        MembershipEvent::HostList { hosts } => members::apply_host_list(state, now, hosts, out),
        MembershipEvent::OwnLeaving => members::start_leaving(state),
        MembershipEvent::TargetUpdated(notice) => {
            updates::merge_target(state, now, &notice);
        }
        MembershipEvent::OwnLoads { catalog, deltas } => loads::set_own(state, catalog, deltas),
        MembershipEvent::OwnDemand { catalog, demand } => demand::set_own(state, catalog, demand),
        MembershipEvent::ModelWanted {
            holder,
            catalog,
            model,
        } => {
            // A lost packet is made good by the next one: requests ask again while they wait.
            let want = vec![WireMessage::Want { catalog, model }];
            let holder = NameId::of(holder.as_str());
            send_packet(state, now, holder, want, PiggybackLevel::Updates, out);
        }
        MembershipEvent::OwnUtilisation(busy) => state.utilisation = busy,
        MembershipEvent::PresetInForce(notice) => updates::set_preset(state, notice),
        MembershipEvent::CrashReported(notice) => {
            updates::merge_crash(state, now, &notice);
        }
        MembershipEvent::LeaseUpdated(notice) => {
            updates::merge_lease(state, &notice);
        }
    }
    send_urgent_updates(state, now, rng, out);
    invariant!(
        state.incarnation >= incarnation,
        "incarnation_never_falls",
        "{incarnation} to {}",
        state.incarnation
    );
}

fn tick(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    state.first_tick.get_or_insert(now);
    let gap = now.since(state.last_tick.unwrap_or(now));
    state.last_tick = Some(now);
    state.tick_count += 1;
    if gap >= state.settings.pause_threshold {
        resume(state, now);
        out.push(MembershipEffect::PauseDetected { gap });
    }
    probes::check_probes(state, now, rng, out);
    members::declare_deaths(state, now, out);
    probes::start_probes(state, now, rng, out);
    // Once in 16 ticks is often enough for limits of minutes.
    if state.tick_count % 16 == 0 {
        members::forget_silent_hosts(state, now, out);
        updates::expire_crashes(state, now);
    }
}

/// Starts anew after a pause of the own process: the silence was its own.
fn resume(state: &mut MembershipState, now: ClockTime) {
    state.probes.pending.clear();
    state.probes.failed.clear();
    let settings = &state.settings;
    state.grace_until = now + settings.probe_timeout + settings.indirect_probe_timeout;
    for member in state.members.values_mut() {
        if member.state == LivenessState::Suspect {
            member.state_since = now;
        }
    }
}

fn receive(
    state: &mut MembershipState,
    now: ClockTime,
    from: SocketAddr,
    packet: Packet,
    out: &mut Vec<MembershipEffect>,
) {
    let sender = NameId::of(packet.sender.as_str());
    if sender == state.id {
        return;
    }
    let (introductions, others): (Vec<_>, Vec<_>) = packet
        .messages
        .into_iter()
        .partition(|message| matches!(message, WireMessage::Introduce(_)));
    for message in introductions {
        if let WireMessage::Introduce(introduction) = message {
            members::merge_introduction(state, now, introduction, out);
        }
    }
    let Some(member) = state.members.get_mut(&sender) else {
        ask_sender(state, now, from, packet.sender, out);
        return;
    };
    member.address = from;
    member.last_heard = now;
    out.push(MembershipEffect::PeerUtilisation {
        host: member.host.clone(),
        percent: packet.busy,
    });
    if packet.incarnation > member.incarnation {
        let update = MemberUpdate {
            host: sender,
            incarnation: packet.incarnation,
            state: LivenessState::Alive,
            leaving: member.leaving && member.incarnation == 0,
            observer: None,
        };
        members::merge_update(state, now, update, out);
    }
    for message in others {
        receive_message(state, now, sender, message, out);
    }
}

fn receive_message(
    state: &mut MembershipState,
    now: ClockTime,
    sender: NameId,
    message: WireMessage,
    out: &mut Vec<MembershipEffect>,
) {
    match message {
        WireMessage::Ping { nonce } => {
            let ack = vec![WireMessage::Ack { nonce }];
            send_packet(state, now, sender, ack, PiggybackLevel::All, out);
        }
        WireMessage::Ack { nonce } => probes::receive_ack(state, now, nonce, out),
        WireMessage::PingRequest { nonce, host } => {
            probes::relay_ping(state, now, sender, nonce, host, out);
        }
        WireMessage::View { hash } => {
            if view_hash(state) != hash {
                state.pending_pages =
                    (state.pending_pages + PAGES_PER_DIFFERENCE).min(PAGE_BACKLOG);
            }
        }
        WireMessage::Members(updates) => {
            for update in updates {
                members::merge_update(state, now, update, out);
                probes::confirm_suspicion(state, now, update.host, out);
            }
        }
        WireMessage::WhoIs(ids) => introduce_to(state, now, sender, &ids, out),
        WireMessage::Introduce(introduction) => {
            members::merge_introduction(state, now, introduction, out);
        }
        WireMessage::Records(entries) => loads::receive_records(state, now, entries, out),
        WireMessage::Summaries(entries) => loads::receive_summaries(state, now, entries, out),
        WireMessage::Want { catalog, model } => {
            out.push(MembershipEffect::ModelWantReceived { catalog, model });
        }
        WireMessage::Demand(chunk) => demand::receive_chunk(state, sender, chunk, out),
        WireMessage::Preset(notice) => {
            // Passed on only once it is in force here (`PresetKnown`): who hears of a version asks
            // the sender for its body.
            if let Some(member) = state.members.get(&sender) {
                out.push(MembershipEffect::PresetReceived {
                    host: member.host.clone(),
                    domain: member.domain.clone(),
                    preset: notice,
                });
            }
        }
        news @ (WireMessage::Targets(_) | WireMessage::Crashes(_) | WireMessage::Leases(_)) => {
            updates::receive(state, now, news, out);
        }
    }
}

/// Asks a sender that is not known for its description.
///
/// The own description goes along: two hosts that do not know each other would otherwise ask each
/// other without end.
fn ask_sender(
    state: &mut MembershipState,
    now: ClockTime,
    from: SocketAddr,
    sender: HostName,
    out: &mut Vec<MembershipEffect>,
) {
    let mut ask = vec![WireMessage::WhoIs(vec![NameId::of(sender.as_str())])];
    ask.extend(introduction_of(state, state.id).map(WireMessage::Introduce));
    state.sequence += 1;
    let packet = Packet {
        sender: state.settings.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        busy: state.utilisation,
        messages: ask,
    };
    let size = encoded_len(&packet) + 17 + DATAGRAM_OVERHEAD;
    if state.budget.take(now, size as u64) {
        out.push(MembershipEffect::Send {
            recipient: sender,
            address: from,
            packet,
        });
    }
}

fn introduce_to(
    state: &mut MembershipState,
    now: ClockTime,
    sender: NameId,
    ids: &[NameId],
    out: &mut Vec<MembershipEffect>,
) {
    let known = ids.iter().filter_map(|id| introduction_of(state, *id));
    let known: Vec<_> = known.take(INTRODUCTION_LIMIT).collect();
    if known.is_empty() {
        return;
    }
    let messages = known.into_iter().map(WireMessage::Introduce).collect();
    send_packet(state, now, sender, messages, PiggybackLevel::Updates, out);
}
