//! The reducer: which calls of tenants with limits a host admits, and what it reports.

use crate::hosts::{HostWeights, QuotaHost};
use crate::limit::UsageLimit;
use crate::report::{HostId, QuotaReport, TenantKey};
use crate::tenant::{FleetView, TenantState, UsageCounters};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use rand::Rng;
use std::collections::HashMap;

/// Bytes per second of reports that a host receives at most, with up to `BUDGET_HOSTS` hosts. Other
/// messages take more bytes with more hosts.
const RECEIVED_BYTES_PER_S: f64 = 4_500.0;
const BUDGET_HOSTS: f64 = 90.0;
/// Smallest value of that number.
const MIN_RECEIVED_BYTES_PER_S: f64 = 1_100.0;
/// Size of a report without entries, with the headers of its datagram, and of an entry, bytes.
const REPORT_BYTES: f64 = 43.0;
const ENTRY_BYTES: f64 = 19.0;
/// Shortest and longest interval between two reports of a host.
const MIN_INTERVAL: ClockTime = ClockTime::from_ms(100);
const MAX_INTERVAL: ClockTime = ClockTime::from_secs(4);
/// Interval at which the interval between reports is adapted to the received bytes.
const ADAPT_INTERVAL: ClockTime = ClockTime::from_ms(250);
/// Factors by which the interval between reports grows and shrinks.
const GROWTH: f64 = 1.25;
const SHRINKAGE: f64 = 0.85;
/// Urgency from which on a report is sent before its interval is over: the host has admitted more
/// than the others may be left to guess.
const URGENT: f64 = 2.0;
/// Largest number of tenants in a report.
const MAX_ENTRIES: usize = 32;

/// Identity of a process.
#[derive(Clone, Copy, Debug)]
pub struct QuotaConfig {
    /// Key of the host.
    pub host: HostId,
    /// Incarnation of the process; it rises with each start.
    pub process: u32,
    /// Seed of the random offsets; it differs between processes.
    pub seed: u64,
}

/// Decision about a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The call is within the limit and was charged.
    Admit,
    /// The call is over the limit and must not run.
    Refuse(QuotaRefusal),
}

/// Refusal of a call, with the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which the tenant's credit allows the call.
    pub retry_after: ClockTime,
    /// Credit of the tenant over all hosts, as estimated.
    pub credit: f64,
    /// Age of the oldest figure of another host behind the decision.
    pub oldest_figure: ClockTime,
}

/// Usage of a tenant, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantUsage {
    /// Tenant that the figures belong to.
    pub tenant: TenantKey,
    /// Credit of the tenant over all hosts, as estimated.
    pub credit: f64,
    /// Usage per second of all hosts.
    pub usage_per_s: f64,
    /// Usage of all hosts since their processes started.
    pub total: u64,
}

/// State of the limits of all tenants at one host.
#[derive(Clone, Debug)]
pub struct QuotaState {
    config: QuotaConfig,
    hosts: HostWeights,
    tenants: HashMap<TenantKey, TenantState>,
    /// Counters of tenants that have no limit any more. Other hosts may have skipped the versions
    /// without it, and ignore counters that fall.
    retired: HashMap<TenantKey, UsageCounters>,
    rng: SeededRng,
    /// Interval between reports of this host.
    interval: ClockTime,
    reported_at: Option<ClockTime>,
    received_bytes: f64,
    adapted_at: ClockTime,
}

impl QuotaState {
    /// Creates the state of a process that has just started, without credit.
    pub fn new(config: QuotaConfig, now: ClockTime) -> Self {
        Self {
            config,
            hosts: HostWeights::new(config.host, now),
            tenants: HashMap::new(),
            retired: HashMap::new(),
            rng: seeded_rng(config.seed),
            interval: MIN_INTERVAL,
            reported_at: None,
            received_bytes: 0.0,
            adapted_at: now,
        }
    }

    /// Returns whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Sets the known hosts, live or not, this one included.
    pub fn set_hosts(&mut self, hosts: &[QuotaHost], now: ClockTime) {
        self.hosts.set(hosts, now);
        let hosts = &self.hosts;
        for state in self.tenants.values_mut() {
            state.retain_hosts(|host| hosts.is_known(host));
        }
    }

