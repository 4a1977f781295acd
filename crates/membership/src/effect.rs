//! Effects of membership.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;

/// What is known of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    /// Name.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts, as far as it is known.
    pub callers: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Incarnation.
    pub incarnation: u64,
    /// Liveness; only hosts that are alive and not leaving belong into address answers.
    pub state: LivenessState,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Whose demand a chunk describes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DemandSource {
    /// A host of the own failure domain.
    Host(HostName),
    /// All hosts of another failure domain.
    Domain(DomainName),
}

/// What membership asks of the shell or tells other features.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Seal the packet for the recipient and send it.
    Send {
        /// Name of the recipient, for the hash.
        recipient: HostName,
        /// Address.
        address: SocketAddr,
        /// Packet.
        packet: Packet,
    },
    /// A host appeared or its view changed.
    HostChanged(HostView),
    /// A packet of a host arrived.
    HostHeard {
        /// Host.
        host: HostName,
        /// Its load, percent of what it can take.
        busy: u8,
    },
    /// A host was forgotten.
    HostForgotten(HostName),
    /// The own incarnation was raised to refute a suspicion.
    IncarnationRaised {
        /// New incarnation.
        incarnation: u64,
    },
    /// The host list or a peer says that the own host is leaving; start the planned stop.
    SelfLeaving,
    /// The own process was paused; lease holders must check their clock.
    PauseDetected {
        /// Time since the previous tick.
        gap: ClockTime,
    },
    /// A target started or stopped leaving.
    TargetChanged(TargetNotice),
    /// Newer load deltas of a host of the own failure domain; replaces that host's earlier ones.
    PeerLoads {
        /// Host.
        host: HostName,
        /// Catalogue version of the target positions.
        catalog: u64,
        /// Age of the deltas.
        age: ClockTime,
        /// Deltas.
        deltas: Vec<TargetDelta>,
    },
    /// Newer summed load deltas of another failure domain; replaces its earlier ones.
    DomainLoads {
        /// Failure domain.
        domain: DomainName,
        /// Live hosts.
        hosts: u16,
        /// Catalogue version of the target positions.
        catalog: u64,
        /// Mean age of the deltas.
        age: ClockTime,
        /// Deltas of the most loaded targets.
        deltas: Vec<TargetDelta>,
    },
    /// Demand for some models; replaces the source's earlier entries for these models.
    DemandSeen {
        /// Source.
        source: DemandSource,
        /// Catalogue version of the model positions.
        catalog: u64,
        /// Demand.
        entries: Vec<ModelDemand>,
    },
    /// Requests of another host wait for a model.
    WantSeen {
        /// Catalogue version of the model position.
        catalog: u64,
        /// Model position.
        model: u16,
    },
    /// A peer has this preset version in force; sent for every packet, since presets count contacts.
    PresetSeen {
        /// Peer.
        host: HostName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Notice.
        preset: PresetNotice,
    },
    /// A peer blames a request for a crash, or withdraws the blame.
    CrashSeen(CrashNotice),
    /// A lease has a holder with a higher fencing number than known before.
    LeaseSeen(LeaseNotice),
}
