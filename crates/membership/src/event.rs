//! Events of membership.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;

/// A host as the host list or the seed settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts, if the list names it.
    pub callers: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// What membership reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// `settings.tick` has passed since the last tick.
    Tick,
    /// A packet was received and opened.
    Received {
        /// Address that it came from.
        from: SocketAddr,
        /// Packet.
        packet: Packet,
    },
    /// The whole host list, or the seed hosts; may lag, may name the own host.
    HostList {
        /// Hosts.
        hosts: Vec<ListedHost>,
    },
    /// The own host starts a planned stop.
    OwnLeaving,
    /// A target started or stopped leaving, as seen in a load report or set by an operator.
    TargetSeen(TargetNotice),
    /// All load deltas of the own host since the targets' last reports; replaces earlier ones.
    OwnLoads {
        /// Catalogue version of the target positions.
        catalog: u64,
        /// Deltas; beyond `records::LOAD_LIMIT`, the smallest are not sent.
        deltas: Vec<TargetDelta>,
    },
    /// Load of the own host, percent of what it can take; replaces the earlier one.
    OwnBusy(u8),
    /// Requests a minute that the own host got, by model; replaces earlier ones.
    OwnDemand {
        /// Catalogue version of the model positions.
        catalog: u64,
        /// Demand.
        demand: Vec<ModelDemand>,
    },
    /// Requests of the own host wait for a model; the holder of the region's lease is told at once.
    ModelWanted {
        /// Holder of the lease.
        holder: HostName,
        /// Catalogue version of the model position.
        catalog: u64,
        /// Model position.
        model: u16,
    },
    /// A preset version is in force on the own host, which now serves its body; lower versions than
    /// before are ignored.
    PresetKnown(PresetNotice),
    /// A request was blamed for a crash, or completed and lost the blame.
    Crash(CrashNotice),
    /// The holder of a region's lease is known.
    LeaseKnown(LeaseNotice),
}
