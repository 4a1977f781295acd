//! The membership reducer.

use crate::compose::{introduction_of, send, send_urgent, PacketFill};
use crate::demand;
use crate::effect::MembershipEffect;
use crate::event::MembershipEvent;
use crate::members;
use crate::news;
use crate::probes;
use crate::records;
use crate::state::{view_hash, MembershipState};
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
        MembershipEvent::Received { from, packet } => receive(state, now, from, packet, out),
        MembershipEvent::HostList { hosts } => members::apply_list(state, now, hosts, out),
        MembershipEvent::OwnLeaving => members::leave(state),
        MembershipEvent::TargetSeen(notice) => {
            news::learn_target(state, now, &notice);
        }
        MembershipEvent::OwnLoads { catalog, deltas } => records::set_own(state, catalog, deltas),
        MembershipEvent::OwnDemand { catalog, demand } => demand::set_own(state, catalog, demand),
        MembershipEvent::ModelWanted {
            holder,
            catalog,
            model,
        } => {
            // A lost packet is made good by the next one: requests ask again while they wait.
            let want = vec![WireMessage::Want { catalog, model }];
            let holder = NameId::of(holder.as_str());
            send(state, now, holder, want, PacketFill::News, out);
        }
        MembershipEvent::OwnBusy(busy) => state.busy = busy,
        MembershipEvent::PresetKnown(notice) => news::learn_preset(state, notice),
        MembershipEvent::Crash(notice) => {
            news::learn_crash(state, now, &notice);
        }
        MembershipEvent::LeaseKnown(notice) => {
            news::learn_lease(state, &notice);
        }
    }
    send_urgent(state, now, rng, out);
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
    state.started.get_or_insert(now);
    let gap = now.since(state.ticked.unwrap_or(now));
    state.ticked = Some(now);
    state.ticks += 1;
    if gap >= state.settings.pause {
        resume(state, now);
        out.push(MembershipEffect::PauseDetected { gap });
    }
    probes::check_probes(state, now, rng, out);
    members::settle_suspects(state, now, out);
    probes::start_probes(state, now, rng, out);
    // Once in 16 ticks is often enough for limits of minutes.
    if state.ticks % 16 == 0 {
        members::forget_silent(state, now, out);
        news::expire(state, now);
    }
}

/// Starts anew after a pause of the own process: the silence was its own.
fn resume(state: &mut MembershipState, now: ClockTime) {
    state.probes.open.clear();
    state.probes.failed.clear();
    let settings = &state.settings;
    state.grace = now + settings.probe_timeout + settings.indirect_timeout;
    for member in state.members.values_mut() {
        if member.state == LivenessState::Suspect {
            member.since = now;
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
    if sender == state.me {
        return;
    }
    let (introductions, others): (Vec<_>, Vec<_>) = packet
        .messages
        .into_iter()
        .partition(|message| matches!(message, WireMessage::Introduce(_)));
    for message in introductions {
        if let WireMessage::Introduce(introduction) = message {
            members::introduce(state, now, introduction, out);
        }
    }
    let Some(member) = state.members.get_mut(&sender) else {
        ask_sender(state, now, from, packet.sender, out);
        return;
    };
    member.address = from;
    member.heard = now;
    out.push(MembershipEffect::HostHeard {
        host: member.host.clone(),
        busy: packet.busy,
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
            send(state, now, sender, ack, PacketFill::All, out);
        }
        WireMessage::Ack { nonce } => probes::acknowledge(state, now, nonce, out),
        WireMessage::PingRequest { nonce, host } => {
            probes::help(state, now, sender, nonce, host, out);
        }
        WireMessage::View { hash } => {
            if view_hash(state) != hash {
                state.pages = (state.pages + PAGES_PER_DIFFERENCE).min(PAGE_BACKLOG);
            }
        }
        WireMessage::Members(updates) => {
            for update in updates {
                members::merge_update(state, now, update, out);
                probes::confirm_suspect(state, now, update.host, out);
            }
        }
        WireMessage::WhoIs(ids) => introduce_to(state, now, sender, &ids, out),
        WireMessage::Introduce(introduction) => {
            members::introduce(state, now, introduction, out);
        }
        WireMessage::Records(entries) => records::receive_records(state, now, entries, out),
        WireMessage::Summaries(entries) => records::receive_summaries(state, now, entries, out),
        WireMessage::Want { catalog, model } => {
            out.push(MembershipEffect::WantSeen { catalog, model });
        }
        WireMessage::Demand(chunk) => demand::receive(state, sender, chunk, out),
        WireMessage::Preset(notice) => {
            // Passed on only once it is in force here (`PresetKnown`): who hears of a version asks
            // the sender for its body.
            if let Some(member) = state.members.get(&sender) {
                out.push(MembershipEffect::PresetSeen {
                    host: member.host.clone(),
                    domain: member.domain.clone(),
                    preset: notice,
                });
            }
        }
        news @ (WireMessage::Targets(_) | WireMessage::Crashes(_) | WireMessage::Leases(_)) => {
            news::receive(state, now, news, out);
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
    ask.extend(introduction_of(state, state.me).map(WireMessage::Introduce));
    state.sequence += 1;
    let packet = Packet {
        sender: state.settings.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        busy: state.busy,
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
    send(state, now, sender, messages, PacketFill::News, out);
}
