//! How fast the queue of each resource drains, for the estimate of a wait.

use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Weight of a new interval in the smoothed interval.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Longest interval that counts as one of a busy queue; longer ones are pauses.
const LONGEST_INTERVAL_MS: f64 = 10_000.0;

#[derive(Clone, Debug, Default)]
struct ResourceFlow {
    queued: BTreeMap<u8, u32>,
    interval_ms: Option<f64>,
    taken: Option<ClockTime>,
    backlogged: bool,
}

/// Drain rates by resource.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTable {
    flows: HashMap<Arc<str>, ResourceFlow>,
}

impl FlowTable {
    /// Counts queued work; forgets idle resources beyond `remembered`.
    pub(crate) fn add(&mut self, resource: &Arc<str>, priority: u8, remembered: usize) {
        if self.flows.len() >= remembered && !self.flows.contains_key(resource) {
            self.flows.retain(|_, flow| !flow.queued.is_empty());
        }
        let flow = self.flows.entry(resource.clone()).or_default();
        *flow.queued.entry(priority).or_insert(0) += 1;
    }

    /// Counts work that left the queue without being taken.
    pub(crate) fn drop_one(&mut self, resource: &str, priority: u8) {
        let Some(flow) = self.flows.get_mut(resource) else {
            return;
        };
        if let Some(count) = flow.queued.get_mut(&priority) {
            *count -= 1;
            if *count == 0 {
                flow.queued.remove(&priority);
            }
        }
    }

    /// Counts work that was taken.
    pub(crate) fn take(&mut self, now: ClockTime, resource: &str, priority: u8) {
        self.drop_one(resource, priority);
        let Some(flow) = self.flows.get_mut(resource) else {
            return;
        };
        if let (true, Some(taken)) = (flow.backlogged, flow.taken) {
            let sample = (now.since(taken).as_ms() as f64).min(LONGEST_INTERVAL_MS);
            flow.interval_ms = Some(
                flow.interval_ms
                    .map_or(sample, |old| old + INTERVAL_WEIGHT * (sample - old)),
            );
        }
        // Only intervals during which work waited tell the drain rate; others tell the arrivals.
        flow.backlogged = !flow.queued.is_empty();
        flow.taken = Some(now);
    }

    /// Returns the expected wait behind queued work of the same or a better priority.
    pub(crate) fn wait(&self, resource: &str, priority: u8) -> ClockTime {
        let Some(flow) = self.flows.get(resource) else {
            return ClockTime::ZERO;
        };
        let ahead: u32 = flow.queued.range(..=priority).map(|(_, count)| count).sum();
        let interval_ms = flow.interval_ms.unwrap_or(0.0);
        ClockTime::from_ms((f64::from(ahead) * interval_ms) as u64)
    }

    /// Returns the number of resources remembered.
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }
}
