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

/// Introductions sent in answer to one packet.
const MAX_INTRODUCTIONS: usize = 8;
/// Pages of the view that are queued for each packet with a different view hash.
const PAGES_PER_MISMATCH: u32 = 2;
/// Greatest number of queued pages of the view.
const MAX_PENDING_PAGES: u32 = 16;

/// Applies one event to the state and appends the effects to `out`.
pub fn reduce(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    event: MembershipEvent,
    out: &mut Vec<MembershipEffect>,
) {
    let incarnation_before = state.incarnation;
    match event {
        MembershipEvent::Tick => tick(state, now, rng, out),
        MembershipEvent::PacketReceived { from, packet } => receive(state, now, from, packet, out),
        MembershipEvent::HostList { hosts } => members::apply_host_list(state, now, hosts, out),
        MembershipEvent::OwnLeaving => members::start_leaving(state),
        MembershipEvent::TargetUpdated(update) => {
            updates::merge_target(state, now, &update);
        }
        MembershipEvent::OwnLoads { catalog, deltas } => loads::set_own(state, catalog, deltas),
        MembershipEvent::OwnDemand { catalog, demand } => demand::set_own(state, catalog, demand),
        MembershipEvent::MissingModelReported {
            holder,
            catalog,
            model,
        } => {
            // A lost packet needs no retry: waiting requests repeat this event.
            let messages = vec![WireMessage::MissingModel { catalog, model }];
            let holder = NameId::of(holder.as_str());
            send_packet(state, now, holder, messages, PiggybackLevel::Updates, out);
        }
        MembershipEvent::OwnUtilisation(percent) => state.utilisation = percent,
        MembershipEvent::PresetInForce(report) => updates::set_preset(state, report),
        MembershipEvent::CrashReported(report) => {
            updates::merge_crash(state, now, &report);
        }
        MembershipEvent::LeaseUpdated(update) => {
            updates::merge_lease(state, &update);
        }
    }
    send_urgent_updates(state, now, rng, out);
    invariant!(
        state.incarnation >= incarnation_before,
        "incarnation_never_falls",
        "incarnation fell from {incarnation_before} to {}",
        state.incarnation
    );
}

/// Runs the periodic checks, and starts the probes of this tick.
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
        resume_after_pause(state, now);
        out.push(MembershipEffect::PauseDetected { gap });
    }
    probes::check_probes(state, now, rng, out);
    members::declare_deaths(state, now, out);
    probes::start_probes(state, now, rng, out);
    // These limits are minutes long, so that a check every 16 ticks is often enough.
    if state.tick_count % 16 == 0 {
        members::forget_silent_hosts(state, now, out);
        updates::expire_crashes(state, now);
    }
}

/// Discards all probes and restarts the timeouts of all suspicions after a pause of this process,
/// since the process could not receive acks during the pause.
fn resume_after_pause(state: &mut MembershipState, now: ClockTime) {
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

/// Merges the content of a packet, introductions first.
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
        request_introduction(state, now, from, packet.sender, out);
        return;
    };
    member.address = from;
    member.last_seen = now;
    out.push(MembershipEffect::PeerUtilisation {
        host: member.host.clone(),
        percent: packet.utilisation,
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

/// Applies one message of a packet from a known host.
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
                    (state.pending_pages + PAGES_PER_MISMATCH).min(MAX_PENDING_PAGES);
            }
        }
        WireMessage::Members(updates) => {
            for update in updates {
                members::merge_update(state, now, update, out);
                probes::confirm_suspicion(state, now, update.host, out);
            }
        }
        WireMessage::WhoIs(ids) => send_introductions(state, now, sender, &ids, out),
        WireMessage::Introduce(introduction) => {
            members::merge_introduction(state, now, introduction, out);
        }
        WireMessage::Records(entries) => loads::receive_records(state, now, entries, out),
        WireMessage::Summaries(entries) => loads::receive_summaries(state, now, entries, out),
        WireMessage::MissingModel { catalog, model } => {
            out.push(MembershipEffect::MissingModelReceived { catalog, model });
        }
        WireMessage::Demand(chunk) => demand::receive_chunk(state, sender, chunk, out),
        WireMessage::Preset(report) => {
            // Not passed on until the version is in force on this host (`PresetInForce`), since a
            // host that learns of a version asks the sender for the body.
            if let Some(member) = state.members.get(&sender) {
                out.push(MembershipEffect::PresetReceived {
                    host: member.host.clone(),
                    domain: member.domain.clone(),
                    preset: report,
                });
            }
        }
        message @ (WireMessage::Targets(_) | WireMessage::Crashes(_) | WireMessage::Leases(_)) => {
            updates::receive(state, now, message, out);
        }
    }
}

/// Asks an unknown sender for its introduction.
///
/// The packet also introduces this host. Otherwise, two hosts that do not know each other would
/// keep asking each other.
fn request_introduction(
    state: &mut MembershipState,
    now: ClockTime,
    from: SocketAddr,
    sender: HostName,
    out: &mut Vec<MembershipEffect>,
) {
    let mut request = vec![WireMessage::WhoIs(vec![NameId::of(sender.as_str())])];
    request.extend(introduction_of(state, state.id).map(WireMessage::Introduce));
    state.sequence += 1;
    let packet = Packet {
        sender: state.settings.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        utilisation: state.utilisation,
        messages: request,
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

/// Sends the introductions of those hosts in `ids` that this host knows.
fn send_introductions(
    state: &mut MembershipState,
    now: ClockTime,
    sender: NameId,
    ids: &[NameId],
    out: &mut Vec<MembershipEffect>,
) {
    let known = ids.iter().filter_map(|id| introduction_of(state, *id));
    let known: Vec<_> = known.take(MAX_INTRODUCTIONS).collect();
    if known.is_empty() {
        return;
    }
    let messages = known.into_iter().map(WireMessage::Introduce).collect();
    send_packet(state, now, sender, messages, PiggybackLevel::Updates, out);
}
