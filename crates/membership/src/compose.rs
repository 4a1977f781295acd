//! Composition of packets within the packet size and the byte budget.
//!
//! Content is added in the order of its importance until the packet or the budget is full: the
//! probe, the view hash and preset, what the recipient asked for, news, pages of a differing view,
//! and last the load records, summaries and demand.

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

/// Budget that only probes and news may use, bytes.
pub const UPDATE_RESERVE_BYTES: u64 = 2000;
/// Smallest budget above the reserve that is worth a fill; a summary takes about 130 bytes.
const FILL_MIN: usize = 300;
/// Least time between two sendings of urgent news by one host.
const URGENT_GAP: ClockTime = ClockTime::from_ms(200);
/// Recipients of urgent news in the own failure domain, and in others.
const URGENT_FANOUT: usize = 2;
/// Members on one page of the view; about 400 bytes.
const PAGE_SIZE: usize = 24;
/// Leaving targets on one page of the view.
const PAGE_TARGETS: usize = 8;
/// Leaving targets in the first packet to a host that may have missed them; about 500 bytes.
///
/// Every peer tells the host others of them, so that a few peers tell all.
const MISSED_TARGETS: usize = 16;
/// Bytes kept free for list lengths and variant numbers.
const SLACK: usize = 32;

/// What a packet carries beside its own purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PiggybackLevel {
    /// Gossip updates only.
    Updates,
    /// News, view, records, summaries and demand.
    All,
}

struct PacketDraft {
    messages: Vec<WireMessage>,
    left: usize,
}

impl PacketDraft {
    fn add(&mut self, message: WireMessage) -> bool {
        let size = encoded_len(&message);
        if size > self.left {
            return false;
        }
        self.left -= size;
        self.messages.push(message);
        true
    }
}

