//! The queue of requests that wait for a target.
//!
//! Classes are served by priority. A waiting class rises with its age up to the best priority, and
//! every few takes the class that has waited longest for its aging time goes first, so that batch
//! work progresses under any load of urgent work. Within a class, tenants share by weight,
//! by start-time fair queueing.

use crate::class_queue::{ClassLanes, LaneItem, ReadyProbe};
use crate::drain_rate::FlowTable;
use crate::tuning::AdmissionTuning;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Shortest retry hint; a shorter one would cost more than it gains.
const RETRY_AFTER_MIN: ClockTime = ClockTime::from_ms(100);
/// Longest retry hint.
const RETRY_AFTER_MAX: ClockTime = ClockTime::from_secs(30);
/// Hints differ by up to half, in this many steps, so that refused callers do not return together.
const RETRY_STEPS: u64 = 16;
/// Hint at a tenant limit before any of the tenant's requests has ended.
const TENANT_RETRY: ClockTime = ClockTime::from_secs(1);
/// Weight of a new interval between a tenant's ended requests.
const ENDED_WEIGHT: f64 = 0.2;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// Request.
    pub key: RequestKey,
    /// Tenant.
    pub tenant: TenantName,
    /// Class.
    pub class: ClassName,
    /// Model, adapter or service; work for one that is blocked does not hold up the others.
    pub resource: Arc<str>,
    /// Point at which the caller gives up.
    pub deadline: ClockTime,
    /// Cost in fair queueing, tokens; 1 for a plain call.
    pub cost: u32,
}

/// Why work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant has too many requests in progress.
    TenantLimit,
    /// The queue of the class is full.
    QueueFull,
    /// The estimated wait exceeds the deadline.
    DeadlineUnreachable,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The class or tenant is not declared.
    Unknown,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Wait after which a retry can help.
    pub retry_after: Option<ClockTime>,
}

/// State of one tenant; its requests in progress are those queued and those taken but not ended.
#[derive(Clone, Debug, Default)]
struct TenantState {
    weight: u32,
    limit: u32,
    declared: bool,
    in_progress: u32,
    ended: Option<ClockTime>,
    ended_interval_ms: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct ClassState {
    priority: u8,
    aging_ms: u64,
    limit: u32,
    declared: bool,
    lanes: ClassLanes,
    /// Number of the last turn that the class got for its age.
    aged_turn: u64,
}

/// Where a queued request is.
#[derive(Clone, Debug)]
struct WorkPlace {
    sequence: u64,
    class: ClassName,
    tenant: TenantName,
    resource: Arc<str>,
    deadline: ClockTime,
}

/// Queue of one host.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    tuning: AdmissionTuning,
    tenants: HashMap<TenantName, TenantState>,
    classes: BTreeMap<ClassName, ClassState>,
    places: HashMap<RequestKey, WorkPlace>,
    deadlines: BTreeSet<(ClockTime, RequestKey)>,
    taken: HashMap<RequestKey, TenantName>,
    flows: FlowTable,
    next_sequence: u64,
    takes: u64,
}

