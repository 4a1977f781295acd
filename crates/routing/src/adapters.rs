//! Adapter loads in transit, as far as this host caused them.

use crocusyard_base::prelude::*;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Multiple of the load time during which a load is presumed done without a report that shows it.
const PRESUMED_FACTOR: u64 = 100;
/// Largest number of loads remembered; the oldest are dropped.
const LOADS_REMEMBERED: usize = 1024;

/// Slots on which an adapter is presumed to be loaded.
pub(crate) type PresumedSlots = SmallVec<[u32; 8]>;

/// Adapter loads that this host's requests caused.
#[derive(Clone, Debug)]
pub(crate) struct AdapterTransit {
    loads: HashMap<AdapterName, SmallVec<[(u32, ClockTime); 2]>>,
    order: VecDeque<(ClockTime, AdapterName, u32)>,
    load_time: ClockTime,
    host_count: u32,
    limit: Option<u32>,
}

impl AdapterTransit {
    pub(crate) fn new(load_time: ClockTime, host_count: u32) -> Self {
        Self {
            loads: HashMap::new(),
            order: VecDeque::new(),
            load_time,
            host_count,
            limit: None,
        }
    }

    /// Sets the region's limit on loads in transit.
    pub(crate) fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Notes that a request caused a load.
    pub(crate) fn start(&mut self, now: ClockTime, adapter: &AdapterName, slot: u32) {
        self.expire(now);
        let loads = self.loads.entry(adapter.clone()).or_default();
        if loads.iter().any(|&(other, _)| other == slot) {
            return;
        }
        loads.push((slot, now));
        self.order.push_back((now, adapter.clone(), slot));
        if self.order.len() > LOADS_REMEMBERED {
            self.drop_oldest();
        }
    }

    /// Returns the slots on which the adapter is presumed to be loaded.
    pub(crate) fn presumed(&self, now: ClockTime, adapter: &AdapterName) -> PresumedSlots {
        let Some(loads) = self.loads.get(adapter) else {
            return PresumedSlots::new();
        };
        loads
            .iter()
            .filter(|&&(_, at)| now.since(at) < self.presumed_span())
            .map(|&(slot, _)| slot)
            .collect()
    }

    /// Drops loads on a removed target.
    pub(crate) fn forget(&mut self, slot: u32) {
        self.order.retain(|&(_, _, other)| other != slot);
        self.loads.retain(|_, loads| {
            loads.retain(|&mut (other, _)| other != slot);
            !loads.is_empty()
        });
    }

    /// Returns the expected time of one more load, which grows in proportion beyond the limit.
    pub(crate) fn cost(&self, now: ClockTime) -> ClockTime {
        let ended = self
            .order
            .partition_point(|&(at, _, _)| now.since(at) >= self.load_time);
        let own = (self.order.len() - ended) as u32;
        // Loads of other hosts are not exchanged; each is taken to have as many as this one.
        let in_transit = (own + 1).saturating_mul(self.host_count);
        match self.limit {
            Some(limit) if in_transit > limit.max(1) => self
                .load_time
                .scale(f64::from(in_transit) / f64::from(limit.max(1))),
            _ => self.load_time,
        }
    }

    fn presumed_span(&self) -> ClockTime {
        ClockTime::from_ms(self.load_time.as_ms() * PRESUMED_FACTOR)
    }

    fn expire(&mut self, now: ClockTime) {
        let span = self.presumed_span();
        while self
            .order
            .front()
            .is_some_and(|&(at, _, _)| now.since(at) >= span)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, adapter, slot)) = self.order.pop_front() else {
            return;
        };
        if let Some(loads) = self.loads.get_mut(&adapter) {
            loads.retain(|&mut (other, _)| other != slot);
            if loads.is_empty() {
                self.loads.remove(&adapter);
            }
        }
    }
}
