//! Recent usage of the tenants on all hosts, by which waiting calls of equal priority are ordered.
//!
//! A call uses slot time and prompt tokens. Each host charges the calls that it sends, decays the
//! usage over seconds, and reports the largest usages to the other hosts with its heartbeats.

use crate::peer_reports::PeerReports;
use crocusyard_admission::prelude::UsageTable;
use crocusyard_base::prelude::*;
use crocusyard_quota::prelude::TenantKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Time in which usage falls by half: longer than most calls, so that usage measures the share of
/// the slots, and short enough that a tenant is not held to a load that has ended.
const USAGE_HALF_LIFE: ClockTime = ClockTime::from_secs(4);
/// Cost of a prompt token, slot-ms. Prefill runs at about 39 tokens per ms and slows all of the 24
/// slots of an engine.
const PROMPT_TOKEN_COST: f64 = 0.6;
/// Largest number of tenants in a report. The tenants with the largest usage determine the order; the
/// usage of those left out is small.
const MAX_REPORTED: usize = 16;
/// Smallest usage that is reported, slot-ms; less than the time of one call.
const MIN_REPORTED: u64 = 64;
/// Steps of a reported usage within a factor of two; the error is below 5 %.
const LEVELS_PER_DOUBLING: f64 = 8.0;

/// Usage on a logarithmic scale, which takes one byte in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLevel(u8);

impl UsageLevel {
    /// Rounds a usage to the nearest level.
    pub fn of(usage: u64) -> Self {
        let level = (usage.max(1) as f64).log2() * LEVELS_PER_DOUBLING;
        Self(level.round().min(f64::from(u8::MAX)) as u8)
    }

    /// Returns the usage of the level, slot-ms.
    pub fn usage(self) -> u64 {
        (f64::from(self.0) / LEVELS_PER_DOUBLING).exp2() as u64
    }
}

/// Largest usages of tenants on one host.
pub type UsageReport = Vec<(TenantKey, UsageLevel)>;

/// Recent usage of tenants on this host and on the others.
#[derive(Clone, Debug)]
pub struct TenantShares {
    own: UsageTable,
    peers: PeerReports<UsageReport>,
    /// Usage on all other hosts, by tenant.
    others: HashMap<TenantKey, u64>,
    /// Mean usage of the tenants that have any worth a report.
    mean: f64,
    /// When the mean was determined.
    updated_at: ClockTime,
    /// When the last report of another host arrived.
    reported_at: ClockTime,
}

/// Figures by which the calls of a tenant are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantUsageView {
    /// Recent usage on all hosts, slot-ms.
    pub recent: u64,
    /// Mean of the recent usage of the tenants that have any, slot-ms.
    pub mean: u64,
    /// Age of the last report of another host.
    pub age: ClockTime,
}

impl TenantShares {
    /// Creates shares without any usage.
    pub fn new(now: ClockTime) -> Self {
        Self {
            own: UsageTable::with_half_life(USAGE_HALF_LIFE, now),
            peers: PeerReports::default(),
            others: HashMap::new(),
            mean: 0.0,
            updated_at: now,
            reported_at: now,
        }
    }

    /// Returns the cost of a call with a prompt of this size that runs for `run_time`.
    pub fn cost(run_time: ClockTime, prompt_tokens: u32) -> u64 {
        run_time.as_ms() + (f64::from(prompt_tokens) * PROMPT_TOKEN_COST) as u64
    }

    /// Charges a cost to a tenant.
    pub fn charge(&mut self, tenant: &TenantName, cost: u64, now: ClockTime) {
        self.own.record(tenant, cost, now);
    }

    /// Takes back a cost that was charged at `charged_at`.
    pub fn refund(&mut self, tenant: &TenantName, cost: u64, charged_at: ClockTime) {
        self.own.refund(tenant, cost, charged_at);
    }

    /// Returns the usage of a tenant on all hosts.
    pub fn usage(&self, tenant: &TenantName, now: ClockTime) -> u64 {
        let own = self.own.start(tenant, now);
        if self.others.is_empty() {
            return own;
        }
        let others = self.others.get(&TenantKey::of(tenant.as_str())).copied();
        own.saturating_add(others.unwrap_or(0))
    }

    /// Returns the figures by which the calls of a tenant are ordered.
    pub fn view(&self, tenant: &TenantName, now: ClockTime) -> TenantUsageView {
        TenantUsageView {
            recent: self.usage(tenant, now),
            mean: self.mean as u64,
            age: now.since(self.reported_at),
        }
    }

    /// Returns the weight of a waiting call where hosts divide free slots by their waiting calls. It
    /// falls with the usage beyond the mean. With the square of the usage, more slots stay unused than
    /// go to other tenants.
    pub fn weight(&self, tenant: &TenantName) -> f64 {
        let usage = self.usage(tenant, self.updated_at) as f64;
        if usage > self.mean {
            self.mean / usage
        } else {
            1.0
        }
    }

    /// Determines the mean usage of the tenants again.
    pub fn update_mean(&mut self, now: ClockTime) {
        let mut usages = self.others.clone();
        for (tenant, usage) in self.own.usages(now) {
            *usages.entry(TenantKey::of(tenant.as_str())).or_default() += usage;
        }
        let counted = usages.values().filter(|usage| **usage >= MIN_REPORTED);
        let (count, sum) = counted.fold((0_u32, 0.0), |(count, sum), usage| {
            (count + 1, sum + *usage as f64)
        });
        self.mean = sum / f64::from(count.max(1));
        self.updated_at = now;
    }

    /// Returns the largest usages on this host, to be sent to the other hosts.
    pub fn report(&self, now: ClockTime) -> UsageReport {
        let usages = self.own.usages(now);
        let mut usages: Vec<(u64, TenantKey)> = usages
            .filter(|(_, usage)| *usage >= MIN_REPORTED)
            .map(|(tenant, usage)| (usage, TenantKey::of(tenant.as_str())))
            .collect();
        usages.sort_unstable_by(|a, b| b.cmp(a));
        usages.truncate(MAX_REPORTED);
        let report = usages.into_iter();
        report
            .map(|(usage, key)| (key, UsageLevel::of(usage)))
            .collect()
    }

    /// Replaces the report of another host.
    pub fn update_peer(&mut self, host: &HostName, report: UsageReport, now: ClockTime) {
        for (key, level) in &report {
            *self.others.entry(*key).or_default() += level.usage();
        }
        self.reported_at = now;
        if let Some(old) = self.peers.update(host, report, now) {
            self.subtract(&old);
        }
    }

    /// Drops the reports of hosts that have been silent for `limit`.
    pub fn drop_silent(&mut self, limit: ClockTime, now: ClockTime) {
        for old in self.peers.drop_silent(limit, now) {
            self.subtract(&old);
        }
    }

    /// Subtracts an outdated report from the usage on other hosts.
    fn subtract(&mut self, old: &UsageReport) {
        for (key, level) in old {
            if let Some(usage) = self.others.get_mut(key) {
                *usage = usage.saturating_sub(level.usage());
                if *usage == 0 {
                    self.others.remove(key);
                }
            }
        }
    }
}
