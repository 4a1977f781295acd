//! State of membership, as data.

use crate::budget::ByteBudget;
use crate::demand::DemandTable;
use crate::effect::HostView;
use crate::probes::ProbeTable;
use crate::records::RecordTable;
use crate::rumours::{RumourKey, RumourQueue};
use crate::settings::MembershipSettings;
use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A host that saw the suspect silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectObserver {
    /// Observer.
    pub host: NameId,
    /// Failure domain of the observer.
    pub domain: NameId,
}

/// What is known of another host.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Name.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts, as far as it is known.
    pub callers: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainName,
    /// Hash of the failure domain's name.
    pub domain_id: NameId,
    /// Region.
    pub region: RegionName,
    /// Incarnation; 0 until the host itself or a peer told.
    pub incarnation: u64,
    /// Liveness.
    pub state: LivenessState,
    /// When the liveness last changed.
    pub since: ClockTime,
    /// Whether the host said that it is leaving.
    pub leaving: bool,
    /// Whether the last host list names the host.
    pub listed: bool,
    /// Whether the last host list says that the host is leaving.
    pub listed_leaving: bool,
    /// When a packet or a record of the host was last made.
    pub heard: ClockTime,
    /// Whether the host's process may have missed word of leaving targets, as it is new, was cut off
    /// or was paused; the next packet to it carries some.
    pub missed_targets: bool,
    /// Observers of the current suspicion.
    pub observers: Vec<SuspectObserver>,
}

/// What is known of a target's leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// Newest word.
    pub notice: TargetNotice,
    /// When the word was last news that this host passed on.
    pub spread: ClockTime,
}

/// State of membership on one host.
#[derive(Clone, Debug)]
pub struct MembershipState {
    /// Settings.
    pub settings: MembershipSettings,
    /// Hash of the own name.
    pub me: NameId,
    /// Hash of the own failure domain's name.
    pub my_domain: NameId,
    /// Own incarnation.
    pub incarnation: u64,
    /// Whether the own host is leaving.
    pub leaving: bool,
    /// Load of the own host, percent of what it can take.
    pub busy: u8,
    /// Other hosts.
    pub members: BTreeMap<NameId, MemberRecord>,
    /// Hosts that peers mentioned and that are not known yet.
    pub unknown: BTreeSet<NameId>,
    /// News to repeat.
    pub rumours: RumourQueue,
    /// Whether news waits to be sent at once.
    pub urgent: bool,
    /// When news was last sent at once.
    pub urgent_sent: Option<ClockTime>,
    /// Probes in progress.
    pub probes: ProbeTable,
    /// Load records and summaries.
    pub records: RecordTable,
    /// Demand.
    pub demand: DemandTable,
    /// Leaving state of targets.
    pub targets: BTreeMap<TargetName, KnownTarget>,
    /// Last leaving target that was told beside rumours.
    pub target_after: Option<TargetName>,
    /// Newest lease holder of each region.
    pub leases: BTreeMap<RegionName, LeaseNotice>,
    /// Crash digests with the time they were first heard.
    pub crashes: BTreeMap<CrashNotice, ClockTime>,
    /// Preset in force on the own host.
    pub preset: Option<PresetNotice>,
    /// Byte budget.
    pub budget: ByteBudget,
    /// Number of the last packet.
    pub sequence: u64,
    /// Time of the first tick.
    pub started: Option<ClockTime>,
    /// Time of the last tick.
    pub ticked: Option<ClockTime>,
    /// Number of ticks.
    pub ticks: u64,
    /// No suspicion starts and no host is declared dead before this time.
    pub grace: ClockTime,
    /// Hash of the view; `None` after a change.
    pub view: Option<u64>,
    /// Pages of the view that are still to be attached to packets.
    pub pages: u32,
    /// Last host of the previous page.
    pub page_after: Option<NameId>,
}

impl MembershipState {
    /// Makes the state of a host that knows nobody.
    pub fn new(settings: MembershipSettings) -> Self {
        let me = NameId::of(settings.host.as_str());
        let my_domain = NameId::of(settings.domain.as_str());
        let mut rumours = RumourQueue::default();
        rumours.add(RumourKey::Introduction(me));
        Self {
            me,
            my_domain,
            incarnation: settings.incarnation,
            leaving: false,
            busy: 0,
            members: BTreeMap::new(),
            unknown: BTreeSet::new(),
            rumours,
            urgent: true,
            urgent_sent: None,
            probes: ProbeTable::default(),
            records: RecordTable::default(),
            demand: DemandTable::default(),
            targets: BTreeMap::new(),
            target_after: None,
            leases: BTreeMap::new(),
            crashes: BTreeMap::new(),
            preset: None,
            budget: ByteBudget::new(settings.budget_rate, settings.budget_burst),
            sequence: 0,
            started: None,
            ticked: None,
            ticks: 0,
            grace: ClockTime::ZERO,
            view: None,
            pages: 0,
            page_after: None,
            settings,
        }
    }
}

/// Returns the view of one member.
pub fn view_of(member: &MemberRecord) -> HostView {
    HostView {
        host: member.host.clone(),
        address: member.address,
        callers: member.callers,
        domain: member.domain.clone(),
        region: member.region.clone(),
        incarnation: member.incarnation,
        state: member.state,
        leaving: member.leaving || member.listed_leaving,
    }
}

/// Returns the view of another host.
pub fn host_view(state: &MembershipState, host: &HostName) -> Option<HostView> {
    state.members.get(&NameId::of(host.as_str())).map(view_of)
}

/// Returns the views of all other hosts.
pub fn host_views(state: &MembershipState) -> Vec<HostView> {
    state.members.values().map(view_of).collect()
}

/// Returns the hash over all hosts that are not dead, and over the leases.
pub fn view_hash(state: &mut MembershipState) -> u64 {
    if let Some(hash) = state.view {
        return hash;
    }
    let mut hash = hash_member(
        state.me,
        state.incarnation,
        LivenessState::Alive,
        state.leaving,
    );
    for (id, member) in &state.members {
        if member.state != LivenessState::Dead {
            hash ^= hash_member(*id, member.incarnation, member.state, member.leaving);
        }
    }
    // A host that missed a lease finds out by the hash, and the pages of the view carry leases.
    for lease in state.leases.values() {
        let region = NameId::of(lease.region.as_str());
        hash ^= hash_member(region, lease.fencing.0, LivenessState::Alive, false);
    }
    state.view = Some(hash);
    hash
}

/// Mixes one member's state; the constants are those of the splitmix64 generator.
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
