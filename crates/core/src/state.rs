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

/// Name, location and address of this host.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name of the host, unique in the deployment.
    pub name: HostName,
    /// Failure domain in which the host runs.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Address under which callers and other hosts reach this host over HTTP.
    pub caller_address: SocketAddr,
}

/// Settings of the host reducer and of all its features.
#[derive(Clone, Debug)]
pub struct FeatureSettings {
    /// Name, location and address of this host.
    pub identity: HostIdentity,
    /// Settings of the answers that list entry hosts for callers.
    pub address_tuning: AddressTuning,
    /// Settings of the request feature.
    pub requests: RequestSettings,
    /// Settings of the membership feature.
    pub membership: MembershipSettings,
    /// Settings of the preset feature.
    pub presets: PresetSettings,
    /// Settings of the move feature.
    pub moves: MoveSettings,
    /// Seed of the random numbers that all features draw.
    pub seed: u64,
}

/// Catalogue in force, with the positions by which messages between hosts refer to its entries.
#[derive(Clone, Debug, Default)]
pub struct CatalogState {
    /// Version of the catalogue; 0 for the one that the host started from.
    pub version: u64,
    /// Preset in force; `None` before a catalogue is loaded.
    pub preset: Option<PresetName>,
    /// Content of the catalogue, with sorted lists.
    pub catalog: Arc<CatalogSpec>,
    pub(crate) model_positions: BTreeMap<ModelName, u16>,
    pub(crate) target_positions: BTreeMap<TargetName, u16>,
}

/// Catalogue that the host started from; it becomes version 1 in a deployment without any version.
#[derive(Clone, Debug)]
pub(crate) struct StartCatalog {
    /// Encoded preset body.
    pub(crate) body: Arc<[u8]>,
    /// Wall-clock time of the start, milliseconds since 1970; only recorded.
    pub(crate) unix_ms: u64,
    /// Acceptance of the catalogue as version 1 that is in progress.
    pub(crate) accept: Option<AcceptId>,
}

/// State of the reducer of one entry host.
#[derive(Debug)]
pub struct HostState {
    /// Name, location and address of this host.
    pub identity: HostIdentity,
    /// Targets, with their load reports and the routing state of each.
    pub routes: RouteTable,
    /// Entry hosts that are handed out to callers in address answers.
    pub entry_directory: EntryDirectory,
    /// Requests that wait for admission.
    pub queue: AdmissionQueue,
    /// Requests in progress.
    pub requests: RequestState,
    /// Other hosts, as the membership feature sees them.
    pub members: MembershipState,
    /// Preset version in force, and acceptances in progress.
    pub presets: PresetState,
    /// Lease, intents and memory ledger of the move feature.
    pub moves: MoveState,
    /// Catalogue in force, with its version and preset.
    pub catalog: CatalogState,
    /// For each region, the newest lease holder that this host has learned of.
    pub leases: BTreeMap<RegionName, LeaseUpdate>,
    /// Load that this host added to each target since the last report of the target.
    pub(crate) own_load_deltas: BTreeMap<TargetName, LoadDelta>,
    pub(crate) own_demand: DemandCounter,
    pub(crate) peer_demand: PeerDemand,
    pub(crate) planning: PlanningState,
    pub(crate) leaves: LeaveTable,
    /// Whether a planned stop has begun; this host then takes no new work.
    pub(crate) stopping: bool,
    /// Whether it is confirmed that this host has the newest preset version in force.
    pub(crate) up_to_date: bool,
    /// Queued requests of this host, percent of the sum of its queue limits.
    pub(crate) utilisation: u8,
    pub(crate) start_catalog: Option<StartCatalog>,
    pub(crate) membership_tick_interval: ClockTime,
    pub(crate) last_ticks: TickTimes,
    pub(crate) rng: SeededRng,
}

/// Times of the last ticks of the features that are ticked less often than the host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TickTimes {
    pub(crate) membership: ClockTime,
    pub(crate) presets: ClockTime,
    pub(crate) moves: ClockTime,
    pub(crate) sharing: ClockTime,
}

impl HostState {
    /// Creates the state of a host that has just started.
    pub fn new(settings: FeatureSettings) -> Self {
        let domain = settings.identity.domain.clone();
        let membership_tick_interval = settings.membership.tick_interval;
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
            own_load_deltas: BTreeMap::new(),
            own_demand: DemandCounter::default(),
            peer_demand: PeerDemand::default(),
            planning: PlanningState::default(),
            leaves: LeaveTable::default(),
            stopping: false,
            // A host is left out of the address answers until its preset version is confirmed.
            up_to_date: false,
            utilisation: 0,
            start_catalog: None,
            membership_tick_interval,
            last_ticks: TickTimes::default(),
            rng: seeded_rng(settings.seed),
            identity: settings.identity,
        }
    }

    /// Returns whether this host takes new work, so that it is listed in address answers.
    pub fn takes_work(&self) -> bool {
        !self.stopping && self.up_to_date
    }

    /// Returns whether an acceptance is that of the start catalogue.
    pub(crate) fn is_start_catalog(&self, accept: AcceptId) -> bool {
        self.start_catalog
            .as_ref()
            .is_some_and(|start| start.accept == Some(accept))
    }

    /// Returns the address under which callers and peers reach another host over HTTP, if known.
    pub fn caller_address_of(&self, host: &HostName) -> Option<SocketAddr> {
        host_view(&self.members, host)?.caller_address
    }

    /// Returns the failure domain of this or another host; `None` if the host is unknown.
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
