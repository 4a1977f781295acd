//! Events of the preset feature.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of a preset version, and the BLAKE3 hash of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PresetVersion {
    /// Number of the version; the first is 1.
    pub version: u64,
    /// BLAKE3 hash of the body.
    pub digest: [u8; 32],
}

/// Identifier of an acceptance, unique across hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceptId(pub u64);

/// Request of an operator to put a new version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptRequest {
    /// Identifier, drawn at random by the caller.
    pub accept: AcceptId,
    /// Whole catalogue, and name of the preset in force.
    pub body: Arc<[u8]>,
    /// Operator who made the request.
    pub author: Arc<str>,
    /// Wall-clock time of the request, milliseconds since 1970; only recorded.
    pub at_ms: u64,
    /// Version that the operator edited; it is a conflict if another one is committed. `None`
    /// accepts any committed version.
    pub base_version: Option<u64>,
}

/// An input of the preset reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum PresetEvent {
    /// Time has passed since the last tick.
    Tick,
    /// An operator applies declarations or activates a preset; the caller has checked the body.
    Accept(AcceptRequest),
    /// A `Table` effect was answered.
    TableAnswered {
        /// Number of the answered call.
        call: u64,
        /// Answer of the table service.
        answer: TableAnswer,
    },
    /// A `StoreBody` effect was answered.
    BodyStored {
        /// Number of the answered call.
        call: u64,
        /// Whether the object store confirmed that it holds the body.
        stored: bool,
    },
    /// A `FetchBody` effect was answered.
    BodyFetched {
        /// Number of the answered call.
        call: u64,
        /// Fetched body; `None` if the source failed or does not have the body.
        body: Option<Arc<[u8]>>,
    },
    /// A peer announced the version that it has in force.
    PeerVersion {
        /// Peer that has the version in force.
        host: HostName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Version in force on the peer.
        preset: PresetVersion,
    },
    /// The set of known hosts changed.
    PeersChanged {
        /// Number of failure domains with hosts, this host's included.
        domain_count: u32,
        /// Number of other hosts.
        peer_count: u32,
    },
}
