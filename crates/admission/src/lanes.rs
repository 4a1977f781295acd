//! Queue of one class: deficit round robin between tenants, and within a tenant one lane per
//! resource, so that only the heads of lanes are looked at.

use crate::queue::QueuedWork;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Queued work with its time of arrival.
#[derive(Clone, Debug)]
pub(crate) struct LaneItem {
    pub(crate) work: QueuedWork,
    pub(crate) arrived: ClockTime,
}

/// Requests of one tenant in one class.
#[derive(Clone, Debug, Default)]
struct TenantLanes {
    lanes: HashMap<Arc<str>, BTreeMap<u64, LaneItem>>,
    heads: BTreeMap<u64, Arc<str>>,
    deficit: u64,
}

/// Readiness of resources, asked at most a few times each within one take.
pub(crate) struct ReadyProbe<'a> {
    ready: &'a mut dyn FnMut(&QueuedWork) -> bool,
    blocked: HashMap<Arc<str>, u32>,
    probes: u32,
}

impl<'a> ReadyProbe<'a> {
    pub(crate) fn new(ready: &'a mut dyn FnMut(&QueuedWork) -> bool, probes: u32) -> Self {
        Self {
            ready,
            blocked: HashMap::new(),
            probes,
        }
    }

    fn ask(&mut self, work: &QueuedWork) -> bool {
        if self
            .blocked
            .get(&work.resource)
            .is_some_and(|count| *count >= self.probes)
        {
            return false;
        }
        if (self.ready)(work) {
            return true;
        }
        *self.blocked.entry(work.resource.clone()).or_insert(0) += 1;
        false
    }
}

/// A tenant whose next work is ready.
struct ReadyTenant {
    position: usize,
    sequence: u64,
    resource: Arc<str>,
    rounds: u64,
    quantum: u64,
}

/// Queue of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLanes {
    tenants: HashMap<TenantName, TenantLanes>,
    ring: VecDeque<TenantName>,
    arrivals: BTreeMap<u64, ClockTime>,
}

impl ClassLanes {
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns the arrival of the oldest work.
    pub(crate) fn oldest(&self) -> Option<ClockTime> {
        self.arrivals.values().next().copied()
    }

    pub(crate) fn push(&mut self, sequence: u64, item: LaneItem) {
        let tenant = item.work.tenant.clone();
        let resource = item.work.resource.clone();
        self.arrivals.insert(sequence, item.arrived);
        if !self.tenants.contains_key(&tenant) {
            self.ring.push_back(tenant.clone());
        }
        let lanes = self.tenants.entry(tenant).or_default();
        let lane = lanes.lanes.entry(resource.clone()).or_default();
        if lane.is_empty() {
            lanes.heads.insert(sequence, resource);
        }
        lane.insert(sequence, item);
    }

    /// Removes one request; a tenant without requests loses its deficit.
    pub(crate) fn remove(
        &mut self,
        sequence: u64,
        tenant: &TenantName,
        resource: &str,
    ) -> Option<LaneItem> {
        let lanes = self.tenants.get_mut(tenant)?;
        let lane = lanes.lanes.get_mut(resource)?;
        let was_head = lane.keys().next() == Some(&sequence);
        let item = lane.remove(&sequence)?;
        self.arrivals.remove(&sequence);
        if was_head {
            lanes.heads.remove(&sequence);
            if let Some(&next) = lane.keys().next() {
                lanes.heads.insert(next, item.work.resource.clone());
            }
        }
        if lane.is_empty() {
            lanes.lanes.remove(resource);
        }
        if lanes.lanes.is_empty() {
            self.tenants.remove(tenant);
            self.ring.retain(|other| other != tenant);
        }
        Some(item)
    }

    /// Takes the next ready request in fair order.
    pub(crate) fn take(
        &mut self,
        now: ClockTime,
        probe: &mut ReadyProbe<'_>,
        quantum_of: &dyn Fn(&TenantName) -> u64,
    ) -> Option<LaneItem> {
        let mut ready: Vec<ReadyTenant> = Vec::new();
        for position in 0..self.ring.len() {
            let Some(found) = self.ready_tenant(now, position, probe, quantum_of) else {
                continue;
            };
            let enough = found.rounds == 0;
            ready.push(found);
            if enough {
                break;
            }
        }
        let rounds = ready.iter().map(|found| found.rounds).min()?;
        // All ready tenants get the rounds that the first of them needs; a blocked tenant saves
        // nothing up.
        for found in &ready {
            if let Some(lanes) = self.tenants.get_mut(&self.ring[found.position]) {
                lanes.deficit += rounds * found.quantum;
            }
        }
        let chosen = ready.into_iter().find(|found| found.rounds == rounds)?;
        let tenant = self.ring[chosen.position].clone();
        self.ring.rotate_left(chosen.position);
        let lanes = self.tenants.get_mut(&tenant)?;
        let cost = lanes
            .lanes
            .get(&chosen.resource)
            .and_then(|lane| lane.get(&chosen.sequence))
            .map_or(0, |item| u64::from(item.work.cost));
        invariant!(
            lanes.deficit >= cost,
            "deficit_covers_cost",
            "deficit {} cost {cost}",
            lanes.deficit
        );
        lanes.deficit = lanes.deficit.saturating_sub(cost);
        self.remove(chosen.sequence, &tenant, &chosen.resource)
    }

    fn ready_tenant(
        &self,
        now: ClockTime,
        position: usize,
        probe: &mut ReadyProbe<'_>,
        quantum_of: &dyn Fn(&TenantName) -> u64,
    ) -> Option<ReadyTenant> {
        let tenant = &self.ring[position];
        let lanes = self.tenants.get(tenant)?;
        for (&sequence, resource) in &lanes.heads {
            let item = lanes.lanes.get(resource)?.get(&sequence)?;
            if item.work.deadline <= now || !probe.ask(&item.work) {
                continue;
            }
            let quantum = quantum_of(tenant).max(1);
            let missing = u64::from(item.work.cost).saturating_sub(lanes.deficit);
            return Some(ReadyTenant {
                position,
                sequence,
                resource: resource.clone(),
                rounds: missing.div_ceil(quantum),
                quantum,
            });
        }
        None
    }
}