/// Sends a packet to a host; returns whether the budget allowed it.
pub fn send_packet(
    state: &mut MembershipState,
    now: ClockTime,
    recipient: NameId,
    purpose: Vec<WireMessage>,
    fill: PiggybackLevel,
    out: &mut Vec<MembershipEffect>,
) -> bool {
    let Some(member) = state.members.get(&recipient) else {
        return false;
    };
    let (name, address, domain) = (member.host.clone(), member.address, member.domain_id);
    let about_recipient = member_update(member, recipient);
    let needs_target_sync = member.needs_target_sync;
    let header = state.settings.host.as_str().len() + SLACK + 17 + 18;
    let available = state.budget.available(now);
    let allowed = available.saturating_sub(DATAGRAM_OVERHEAD as u64) as usize;
    let mut draft = PacketDraft {
        messages: Vec::new(),
        left: allowed.min(PACKET_LIMIT).saturating_sub(header),
    };
    for message in purpose {
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
    if about_recipient.state != LivenessState::Alive {
        draft.add(WireMessage::Members(vec![about_recipient]));
    }
    let told_targets = needs_target_sync && add_missed_targets(state, &mut draft);
    add_rumours(state, &mut draft);
    // Several smaller fills keep all peers fresher than a full packet for every second one.
    let spare = available.saturating_sub(UPDATE_RESERVE_BYTES) as usize;
    if fill == PiggybackLevel::All && spare >= FILL_MIN {
        draft.left = draft.left.min(spare);
        add_fill(state, now, recipient, domain, &mut draft);
    }
    state.sequence += 1;
    let packet = Packet {
        sender: state.settings.host.clone(),
        incarnation: state.incarnation,
        sequence: state.sequence,
        busy: state.utilisation,
        messages: draft.messages,
    };
    let size = encoded_len(&packet) + 17;
    let fits = invariant!(size <= PACKET_LIMIT, "packet_size", "{size} bytes");
    if !fits || !state.budget.take(now, (size + DATAGRAM_OVERHEAD) as u64) {
        return false;
    }
    if let Some(member) = state.members.get_mut(&recipient) {
        member.needs_target_sync &= !told_targets;
    }
    out.push(MembershipEffect::Send {
        recipient: name,
        address,
        packet,
    });
    true
}

/// Adds leaving targets for a host that may have missed word of them; returns whether they fit.
fn add_missed_targets(state: &mut MembershipState, draft: &mut PacketDraft) -> bool {
    let leaving = updates::next_leaving_targets(state, MISSED_TARGETS);
    leaving.is_empty() || draft.add(WireMessage::Targets(leaving))
}

/// Sends urgent news at once to a few hosts, unless that was just done.
pub fn send_urgent_updates(
    state: &mut MembershipState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<MembershipEffect>,
) {
    let recent = |sent: ClockTime| now.since(sent) < URGENT_GAP;
    if !state.urgent || state.last_urgent_send.is_some_and(recent) {
        return;
    }
    state.urgent = false;
    state.last_urgent_send = Some(now);
    let live = |member: &MemberRecord| member.state == LivenessState::Alive;
    let mine = state.domain_id;
    let near = |m: &MemberRecord| live(m) && m.domain_id == mine;
    let mut recipients = pick_hosts(state, rng, URGENT_FANOUT, near);
    let domains = other_domains(state);
    for domain in domains.choose_multiple(rng, URGENT_FANOUT) {
        let there = |m: &MemberRecord| live(m) && m.domain_id == *domain;
        recipients.extend(pick_hosts(state, rng, 1, there));
    }
    for recipient in recipients {
        // Acks must not wait for news, or live hosts would seem silent.
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

/// Returns what is known of a member's liveness, without observers.
pub fn member_update(member: &MemberRecord, id: NameId) -> MemberUpdate {
    MemberUpdate {
        host: id,
        incarnation: member.incarnation,
        state: member.state,
        leaving: member.leaving,
        observer: None,
    }
}

/// Returns the description of a host, the own one included.
pub fn introduction_of(state: &MembershipState, id: NameId) -> Option<HostIntroduction> {
    if id == state.id {
        return Some(HostIntroduction {
            host: state.settings.host.clone(),
            address: state.settings.address,
            callers: state.settings.caller_address,
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
        callers: member.caller_address,
        domain: member.domain.clone(),
        region: member.region.clone(),
        incarnation: member.incarnation,
        leaving: member.leaving,
    })
}

fn own_update(state: &MembershipState) -> MemberUpdate {
    MemberUpdate {
        host: state.id,
        incarnation: state.incarnation,
        state: LivenessState::Alive,
        leaving: state.leaving,
        observer: None,
    }
}

fn add_rumours(state: &mut MembershipState, draft: &mut PacketDraft) {
    if state.updates.is_empty() {
        return;
    }
    let limit = transmit_limit(state.members.len() + 1);
    // News may take half of the packet; what is left out is sent first in the next one.
    let keep = draft.left / 2;
    for key in state.updates.keys_by_priority() {
        let Some(message) = rumour_message(state, &key) else {
            state.updates.remove(&key);
            continue;
        };
        if draft.left <= keep || !draft.add(message) {
            break;
        }
        state.updates.count_sent(&key, limit);
    }
}

fn rumour_message(state: &MembershipState, key: &UpdateKey) -> Option<WireMessage> {
    let message = match key {
        UpdateKey::Target(name) => {
            let known = state.targets.get(name.as_str())?;
            WireMessage::Targets(vec![known.notice.clone()])
        }
        UpdateKey::Member(id) if *id == state.id => WireMessage::Members(vec![own_update(state)]),
        UpdateKey::Member(id) => {
            let member = state.members.get(id)?;
            let mut update = member_update(member, *id);
            // A suspicion is told only with its observer.
            if update.state == LivenessState::Suspect {
                update.state = LivenessState::Alive;
            }
            WireMessage::Members(vec![update])
        }
        UpdateKey::Suspicion { host, observer } => {
            let member = state.members.get(host)?;
            let current = member.state == LivenessState::Suspect
                && member.observers.iter().any(|known| known.host == *observer);
            let mut update = member_update(member, *host);
            update.observer = Some(*observer);
            current.then(|| WireMessage::Members(vec![update]))?
        }
        UpdateKey::Lease(region) => {
            WireMessage::Leases(vec![state.leases.get(region.as_str())?.clone()])
        }
        UpdateKey::Crash(notice) => WireMessage::Crashes(vec![notice.clone()]),
        UpdateKey::Introduction(id) => WireMessage::Introduce(introduction_of(state, *id)?),
    };
    Some(message)
}

fn add_fill(
    state: &mut MembershipState,
    now: ClockTime,
    recipient: NameId,
    domain: NameId,
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
        let window = loads::select_records(state, now, recipient, draft.left);
        draft.add(WireMessage::Records(window));
        return;
    }
    if domain == state.domain_id {
        // Demand moves slowly, so half of the packets leave their room to records.
        if state.sequence % 2 == 0 {
            if let Some(chunk) = demand::next_own_chunk(state) {
                draft.add(WireMessage::Demand(chunk));
            }
        }
        let third = draft.left / 3;
        let summaries = loads::select_summaries(state, now, domain, third);
        draft.add(WireMessage::Summaries(summaries));
        let window = loads::select_records(state, now, recipient, draft.left);
        draft.add(WireMessage::Records(window));
    } else {
        // The own summary goes first: nobody else tells it as fresh.
        let own = loads::own_summary(state, now);
        draft.add(WireMessage::Summaries(vec![own]));
        if let Some(chunk) = demand::next_domain_chunk(state) {
            draft.add(WireMessage::Demand(chunk));
        }
        let summaries = loads::select_summaries(state, now, domain, draft.left);
        draft.add(WireMessage::Summaries(summaries));
    }
}

/// Adds the next page of the view with what a host that missed all news needs.
fn add_page(state: &mut MembershipState, draft: &mut PacketDraft) {
    let after = match state.page_cursor {
        Some(last) => Bound::Excluded(last),
        None => Bound::Unbounded,
    };
    let page = state
        .members
        .range((after, Bound::Unbounded))
        .take(PAGE_SIZE);
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
