//! State of the host reducer.

use crate::demand::{DemandCounter, PeerDemand};
use crate::features::leaving::{self, LeaveTable};
use crate::planning::PlanningState;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use crocusyard_wire::prelude::LeaseUpdate;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who a host is.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address for callers, as others reach it.
    pub callers: SocketAddr,
}

/// Settings of the features.
#[derive(Clone, Debug)]
pub struct FeatureSettings {
    /// Identity.
    pub identity: HostIdentity,
    /// Tuning of the address answers.
    pub address_tuning: AddressTuning,
    /// Settings of the request feature.
    pub requests: RequestSettings,
    /// Settings of the membership feature.
    pub membership: MembershipSettings,
    /// Settings of the preset feature.
    pub presets: PresetSettings,
    /// Settings of the move feature.
    pub moves: MoveSettings,
    /// Seed of all random decisions.
    pub seed: u64,
}

/// Catalogue in force, with the positions under which hosts tell each other of its parts.
#[derive(Clone, Debug, Default)]
pub struct CatalogState {
    /// Version; 0 for the catalogue that the host started from.
    pub version: u64,
    /// Preset in force.
    pub preset: Option<PresetName>,
    /// Catalogue, with sorted lists.
    pub catalog: Arc<CatalogSpec>,
    pub(crate) models: BTreeMap<ModelName, u16>,
    pub(crate) targets: BTreeMap<TargetName, u16>,
}

/// Catalogue that the host started from, for a deployment without any version.
#[derive(Clone, Debug)]
pub(crate) struct StartCatalog {
    pub(crate) body: Arc<[u8]>,
    /// Wall clock of the start, milliseconds since 1970; only recorded.
    pub(crate) unix_ms: u64,
    /// Acceptance under way.
    pub(crate) accept: Option<AcceptId>,
}

/// State of one entry host.
#[derive(Debug)]
pub struct HostState {
    /// Who this host is.
    pub identity: HostIdentity,
    /// Targets.
    pub routes: RouteTable,
    /// Entry hosts.
    pub entry_directory: EntryDirectory,
    /// Waiting requests.
    pub queue: AdmissionQueue,
    /// Requests in progress.
    pub requests: RequestState,
    /// Other hosts.
    pub members: MembershipState,
    /// Preset versions.
    pub presets: PresetState,
    /// Lease, intents and memory ledger.
    pub moves: MoveState,
    /// Catalogue in force.
    pub catalog: CatalogState,
    /// Leases, as far as this host heard of them.
    pub leases: BTreeMap<RegionName, LeaseUpdate>,
    pub(crate) own_loads: BTreeMap<TargetName, LoadDelta>,
    pub(crate) own_demand: DemandCounter,
    pub(crate) peer_demand: PeerDemand,
    pub(crate) planning: PlanningState,
    pub(crate) leaves: LeaveTable,
    /// Whether this host takes new work.
    pub(crate) stopping: bool,
    pub(crate) current: bool,
    /// Load of this host, percent of the places in its queues.
    pub(crate) busy: u8,
    pub(crate) start: Option<StartCatalog>,
    pub(crate) membership_tick: ClockTime,
    pub(crate) ticked: TickTimes,
    pub(crate) rng: SeededRng,
}

/// When the features with a slower rhythm than the host's tick were last ticked.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TickTimes {
    pub(crate) membership: ClockTime,
    pub(crate) presets: ClockTime,
    pub(crate) moves: ClockTime,
    pub(crate) sharing: ClockTime,
}

impl HostState {
    /// Makes the state of a host that has just started.
    pub fn new(settings: FeatureSettings) -> Self {
        let domain = settings.identity.domain.clone();
        let membership_tick = settings.membership.tick_interval;
        Self {
            routes: RouteTable::new(RouteSettings { domain }),
            entry_directory: EntryDirectory::new(settings.address_tuning),
            queue: AdmissionQueue::new(),
            requests: RequestState::new(settings.requests),
            members: MembershipState::new(settings.membership),
            presets: PresetState::new(settings.presets),
            moves: MoveState::new(settings.moves),
            catalog: CatalogState::default(),
            leases: BTreeMap::new(),
            own_loads: BTreeMap::new(),
            own_demand: DemandCounter::default(),
            peer_demand: PeerDemand::default(),
            planning: PlanningState::default(),
            leaves: LeaveTable::default(),
            stopping: false,
            // A host belongs into the answers only after it has confirmed that it is current.
            current: false,
            busy: 0,
            start: None,
            membership_tick,
            ticked: TickTimes::default(),
            rng: seeded_rng(settings.seed),
            identity: settings.identity,
        }
    }

    /// Returns whether this host belongs into address answers.
    pub fn takes_work(&self) -> bool {
        !self.stopping && self.current
    }

    pub(crate) fn is_start(&self, accept: AcceptId) -> bool {
        self.start
            .as_ref()
            .is_some_and(|start| start.accept == Some(accept))
    }

    /// Returns the address of another host for callers and peers.
    pub fn callers_of(&self, host: &HostName) -> Option<SocketAddr> {
        host_view(&self.members, host)?.caller_address
    }

    /// Returns the failure domain of a host.
    pub fn domain_of(&self, host: &HostName) -> Option<DomainName> {
        if *host == self.identity.name {
            return Some(self.identity.domain.clone());
        }
        host_view(&self.members, host).map(|view| view.domain)
    }

    /// Returns whether the preset in force drains a target.
    pub fn is_drained(&self, target: &TargetName) -> bool {
        leaving::is_drained(self, target)
    }
}
