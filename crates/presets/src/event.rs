//! Events of presets.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A version and the BLAKE3 hash of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PresetVersion {
    /// Version; the first is 1.
    pub version: u64,
    /// Hash of the body.
    pub digest: [u8; 32],
}

/// One acceptance; unique across hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AcceptId(pub u64);

/// A new version that an operator wants in force.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptRequest {
    /// Id, drawn at random by the caller.
    pub accept: AcceptId,
    /// Body: whole catalogue and name of the preset in force.
    pub body: Arc<[u8]>,
    /// Operator.
    pub author: Arc<str>,
    /// Wall clock, milliseconds since 1970; only recorded.
    pub at_ms: u64,
    /// Version that the operator edited; another version in force is a conflict.
    pub base_version: Option<u64>,
}

/// What presets react to.
#[derive(Clone, Debug, PartialEq)]
pub enum PresetEvent {
    /// Time has passed.
    Tick,
    /// An operator applies declarations or activates a preset; the body was checked.
    Accept(AcceptRequest),
    /// A `Table` effect was answered.
    TableAnswered {
        /// Call.
        call: u64,
        /// Answer.
        answer: TableAnswer,
    },
    /// A `StoreBody` effect was answered.
    BodyStored {
        /// Call.
        call: u64,
        /// Whether the object store confirmed.
        stored: bool,
    },
    /// A `FetchBody` effect was answered.
    BodyFetched {
        /// Call.
        call: u64,
        /// Body, or `None` if the source failed or has none.
        body: Option<Arc<[u8]>>,
    },
    /// A peer has a version in force.
    PeerVersion {
        /// Peer.
        host: HostName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Version.
        preset: PresetVersion,
    },
    /// The set of known hosts changed.
    PeersChanged {
        /// Failure domains with hosts, the own one included.
        domain_count: u32,
        /// Other hosts.
        peer_count: u32,
    },
}
