//! Adapter loads that this host's requests caused and that load reports may not show yet.
//!
//! An engine loads a missing adapter when the first request for it arrives.

use crocusyard_base::prelude::*;
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Multiple of the load time for which an adapter is presumed loaded without a report listing it.
const PRESUMED_LOAD_FACTOR: u64 = 100;
/// Largest number of recorded loads; the oldest are dropped.
const MAX_RECORDED_LOADS: usize = 1024;

/// Slots of the targets on which an adapter is presumed to be loaded.
pub(crate) type PresumedSlots = SmallVec<[u32; 8]>;

/// Recent adapter loads that this host's requests caused.
#[derive(Clone, Debug)]
pub(crate) struct AdapterLoads {
    /// Slot and start time of the recorded loads of each adapter.
    loads: HashMap<AdapterName, SmallVec<[(u32, ClockTime); 2]>>,
    /// Start time, adapter and slot of all recorded loads, oldest first.
    by_start: VecDeque<(ClockTime, AdapterName, u32)>,
    /// Time of one load while the region is within its limit.
    load_time: ClockTime,
    /// Entry hosts in the region that load adapters.
    host_count: u32,
    /// Limit of the region on loads in transit; `None` if the region is not declared.
    limit: Option<u32>,
}

impl AdapterLoads {
    pub(crate) fn new(load_time: ClockTime, host_count: u32) -> Self {
        Self {
            loads: HashMap::new(),
            by_start: VecDeque::new(),
            load_time,
            host_count,
            limit: None,
        }
    }

    /// Sets the limit of this host's region on adapter loads in transit.
    pub(crate) fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Records that a request caused a load of the adapter on a target.
    pub(crate) fn record_start(&mut self, now: ClockTime, adapter: &AdapterName, slot: u32) {
        self.expire(now);
        let loads = self.loads.entry(adapter.clone()).or_default();
        if loads.iter().any(|&(other, _)| other == slot) {
            return;
        }
        loads.push((slot, now));
        self.by_start.push_back((now, adapter.clone(), slot));
        if self.by_start.len() > MAX_RECORDED_LOADS {
            self.drop_oldest();
        }
    }

    /// Returns the slots on which the adapter is presumed to be loaded.
    pub(crate) fn presumed_slots(&self, now: ClockTime, adapter: &AdapterName) -> PresumedSlots {
        let Some(loads) = self.loads.get(adapter) else {
            return PresumedSlots::new();
        };
        loads
            .iter()
            .filter(|&&(_, started_at)| now.since(started_at) < self.presumed_duration())
            .map(|&(slot, _)| slot)
            .collect()
    }

    /// Drops the loads on a removed target.
    pub(crate) fn remove_slot(&mut self, slot: u32) {
        self.by_start.retain(|&(_, _, other)| other != slot);
        self.loads.retain(|_, loads| {
            loads.retain(|&mut (other, _)| other != slot);
            !loads.is_empty()
        });
    }

    /// Returns the expected time of one more load.
    ///
    /// Beyond the region's limit it grows in proportion to the number of loads in transit.
    pub(crate) fn next_load_time(&self, now: ClockTime) -> ClockTime {
        let ended_count = self
            .by_start
            .partition_point(|&(started_at, _, _)| now.since(started_at) >= self.load_time);
        let own_loads = (self.by_start.len() - ended_count) as u32;
        // Hosts do not exchange their loads, so each is assumed to have as many as this one.
        let in_transit = (own_loads + 1).saturating_mul(self.host_count);
        match self.limit {
            Some(limit) if in_transit > limit.max(1) => self
                .load_time
                .scale(f64::from(in_transit) / f64::from(limit.max(1))),
            _ => self.load_time,
        }
    }

    fn presumed_duration(&self) -> ClockTime {
        ClockTime::from_ms(self.load_time.as_ms() * PRESUMED_LOAD_FACTOR)
    }

    /// Drops the loads that no longer count as presumed.
    fn expire(&mut self, now: ClockTime) {
        let duration = self.presumed_duration();
        while self
            .by_start
            .front()
            .is_some_and(|&(started_at, _, _)| now.since(started_at) >= duration)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, adapter, slot)) = self.by_start.pop_front() else {
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
