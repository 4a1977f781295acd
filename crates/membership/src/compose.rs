//! Composition of packets within the packet size and the byte budget.
//!
//! Content is added in the order of its importance until the packet or the budget is full: the
//! messages that the packet is sent for (a probe, an ack, an answer), the view hash and the preset,
//! a suspicion of the recipient, gossip updates, pages of a differing view, and last load records,
//! summaries and demand.

use crate::demand;
use crate::effect::MembershipEffect;
use crate::loads;
use crate::probes::{other_domains, pick_hosts};
use crate::settings::DisseminationLayout;
use crate::state::{view_hash, MemberRecord, MembershipState};
use crate::update_queue::{transmit_limit, UpdateKey};
use crate::updates;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use rand::seq::IndexedRandom;
use std::ops::Bound;

/// Bytes of the budget that only probes and gossip updates may use.
pub const UPDATE_RESERVE_BYTES: u64 = 2000;
/// Smallest budget above the reserve with which load and demand are added, bytes; a summary takes
/// about 130 bytes.
const MIN_BULK_BYTES: usize = 300;
/// Least time between two transmissions of urgent updates by one host.
const URGENT_INTERVAL: ClockTime = ClockTime::from_ms(200);
/// Recipients of urgent updates in this host's failure domain, and as many in others.
const URGENT_FANOUT: usize = 2;
/// Members on one page of the view; they take about 400 bytes.
const PAGE_MEMBERS: usize = 24;
/// Leaving targets on one page of the view.
const PAGE_TARGETS: usize = 8;
/// Leaving targets in the first packet to a host that may lack some; they take about 500 bytes.
///
/// Each peer sends the host the next targets of its own rotation, so that a few peers together send
/// all of them.
const SYNC_TARGETS: usize = 16;
/// Bytes kept free for the lengths of lists and the numbers of enum variants.
const ENCODING_SLACK: usize = 32;

/// Content that a packet carries in addition to the messages that it is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PiggybackLevel {
    /// Gossip updates only.
    Updates,
    /// Gossip updates, pages of the view, load records, summaries and demand.
    All,
}

/// Messages of a packet that is being composed.
struct PacketDraft {
    messages: Vec<WireMessage>,
    /// Bytes that further messages may take.
    bytes_left: usize,
}

impl PacketDraft {
    /// Adds a message; returns `false` if it does not fit.
    fn add(&mut self, message: WireMessage) -> bool {
        let size = encoded_len(&message);
        if size > self.bytes_left {
            return false;
        }
        self.bytes_left -= size;
        self.messages.push(message);
        true
    }
}

/// Sends a packet with `messages` to a host; returns `false` if the host is unknown, or if packet
/// size or budget do not allow the packet.
pub fn send_packet(
    state: &mut MembershipState,
    now: ClockTime,
    recipient: NameId,
    messages: Vec<WireMessage>,
    piggyback: PiggybackLevel,
    out: &mut Vec<MembershipEffect>,
) -> bool {
    let Some(member) = state.members.get(&recipient) else {
        return false;
    };
    let (name, address, domain) = (member.host.clone(), member.address, member.domain_id);
    let recipient_update = member_update(member, recipient);
    let needs_target_sync = member.needs_target_sync;
    // A packet adds 17 bytes for version and hash, and up to 18 for the fields beside the name.
    let header_len = state.settings.host.as_str().len() + ENCODING_SLACK + 17 + 18;
    let available = state.budget.available(now);
    let allowed = available.saturating_sub(DATAGRAM_OVERHEAD as u64) as usize;
    let mut draft = PacketDraft {
        messages: Vec::new(),
        bytes_left: allowed.min(PACKET_LIMIT).saturating_sub(header_len),
    };
    for message in messages {
        if !draft.add(message) {
            return false;
        }
    }
    draft.add(WireMessage::View {
        hash: view_hash(state),
    });
    if let Some(preset) = state.preset {
        draft.add(WireMessage::Preset(preset));
    }
    if recipient_update.state != LivenessState::Alive {
        draft.add(WireMessage::Members(vec![recipient_update]));
    }
    let synced_targets = needs_target_sync && add_target_sync(state, &mut draft);
    add_updates(state, &mut draft);
    // Several packets with less load and demand give all peers fresher data than a full packet to
    // every second peer.
    let spare = available.saturating_sub(UPDATE_RESERVE_BYTES) as usize;
    if piggyback == PiggybackLevel::All && spare >= MIN_BULK_BYTES {
        draft.bytes_left = draft.bytes_left.min(spare);
        add_bulk(state, now, recipient, domain, &mut draft);
    }
    state.sequence += 1;
    let packet = Packet {
        sender: state.settings.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        utilisation: state.utilisation,
        messages: draft.messages,
    };
    let size = encoded_len(&packet) + 17;
    let fits = invariant!(
        size <= PACKET_LIMIT,
        "packet_size",
        "packet of {size} bytes exceeds the limit of {PACKET_LIMIT}"
    );
    if !fits || !state.budget.take(now, (size + DATAGRAM_OVERHEAD) as u64) {
        return false;
    }
    if let Some(member) = state.members.get_mut(&recipient) {
        member.needs_target_sync &= !synced_targets;
    }
    out.push(MembershipEffect::Send {
        recipient: name,
        address,
        packet,
    });
    true
}

