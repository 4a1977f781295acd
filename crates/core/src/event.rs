//! Events of the host reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// An event of the host reducer.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// Event of the request feature.
    Request(RequestEvent),
    /// Event of the membership feature.
    Membership(MembershipEvent),
    /// Event of the preset feature.
    Preset(PresetEvent),
    /// Event of the move feature.
    Move(MoveEvent),
    /// A target reported its load.
    LoadReported {
        /// Report.
        report: Box<LoadReport>,
        /// Orders that it lists as ended.
        finished: Vec<FinishedOrder>,
    },
    /// A target's cache events arrived.
    CacheReported(CacheBatch),
    /// The catalogue to start from, before any version is known.
    CatalogLoaded {
        /// Catalogue.
        catalog: Arc<CatalogSpec>,
        /// Wall clock, milliseconds since 1970; only recorded.
        unix_ms: u64,
    },
    /// The host list.
    HostListReceived {
        /// Entry hosts.
        hosts: Vec<ListedHost>,
        /// Targets that the list names as leaving.
        leaving_targets: Vec<TargetName>,
    },
    /// A planned stop of this host begins.
    DrainStarted,
    /// Time passed; sent about fifty times a second.
    Tick,
}
