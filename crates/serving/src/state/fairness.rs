//! The order of waiting calls while there are tenants: priorities, fair shares and aging.
//!
//! Calls in time go before late ones, then the priority of the tenant counts, then that of the route.
//! Among equal calls for the same targets, the tenant with the least recent usage goes first. A call
//! that has waited long goes ahead of all of them if its tenant is neglected, whatever its priority,
//! so that each tenant gets a minimum of its calls served.

use super::{RequestState, ServingState};
use crate::call::{AttemptOutcome, CallInfo};
use crate::choose::NoTarget;
use crate::hashing::name_hash;
use crate::shares::TenantShares;
use crate::waiting::WaitingCall;
use crocusyard_admission::prelude::StartTags;
use crocusyard_base::prelude::*;
use std::collections::{HashMap, HashSet};

/// Fraction of the time until a call is late after which it counts as having waited long.
const AGED_FRACTION: f64 = 0.5;

/// Numbers that identify what a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WaitingGroup {
    /// Calls with the same number compete for the same targets.
    queue: u64,
    /// Calls with the same number also belong to the same tenant.
    group: u64,
}

impl WaitingGroup {
    pub(super) fn of(call: &CallInfo) -> Self {
        let tenant = call.tenant.as_ref().map(|tenant| tenant.name.as_str());
        let queue = name_hash(&(&call.service, call.model()));
        Self {
            queue,
            group: name_hash(&(queue, tenant)),
        }
    }
}

/// Sort key of a waiting call, the first one served first: priority and start tag.
type OrderKey = (bool, bool, u8, u8, u64, ClockTime, RequestKey);

/// Charge of an attempt to the usage of a tenant.
#[derive(Clone, Copy, Debug)]
pub(super) struct TenantCharge {
    cost: u64,
    at: ClockTime,
}

/// Priority of a call: that of its tenant, then that of its route.
pub(super) fn call_priority(call: &CallInfo) -> (u8, u8) {
    (call.tenant_priority(), call.route.priority)
}

fn is_late(waiting: &WaitingCall, now: ClockTime) -> bool {
    now > waiting.send_by
}

/// Returns whether a call in time has waited long enough to be promoted.
fn is_aged(waiting: &WaitingCall, now: ClockTime) -> bool {
    let slack = waiting.send_by.since(waiting.arrived);
    !is_late(waiting, now) && now.since(waiting.arrived) >= slack.scale(AGED_FRACTION)
}

impl ServingState {
    /// Returns the usage that the next call of a tenant starts from; calls without a tenant count as
    /// those of one tenant without usage.
    fn start_of(&self, call: &CallInfo, now: ClockTime) -> u64 {
        let tenant = call.tenant.as_ref();
        tenant.map_or(0, |tenant| self.shares.usage(&tenant.name, now))
    }

    /// Expected cost of a call in the usage of its tenant.
    fn expected_cost(&self, call: &CallInfo) -> u64 {
        TenantShares::cost(self.expected_run_time(call), call.prompt_tokens)
    }

    fn expected_run_time(&self, call: &CallInfo) -> ClockTime {
        ClockTime::from_ms(self.run_time(call) as u64)
    }

    /// Returns the waiting calls in the order in which they are served.
    pub(super) fn service_order(&self, now: ClockTime) -> Vec<RequestKey> {
        if !self.has_tenants() {
            return self.waiting.in_order(now);
        }
        let promoted = self.promoted_calls(now);
        let mut calls: Vec<(OrderKey, &RequestState)> = self
            .waiting
            .iter()
            .filter_map(|(key, waiting)| {
                let request = self.requests.get(&key)?;
                let (tenant, route) = call_priority(&request.call);
                let late = is_late(waiting, now);
                let first = !promoted.contains(&key);
                Some((
                    (first, late, tenant, route, 0, waiting.arrived, key),
                    request,
                ))
            })
            .collect();
        // Tags are given in the order in which the calls of one tenant are served.
        calls.sort_unstable_by_key(|(order, _)| *order);
        let mut tags = StartTags::default();
        let mut run_times: HashMap<u64, ClockTime> = HashMap::new();
        for (order, request) in &mut calls {
            let call = &request.call;
            let run_time = run_times
                .entry(request.group.queue)
                .or_insert_with(|| self.expected_run_time(call));
            let cost = TenantShares::cost(*run_time, call.prompt_tokens);
            let start = || self.start_of(call, now);
            order.4 = tags.take(request.group.group, start, cost);
        }
        calls.sort_unstable_by_key(|(order, _)| *order);
        calls.into_iter().map(|((.., key), _)| key).collect()
    }