/// Adds leaving targets for a host that may lack some; returns whether they fit.
fn add_target_sync(state: &mut MembershipState, draft: &mut PacketDraft) -> bool {
    let leaving = updates::next_leaving_targets(state, SYNC_TARGETS);
    leaving.is_empty() || draft.add(WireMessage::Targets(leaving))
}

/// Sends urgent updates at once to a few hosts, at most once in `URGENT_INTERVAL`.
pub fn send_urgent_updates(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    let recent = |sent_at: ClockTime| now.since(sent_at) < URGENT_INTERVAL;
    if !state.urgent || state.last_urgent_send.is_some_and(recent) {
        return;
    }
    state.urgent = false;
    state.last_urgent_send = Some(now);
    let live = |member: &MemberRecord| member.state == LivenessState::Alive;
    let own_domain = state.domain_id;
    let inside = |m: &MemberRecord| live(m) && m.domain_id == own_domain;
    let mut recipients = pick_hosts(state, rng, URGENT_FANOUT, inside);
    let domains = other_domains(state);
    for domain in domains.choose_multiple(rng, URGENT_FANOUT) {
        let outside = |m: &MemberRecord| live(m) && m.domain_id == *domain;
        recipients.extend(pick_hosts(state, rng, 1, outside));
    }
    for recipient in recipients {
        // Updates must not use up the budget for acks, or live hosts would seem silent.
        if state.budget.available(now) < UPDATE_RESERVE_BYTES {
            return;
        }
        send_packet(
            state,
            now,
            recipient,
            Vec::new(),
            PiggybackLevel::Updates,
            out,
        );
    }
}

/// Returns an update with the known state of a member, without an observer.
pub fn member_update(member: &MemberRecord, id: NameId) -> MemberUpdate {
    MemberUpdate {
        host: id,
        incarnation: member.incarnation,
        state: member.state,
        leaving: member.leaving,
        observer: None,
    }
}

/// Returns the description of this host or of another one; `None` if the other host is unknown.
pub fn introduction_of(state: &MembershipState, id: NameId) -> Option<HostIntroduction> {
    if id == state.id {
        return Some(HostIntroduction {
            host: state.settings.host.clone(),
            address: state.settings.address,
            caller_address: state.settings.caller_address,
            domain: state.settings.domain.clone(),
            region: state.settings.region.clone(),
            incarnation: state.incarnation,
            leaving: state.leaving,
        });
    }
    let member = state.members.get(&id)?;
    Some(HostIntroduction {
        host: member.host.clone(),
        address: member.address,
        caller_address: member.caller_address,
        domain: member.domain.clone(),
        region: member.region.clone(),
        incarnation: member.incarnation,
        leaving: member.leaving,
    })
}

/// Returns an update with the state of this host.
fn own_update(state: &MembershipState) -> MemberUpdate {
    MemberUpdate {
        host: state.id,
        incarnation: state.incarnation,
        state: LivenessState::Alive,
        leaving: state.leaving,
        observer: None,
    }
}

/// Adds queued updates, those with the fewest transmissions first.
fn add_updates(state: &mut MembershipState, draft: &mut PacketDraft) {
    if state.updates.is_empty() {
        return;
    }
    let limit = transmit_limit(state.members.len() + 1);
    // Updates may take half of the remaining bytes; those that do not fit come first in the next
    // packet.
    let reserved = draft.bytes_left / 2;
    for key in state.updates.keys_by_priority() {
        let Some(message) = update_message(state, &key) else {
            state.updates.remove(&key);
            continue;
        };
        if draft.bytes_left <= reserved || !draft.add(message) {
            break;
        }
        state.updates.count_sent(&key, limit);
    }
}

