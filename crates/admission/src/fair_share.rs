//! Shares of the tenants of one class, by start-time fair queueing.
//!
//! The ready tenant that has used least for its weight goes first. Usage is kept while a tenant has
//! nothing ready: a tenant with short queues often has no work for the resource that falls free, and
//! would otherwise lose its turn to a tenant whose queues are always full.

use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Usage units of one unit of cost, so that a division by a weight loses little.
const COST_SCALE: u64 = 1_024;

/// A tenant's place in the order of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TenantShare {
    /// Cost used, divided by the weight.
    used: u64,
    /// Number of the last charge; of tenants with equal usage, the one served longest ago is first.
    charged: u64,
    pub(crate) tenant: TenantName,
}

/// Usage of the tenants of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareTable {
    /// Tenants that have work, in the order of service.
    active: BTreeSet<TenantShare>,
    /// Tenants without work that have used more than the level.
    idle: BTreeSet<TenantShare>,
    /// Usage and last charge of the tenants in both sets.
    usage: HashMap<TenantName, (u64, u64)>,
    /// Usage from which requests were last charged; rises only.
    level: u64,
    charges: u64,
}

impl ShareTable {
    /// Adds a tenant that has work; one that is not remembered starts at the level.
    pub(crate) fn activate(&mut self, tenant: &TenantName) {
        let start = (self.level, self.charges);
        let usage = self.usage.entry(tenant.clone()).or_insert(start);
        let share = share_of(tenant, *usage);
        self.idle.remove(&share);
        self.active.insert(share);
    }

    /// Leaves out a tenant that has no more work.
    pub(crate) fn deactivate(&mut self, tenant: &TenantName) {
        let Some(&usage) = self.usage.get(tenant) else {
            return;
        };
        let share = share_of(tenant, usage);
        self.active.remove(&share);
        self.idle.insert(share);
        self.forget();
    }

    /// Returns the tenants that have work, the one that has used least first.
    pub(crate) fn order(&self) -> impl Iterator<Item = &TenantShare> {
        self.active.iter()
    }

    /// Charges a request to a tenant that has work.
    ///
    /// A tenant below the level is charged from the level, so that one that was blocked for long
    /// does not hold up the others afterwards.
    pub(crate) fn charge(&mut self, share: &TenantShare, cost: u32, weight: u32) {
        self.level = self.level.max(share.used);
        let scaled = u64::from(cost.max(1)) * COST_SCALE;
        let used = self
            .level
            .saturating_add(scaled.div_ceil(u64::from(weight.max(1))));
        invariant!(
            used > share.used,
            "tenant_usage_rises",
            "{} used {} then {used}",
            share.tenant,
            share.used
        );
        self.charges += 1;
        let usage = (used, self.charges);
        self.active.remove(share);
        self.usage.insert(share.tenant.clone(), usage);
        self.active.insert(share_of(&share.tenant, usage));
        self.forget();
    }

    /// Forgets idle tenants that would start at the level anyway.
    fn forget(&mut self) {
        while let Some(share) = self.idle.first() {
            if share.used > self.level {
                return;
            }
            self.usage.remove(&share.tenant);
            self.idle.pop_first();
        }
    }
}

fn share_of(tenant: &TenantName, (used, charged): (u64, u64)) -> TenantShare {
    TenantShare {
        used,
        charged,
        tenant: tenant.clone(),
    }
}
