//! Effects of presets.

use crate::event::{AcceptId, PresetVersion};
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// Where a body is fetched from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodySource {
    /// A peer, over HTTP.
    Peer(HostName),
    /// The object store.
    ObjectStore,
}

/// How an acceptance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptResult {
    /// The version is committed and in force on this host.
    Committed(PresetVersion),
    /// Another version was committed since the operator's.
    Conflict {
        /// Version found; `None` if there is none at all.
        found: Option<PresetVersion>,
    },
    /// The platform was down; nothing was changed.
    Unavailable,
    /// The platform did not tell in time whether the version was committed; the operator has to
    /// look at the history.
    Unknown {
        /// Version that may have been committed.
        preset: PresetVersion,
    },
}

/// What presets ask of the shell or tell other features.
#[derive(Clone, Debug, PartialEq)]
pub enum PresetEffect {
    /// Call the table service.
    Table {
        /// Call number.
        call: u64,
        /// Table call.
        request: TableCall,
    },
    /// Put a body into the object store; putting it twice is harmless.
    StoreBody {
        /// Call number.
        call: u64,
        /// Key.
        digest: [u8; 32],
        /// Body.
        body: Arc<[u8]>,
    },
    /// Fetch a body.
    FetchBody {
        /// Call number.
        call: u64,
        /// Key.
        digest: [u8; 32],
        /// Source.
        source: BodySource,
    },
    /// Put a verified, committed body in force.
    PutInForce {
        /// Version.
        preset: PresetVersion,
        /// Body.
        body: Arc<[u8]>,
    },
    /// Tell peers of the version in force.
    Announce(PresetVersion),
    /// Tell the operator how the acceptance ended.
    AcceptDone {
        /// Acceptance.
        accept: AcceptId,
        /// Result.
        result: AcceptResult,
    },
    /// The host may appear in address answers (`true`) or has to leave them.
    UpToDateChanged {
        /// Whether the host is confirmed to be current.
        up_to_date: bool,
    },
}
