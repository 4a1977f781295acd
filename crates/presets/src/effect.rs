//! Effects of the preset feature.

use crate::event::{AcceptId, PresetVersion};
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// Source of a preset body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodySource {
    /// A peer that has the version in force; the body is fetched over HTTP.
    Peer(HostName),
    /// The platform's object store.
    ObjectStore,
}

/// Outcome of an acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptResult {
    /// The version is committed and in force on this host.
    Committed(PresetVersion),
    /// The version that the operator edited is not the committed one, or another acceptance was
    /// first.
    Conflict {
        /// Committed version that was found; `None` if none was found.
        found: Option<PresetVersion>,
    },
    /// The platform did not answer in time; nothing was committed.
    Unavailable,
    /// The platform did not confirm in time whether the version was committed; the operator has to
    /// look at the history.
    Unknown {
        /// Version that may have been committed.
        preset: PresetVersion,
    },
}

/// A request to the shell, or an announcement to other features.
#[derive(Clone, Debug, PartialEq)]
pub enum PresetEffect {
    /// Call the table service.
    Table {
        /// Number of the call, which its answer repeats.
        call: u64,
        /// Read or transaction to perform.
        request: TableCall,
    },
    /// Put a body into the object store; the same body may be put more than once.
    StoreBody {
        /// Number of the call, which its answer repeats.
        call: u64,
        /// Hash of the body, by which the object store keeps it.
        digest: [u8; 32],
        /// Body to store.
        body: Arc<[u8]>,
    },
    /// Fetch a body from a peer or from the object store.
    FetchBody {
        /// Number of the call, which its answer repeats.
        call: u64,
        /// Hash of the body to fetch.
        digest: [u8; 32],
        /// Peer or object store to fetch from.
        source: BodySource,
    },
    /// Put a committed version in force, whose body matches its digest.
    PutInForce {
        /// Version to put in force.
        preset: PresetVersion,
        /// Body of the version.
        body: Arc<[u8]>,
    },
    /// Announce the version in force to peers.
    Announce(PresetVersion),
    /// Report the outcome of an acceptance to the operator.
    AcceptDone {
        /// Acceptance that ended.
        accept: AcceptId,
        /// Outcome of the acceptance.
        result: AcceptResult,
    },
    /// This host became up to date, or ceased to be: add it to the address answers, or remove it.
    UpToDateChanged {
        /// Whether it is confirmed that this host has the newest version in force.
        up_to_date: bool,
    },
}
