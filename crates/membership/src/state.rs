//! State of membership, as data.

use crate::budget::ByteBudget;
use crate::demand::DemandTable;
use crate::effect::HostView;
use crate::loads::LoadTable;
use crate::probes::ProbeTable;
use crate::settings::MembershipSettings;
use crate::update_queue::{UpdateKey, UpdateQueue};
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Host that got no answer from a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectObserver {
    /// Host that sent the unanswered probe.
    pub host: NameId,
    /// Failure domain of the observer.
    pub domain: NameId,
}

/// State of another host, as this host knows it.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts; `None` until a peer or the host list gives
    /// it.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain that the host is in.
    pub domain: DomainName,
    /// Hash of the failure domain's name.
    pub domain_id: NameId,
    /// Region that the host is in.
    pub region: RegionName,
    /// Highest incarnation known; 0 until the host itself or a peer announces one.
    pub incarnation: u64,
    /// Liveness within this incarnation.
    pub state: LivenessState,
    /// Time of the last change of liveness, incarnation, leaving or observers.
    pub state_since: ClockTime,
    /// Whether the host is leaving, according to the host itself, a peer or the host list.
    pub leaving: bool,
    /// Whether the last host list contained the host.
    pub listed: bool,
    /// Whether the last host list marked the host as leaving.
    pub listed_leaving: bool,
    /// Time at which the host last sent a packet to this host or made a load record, whichever is
    /// later.
    pub last_seen: ClockTime,
    /// Whether the host may lack leaving targets because its process is new, was cut off or was
    /// paused; the next packet to the host then carries some.
    pub needs_target_sync: bool,
    /// Hosts that got no answer from the suspect, for the present suspicion.
    pub observers: Vec<SuspectObserver>,
}

/// Newest update on whether a target is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Update with the highest precedence.
    pub update: TargetUpdate,
    /// Time at which this host last queued an update about the target for dissemination, or stored
    /// the first one.
    pub disseminated_at: ClockTime,
}

/// State of membership on one host.
#[derive(Clone, Debug)]
pub struct MembershipState {
    /// Identity, timeouts and byte budget of this host.
    pub settings: MembershipSettings,
    /// Hash of this host's name.
    pub id: NameId,
    /// Hash of the name of this host's failure domain.
    pub domain_id: NameId,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Whether this host is leaving.
    pub leaving: bool,
    /// Load of this host, percent of its capacity.
    pub utilisation: u8,
    /// Other hosts, by the hash of their names.
    pub members: BTreeMap<NameId, MemberRecord>,
    /// Hosts that peers sent updates about, but that have not been introduced to this host.
    pub unknown: BTreeSet<NameId>,
    /// Gossip updates that are still to be piggybacked.
    pub updates: UpdateQueue,
    /// Whether an update waits to be sent at once.
    pub urgent: bool,
    /// Time at which urgent updates were last sent.
    pub last_urgent_send: Option<ClockTime>,
    /// Probes that wait for an ack, and failed ones.
    pub probes: ProbeTable,
    /// Load records of hosts and summaries of failure domains.
    pub loads: LoadTable,
    /// Demand by model of the hosts of this host's failure domain.
    pub demand: DemandTable,
    /// Newest update of each target that was reported as leaving or not leaving.
    pub targets: BTreeMap<TargetName, TargetRecord>,
    /// Last leaving target that was sent outside the update queue.
    pub target_cursor: Option<TargetName>,
    /// Lease holder with the highest fencing number, for each region.
    pub leases: BTreeMap<RegionName, LeaseUpdate>,
    /// Crash reports, with the time at which this host first learned of each.
    pub crashes: BTreeMap<CrashReport, ClockTime>,
    /// Preset in force on this host; `None` until the first one.
    pub preset: Option<PresetReport>,
    /// Bytes that this host may still send.
    pub budget: ByteBudget,
    /// Sequence number of the last packet sent.
    pub sequence: u64,
    /// Time of the first tick; `None` before it.
    pub first_tick: Option<ClockTime>,
    /// Time of the last tick; `None` before the first one.
    pub last_tick: Option<ClockTime>,
    /// Number of ticks since the start.
    pub tick_count: u64,
    /// No suspicion starts and no host is declared dead before this time.
    pub grace_until: ClockTime,
    /// Cached hash of the view; `None` after a change.
    pub view_hash: Option<u64>,
    /// Pages of the view that are still to be attached to packets.
    pub pending_pages: u32,
    /// Last host on the previous page of the view; `None` to start from the beginning.
    pub page_cursor: Option<NameId>,
}

