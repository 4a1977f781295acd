//! Events of the host reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// An event of the host reducer.
#[derive(Clone, Debug)]
pub enum HostEvent {
    /// Event of the request feature.
    Request(RequestEvent),
    /// A target reported its load.
    LoadReported(Box<LoadReport>),
    /// Another catalogue is in force.
    CatalogChanged(Arc<CatalogSpec>),
    /// A target is leaving, or no longer leaving.
    TargetLeaving {
        /// Target.
        target: TargetName,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Time passed.
    Tick,
}
