//! Demand for each model: the requests that this host received, and those that other hosts and
//! failure domains report.
//!
//! Models are identified by their position in the catalogue in force.

use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::{BTreeMap, VecDeque};

/// Length of one bucket.
const BUCKET_LENGTH: ClockTime = ClockTime::from_secs(10);
/// Buckets that make up the minute over which demand is reported.
const BUCKET_COUNT: usize = 6;

/// Counts the requests that this host received in the last minute, by model.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    /// Requests by model, newest bucket first.
    buckets: VecDeque<BTreeMap<u16, u32>>,
    /// Start of the newest bucket.
    rotated_at: ClockTime,
}

impl DemandCounter {
    /// Counts one request for a model.
    pub fn count(&mut self, model: u16) {
        if self.buckets.is_empty() {
            self.buckets.push_front(BTreeMap::new());
        }
        *self.buckets[0].entry(model).or_insert(0) += 1;
    }

    /// Starts a new bucket if the newest one has lasted [`BUCKET_LENGTH`]; returns whether it did.
    pub fn rotate(&mut self, now: ClockTime) -> bool {
        if now.since(self.rotated_at) < BUCKET_LENGTH {
            return false;
        }
        self.rotated_at = now;
        self.buckets.push_front(BTreeMap::new());
        self.buckets.truncate(BUCKET_COUNT);
        true
    }

    /// Returns the number of requests in the last minute, by model.
    pub fn per_minute(&self) -> BTreeMap<u16, u32> {
        let mut total = BTreeMap::new();
        for (model, count) in self.buckets.iter().flatten() {
            *total.entry(*model).or_insert(0) += count;
        }
        total
    }

    /// Removes all counts, because the positions of the models changed.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}

/// Demand that other hosts and failure domains reported.
#[derive(Clone, Debug, Default)]
pub struct PeerDemand {
    /// Requests a minute by model, for each source.
    sources: BTreeMap<DemandSource, BTreeMap<u16, u32>>,
}

impl PeerDemand {
    /// Replaces the demand of some models that a source reported.
    pub fn apply(&mut self, source: DemandSource, entries: &[ModelDemand]) {
        let models = self.sources.entry(source).or_default();
        for entry in entries {
            models.insert(entry.model, entry.per_minute);
        }
    }

    /// Removes the demand that a host reported.
    pub fn remove_host(&mut self, host: &HostName) {
        self.sources.remove(&DemandSource::Host(host.clone()));
    }

    /// Adds the demand of all sources, in requests a minute, to `total`.
    pub fn add_to(&self, total: &mut BTreeMap<u16, u32>) {
        for (model, count) in self.sources.values().flatten() {
            *total.entry(*model).or_insert(0) += count;
        }
    }

    /// Removes all reported demand, because the positions of the models changed.
    pub fn clear(&mut self) {
        self.sources.clear();
    }
}
