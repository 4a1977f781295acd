//! Drain rates of queued work, from which the wait of new work is estimated.
//!
//! Rates are measured per flow, that is, per resource, class and tenant. A request does not wait
//! for all work queued before it, because later work of other tenants and of better classes
//! overtakes.

use crate::queue::QueuedWork;
use crocusyard_base::prelude::*;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

/// Weight of a new interval in the smoothed interval between two dequeues.
const INTERVAL_SMOOTHING: f64 = 0.1;

/// Resource, class and tenant of a flow.
type FlowKey = (Arc<str>, ClassName, TenantName);

/// Drain rate of one flow or resource.
#[derive(Clone, Debug, Default)]
struct DrainRate {
    queued: u32,
    /// Smoothed time between two dequeues; `None` before the first one.
    interval_ms: Option<f64>,
    /// Time of the last dequeue, or of a later arrival that ended an idle time.
    interval_start: ClockTime,
}

/// Drain rates by flow and by resource.
#[derive(Clone, Debug, Default)]
pub(crate) struct DrainTable {
    flows: HashMap<FlowKey, DrainRate>,
    resources: HashMap<Arc<str>, DrainRate>,
}

impl DrainTable {
    /// Counts queued work. Idle flows are dropped when a new one would exceed `capacity`, and
    /// likewise idle resources.
    pub(crate) fn record_queued(&mut self, now: ClockTime, work: &QueuedWork, capacity: usize) {
        count_queued(&mut self.flows, flow_key(work), now, capacity);
        count_queued(&mut self.resources, work.resource.clone(), now, capacity);
    }

    /// Counts work that left the queue without being dequeued.
    pub(crate) fn record_removed(&mut self, work: &QueuedWork) {
        let flow = self.flows.get_mut(&flow_key(work));
        let resource = self.resources.get_mut(&work.resource);
        for rate in flow.into_iter().chain(resource) {
            rate.queued = rate.queued.saturating_sub(1);
        }
    }

    /// Counts work that was dequeued, and updates the smoothed interval between dequeues.
    pub(crate) fn record_dequeued(&mut self, now: ClockTime, work: &QueuedWork) {
        let flow = self.flows.get_mut(&flow_key(work));
        let resource = self.resources.get_mut(&work.resource);
        for rate in flow.into_iter().chain(resource) {
            rate.queued = rate.queued.saturating_sub(1);
            let sample = now.since(rate.interval_start).as_ms() as f64;
            let old = rate.interval_ms.unwrap_or(sample);
            rate.interval_ms = Some(old + INTERVAL_SMOOTHING * (sample - old));
            rate.interval_start = now;
        }
    }

    /// Returns the expected wait behind the queued work of the same flow.
    ///
    /// A flow without a measured interval uses that of its resource.
    pub(crate) fn expected_wait(&self, now: ClockTime, work: &QueuedWork) -> ClockTime {
        let Some(flow) = self.flows.get(&flow_key(work)) else {
            return ClockTime::ZERO;
        };
        if flow.queued == 0 {
            return ClockTime::ZERO;
        }
        let resource = self.resources.get(&work.resource);
        let interval_ms = flow
            .interval_ms
            .or_else(|| resource.and_then(|rate| rate.interval_ms))
            .unwrap_or(0.0);
        // If a flow has stopped draining, the time since its last dequeue shows that before the
        // next dequeue can.
        let open_ms = now.since(flow.interval_start).as_ms() as f64;
        ClockTime::from_ms((f64::from(flow.queued) * interval_ms).max(open_ms) as u64)
    }

    /// Returns the number of flows and resources with a recorded drain rate.
    pub(crate) fn len(&self) -> usize {
        self.flows.len() + self.resources.len()
    }
}

fn flow_key(work: &QueuedWork) -> FlowKey {
    (
        work.resource.clone(),
        work.class.clone(),
        work.tenant.clone(),
    )
}

/// Counts queued work of a key; drops idle keys when a new one would exceed `capacity`.
fn count_queued<K: Eq + Hash>(
    rates: &mut HashMap<K, DrainRate>,
    key: K,
    now: ClockTime,
    capacity: usize,
) {
    if rates.len() >= capacity && !rates.contains_key(&key) {
        rates.retain(|_, rate| rate.queued > 0);
    }
    let rate = rates.entry(key).or_default();
    if rate.queued == 0 {
        rate.interval_start = now;
    }
    rate.queued += 1;
}
