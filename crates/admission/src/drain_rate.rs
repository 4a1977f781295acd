//! How fast queued work drains, for the estimate of a wait.
//!
//! The rate is measured for each lane (resource, class and tenant), because later work of other
//! tenants and of better classes overtakes: all work ahead of a request is not what it waits for.

use crate::queue::QueuedWork;
use crocusyard_base::prelude::*;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

/// Weight of a new interval in the smoothed interval.
const INTERVAL_WEIGHT: f64 = 0.1;

type LaneKey = (Arc<str>, ClassName, TenantName);

/// Drain of one queue.
#[derive(Clone, Debug, Default)]
struct DrainRate {
    queued: u32,
    interval_ms: Option<f64>,
    /// Last take, or the arrival that ended an idle time.
    since: ClockTime,
}

/// Drain rates by lane and by resource.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowTable {
    lanes: HashMap<LaneKey, DrainRate>,
    resources: HashMap<Arc<str>, DrainRate>,
}

impl FlowTable {
    /// Counts queued work; forgets idle queues beyond `remembered`.
    pub(crate) fn add(&mut self, now: ClockTime, work: &QueuedWork, remembered: usize) {
        add_to(&mut self.lanes, key_of(work), now, remembered);
        add_to(&mut self.resources, work.resource.clone(), now, remembered);
    }

    /// Counts work that left the queue without being taken.
    pub(crate) fn drop_one(&mut self, work: &QueuedWork) {
        let lane = self.lanes.get_mut(&key_of(work));
        let resource = self.resources.get_mut(&work.resource);
        for drain in lane.into_iter().chain(resource) {
            drain.queued = drain.queued.saturating_sub(1);
        }
    }

    /// Counts work that was taken.
    pub(crate) fn take(&mut self, now: ClockTime, work: &QueuedWork) {
        let lane = self.lanes.get_mut(&key_of(work));
        let resource = self.resources.get_mut(&work.resource);
        for drain in lane.into_iter().chain(resource) {
            drain.queued = drain.queued.saturating_sub(1);
            let sample = now.since(drain.since).as_ms() as f64;
            let old = drain.interval_ms.unwrap_or(sample);
            drain.interval_ms = Some(old + INTERVAL_WEIGHT * (sample - old));
            drain.since = now;
        }
    }

    /// Returns the expected wait behind queued work of the same lane.
    pub(crate) fn wait(&self, now: ClockTime, work: &QueuedWork) -> ClockTime {
        let Some(lane) = self.lanes.get(&key_of(work)) else {
            return ClockTime::ZERO;
        };
        if lane.queued == 0 {
            return ClockTime::ZERO;
        }
        let resource = self.resources.get(&work.resource);
        let measured = lane
            .interval_ms
            .or_else(|| resource.and_then(|drain| drain.interval_ms))
            .unwrap_or(0.0);
        // A lane that has stopped draining shows it before its next take does.
        let open = now.since(lane.since).as_ms() as f64;
        ClockTime::from_ms((f64::from(lane.queued) * measured).max(open) as u64)
    }

    /// Returns the number of queues remembered.
    pub(crate) fn len(&self) -> usize {
        self.lanes.len() + self.resources.len()
    }
}

fn key_of(work: &QueuedWork) -> LaneKey {
    (
        work.resource.clone(),
        work.class.clone(),
        work.tenant.clone(),
    )
}

fn add_to<K: Eq + Hash>(
    drains: &mut HashMap<K, DrainRate>,
    key: K,
    now: ClockTime,
    remembered: usize,
) {
    if drains.len() >= remembered && !drains.contains_key(&key) {
        drains.retain(|_, drain| drain.queued > 0);
    }
    let drain = drains.entry(key).or_default();
    if drain.queued == 0 {
        drain.since = now;
    }
    drain.queued += 1;
}
