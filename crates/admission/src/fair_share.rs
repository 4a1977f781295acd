//! Fair sharing between the tenants of one class, by start-time fair queueing.
//!
//! The ready tenant with the lowest weighted usage is served first. A tenant keeps its usage while
//! it has nothing ready: a tenant with short queues often has no work for the resource that becomes
//! free, and would otherwise lose its share to a tenant whose queues are always full.

use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Usage units per unit of cost, which keep rounding errors of the division by a weight small.
const COST_SCALE: u64 = 1_024;

/// Usage of one tenant; the smallest value is served first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TenantUsage {
    /// Cost charged so far, divided by the weight of the tenant.
    weighted: u64,
    /// Number of the last charge; among tenants with equal usage, the one served longest ago is
    /// first.
    last_charge: u64,
    pub(crate) tenant: TenantName,
}

/// Usage of the tenants of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageTable {
    /// Tenants that have work, in the order of service.
    active: BTreeSet<TenantUsage>,
    /// Tenants without work whose usage is above the virtual time.
    idle: BTreeSet<TenantUsage>,
    /// Weighted usage and last charge of the tenants in both sets.
    usage: HashMap<TenantName, (u64, u64)>,
    /// Usage from which the last request was charged; it never falls.
    virtual_time: u64,
    charges: u64,
}

impl UsageTable {
    /// Adds a tenant that has work; one without recorded usage starts at the virtual time.
    pub(crate) fn activate(&mut self, tenant: &TenantName) {
        let start = (self.virtual_time, self.charges);
        let usage = self.usage.entry(tenant.clone()).or_insert(start);
        let entry = usage_of(tenant, *usage);
        self.idle.remove(&entry);
        self.active.insert(entry);
    }

    /// Removes a tenant that has no more work from the order of service.
    pub(crate) fn deactivate(&mut self, tenant: &TenantName) {
        let Some(&usage) = self.usage.get(tenant) else {
            return;
        };
        let entry = usage_of(tenant, usage);
        self.active.remove(&entry);
        self.idle.insert(entry);
        self.drop_expired();
    }

    /// Returns the tenants that have work, the one with the lowest usage first.
    pub(crate) fn order(&self) -> impl Iterator<Item = &TenantUsage> {
        self.active.iter()
    }

    /// Charges the cost of a request to a tenant that has work.
    ///
    /// A tenant below the virtual time is charged from the virtual time, so that a tenant that was
    /// blocked for long does not hold up the others afterwards.
    pub(crate) fn charge(&mut self, entry: &TenantUsage, cost: u32, weight: u32) {
        self.virtual_time = self.virtual_time.max(entry.weighted);
        let scaled = u64::from(cost.max(1)) * COST_SCALE;
        let weighted = self
            .virtual_time
            .saturating_add(scaled.div_ceil(u64::from(weight.max(1))));
        invariant!(
            weighted > entry.weighted,
            "tenant_usage_rises",
            "the usage of tenant {} did not rise: {} before a charge, {weighted} after it",
            entry.tenant,
            entry.weighted
        );
        self.charges += 1;
        let usage = (weighted, self.charges);
        self.active.remove(entry);
        self.usage.insert(entry.tenant.clone(), usage);
        self.active.insert(usage_of(&entry.tenant, usage));
        self.drop_expired();
    }

    /// Drops idle tenants whose usage is no longer above the virtual time, where they would start
    /// anyway.
    fn drop_expired(&mut self) {
        while let Some(entry) = self.idle.first() {
            if entry.weighted > self.virtual_time {
                return;
            }
            self.usage.remove(&entry.tenant);
            self.idle.pop_first();
        }
    }
}

fn usage_of(tenant: &TenantName, (weighted, last_charge): (u64, u64)) -> TenantUsage {
    TenantUsage {
        weighted,
        last_charge,
        tenant: tenant.clone(),
    }
}