    /// Sets the limits of all tenants that have one.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (TenantKey, UsageLimit)>,
        now: ClockTime,
    ) {
        let view = self.view(now);
        let mut old = std::mem::take(&mut self.tenants);
        for (key, limit) in limits {
            let mut state = old.remove(&key).unwrap_or_else(|| {
                let counters = self.retired.remove(&key).unwrap_or_default();
                TenantState::new(limit, counters, view)
            });
            if state.limit != limit {
                state.set_limit(limit, view);
            }
            self.tenants.insert(key, state);
        }
        let retired = old.iter().map(|(key, state)| (*key, state.counters));
        self.retired.extend(retired);
    }

    fn view(&mut self, now: ClockTime) -> FleetView {
        FleetView {
            now,
            hosts: self.hosts.count(),
            heard_s: self.hosts.heard_seconds(now),
            own_share: self.hosts.own_share(),
            fresh: self.hosts.fresh_share(now),
            random: self.rng.random(),
        }
    }

    /// Decides about a call and charges it if it is admitted. Tenants without a limit are admitted.
    pub fn charge(&mut self, tenant: TenantKey, cost: u64, now: ClockTime) -> QuotaDecision {
        let view = self.view(now);
        let Some(state) = self.tenants.get_mut(&tenant) else {
            return QuotaDecision::Admit;
        };
        match state.charge(cost, view) {
            Ok(()) => QuotaDecision::Admit,
            Err(retry_after) => QuotaDecision::Refuse(QuotaRefusal {
                retry_after,
                credit: state.settle(view).usable,
                oldest_figure: state.oldest_age(now),
            }),
        }
    }

    /// Takes back the charge of a call that has not run and never will.
    pub fn refund(&mut self, tenant: TenantKey, cost: u64, now: ClockTime) {
        let view = self.view(now);
        if let Some(state) = self.tenants.get_mut(&tenant) {
            state.refund(cost, view);
        }
    }

    /// Records that any message of another host arrived.
    pub fn hear(&mut self, host: HostId, now: ClockTime) {
        self.hosts.hear(host, now);
    }

    /// Applies the report of another host.
    pub fn receive(&mut self, report: &QuotaReport, now: ClockTime) {
        self.received_bytes += REPORT_BYTES + ENTRY_BYTES * report.entries.len() as f64;
        if !self.hosts.is_known(report.host) {
            return;
        }
        self.hosts.hear(report.host, now);
        let view = self.view(now);
        for entry in &report.entries {
            if let Some(state) = self.tenants.get_mut(&entry.tenant) {
                state.receive(report.host, report.process, entry, view);
            }
        }
    }

    /// Returns the report to all other hosts if one is due.
    pub fn report(&mut self, now: ClockTime) -> Option<QuotaReport> {
        self.adapt(now);
        let elapsed = self.reported_at.map(|at| now.since(at));
        if self.hosts.count() == 1 || elapsed.is_some_and(|elapsed| elapsed < MIN_INTERVAL) {
            return None;
        }
        let least = if elapsed.is_some_and(|elapsed| elapsed < self.interval) {
            URGENT
        } else {
            1.0
        };
        let view = self.view(now);
        let mut due: Vec<(f64, TenantKey)> = self
            .tenants
            .iter()
            .map(|(key, state)| (state.urgency(view), *key))
            .filter(|(urgency, _)| *urgency >= least)
            .collect();
        if due.is_empty() {
            return None;
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        due.truncate(MAX_ENTRIES);
        self.reported_at = Some(now);
        let entries = due.iter().filter_map(|(_, key)| {
            let state = self.tenants.get_mut(key)?;
            Some(state.report(*key, now))
        });
        Some(QuotaReport {
            host: self.config.host,
            process: self.config.process,
            entries: entries.collect(),
        })
    }

    /// Adapts the interval between reports, so that the reports of all hosts together stay within
    /// the budget. All hosts receive about the same reports.
    fn adapt(&mut self, now: ClockTime) {
        let elapsed = now.since(self.adapted_at);
        if elapsed < ADAPT_INTERVAL {
            return;
        }
        let per_s = self.received_bytes / (elapsed.as_ms() as f64 / 1_000.0);
        let factor = (self.hosts.count() as f64 / BUDGET_HOSTS).max(1.0);
        let budget = (RECEIVED_BYTES_PER_S / factor).max(MIN_RECEIVED_BYTES_PER_S);
        let change = if per_s > budget { GROWTH } else { SHRINKAGE };
        let interval = self.interval.scale(change);
        self.interval = interval.max(MIN_INTERVAL).min(MAX_INTERVAL);
        self.received_bytes = 0.0;
        self.adapted_at = now;
    }

    /// Returns the usage of a tenant over all hosts, or `None` if it has no limit.
    pub fn usage(&mut self, tenant: TenantKey, now: ClockTime) -> Option<TenantUsage> {
        let view = self.view(now);
        let state = self.tenants.get_mut(&tenant)?;
        Some(TenantUsage {
            tenant,
            credit: state.settle(view).usable,
            usage_per_s: state.usage_per_s(now),
            total: state.total_usage(),
        })
    }
}