impl MembershipState {
    /// Creates the state of a host that does not know any other host.
    pub fn new(settings: MembershipSettings) -> Self {
        let id = NameId::of(settings.host.as_str());
        let domain_id = NameId::of(settings.domain.as_str());
        let mut updates = UpdateQueue::default();
        updates.add(UpdateKey::Introduction(id));
        Self {
            id,
            domain_id,
            incarnation: settings.incarnation,
            leaving: false,
            utilisation: 0,
            members: BTreeMap::new(),
            unknown: BTreeSet::new(),
            updates,
            urgent: true,
            last_urgent_send: None,
            probes: ProbeTable::default(),
            loads: LoadTable::default(),
            demand: DemandTable::default(),
            targets: BTreeMap::new(),
            target_cursor: None,
            leases: BTreeMap::new(),
            crashes: BTreeMap::new(),
            preset: None,
            budget: ByteBudget::new(settings.budget_rate, settings.budget_burst),
            sequence: 0,
            first_tick: None,
            last_tick: None,
            tick_count: 0,
            grace_until: ClockTime::ZERO,
            view_hash: None,
            pending_pages: 0,
            page_cursor: None,
            settings,
        }
    }
}

/// Returns what other features see of a member.
pub fn view_of(member: &MemberRecord) -> HostView {
    HostView {
        host: member.host.clone(),
        address: member.address,
        caller_address: member.caller_address,
        domain: member.domain.clone(),
        region: member.region.clone(),
        incarnation: member.incarnation,
        state: member.state,
        leaving: member.leaving || member.listed_leaving,
    }
}

/// Returns what is known of another host; `None` if the host is unknown.
pub fn host_view(state: &MembershipState, host: &HostName) -> Option<HostView> {
    state.members.get(&NameId::of(host.as_str())).map(view_of)
}

/// Returns what is known of each other host.
pub fn host_views(state: &MembershipState) -> Vec<HostView> {
    state.members.values().map(view_of).collect()
}

/// Returns the hash of this host's view, which covers all hosts that are not dead and all leases.
pub fn view_hash(state: &mut MembershipState) -> u64 {
    if let Some(hash) = state.view_hash {
        return hash;
    }
    let mut hash = hash_member(
        state.id,
        state.incarnation,
        LivenessState::Alive,
        state.leaving,
    );
    for (id, member) in &state.members {
        if member.state != LivenessState::Dead {
            hash ^= hash_member(*id, member.incarnation, member.state, member.leaving);
        }
    }
    // The hash covers the leases so that a host that missed one detects the difference; the pages
    // of the view then carry the leases.
    for lease in state.leases.values() {
        let region = NameId::of(lease.region.as_str());
        hash ^= hash_member(region, lease.fencing.0, LivenessState::Alive, false);
    }
    state.view_hash = Some(hash);
    hash
}

/// Hashes the state of one member with the mixing function of the splitmix64 generator.
fn hash_member(id: NameId, incarnation: u64, state: LivenessState, leaving: bool) -> u64 {
    let mut bytes = [0; 8];
    bytes[..6].copy_from_slice(&id.0);
    bytes[6] = state as u8;
    bytes[7] = u8::from(leaving);
    let mut mixed = u64::from_le_bytes(bytes) ^ incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
