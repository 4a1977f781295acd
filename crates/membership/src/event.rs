//! Events of membership.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;

/// A host of the host list or of the seed hosts in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts; `None` if the list does not give it.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain that the host is in.
    pub domain: DomainName,
    /// Region that the host is in.
    pub region: RegionName,
    /// Whether the host is marked as leaving in the list.
    pub leaving: bool,
}

/// An input of the membership reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// `settings.tick_interval` has passed since the last tick.
    Tick,
    /// A packet was received and opened.
    PacketReceived {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Content of the datagram.
        packet: Packet,
    },
    /// The host list or the seed hosts were read; they may be out of date and may include this
    /// host.
    HostList {
        /// All hosts of the list; hosts missing from it count as unlisted.
        hosts: Vec<ListedHost>,
    },
    /// This host starts a planned stop.
    OwnLeaving,
    /// A target started or stopped leaving, as read from a load report or set by an operator.
    TargetUpdated(TargetUpdate),
    /// All load deltas of this host since the targets' last reports; they replace earlier ones.
    OwnLoads {
        /// Catalogue version of the target positions.
        catalog: u64,
        /// One delta for each target; of more than `loads::MAX_RECORD_DELTAS`, the smallest are not
        /// sent.
        deltas: Vec<TargetDelta>,
    },
    /// Load of this host, percent of its capacity; the value replaces the earlier one.
    OwnUtilisation(u8),
    /// Requests a minute that this host received, by model; they replace earlier ones.
    OwnDemand {
        /// Catalogue version of the model positions.
        catalog: u64,
        /// One entry for each model with requests.
        demand: Vec<ModelDemand>,
    },
    /// Requests on this host wait for a missing model; the holder of the region's lease is asked to
    /// load it at once.
    MissingModelReported {
        /// Holder of the region's lease.
        holder: HostName,
        /// Catalogue version of the model position.
        catalog: u64,
        /// Position of the model in the catalogue.
        model: u16,
    },
    /// A preset version is in force on this host, which now serves its body; a version that is not
    /// higher than the last one is ignored.
    PresetInForce(PresetReport),
    /// A request became suspected of crashing a target, or was cleared because it completed on this
    /// host.
    CrashReported(CrashReport),
    /// This host learned the holder of a region's lease.
    LeaseUpdated(LeaseUpdate),
}
