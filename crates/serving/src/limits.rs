//! The limits of tenants at one host: which calls are charged, refused or refunded.

use crate::call::CallInfo;
use crate::hosts::HostTable;
use crate::tenants::TenantTable;
use crocusyard_base::prelude::*;
use crocusyard_quota::prelude::*;
use std::collections::BTreeMap;

/// Retry delay sent to callers while this host does not know the other hosts, which it learns from
/// the store or from their heartbeats.
pub(crate) const STARTING_RETRY_DELAY: ClockTime = ClockTime::from_ms(500);

/// Time for which the share of a host stays reserved after its row was removed without its leaving.
/// The rows of hosts that are cut off are removed after 30 s, while callers may still reach them.
const RESERVED_TIME: ClockTime = ClockTime::from_secs(600);

/// Why a call is not charged and must not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeRefusal {
    /// The tenant is over its limit.
    OverLimit(QuotaRefusal),
    /// This host does not know yet among which hosts the limit is divided.
    HostsUnknown,
}

/// Share that is kept for a host.
#[derive(Clone, Copy, Debug)]
struct ReservedShare {
    weight: f64,
    until: ClockTime,
}

/// Usage of a tenant over all hosts, with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedUsage {
    /// Name of the tenant.
    pub name: TenantName,
    /// Its usage.
    pub usage: TenantUsage,
}

/// Limits of all tenants, and the credit that this host knows of.
#[derive(Clone, Debug)]
pub struct TenantLimits {
    quota: QuotaState,
    /// Keys of the tenants with limits.
    keys: BTreeMap<TenantName, TenantKey>,
    hosts: Vec<QuotaHost>,
    reserved: BTreeMap<HostId, ReservedShare>,
}

impl TenantLimits {
    /// Creates the limits of a process that has just started. `process` has to rise from one
    /// process of a host to the next, and `seed` has to differ between processes.
    pub fn new(host: &HostName, process: u32, seed: u64, now: ClockTime) -> Self {
        let host = HostId::of(host.as_str());
        let config = QuotaConfig {
            host,
            process,
            seed,
        };
        Self {
            quota: QuotaState::new(config, now),
            keys: BTreeMap::new(),
            hosts: Vec::new(),
            reserved: BTreeMap::new(),
        }
    }

    /// Returns whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Sets the limits of the tenants in a new configuration.
    pub(crate) fn set_tenants(&mut self, tenants: Option<&TenantTable>, now: ClockTime) {
        let rules = tenants.into_iter().flat_map(TenantTable::rules);
        let limits: BTreeMap<TenantName, UsageLimit> = rules
            .filter_map(|rule| Some((rule.name.clone(), rule.limit?)))
            .collect();
        let key = |name: &TenantName| TenantKey::of(name.as_str());
        self.keys = limits
            .keys()
            .map(|name| (name.clone(), key(name)))
            .collect();
        let limits = limits.iter().map(|(name, limit)| (key(name), *limit));
        self.quota.set_limits(limits, now);
    }

    /// Sets the hosts among which the limits are divided: all known ones, live or not, and those
    /// whose rows were removed a short time ago although they had not left.
    pub fn set_hosts(&mut self, hosts: &HostTable, now: ClockTime) {
        let mut known = BTreeMap::new();
        for (name, weight, leaving) in hosts.weights() {
            let id = HostId::of(name.as_str());
            known.insert(id, weight);
            let reserve = ReservedShare {
                weight,
                until: now + RESERVED_TIME,
            };
            if leaving {
                self.reserved.remove(&id);
            } else {
                self.reserved.insert(id, reserve);
            }
        }
        self.reserved.retain(|_, share| now < share.until);
        for (id, share) in &self.reserved {
            known.entry(*id).or_insert(share.weight);
        }
        let hosts: Vec<QuotaHost> = known
            .into_iter()
            .map(|(id, weight)| QuotaHost { id, weight })
            .collect();
        if hosts != self.hosts {
            self.quota.set_hosts(&hosts, now);
            self.hosts = hosts;
        }
    }

    /// Records that a heartbeat of another host arrived.
    pub fn hear(&mut self, host: &HostName, now: ClockTime) {
        if self.has_limits() {
            self.quota.hear(HostId::of(host.as_str()), now);
        }
    }

    /// Applies the report of another host.
    pub fn receive(&mut self, report: &QuotaReport, now: ClockTime) {
        self.quota.receive(report, now);
    }

    /// Returns the report to all other hosts if one is due.
    pub fn report(&mut self, now: ClockTime) -> Option<QuotaReport> {
        self.quota.report(now)
    }

    /// Returns the usage of the tenants with limits, in the order of their names.
    pub fn usage(&mut self, now: ClockTime) -> Vec<NamedUsage> {
        let mut usages = Vec::new();
        for (name, key) in &self.keys {
            if let Some(usage) = self.quota.usage(*key, now) {
                let name = name.clone();
                usages.push(NamedUsage { name, usage });
            }
        }
        usages
    }

    fn key_of(&self, call: &CallInfo) -> Option<TenantKey> {
        let tenant = call.tenant.as_ref()?;
        self.keys.get(&tenant.name).copied()
    }

    /// Charges a call to its tenant; returns whether it was charged, or why it must not run. Calls without a tenant or a limit are not charged.
    pub(crate) fn charge(
        &mut self,
        call: &CallInfo,
        now: ClockTime,
    ) -> Result<bool, ChargeRefusal> {
        let Some(key) = self.key_of(call) else {
            return Ok(false);
        };
        if self.hosts.is_empty() {
            // Alone, this host would admit the whole limit.
            return Err(ChargeRefusal::HostsUnknown);
        }
        match self.quota.charge(key, call.cost, now) {
            QuotaDecision::Admit => Ok(true),
            QuotaDecision::Refuse(refusal) => Err(ChargeRefusal::OverLimit(refusal)),
        }
    }

    /// Takes back the charge of a call that has not run and never will.
    pub(crate) fn refund(&mut self, call: &CallInfo, now: ClockTime) {
        if let Some(key) = self.key_of(call) {
            self.quota.refund(key, call.cost, now);
        }
    }
}
