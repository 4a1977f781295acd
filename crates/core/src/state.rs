//! State of the host reducer.

use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// Settings of the features.
#[derive(Clone, Debug)]
pub struct HostParts {
    /// Settings of the routing feature.
    pub routes: RouteSettings,
    /// Settings of the request feature.
    pub requests: RequestSettings,
    /// Seed of all random decisions.
    pub seed: u64,
}

/// State of one entry host.
#[derive(Debug)]
pub struct HostState {
    /// Targets.
    pub routes: RouteTable,
    /// Waiting requests.
    pub queue: AdmissionQueue,
    /// Requests in progress.
    pub requests: RequestState,
    /// Catalogue in force.
    pub catalog: Arc<CatalogSpec>,
    pub(crate) rng: SeededRng,
}

impl HostState {
    /// Makes the state of a host that has just started.
    pub fn new(parts: HostParts) -> Self {
        Self {
            routes: RouteTable::new(parts.routes),
            queue: AdmissionQueue::new(),
            requests: RequestState::new(parts.requests),
            catalog: Arc::default(),
            rng: seeded_rng(parts.seed),
        }
    }
}
