//! Queue of one class, shared fairly between tenants.
//!
//! Each tenant has one first-in, first-out queue per resource, so that only the heads of these
//! queues need to be checked for readiness.

use crate::fair_share::{TenantUsage, UsageTable};
use crate::queue::QueuedWork;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Queued work with its time of arrival.
#[derive(Clone, Debug)]
pub(crate) struct QueueItem {
    pub(crate) work: QueuedWork,
    pub(crate) arrived_at: ClockTime,
}

/// Requests of one tenant in one class.
#[derive(Clone, Debug, Default)]
struct TenantQueue {
    /// Requests of each resource by sequence number, oldest first.
    by_resource: HashMap<Arc<str>, BTreeMap<u64, QueueItem>>,
    /// Resource of each queue in `by_resource`, by the sequence number of its oldest request.
    heads: BTreeMap<u64, Arc<str>>,
}

/// Readiness check that gives up on a resource after a few requests that are not ready.
pub(crate) struct ReadyProbe<'a> {
    ready: &'a mut dyn FnMut(&QueuedWork) -> bool,
    /// Number of requests of each resource that were not ready.
    refusals: HashMap<Arc<str>, u32>,
    /// Number of refusals from which a resource counts as blocked.
    max_refusals: u32,
}

impl<'a> ReadyProbe<'a> {
    pub(crate) fn new(ready: &'a mut dyn FnMut(&QueuedWork) -> bool, max_refusals: u32) -> Self {
        Self {
            ready,
            refusals: HashMap::new(),
            max_refusals,
        }
    }

    /// Returns whether the work is ready; false without a check if its resource counts as blocked.
    fn is_ready(&mut self, work: &QueuedWork) -> bool {
        if self
            .refusals
            .get(&work.resource)
            .is_some_and(|count| *count >= self.max_refusals)
        {
            return false;
        }
        if (self.ready)(work) {
            return true;
        }
        *self.refusals.entry(work.resource.clone()).or_insert(0) += 1;
        false
    }
}

/// Location of a ready request in a [`ClassQueue`].
struct ReadyWork {
    usage: TenantUsage,
    sequence: u64,
    resource: Arc<str>,
}

/// Queue of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    tenants: HashMap<TenantName, TenantQueue>,
    usage: UsageTable,
    /// Arrival times of all queued requests by sequence number.
    arrivals: BTreeMap<u64, ClockTime>,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns the arrival time of the oldest request.
    pub(crate) fn oldest_arrival(&self) -> Option<ClockTime> {
        self.arrivals.values().next().copied()
    }

    /// Queues a request behind those with a smaller sequence number.
    pub(crate) fn push(&mut self, sequence: u64, item: QueueItem) {
        let tenant = item.work.tenant.clone();
        let resource = item.work.resource.clone();
        self.arrivals.insert(sequence, item.arrived_at);
        if !self.tenants.contains_key(&tenant) {
            self.usage.activate(&tenant);
        }
        let tenant_queue = self.tenants.entry(tenant).or_default();
        let items = tenant_queue
            .by_resource
            .entry(resource.clone())
            .or_default();
        if items.is_empty() {
            tenant_queue.heads.insert(sequence, resource);
        }
        items.insert(sequence, item);
    }

    /// Removes a request and returns it if it was queued.
    pub(crate) fn remove(
        &mut self,
        sequence: u64,
        tenant: &TenantName,
        resource: &str,
    ) -> Option<QueueItem> {
        let tenant_queue = self.tenants.get_mut(tenant)?;
        let items = tenant_queue.by_resource.get_mut(resource)?;
        let was_head = items.keys().next() == Some(&sequence);
        let item = items.remove(&sequence)?;
        self.arrivals.remove(&sequence);
        if was_head {
            tenant_queue.heads.remove(&sequence);
            if let Some(&next) = items.keys().next() {
                tenant_queue.heads.insert(next, item.work.resource.clone());
            }
        }
        if items.is_empty() {
            tenant_queue.by_resource.remove(resource);
        }
        if tenant_queue.by_resource.is_empty() {
            self.tenants.remove(tenant);
            self.usage.deactivate(tenant);
        }
        Some(item)
    }

    /// Dequeues the first ready request of the ready tenant with the lowest usage, and charges its
    /// cost.
    pub(crate) fn pop_ready(
        &mut self,
        now: ClockTime,
        probe: &mut ReadyProbe<'_>,
        weight_of: &dyn Fn(&TenantName) -> u32,
    ) -> Option<QueueItem> {
        let found = self
            .usage
            .order()
            .find_map(|usage| self.find_ready(now, usage, probe))?;
        let tenant = &found.usage.tenant;
        let cost = self
            .tenants
            .get(tenant)
            .and_then(|tenant_queue| tenant_queue.by_resource.get(&found.resource))
            .and_then(|items| items.get(&found.sequence))
            .map_or(1, |item| item.work.cost);
        self.usage.charge(&found.usage, cost, weight_of(tenant));
        self.remove(found.sequence, tenant, &found.resource)
    }

    /// Returns the oldest ready request of a tenant whose deadline has not passed.
    fn find_ready(
        &self,
        now: ClockTime,
        usage: &TenantUsage,
        probe: &mut ReadyProbe<'_>,
    ) -> Option<ReadyWork> {
        let tenant_queue = self.tenants.get(&usage.tenant)?;
        for (&sequence, resource) in &tenant_queue.heads {
            let item = tenant_queue.by_resource.get(resource)?.get(&sequence)?;
            if item.work.deadline > now && probe.is_ready(&item.work) {
                return Some(ReadyWork {
                    usage: usage.clone(),
                    sequence,
                    resource: resource.clone(),
                });
            }
        }
        None
    }
}
