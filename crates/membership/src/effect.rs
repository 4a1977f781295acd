//! Effects of membership.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;

/// Name, addresses and liveness of another host, as this host knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    /// Name of the host.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts; `None` until a peer or the host list gives
    /// it.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain that the host is in.
    pub domain: DomainName,
    /// Region that the host is in.
    pub region: RegionName,
    /// Highest incarnation known of the host; 0 if the host is known from the host list only.
    pub incarnation: u64,
    /// Liveness; address answers contain only hosts that are alive and not leaving.
    pub state: LivenessState,
    /// Whether the host is leaving, according to the host itself, a peer or the host list.
    pub leaving: bool,
}

/// Source of demand: one host, or a whole failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DemandSource {
    /// A host of this host's failure domain.
    Host(HostName),
    /// All hosts of another failure domain.
    Domain(DomainName),
}

/// A request to the shell, or an announcement to other features.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Seal the packet for the recipient and send it.
    Send {
        /// Name of the recipient, which the packet's hash covers.
        recipient: HostName,
        /// Destination of the datagram.
        address: SocketAddr,
        /// Content to seal.
        packet: Packet,
    },
    /// A host was added, or a field of its view changed.
    HostChanged(HostView),
    /// A packet of another host arrived, with the sender's utilisation.
    PeerUtilisation {
        /// Sender of the packet.
        host: HostName,
        /// Load of the sender, percent of its capacity.
        percent: u8,
    },
    /// A host was silent for `settings.forget_after` and was removed.
    HostForgotten(HostName),
    /// This host raised its incarnation to refute a suspicion or its death.
    IncarnationRaised {
        /// Incarnation after the increase.
        incarnation: u64,
    },
    /// The host list or a peer says that this host is leaving; start the planned stop.
    SelfLeaving,
    /// This process was paused; a lease holder must check its clock.
    PauseDetected {
        /// Time between the last two ticks.
        gap: ClockTime,
    },
    /// A peer announced that a target started or stopped leaving.
    TargetChanged(TargetUpdate),
    /// Newer load deltas of a host of this host's failure domain; they replace that host's earlier
    /// ones.
    PeerLoads {
        /// Host that sent the requests.
        host: HostName,
        /// Catalogue version of the target positions.
        catalog: u64,
        /// Time since the deltas were measured.
        age: ClockTime,
        /// One delta for each target with load from the host.
        deltas: Vec<TargetDelta>,
    },
    /// Newer load deltas, summed over another failure domain; they replace that domain's earlier
    /// ones.
    DomainLoads {
        /// Failure domain whose hosts sent the requests.
        domain: DomainName,
        /// Number of live hosts in the sums.
        hosts: u16,
        /// Catalogue version of the target positions.
        catalog: u64,
        /// Mean age of the summed deltas.
        age: ClockTime,
        /// Deltas of the most loaded targets.
        deltas: Vec<TargetDelta>,
    },
    /// Demand for some models; the entries replace the source's earlier ones for these models.
    DemandReceived {
        /// Host or failure domain whose demand this is.
        source: DemandSource,
        /// Catalogue version of the model positions.
        catalog: u64,
        /// Requests a minute, one entry for each model.
        entries: Vec<ModelDemand>,
    },
    /// A peer reported that its requests wait for a missing model.
    MissingModelReceived {
        /// Catalogue version of the model position.
        catalog: u64,
        /// Position of the model in the catalogue.
        model: u16,
    },
    /// A peer has this preset version in force.
    ///
    /// Emitted for every packet that carries a preset, since the preset feature counts contacts.
    PresetReceived {
        /// Peer that sent the packet.
        host: HostName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Version in force on the peer, with the digest of its body.
        preset: PresetReport,
    },
    /// A peer reported that a request is suspected of crashing a target, or that it is cleared.
    CrashReceived(CrashReport),
    /// A peer announced a lease holder with a higher fencing number than was known before.
    LeaseReceived(LeaseUpdate),
}
