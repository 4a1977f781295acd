//! Admission queue of requests that wait for a target.
//!
//! Classes are served by priority with aging. The priority of a class rises by one level for each
//! aging time that its oldest request has waited, up to the best priority of the waiting classes.
//! In addition, one of every few dequeues goes first to a class whose oldest request has waited for
//! at least the aging time of the class, so that batch work progresses under any load of urgent
//! work. Within a class, tenants share by weight, by start-time fair queueing.

use crate::class_queue::{ClassQueue, QueueItem, ReadyProbe};
use crate::drain_rate::DrainTable;
use crate::tuning::AdmissionTuning;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Shortest retry hint; retries after a shorter wait would cost more than they gain.
const MIN_RETRY_AFTER: ClockTime = ClockTime::from_ms(100);
/// Longest retry hint, including the jitter.
const MAX_RETRY_AFTER: ClockTime = ClockTime::from_secs(30);
/// Steps of the jitter, which lengthens a hint by up to half so that refused callers do not return
/// together.
const RETRY_JITTER_STEPS: u64 = 16;
/// Retry hint at a tenant's limit until the interval between its ended requests is measured.
const DEFAULT_TENANT_RETRY: ClockTime = ClockTime::from_secs(1);
/// Weight of a new interval in the smoothed interval between a tenant's ended requests.
const ENDED_INTERVAL_SMOOTHING: f64 = 0.2;

/// Request that waits in the queue for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// Key of the request.
    pub key: RequestKey,
    /// Tenant that the request counts against.
    pub tenant: TenantName,
    /// Class that determines the priority of the request.
    pub class: ClassName,
    /// Model, adapter or service that the request needs; a blocked one does not hold up the others.
    pub resource: Arc<str>,
    /// Time at which the caller gives up.
    pub deadline: ClockTime,
    /// Cost in fair queueing, in tokens; 1 for a call to a service.
    pub cost: u32,
}

/// Reason for refusing work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant has reached its limit of requests in progress.
    TenantLimit,
    /// The queue of the class is full.
    QueueFull,
    /// The expected wait leaves too little time until the deadline.
    DeadlineUnreachable,
    /// The deadline has already passed.
    DeadlinePassed,
    /// The class or tenant is not declared.
    Unknown,
}

/// Refusal of offered work.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; `None` if a retry cannot help.
    pub retry_after: Option<ClockTime>,
}

/// State of one tenant.
#[derive(Clone, Debug, Default)]
struct TenantState {
    weight: u32,
    /// Limit of the requests in progress.
    limit: u32,
    declared: bool,
    /// Requests that are queued, or dispatched and not ended.
    in_progress: u32,
    /// Time at which a request of the tenant last ended.
    last_ended: Option<ClockTime>,
    /// Smoothed time between two ended requests.
    ended_interval_ms: Option<f64>,
}

/// State of one class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Declared priority; 0 is served first.
    priority: u8,
    /// Wait of the oldest request after which the priority rises by one level.
    aging_ms: u64,
    /// Limit of the queued requests.
    limit: u32,
    declared: bool,
    queue: ClassQueue,
    /// Number of the last aged dequeue that was served from this class.
    last_aged_dequeue: u64,
}

/// Position of a queued request, which is needed to remove it.
#[derive(Clone, Debug)]
struct QueuePosition {
    sequence: u64,
    class: ClassName,
    tenant: TenantName,
    resource: Arc<str>,
    deadline: ClockTime,
}

