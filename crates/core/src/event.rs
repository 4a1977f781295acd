//! Events of the host reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// An input of the host reducer.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// An event of the request feature.
    Request(RequestEvent),
    /// An event of the membership feature.
    Membership(MembershipEvent),
    /// An event of the preset feature.
    Preset(PresetEvent),
    /// An event of the move feature.
    Move(MoveEvent),
    /// A load report of a target was read.
    LoadReported {
        /// Load and resident copies of the target.
        report: Box<LoadReport>,
        /// Orders that the report lists as ended.
        finished: Vec<FinishedOrder>,
    },
    /// A batch of a target's prefix cache events was read.
    CacheReported(CacheBatch),
    /// The catalogue to start from was loaded; it is ignored if a version is already in force.
    CatalogLoaded {
        /// Checked content of the catalogue.
        catalog: Arc<CatalogSpec>,
        /// Wall-clock time, milliseconds since 1970; only recorded.
        unix_ms: u64,
    },
    /// The host list was read; it may be out of date.
    HostListReceived {
        /// Entry hosts of the list.
        hosts: Vec<ListedHost>,
        /// Targets that the list names as leaving.
        leaving_targets: Vec<TargetName>,
    },
    /// A planned stop of this host begins.
    DrainStarted,
    /// Time has passed. Sent about fifty times a second.
    Tick,
}
