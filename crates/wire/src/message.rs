//! Messages between hosts, as plain data.
//!
//! The clocks of two hosts are never compared, so messages carry no points in time. They carry ages
//! in milliseconds, measured when the message is sent.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First 6 bytes of the BLAKE3 hash of the name of a host, failure domain or region.
///
/// Two of 360 names collide with a probability of about 2e-10.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameId(pub [u8; 6]);

impl NameId {
    /// Returns the id of a name.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut id = [0; 6];
        id.copy_from_slice(&hash.as_bytes()[..6]);
        Self(id)
    }
}

/// Liveness of a host, in rising order of precedence between updates of one incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum LivenessState {
    /// The host answers probes.
    #[default]
    Alive,
    /// The host did not answer at least one observer.
    Suspect,
    /// The host was declared dead.
    Dead,
}

/// Update on the liveness of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Host that the update is about.
    pub host: NameId,
    /// Incarnation of the host that the update is about.
    pub incarnation: u64,
    /// Liveness of that incarnation.
    pub state: LivenessState,
    /// Whether the host is leaving, that is, has started a planned stop.
    pub leaving: bool,
    /// Host that got no answer from the suspect; `None` unless the state is
    /// [`LivenessState::Suspect`].
    pub observer: Option<NameId>,
}

/// Full description of a host, for receivers that know only its [`NameId`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostIntroduction {
    /// Name of the host.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts; `None` if the sender does not know it.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain that the host is in.
    pub domain: DomainName,
    /// Region that the host is in.
    pub region: RegionName,
    /// Highest incarnation of the host that the sender knows; 0 if it knows none.
    pub incarnation: u64,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Update on whether a process of a target is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUpdate {
    /// Target that the update is about.
    pub target: TargetName,
    /// Incarnation of the target's process; a process with a higher one is not leaving.
    pub incarnation: u64,
    /// Number of the update; rises with each update about the process, so that a later leave can be
    /// told from an earlier one.
    ///
    /// Taken from the sequence of the process's load reports; see `updates` in the membership crate.
    pub sequence: u64,
    /// Whether that process is leaving.
    pub leaving: bool,
}

/// Load sent to a target that the target's last load report does not contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDelta {
    /// Position of the target in the catalogue.
    pub target: u16,
    /// Sequence of the target's load report that the delta is to be added to.
    pub sequence: u64,
    /// Number of requests sent minus number of requests ended.
    pub requests: i32,
    /// Input tokens sent; encoded in units of [`TOKEN_UNIT`], rounded up.
    #[serde(with = "token_units")]
    pub tokens: u64,
}

/// Input tokens in one encoded unit of load.
///
/// Up to 8,128 tokens thereby take one byte instead of two. Rounding up adds at most 63 tokens to
/// the load that one host reports for a target, and never hides load.
pub const TOKEN_UNIT: u64 = 64;

/// Serialisation of a number of tokens in units of [`TOKEN_UNIT`].
mod token_units {
    use super::TOKEN_UNIT;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(tokens: &u64, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(tokens.div_ceil(TOKEN_UNIT))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
        Ok(u64::deserialize(input)?.saturating_mul(TOKEN_UNIT))
    }
}

/// Load deltas of one host, exchanged without aggregation within its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host that sent the load.
    pub host: NameId,
    /// Number of the record; rises with each record of the host, also across its restarts.
    pub stamp: u64,
    /// Time since the host made the record, milliseconds.
    pub age_ms: u32,
    /// Catalogue version of the target positions.
    pub catalog: u64,
    /// One delta for each target with load from the host.
    pub loads: Vec<TargetDelta>,
}

/// Load deltas summed over the hosts of one failure domain, sent to other failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Failure domain whose hosts sent the load.
    pub domain: NameId,
    /// Mean age of the summed records, milliseconds.
    pub age_ms: u32,
    /// Number of live hosts of the failure domain.
    pub hosts: u16,
    /// Catalogue version of the target positions.
    pub catalog: u64,
    /// Summed deltas of the most loaded targets.
    pub loads: Vec<TargetDelta>,
}

/// Demand of one host or failure domain for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Position of the model in the catalogue.
    pub model: u16,
    /// Number of requests in the last minute.
    pub per_minute: u32,
}

/// Part of the demand of a host or a failure domain, small enough for one packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandChunk {
    /// Host or failure domain that received the requests.
    pub source: NameId,
    /// Catalogue version of the model positions.
    pub catalog: u64,
    /// One entry for each model of this part.
    pub entries: Vec<ModelDemand>,
}

/// Preset version that is in force on the sender, which serves its body to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetReport {
    /// Number of the version.
    pub version: u64,
    /// BLAKE3 hash of the preset's body.
    pub digest: [u8; 32],
}

/// Report that a request is a crash suspect, or that it no longer is one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// [`BodyDigest`] of the request, little-endian.
    pub digest: [u8; 16],
    /// Target that crashed while it ran the request; `None` clears the request, because it
    /// completed on some target.
    pub target: Option<TargetName>,
}

/// Update on which host holds the lease of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUpdate {
    /// Region that the lease is for.
    pub region: RegionName,
    /// Host that holds the lease.
    pub holder: HostName,
    /// Fencing number of the lease; of two updates, the higher number applies.
    pub fencing: FencingNumber,
}

/// A message; a packet carries any number of them.
///
/// The order of the variants is part of the encoding; changing it needs a new
/// [`PACKET_VERSION`](crate::packet::PACKET_VERSION).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// Probes the recipient, which answers with an [`Ack`](Self::Ack) of the same nonce.
    Ping {
        /// Nonce that the sender chose for the probe.
        nonce: u32,
    },
    /// Answers a ping, or reports that a third host answered a ping that the recipient asked for.
    Ack {
        /// Nonce of the recipient's probe.
        nonce: u32,
    },
    /// Asks the recipient to ping a third host.
    PingRequest {
        /// Nonce of the sender's own probe, which the ack to the sender repeats.
        nonce: u32,
        /// Host to ping.
        host: NameId,
    },
    /// Shows whether two hosts have the same view of all hosts. If the recipient's view has another
    /// hash, the recipient adds pages of its view to its next packets.
    View {
        /// Hash of the sender's view.
        hash: u64,
    },
    /// Updates on the liveness of hosts.
    Members(Vec<MemberUpdate>),
    /// Asks the recipient to introduce hosts that the sender does not know.
    WhoIs(Vec<NameId>),
    /// Introduces a host to the recipient.
    Introduce(HostIntroduction),
    /// Updates on leaving targets.
    Targets(Vec<TargetUpdate>),
    /// Load deltas of hosts in the sender's failure domain.
    Records(Vec<HostRecord>),
    /// Load deltas of failure domains.
    Summaries(Vec<DomainSummary>),
    /// Demand of the sender or of its failure domain.
    Demand(DemandChunk),
    /// Preset version in force on the sender.
    Preset(PresetReport),
    /// Reports of crash suspects and of cleared requests.
    Crashes(Vec<CrashReport>),
    /// Updates on the lease holders of regions.
    Leases(Vec<LeaseUpdate>),
    /// Asks the lease holder for a model that requests on the sender wait for.
    MissingModel {
        /// Catalogue version of the model position.
        catalog: u64,
        /// Position of the model in the catalogue.
        model: u16,
    },
}
