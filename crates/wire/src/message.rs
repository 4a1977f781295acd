//! Message types, as plain data.
//!
//! Points in time never cross hosts; messages carry ages in milliseconds at the time of sending.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First 6 bytes of the BLAKE3 hash of a name.
///
/// Two of 360 names collide with a probability of about 2e-10.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameId(pub [u8; 6]);

impl NameId {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut id = [0; 6];
        id.copy_from_slice(&hash.as_bytes()[..6]);
        Self(id)
    }
}

/// What observers say of a host, in rising order of precedence within one incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum LivenessState {
    /// Answers.
    #[default]
    Alive,
    /// Did not answer at least one observer.
    Suspect,
    /// Declared dead.
    Dead,
}

/// Liveness of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Host.
    pub host: NameId,
    /// Incarnation that the update is about.
    pub incarnation: u64,
    /// Liveness.
    pub state: LivenessState,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Host that observed the silence; only with [`LivenessState::Suspect`].
    pub observer: Option<NameId>,
}

/// Full description of a host, for receivers that know only its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostIntroduction {
    /// Name.
    pub host: HostName,
    /// Address for packets between hosts.
    pub address: SocketAddr,
    /// Address for callers and for HTTP between hosts, as far as it is known.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Whether a target is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUpdate {
    /// Target.
    pub target: TargetName,
    /// Number of the target's process; a later process is no longer leaving.
    pub incarnation: u64,
    /// Rises with each word about the process, so that a later leave differs from an earlier one.
    ///
    /// Taken from the sequence of the process's load reports; see `updates` in the membership crate.
    pub sequence: u64,
    /// Whether that process is leaving.
    pub leaving: bool,
}

/// What was sent to one target since the target's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDelta {
    /// Position of the target in the catalogue.
    pub target: u16,
    /// Report that the delta is relative to.
    pub sequence: u64,
    /// Requests sent less requests ended.
    pub requests: i32,
    /// Input tokens sent; a packet has them in units of [`TOKEN_UNIT`], rounded up.
    #[serde(with = "token_units")]
    pub tokens: u64,
}

/// Input tokens in one unit of a packet.
///
/// Up to 8,128 tokens take one byte in place of two. Rounding up adds at most 63 tokens to what one
/// host sent to a target, and never hides load.
pub const TOKEN_UNIT: u64 = 64;

/// Encoding of a number of tokens.
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

/// Newest own state of one host, exchanged in full within a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host.
    pub host: NameId,
    /// Number of the record; rises across restarts of the host.
    pub stamp: u64,
    /// Age, milliseconds.
    pub age_ms: u32,
    /// Catalogue version of the target positions.
    pub catalog: u64,
    /// Load deltas.
    pub loads: Vec<TargetDelta>,
}

/// Aggregated state of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Failure domain.
    pub domain: NameId,
    /// Mean age of the records in the summary, milliseconds.
    pub age_ms: u32,
    /// Live hosts of the failure domain.
    pub hosts: u16,
    /// Catalogue version of the target positions.
    pub catalog: u64,
    /// Summed load deltas of the most loaded targets.
    pub loads: Vec<TargetDelta>,
}

/// Demand for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Position of the model in the catalogue.
    pub model: u16,
    /// Requests in the last minute.
    pub per_minute: u32,
}

/// Part of the demand seen by a host or a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandChunk {
    /// Host or failure domain.
    pub source: NameId,
    /// Catalogue version of the model positions.
    pub catalog: u64,
    /// Demand for some models.
    pub entries: Vec<ModelDemand>,
}

/// Preset that the sender has in force and whose body it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetReport {
    /// Version.
    pub version: u64,
    /// BLAKE3 hash of the body.
    pub digest: [u8; 32],
}

/// Blame of a request for a crash of a target, or the withdrawal of blame.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// Request digest.
    pub digest: [u8; 16],
    /// Target that crashed, or `None` after the request completed somewhere.
    pub target: Option<TargetName>,
}

/// Holder of a region's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUpdate {
    /// Region.
    pub region: RegionName,
    /// Holder.
    pub holder: HostName,
    /// Fencing number.
    pub fencing: FencingNumber,
}

/// One message of a packet.
///
/// The order of the variants is part of the format; a change needs a new packet version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireMessage {
    /// Asks for an [`WireMessage::Ack`] with the same nonce.
    Ping {
        /// Nonce of the probe.
        nonce: u32,
    },
    /// Answers a ping, or tells that a ping on the recipient's behalf was answered.
    Ack {
        /// Nonce of the probe.
        nonce: u32,
    },
    /// Asks the recipient to ping a third host.
    PingRequest {
        /// Nonce of the asking host's probe.
        nonce: u32,
        /// Host to ping.
        host: NameId,
    },
    /// Hash of the sender's view of all hosts.
    View {
        /// Hash.
        hash: u64,
    },
    /// Liveness of hosts.
    Members(Vec<MemberUpdate>),
    /// Asks for the introduction of hosts.
    WhoIs(Vec<NameId>),
    /// Introduces a host.
    Introduce(HostIntroduction),
    /// Leaving targets.
    Targets(Vec<TargetUpdate>),
    /// Records of hosts.
    Records(Vec<HostRecord>),
    /// Summaries of failure domains.
    Summaries(Vec<DomainSummary>),
    /// Demand.
    Demand(DemandChunk),
    /// Preset in force.
    Preset(PresetReport),
    /// Crash digests.
    Crashes(Vec<CrashReport>),
    /// Lease holders.
    Leases(Vec<LeaseUpdate>),
    /// A model that requests wait for, sent to the lease holder.
    MissingModel {
        /// Catalogue version of the model position.
        catalog: u64,
        /// Model position.
        model: u16,
    },
}