impl AdmissionQueue {
    /// Makes an empty queue with the default tuning.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an empty queue.
    pub fn with_tuning(tuning: AdmissionTuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Sets the declared tenants and classes.
    ///
    /// Work of a tenant or class that is no longer declared stays queued; new work is refused.
    pub fn set_limits(&mut self, tenants: &[TenantSpec], classes: &[ClassSpec]) {
        for state in self.tenants.values_mut() {
            state.declared = false;
        }
        for spec in tenants {
            let state = self.tenants.entry(spec.name.clone()).or_default();
            state.weight = spec.weight.max(1);
            state.limit = spec.in_flight;
            state.declared = true;
        }
        self.tenants
            .retain(|_, state| state.declared || state.in_progress > 0);
        for state in self.classes.values_mut() {
            state.declared = false;
        }
        for spec in classes {
            let state = self.classes.entry(spec.name.clone()).or_default();
            state.priority = spec.priority;
            state.aging_ms = spec.aging_ms.max(1);
            state.limit = spec.queue_limit;
            state.declared = true;
        }
        self.classes
            .retain(|_, state| state.declared || state.lanes.len() > 0);
    }

    /// Queues work or refuses it; `estimate` is the expected wait for a target.
    ///
    /// Work that was taken and has not ended may be offered again, as for a retry; it keeps its
    /// tenant's place, whether it is queued or refused.
    pub fn offer(
        &mut self,
        now: ClockTime,
        work: QueuedWork,
        estimate: ClockTime,
    ) -> Result<(), AdmissionRefusal> {
        self.check(now, &work, estimate)
            .map_err(|(reason, wait)| refusal_of(reason, wait, work.key))?;
        let Some(class) = self.classes.get_mut(&work.class) else {
            return Ok(());
        };
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let place = WorkPlace {
            sequence,
            class: work.class.clone(),
            tenant: work.tenant.clone(),
            resource: work.resource.clone(),
            deadline: work.deadline,
        };
        let has_place = self.taken.remove(&work.key).is_some();
        if let Some(tenant) = self.tenants.get_mut(&work.tenant) {
            tenant.in_progress += u32::from(!has_place);
        }
        let remembered = self.tuning.tracked_flows;
        self.flows.add(now, &work, remembered);
        self.deadlines.insert((work.deadline, work.key));
        self.places.insert(work.key, place);
        let item = LaneItem { work, arrived: now };
        class.lanes.push(sequence, item);
        invariant!(
            class.lanes.len() <= class.limit as usize,
            "class_queue_bounded",
            "{} queued of {}",
            class.lanes.len(),
            class.limit
        );
        Ok(())
    }

    /// Queues work that waits for a load of its model, or refuses it; `load` is the least time of it.
    ///
    /// The work is refused only if the load ends after the deadline. The share of the deadline that
    /// may pass in the queue does not apply, since a load takes its declared time and is no estimate
    /// of a wait behind other work.
    pub fn offer_awaiting_load(
        &mut self,
        now: ClockTime,
        work: QueuedWork,
        load: ClockTime,
    ) -> Result<(), AdmissionRefusal> {
        let left = work.deadline.since(now);
        if load < left {
            return self.offer(now, work, ClockTime::ZERO);
        }
        self.check(now, &work, ClockTime::ZERO)
            .and(Err((RefusalReason::DeadlineUnreachable, Some(load))))
            .map_err(|(reason, wait)| refusal_of(reason, wait, work.key))
    }

    fn check(
        &self,
        now: ClockTime,
        work: &QueuedWork,
        estimate: ClockTime,
    ) -> Result<(), (RefusalReason, Option<ClockTime>)> {
        let tenant = self
            .tenants
            .get(&work.tenant)
            .filter(|tenant| tenant.declared);
        let class = self.classes.get(&work.class).filter(|class| class.declared);
        let (Some(tenant), Some(class)) = (tenant, class) else {
            return Err((RefusalReason::Unknown, None));
        };
        let queued = self.places.contains_key(&work.key);
        if !invariant!(!queued, "request_queued_once", "request {}", work.key) {
            return Err((RefusalReason::Unknown, None));
        }
        if work.deadline <= now {
            return Err((RefusalReason::DeadlinePassed, None));
        }
        let has_place = self.taken.contains_key(&work.key);
        if !has_place && tenant.in_progress >= tenant.limit {
            let wait = tenant
                .ended_interval_ms
                .map_or(TENANT_RETRY, |ms| ClockTime::from_ms(ms as u64));
            return Err((RefusalReason::TenantLimit, Some(wait)));
        }
        let wait = self.flows.wait(now, work).max(estimate);
        if class.lanes.len() >= class.limit as usize {
            return Err((RefusalReason::QueueFull, Some(wait)));
        }
        let allowed = work.deadline.since(now).scale(self.tuning.deadline_share);
        if wait > allowed {
            return Err((RefusalReason::DeadlineUnreachable, Some(wait - allowed)));
        }
        Ok(())
    }

    /// Takes the next work for which `ready` holds; work whose resource is not ready is passed over.
    ///
    /// Only the oldest request of each tenant, class and resource is asked about, and a resource
    /// that was refused a few times is not asked about again within the call.
    pub fn pop_ready(
        &mut self,
        now: ClockTime,
        ready: &mut dyn FnMut(&QueuedWork) -> bool,
    ) -> Option<QueuedWork> {
        let mut probe = ReadyProbe::new(ready, self.tuning.probes_per_resource);
        let tenants = &self.tenants;
        let weight_of = |name: &TenantName| tenants.get(name).map_or(1, |tenant| tenant.weight);
        let interval = u64::from(self.tuning.aging_interval);
        let aged_turn = self.takes % interval == interval - 1;
        let order = class_order(&self.classes, now, aged_turn);
        let item = order.into_iter().find_map(|name| {
            let class = self.classes.get_mut(&name)?;
            let item = class.lanes.take(now, &mut probe, &weight_of)?;
            if aged_turn {
                class.aged_turn = self.takes;
            }
            Some(item)
        })?;
        self.takes += 1;
        let work = item.work;
        let unexpired = invariant!(
            work.deadline > now,
            "no_expired_work_taken",
            "request {} deadline {}",
            work.key,
            work.deadline
        );
        self.flows.take(now, &work);
        self.places.remove(&work.key);
        self.deadlines.remove(&(work.deadline, work.key));
        self.taken.insert(work.key, work.tenant.clone());
        unexpired.then_some(work)
    }

    /// Takes work whose deadline has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<QueuedWork> {
        let mut expired = Vec::new();
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            match self.extract(key) {
                Some(work) => expired.push(work),
                None => {
                    self.deadlines.pop_first();
                }
            }
        }
        expired
    }

    /// Removes work that its caller abandoned; returns whether it was queued.
    pub fn remove(&mut self, key: RequestKey) -> bool {
        self.extract(key).is_some()
    }

    fn extract(&mut self, key: RequestKey) -> Option<QueuedWork> {
        let place = self.places.remove(&key)?;
        self.deadlines.remove(&(place.deadline, key));
        let class = self.classes.get_mut(&place.class)?;
        let item = class
            .lanes
            .remove(place.sequence, &place.tenant, &place.resource)?;
        self.flows.drop_one(&item.work);
        self.release(&place.tenant);
        Some(item.work)
    }

    /// Notes that admitted work has ended, which frees its tenant's place.
    pub fn record_ended(&mut self, now: ClockTime, work: &QueuedWork) {
        self.record_key_ended(now, work.key);
    }

    /// Notes that admitted work has ended, by its key.
    pub fn record_key_ended(&mut self, now: ClockTime, key: RequestKey) {
        let Some(tenant) = self.taken.remove(&key) else {
            return;
        };
        if let Some(state) = self.tenants.get_mut(&tenant) {
            if let Some(ended) = state.ended {
                let sample = now.since(ended).as_ms() as f64;
                let old = state.ended_interval_ms.unwrap_or(sample);
                state.ended_interval_ms = Some(old + ENDED_WEIGHT * (sample - old));
            }
            state.ended = Some(now);
        }
        self.release(&tenant);
    }

    fn release(&mut self, tenant: &TenantName) {
        let Some(state) = self.tenants.get_mut(tenant) else {
            return;
        };
        if invariant!(state.in_progress > 0, "tenant_places_balance", "{tenant}") {
            state.in_progress -= 1;
        }
        if !state.declared && state.in_progress == 0 {
            self.tenants.remove(tenant);
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of queued requests of each class that has any.
    pub fn count_by_class(&self) -> BTreeMap<ClassName, usize> {
        let mut counts = BTreeMap::new();
        for place in self.places.values() {
            *counts.entry(place.class.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of taken requests that have not ended.
    pub fn dispatched(&self) -> usize {
        self.taken.len()
    }

    /// Returns the number of lanes and resources whose drain rate is remembered.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the expected wait of work in the queue, were it offered now.
    pub fn expected_wait(&self, now: ClockTime, work: &QueuedWork) -> ClockTime {
        self.flows.wait(now, work)
    }
}

/// Returns the classes with queued work, first to be served first.
///
/// In an aged turn, the aged class whose last such turn is oldest goes first. Going by the longest
/// wait instead would give every such turn to batch work, which waits without a near deadline.
fn class_order(
    classes: &BTreeMap<ClassName, ClassState>,
    now: ClockTime,
    aged_turn: bool,
) -> Vec<ClassName> {
    let waiting = || classes.iter().filter(|(_, class)| class.lanes.len() > 0);
    let Some(best) = waiting().map(|(_, class)| class.priority).min() else {
        return Vec::new();
    };
    let mut order: Vec<(u64, u8, &ClassName, &ClassState)> = waiting()
        .map(|(name, class)| {
            let waited = class
                .lanes
                .oldest()
                .map_or(0, |arrived| now.since(arrived).as_ms());
            let levels = waited / class.aging_ms.max(1);
            let rank = u64::from(class.priority).saturating_sub(levels);
            (rank.max(u64::from(best)), class.priority, name, class)
        })
        .collect();
    order.sort_unstable_by_key(|&(rank, priority, name, _)| (rank, priority, name));
    if aged_turn {
        let aged = order
            .iter()
            .enumerate()
            .filter(|(_, (rank, priority, _, _))| *rank < u64::from(*priority))
            .min_by_key(|(_, (_, _, _, class))| class.aged_turn)
            .map(|(position, _)| position);
        if let Some(position) = aged {
            order[..=position].rotate_right(1);
        }
    }
    order
        .into_iter()
        .map(|(_, _, name, _)| name.clone())
        .collect()
}

fn refusal_of(reason: RefusalReason, wait: Option<ClockTime>, key: RequestKey) -> AdmissionRefusal {
    AdmissionRefusal {
        reason,
        retry_after: wait.map(|wait| spread_retry(wait, key)),
    }
}

/// Keeps a hint within its bounds and varies it by request.
fn spread_retry(wait: ClockTime, key: RequestKey) -> ClockTime {
    let factor = 1.0 + (key.0 % RETRY_STEPS) as f64 / (2 * RETRY_STEPS) as f64;
    wait.max(RETRY_AFTER_MIN).scale(factor).min(RETRY_AFTER_MAX)
}
