//! State of the request reducer.

use crate::spec::RequestSpec;
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Settings of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestSettings {
    /// Distinguishes the identifiers of this process from those of every other.
    pub id_seed: u64,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) spec: RequestSpec,
    pub(crate) arrived: ClockTime,
    pub(crate) first: Option<ClockTime>,
    pub(crate) chunks: u32,
    pub(crate) target: Option<TargetName>,
}

/// State of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    pub(crate) settings: RequestSettings,
    pub(crate) requests: BTreeMap<RequestKey, RequestEntry>,
    pub(crate) attempts: BTreeMap<AttemptId, RequestKey>,
    pub(crate) attempt_count: u64,
}

impl RequestState {
    /// Makes an empty state.
    pub fn new(settings: RequestSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }
}
