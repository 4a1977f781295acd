//! Demand per model: what this host was asked for, and what others say they were asked for.

use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::{BTreeMap, VecDeque};

/// Length of one counting interval.
const BUCKET: ClockTime = ClockTime::from_secs(10);
/// Intervals that make up the minute over which demand is told.
const BUCKETS: usize = 6;

/// Requests of this host by model position, over the last minute.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    buckets: VecDeque<BTreeMap<u16, u32>>,
    turned: ClockTime,
}

impl DemandCounter {
    /// Counts one request.
    pub fn count(&mut self, model: u16) {
        if self.buckets.is_empty() {
            self.buckets.push_front(BTreeMap::new());
        }
        *self.buckets[0].entry(model).or_insert(0) += 1;
    }

    /// Starts a new interval if the present one is over; returns whether it did.
    pub fn turn(&mut self, now: ClockTime) -> bool {
        if now.since(self.turned) < BUCKET {
            return false;
        }
        self.turned = now;
        self.buckets.push_front(BTreeMap::new());
        self.buckets.truncate(BUCKETS);
        true
    }

    /// Returns the requests of the last minute by model.
    pub fn per_minute(&self) -> BTreeMap<u16, u32> {
        let mut total = BTreeMap::new();
        for (model, count) in self.buckets.iter().flatten() {
            *total.entry(*model).or_insert(0) += count;
        }
        total
    }

    /// Forgets everything, because positions changed.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}

/// Demand told by other hosts and failure domains.
#[derive(Clone, Debug, Default)]
pub struct PeerDemand {
    sources: BTreeMap<DemandSource, BTreeMap<u16, u32>>,
}

impl PeerDemand {
    /// Takes what a source says of some models.
    pub fn apply(&mut self, source: DemandSource, entries: &[ModelDemand]) {
        let models = self.sources.entry(source).or_default();
        for entry in entries {
            models.insert(entry.model, entry.per_minute);
        }
    }

    /// Forgets a host.
    pub fn forget(&mut self, host: &HostName) {
        self.sources.remove(&DemandSource::Host(host.clone()));
    }

    /// Adds the demand of all sources to `total`.
    pub fn add_to(&self, total: &mut BTreeMap<u16, u32>) {
        for (model, count) in self.sources.values().flatten() {
            *total.entry(*model).or_insert(0) += count;
        }
    }

    /// Forgets everything, because positions changed.
    pub fn clear(&mut self) {
        self.sources.clear();
    }
}