/// Queue of the requests that wait for a target on one host.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    tuning: AdmissionTuning,
    tenants: HashMap<TenantName, TenantState>,
    classes: BTreeMap<ClassName, ClassState>,
    /// Positions of the queued requests.
    positions: HashMap<RequestKey, QueuePosition>,
    /// Deadlines of the queued requests, earliest first.
    deadlines: BTreeSet<(ClockTime, RequestKey)>,
    /// Tenants of the requests that were dequeued and have not ended.
    dispatched: HashMap<RequestKey, TenantName>,
    drain_rates: DrainTable,
    next_sequence: u64,
    /// Number of requests dequeued so far.
    dequeues: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue with the default tuning.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty queue with the given tuning.
    pub fn with_tuning(tuning: AdmissionTuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Sets the declared tenants and classes.
    ///
    /// Queued work of a tenant or class that is no longer declared stays queued; new work is
    /// refused.
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
            .retain(|_, state| state.declared || state.queue.len() > 0);
    }

    /// Queues work or refuses it; `estimate` is the expected wait for a target.
    ///
    /// Work that was dequeued and has not ended may be offered again for a retry. It continues to
    /// count as in progress for its tenant, whether it is queued or refused.
    pub fn offer(
        &mut self,
        now: ClockTime,
        work: QueuedWork,
        estimate: ClockTime,
    ) -> Result<(), AdmissionRefusal> {
        self.check(now, &work, estimate)
            .map_err(|(reason, wait)| jittered_refusal(reason, wait, work.key))?;
        let Some(class) = self.classes.get_mut(&work.class) else {
            return Ok(());
        };
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = QueuePosition {
            sequence,
            class: work.class.clone(),
            tenant: work.tenant.clone(),
            resource: work.resource.clone(),
            deadline: work.deadline,
        };
        let is_retry = self.dispatched.remove(&work.key).is_some();
        if let Some(tenant) = self.tenants.get_mut(&work.tenant) {
            tenant.in_progress += u32::from(!is_retry);
        }
        let capacity = self.tuning.tracked_flows;
        self.drain_rates.record_queued(now, &work, capacity);
        self.deadlines.insert((work.deadline, work.key));
        self.positions.insert(work.key, position);
        let item = QueueItem {
            work,
            arrived_at: now,
        };
        class.queue.push(sequence, item);
        invariant!(
            class.queue.len() <= class.limit as usize,
            "class_queue_bounded",
            "a class has {} queued requests with a limit of {}",
            class.queue.len(),
            class.limit
        );
        Ok(())
    }

    /// Queues work that waits until its model is loaded, or refuses it.
    ///
    /// `load_time` is the shortest time until the model can run. Unless a limit refuses the work,
    /// it is refused only if the load does not end before the deadline. The fraction of the time to
    /// the deadline that work may spend in the queue does not apply, since the load time is
    /// declared and does not estimate a wait behind other work.
    pub fn offer_awaiting_load(
        &mut self,
        now: ClockTime,
        work: QueuedWork,
        load_time: ClockTime,
    ) -> Result<(), AdmissionRefusal> {
        let time_left = work.deadline.since(now);
        if load_time < time_left {
            return self.offer(now, work, ClockTime::ZERO);
        }
        self.check(now, &work, ClockTime::ZERO)
            .and(Err((RefusalReason::DeadlineUnreachable, Some(load_time))))
            .map_err(|(reason, wait)| jittered_refusal(reason, wait, work.key))
    }

    /// Checks whether work can be queued; otherwise returns the reason and the wait without jitter.
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
        let is_queued = self.positions.contains_key(&work.key);
        if !invariant!(
            !is_queued,
            "request_queued_once",
            "request {} is already queued",
            work.key
        ) {
            return Err((RefusalReason::Unknown, None));
        }
        if work.deadline <= now {
            return Err((RefusalReason::DeadlinePassed, None));
        }
        let is_retry = self.dispatched.contains_key(&work.key);
        if !is_retry && tenant.in_progress >= tenant.limit {
            let wait = tenant
                .ended_interval_ms
                .map_or(DEFAULT_TENANT_RETRY, |ms| ClockTime::from_ms(ms as u64));
            return Err((RefusalReason::TenantLimit, Some(wait)));
        }
        let wait = self.drain_rates.expected_wait(now, work).max(estimate);
        if class.queue.len() >= class.limit as usize {
            return Err((RefusalReason::QueueFull, Some(wait)));
        }
        let allowed = work.deadline.since(now).scale(self.tuning.deadline_share);
        if wait > allowed {
            return Err((RefusalReason::DeadlineUnreachable, Some(wait - allowed)));
        }
        Ok(())
    }

    /// Dequeues the next work for which `ready` returns true, and skips work whose resource is
    /// blocked.
    ///
    /// `ready` is called only for the oldest request of each tenant, class and resource. A resource
    /// for which it has returned false a few times is not checked again within the call.
    pub fn pop_ready(
        &mut self,
        now: ClockTime,
        ready: &mut dyn FnMut(&QueuedWork) -> bool,
    ) -> Option<QueuedWork> {
        let mut probe = ReadyProbe::new(ready, self.tuning.probes_per_resource);
        let tenants = &self.tenants;
        let weight_of = |name: &TenantName| tenants.get(name).map_or(1, |tenant| tenant.weight);
        let interval = u64::from(self.tuning.aging_interval);
        let is_aged_dequeue = self.dequeues % interval == interval - 1;
        let order = service_order(&self.classes, now, is_aged_dequeue);
        let item = order.into_iter().find_map(|name| {
            let class = self.classes.get_mut(&name)?;
            let item = class.queue.pop_ready(now, &mut probe, &weight_of)?;
            if is_aged_dequeue {
                class.last_aged_dequeue = self.dequeues;
            }
            Some(item)
        })?;
        self.dequeues += 1;
        let work = item.work;
        let in_time = invariant!(
            work.deadline > now,
            "no_expired_work_taken",
            "request {} was dequeued at its deadline {} or later",
            work.key,
            work.deadline
        );
        self.drain_rates.record_dequeued(now, &work);
        self.positions.remove(&work.key);
        self.deadlines.remove(&(work.deadline, work.key));
        self.dispatched.insert(work.key, work.tenant.clone());
        in_time.then_some(work)
    }

    /// Removes and returns queued work whose deadline has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<QueuedWork> {
        let mut expired = Vec::new();
        while let Some(&(deadline, key)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            match self.remove_queued(key) {
                Some(work) => expired.push(work),
                None => {
                    self.deadlines.pop_first();
                }
            }
        }
        expired
    }

    /// Removes work that its caller abandoned, and returns whether it was queued.
    pub fn remove(&mut self, key: RequestKey) -> bool {
        self.remove_queued(key).is_some()
    }

    /// Removes queued work, which then no longer counts as in progress.
    fn remove_queued(&mut self, key: RequestKey) -> Option<QueuedWork> {
        let position = self.positions.remove(&key)?;
        self.deadlines.remove(&(position.deadline, key));
        let class = self.classes.get_mut(&position.class)?;
        let item = class
            .queue
            .remove(position.sequence, &position.tenant, &position.resource)?;
        self.drain_rates.record_removed(&item.work);
        self.release(&position.tenant);
        Some(item.work)
    }

    /// Records that dequeued work has ended, so that it no longer counts as in progress for its
    /// tenant.
    pub fn record_ended(&mut self, now: ClockTime, work: &QueuedWork) {
        self.record_key_ended(now, work.key);
    }

    /// Records that the dequeued work with this key has ended; see [`Self::record_ended`].
    pub fn record_key_ended(&mut self, now: ClockTime, key: RequestKey) {
        let Some(tenant) = self.dispatched.remove(&key) else {
            return;
        };
        if let Some(state) = self.tenants.get_mut(&tenant) {
            if let Some(last_ended) = state.last_ended {
                let sample = now.since(last_ended).as_ms() as f64;
                let old = state.ended_interval_ms.unwrap_or(sample);
                state.ended_interval_ms = Some(old + ENDED_INTERVAL_SMOOTHING * (sample - old));
            }
            state.last_ended = Some(now);
        }
        self.release(&tenant);
    }

    /// Counts one request of a tenant as no longer in progress.
    fn release(&mut self, tenant: &TenantName) {
        let Some(state) = self.tenants.get_mut(tenant) else {
            return;
        };
        if invariant!(
            state.in_progress > 0,
            "tenant_places_balance",
            "a request of tenant {tenant} ended, but the tenant has no request in progress"
        ) {
            state.in_progress -= 1;
        }
        if !state.declared && state.in_progress == 0 {
            self.tenants.remove(tenant);
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of queued requests of each class that has queued requests.
    pub fn count_by_class(&self) -> BTreeMap<ClassName, usize> {
        let mut counts = BTreeMap::new();
        for position in self.positions.values() {
            *counts.entry(position.class.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of requests that were dequeued and have not ended.
    pub fn dispatched(&self) -> usize {
        self.dispatched.len()
    }

    /// Returns the number of flows and resources with a recorded drain rate.
    pub fn tracked_flows(&self) -> usize {
        self.drain_rates.len()
    }

    /// Returns the expected wait in the queue of work that is offered now.
    pub fn expected_wait(&self, now: ClockTime, work: &QueuedWork) -> ClockTime {
        self.drain_rates.expected_wait(now, work)
    }
}

/// Returns the classes with queued work in the order of service.
///
/// In an aged dequeue, the class whose last aged dequeue is longest ago goes first among the classes
/// that have waited for at least their aging time. Going by the longest wait instead would give
/// every aged dequeue to batch work, whose deadlines are far off and which therefore waits longest.
fn service_order(
    classes: &BTreeMap<ClassName, ClassState>,
    now: ClockTime,
    is_aged_dequeue: bool,
) -> Vec<ClassName> {
    let waiting = || classes.iter().filter(|(_, class)| class.queue.len() > 0);
    let Some(best) = waiting().map(|(_, class)| class.priority).min() else {
        return Vec::new();
    };
    let mut order: Vec<(u64, u8, &ClassName, &ClassState)> = waiting()
        .map(|(name, class)| {
            let waited_ms = class
                .queue
                .oldest_arrival()
                .map_or(0, |arrived_at| now.since(arrived_at).as_ms());
            let levels = waited_ms / class.aging_ms.max(1);
            let rank = u64::from(class.priority).saturating_sub(levels);
            (rank.max(u64::from(best)), class.priority, name, class)
        })
        .collect();
    order.sort_unstable_by_key(|&(rank, priority, name, _)| (rank, priority, name));
    if is_aged_dequeue {
        let aged = order
            .iter()
            .enumerate()
            .filter(|(_, (rank, priority, _, _))| *rank < u64::from(*priority))
            .min_by_key(|(_, (_, _, _, class))| class.last_aged_dequeue)
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

/// Makes a refusal whose retry hint is bounded and jittered.
fn jittered_refusal(
    reason: RefusalReason,
    wait: Option<ClockTime>,
    key: RequestKey,
) -> AdmissionRefusal {
    AdmissionRefusal {
        reason,
        retry_after: wait.map(|wait| jittered_retry(wait, key)),
    }
}

/// Bounds a retry hint and adds a jitter that depends on the request.
fn jittered_retry(wait: ClockTime, key: RequestKey) -> ClockTime {
    let factor = 1.0 + (key.0 % RETRY_JITTER_STEPS) as f64 / (2 * RETRY_JITTER_STEPS) as f64;
    wait.max(MIN_RETRY_AFTER).scale(factor).min(MAX_RETRY_AFTER)
}