/// Returns the message for an update; `None` if the update no longer holds.
fn update_message(state: &MembershipState, key: &UpdateKey) -> Option<WireMessage> {
    let message = match key {
        UpdateKey::Target(name) => {
            let known = state.targets.get(name.as_str())?;
            WireMessage::Targets(vec![known.update.clone()])
        }
        UpdateKey::Member(id) if *id == state.id => WireMessage::Members(vec![own_update(state)]),
        UpdateKey::Member(id) => {
            let member = state.members.get(id)?;
            let mut update = member_update(member, *id);
            // A suspicion is sent only together with its observer.
            if update.state == LivenessState::Suspect {
                update.state = LivenessState::Alive;
            }
            WireMessage::Members(vec![update])
        }
        UpdateKey::Suspicion { host, observer } => {
            let member = state.members.get(host)?;
            let holds = member.state == LivenessState::Suspect
                && member.observers.iter().any(|known| known.host == *observer);
            let mut update = member_update(member, *host);
            update.observer = Some(*observer);
            holds.then(|| WireMessage::Members(vec![update]))?
        }
        UpdateKey::Lease(region) => {
            WireMessage::Leases(vec![state.leases.get(region.as_str())?.clone()])
        }
        UpdateKey::Crash(report) => WireMessage::Crashes(vec![report.clone()]),
        UpdateKey::Introduction(id) => WireMessage::Introduce(introduction_of(state, *id)?),
    };
    Some(message)
}

/// Adds the content that is left out when bytes are scarce: requests for introductions, pages of
/// the view, load records, summaries and demand.
fn add_bulk(
    state: &mut MembershipState,
    now: ClockTime,
    recipient: NameId,
    recipient_domain: NameId,
    draft: &mut PacketDraft,
) {
    if !state.unknown.is_empty() {
        let ids = state.unknown.iter().take(16).copied().collect();
        draft.add(WireMessage::WhoIs(ids));
    }
    if state.pending_pages > 0 {
        state.pending_pages -= 1;
        add_page(state, draft);
    }
    let flat = state.settings.layout == DisseminationLayout::Flat;
    if flat {
        let records = loads::select_records(state, now, recipient, draft.bytes_left);
        draft.add(WireMessage::Records(records));
        return;
    }
    if recipient_domain == state.domain_id {
        // Demand changes slowly, so every second packet leaves the bytes to records.
        if state.sequence % 2 == 0 {
            if let Some(chunk) = demand::next_own_chunk(state) {
                draft.add(WireMessage::Demand(chunk));
            }
        }
        let third = draft.bytes_left / 3;
        let summaries = loads::select_summaries(state, now, recipient_domain, third);
        draft.add(WireMessage::Summaries(summaries));
        let records = loads::select_records(state, now, recipient, draft.bytes_left);
        draft.add(WireMessage::Records(records));
    } else {
        // This host's summary goes first, since no other host has a newer one of its failure
        // domain.
        let own = loads::own_summary(state, now);
        draft.add(WireMessage::Summaries(vec![own]));
        if let Some(chunk) = demand::next_domain_chunk(state) {
            draft.add(WireMessage::Demand(chunk));
        }
        let summaries = loads::select_summaries(state, now, recipient_domain, draft.bytes_left);
        draft.add(WireMessage::Summaries(summaries));
    }
}

/// Adds the next page of the view, with leaving targets and leases, for a host that missed updates.
fn add_page(state: &mut MembershipState, draft: &mut PacketDraft) {
    let after = match state.page_cursor {
        Some(last) => Bound::Excluded(last),
        None => Bound::Unbounded,
    };
    let page = state
        .members
        .range((after, Bound::Unbounded))
        .take(PAGE_MEMBERS);
    let mut updates = vec![own_update(state)];
    for (id, member) in page {
        let mut update = member_update(member, *id);
        update.observer = member.observers.first().map(|observer| observer.host);
        updates.push(update);
    }
    state.page_cursor = updates[1..].last().map(|update| update.host);
    draft.add(WireMessage::Members(updates));
    let leaving = updates::next_leaving_targets(state, PAGE_TARGETS);
    draft.add(WireMessage::Targets(leaving));
    let leases: Vec<_> = state.leases.values().take(4).cloned().collect();
    draft.add(WireMessage::Leases(leases));
}