    /// Returns, for each queue, the call to be promoted: the oldest one that has waited long of the
    /// tenant that is neglected most.
    fn promoted_calls(&self, now: ClockTime) -> HashSet<RequestKey> {
        let mut best: HashMap<u64, (f64, ClockTime, RequestKey)> = HashMap::new();
        for (key, waiting) in self.waiting.iter().filter(|(_, call)| is_aged(call, now)) {
            let Some(WaitingGroup { queue, group }) = self.requests.get(&key).map(|r| r.group)
            else {
                continue;
            };
            let Some(ratio) = self.served.neglected(queue, group) else {
                continue;
            };
            let found = (ratio, waiting.arrived, key);
            let entry = best.entry(queue).or_insert(found);
            if found < *entry {
                *entry = found;
            }
        }
        best.into_values().map(|(.., key)| key).collect()
    }

    /// Counts a call that has arrived, while there are tenants.
    pub(super) fn count_arrived(&mut self, key: RequestKey, now: ClockTime) {
        if !self.has_tenants() {
            return;
        }
        if let Some(request) = self.requests.get(&key) {
            let WaitingGroup { queue, group } = request.group;
            self.served.count_arrived(queue, group, now);
        }
    }

    /// Counts a call that is sent for the first time, while there are tenants.
    pub(super) fn count_first_send(&mut self, key: RequestKey, now: ClockTime) {
        if !self.has_tenants() {
            return;
        }
        let request = self.requests.get(&key);
        if let Some(request) = request.filter(|request| request.sends == 1) {
            let WaitingGroup { queue, group } = request.group;
            self.served.count_sent(queue, group, now);
        }
    }

    /// Returns whether a call that has just arrived has to let waiting calls for the same targets go
    /// first. Without tenants, calls for models do not.
    pub(super) fn goes_behind(&self, key: RequestKey, call: &CallInfo, now: ClockTime) -> bool {
        if !self.has_tenants() || self.waiting.contains(key) {
            return false;
        }
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let (group, priority) = (request.group, call_priority(call));
        let start = self.start_of(call, now);
        let mut starts: HashMap<u64, u64> = HashMap::new();
        self.waiting.iter().any(|(other, waiting)| {
            let Some(other) = self.requests.get(&other) else {
                return false;
            };
            // A call that waits for a load does not compete for the slots that are free now.
            let competes = other.group.queue == group.queue
                && other.waited_for == Some(NoTarget::AllFull)
                && !is_late(waiting, now);
            if !competes {
                return false;
            }
            let other_priority = call_priority(&other.call);
            if other_priority != priority {
                return other_priority < priority;
            }
            let other_start = starts
                .entry(other.group.group)
                .or_insert_with(|| self.start_of(&other.call, now));
            *other_start <= start
        })
    }

    /// Returns the number of waiting calls that are served before a new one, as far as their
    /// priorities and the usage of their tenants tell.
    pub(super) fn count_ahead(&self, call: &CallInfo, now: ClockTime) -> usize {
        if !self.has_tenants() {
            return self
                .waiting_calls()
                .filter(|other| {
                    other.same_queue(call) && other.route.priority <= call.route.priority
                })
                .count();
        }
        let group = WaitingGroup::of(call);
        let (priority, cost) = (call_priority(call), self.expected_cost(call).max(1));
        let mut ahead = 0;
        let mut own = 0;
        // Calls of equal priority by tenant, with the usage that the tenant's calls start from.
        let mut others: HashMap<u64, (u64, u64)> = HashMap::new();
        let waiting = self
            .waiting
            .keys()
            .filter_map(|key| self.requests.get(&key));
        for other in waiting.filter(|other| other.group.queue == group.queue) {
            let other_priority = call_priority(&other.call);
            if other_priority < priority {
                ahead += 1;
            } else if other_priority == priority && other.group == group {
                own += 1;
            } else if other_priority == priority {
                let start = || (self.start_of(&other.call, now), 0);
                others.entry(other.group.group).or_insert_with(start).1 += 1;
            }
        }
        let tag = self.start_of(call, now).saturating_add(own * cost);
        for (start, count) in others.into_values() {
            if start <= tag {
                ahead += count.min((tag - start) / cost + 1);
            }
        }
        usize::try_from(ahead + own).unwrap_or(usize::MAX)
    }

