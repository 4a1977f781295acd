//! Queue of one class: fair shares between tenants, and within a tenant one lane per resource, so
//! that only the heads of lanes are looked at.

use crate::fair_share::{ShareTable, TenantShare};
use crate::queue::QueuedWork;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, HashMap};
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

/// Work of a tenant that is ready.
struct ReadyWork {
    share: TenantShare,
    sequence: u64,
    resource: Arc<str>,
}

/// Queue of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLanes {
    tenants: HashMap<TenantName, TenantLanes>,
    shares: ShareTable,
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
            self.shares.activate(&tenant);
        }
        let lanes = self.tenants.entry(tenant).or_default();
        let lane = lanes.lanes.entry(resource.clone()).or_default();
        if lane.is_empty() {
            lanes.heads.insert(sequence, resource);
        }
        lane.insert(sequence, item);
    }

    /// Removes one request.
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
            self.shares.deactivate(tenant);
        }
        Some(item)
    }

    /// Takes the next ready request in fair order.
    pub(crate) fn take(
        &mut self,
        now: ClockTime,
        probe: &mut ReadyProbe<'_>,
        weight_of: &dyn Fn(&TenantName) -> u32,
    ) -> Option<LaneItem> {
        let found = self
            .shares
            .order()
            .find_map(|share| self.ready_work(now, share, probe))?;
        let tenant = &found.share.tenant;
        let cost = self
            .tenants
            .get(tenant)
            .and_then(|lanes| lanes.lanes.get(&found.resource))
            .and_then(|lane| lane.get(&found.sequence))
            .map_or(1, |item| item.work.cost);
        self.shares.charge(&found.share, cost, weight_of(tenant));
        self.remove(found.sequence, tenant, &found.resource)
    }

    fn ready_work(
        &self,
        now: ClockTime,
        share: &TenantShare,
        probe: &mut ReadyProbe<'_>,
    ) -> Option<ReadyWork> {
        let lanes = self.tenants.get(&share.tenant)?;
        for (&sequence, resource) in &lanes.heads {
            let item = lanes.lanes.get(resource)?.get(&sequence)?;
            if item.work.deadline > now && probe.ask(&item.work) {
                return Some(ReadyWork {
                    share: share.clone(),
                    sequence,
                    resource: resource.clone(),
                });
            }
        }
        None
    }
}