    /// Estimates the time until a new call is promoted and sent, if calls for the same targets are
    /// sent at this interval; `None` if its tenant is not neglected.
    pub(super) fn estimate_promotion(
        &self,
        call: &CallInfo,
        interval_ms: f64,
        now: ClockTime,
    ) -> Option<ClockTime> {
        if !self.has_tenants() {
            return None;
        }
        let WaitingGroup { queue, group } = WaitingGroup::of(call);
        self.served.neglected(queue, group)?;
        let competes = |key: &RequestKey| {
            let request = self.requests.get(key);
            request.is_some_and(|request| request.group.group == group)
        };
        let ahead = self
            .waiting
            .iter()
            .filter(|(key, waiting)| !is_late(waiting, now) && competes(key));
        let slack = call
            .route
            .latency_objective
            .since(self.time_to_answer(call));
        let wait = ClockTime::from_ms(((ahead.count() + 1) as f64 * interval_ms) as u64);
        Some(slack.scale(AGED_FRACTION) + wait)
    }

    /// Returns the waiting calls for each model, weighted by the usage of their tenants.
    pub(super) fn waiting_weights(&self) -> Vec<(&ServiceName, &ModelName, u16)> {
        let mut sums: HashMap<(&ServiceName, &ModelName), f64> = HashMap::new();
        let mut weights: HashMap<u64, f64> = HashMap::new();
        let waiting = self
            .waiting
            .keys()
            .filter_map(|key| self.requests.get(&key));
        for request in waiting {
            if let Some(model) = request.call.model() {
                let weight = weights
                    .entry(request.group.group)
                    .or_insert_with(|| self.weight_of(&request.call));
                *sums.entry((&request.call.service, model)).or_default() += *weight;
            }
        }
        let rounded = |weight: f64| weight.ceil().min(f64::from(u16::MAX)) as u16;
        sums.into_iter()
            .map(|((service, model), weight)| (service, model, rounded(weight)))
            .collect()
    }

    /// Returns whether a call may take a slot although calls at other hosts wait for it as well,
    /// since its tenant has used less than the mean.
    pub(super) fn precedes_other_hosts(&self, call: &CallInfo) -> bool {
        self.has_tenants() && call.tenant.is_some() && self.weight_of(call) >= 1.0
    }

    fn weight_of(&self, call: &CallInfo) -> f64 {
        let tenant = call.tenant.as_ref();
        tenant.map_or(1.0, |tenant| self.shares.weight(&tenant.name))
    }

    /// Returns the number of calls that wait for the same targets as a call, weighted by the usage of
    /// their tenants if there are any.
    pub(super) fn count_waiting(&self, call: &CallInfo) -> u32 {
        if !self.has_tenants() {
            let others = self.waiting_calls().filter(|other| other.same_queue(call));
            return u32::try_from(others.count()).unwrap_or(u32::MAX);
        }
        let queue = WaitingGroup::of(call).queue;
        let mut weights: HashMap<u64, f64> = HashMap::new();
        let waiting = self
            .waiting
            .keys()
            .filter_map(|key| self.requests.get(&key));
        let sum: f64 = waiting
            .filter(|request| request.group.queue == queue)
            .map(|request| {
                *weights
                    .entry(request.group.group)
                    .or_insert_with(|| self.weight_of(&request.call))
            })
            .sum();
        sum.ceil() as u32
    }

    /// Charges an attempt that begins to the tenant of the call.
    pub(super) fn charge_attempt(&mut self, key: RequestKey, now: ClockTime) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let call = request.call.clone();
        let Some(tenant) = &call.tenant else {
            return;
        };
        let cost = self.expected_cost(&call);
        self.shares.charge(&tenant.name, cost, now);
        if let Some(request) = self.requests.get_mut(&key) {
            request.charge = Some(TenantCharge { cost, at: now });
        }
    }

    /// Corrects the charge of an attempt that has ended. `outcome` is `None` if the caller left.
    pub(super) fn settle_attempt(
        &mut self,
        key: RequestKey,
        outcome: Option<AttemptOutcome>,
        now: ClockTime,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(charge) = request.charge.take() else {
            return;
        };
        let call = request.call.clone();
        let Some(tenant) = &call.tenant else {
            return;
        };
        let has_not_run = matches!(
            outcome,
            Some(AttemptOutcome::NotRun { .. } | AttemptOutcome::Unsent | AttemptOutcome::NoSlot)
        );
        let cost = if has_not_run {
            0
        } else {
            TenantShares::cost(now.since(charge.at), call.prompt_tokens)
        };
        if cost > charge.cost {
            self.shares.charge(&tenant.name, cost - charge.cost, now);
        } else {
            self.shares
                .refund(&tenant.name, charge.cost - cost, charge.at);
        }
    }
}
