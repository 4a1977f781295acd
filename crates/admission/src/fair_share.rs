//! Fair sharing between the tenants of one class, by start-time fair queueing.
//!
//! The ready tenant with the lowest weighted usage is served first. A tenant keeps its usage while
//! it has nothing ready: a tenant with short queues often has no work for the resource that becomes
//! free, and would otherwise lose its share to a tenant whose queues are always full.

//!
//! Usage is forgotten in one of two ways. By default, a tenant without work whose usage is not above
//! the virtual time, which rises with each charge, starts from there again. With a half-life, usage
//! decays with time instead, so that usage on several hosts can be added up.

use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Usage units per unit of cost, which keep rounding errors of the division by a weight small.
const COST_SCALE: u64 = 1_024;

/// Half-lives after which decaying usage is brought to a new scale. The scale rises by 2 to the power
/// of this number until then, which leaves 2^34 units of cost before a usage saturates.
const RESCALE_HALF_LIVES: f64 = 20.0;

/// Usage of one tenant; the smallest value is served first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantUsage {
    /// Cost charged so far, divided by the weight of the tenant.
    weighted: u64,
    /// Number of the last charge; among tenants with equal usage, the one served longest ago is
    /// first.
    last_charge: u64,
    /// Name of the tenant.
    pub tenant: TenantName,
}

/// Usage of the tenants of one class.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    /// Tenants that have work, in the order of service.
    active: BTreeSet<TenantUsage>,
    /// Tenants without work whose usage is above the virtual time.
    idle: BTreeSet<TenantUsage>,
    /// Weighted usage and last charge of the tenants in both sets.
    usage: HashMap<TenantName, (u64, u64)>,
    /// Usage from which the last request was charged; it never falls.
    virtual_time: u64,
    charges: u64,
    /// How usage decays; `None` if it does not.
    decay: Option<UsageDecay>,
}

/// Decay of usage with time. Instead of all usages falling, the scale of new charges rises, so that
/// the order of service stays as it is.
#[derive(Clone, Copy, Debug)]
struct UsageDecay {
    half_life: ClockTime,
    /// Time at which the scale was 1.
    origin: ClockTime,
}

impl UsageDecay {
    fn scale(&self, at: ClockTime) -> f64 {
        let elapsed_ms = at.as_ms() as f64 - self.origin.as_ms() as f64;
        (elapsed_ms / self.half_life.as_ms().max(1) as f64).exp2()
    }
}

impl UsageTable {
    /// Creates a table whose usage falls by half in each `half_life`.
    pub fn with_half_life(half_life: ClockTime, now: ClockTime) -> Self {
        Self {
            decay: Some(UsageDecay {
                half_life,
                origin: now,
            }),
            ..Self::default()
        }
    }

    /// Returns the cost that a tenant, whether it has work or not, would be charged from at `now`, in
    /// units of cost.
    pub fn start(&self, tenant: &TenantName, now: ClockTime) -> u64 {
        let (weighted, _) = self.usage.get(tenant).copied().unwrap_or_default();
        self.unscaled(weighted.max(self.virtual_time), now)
    }

    /// Returns the usage of all tenants that have any at `now`, in units of cost.
    pub fn usages(&self, now: ClockTime) -> impl Iterator<Item = (&TenantName, u64)> {
        self.usage
            .iter()
            .map(move |(tenant, (weighted, _))| (tenant, self.unscaled(*weighted, now)))
    }

    /// Charges a cost to a tenant, whether it has work or not.
    pub fn record(&mut self, tenant: &TenantName, cost: u64, now: ClockTime) {
        self.rescale(now);
        let start = self.usage.get(tenant).map_or(0, |(weighted, _)| *weighted);
        let start = start.max(self.virtual_time);
        self.charges += 1;
        let usage = (start.saturating_add(self.scaled(cost, now)), self.charges);
        self.replace(tenant, usage);
    }

    /// Takes back a cost that was charged at `charged_at`.
    pub fn refund(&mut self, tenant: &TenantName, cost: u64, charged_at: ClockTime) {
        let scaled = self.scaled(cost, charged_at);
        if let Some((weighted, charge)) = self.usage.get(tenant).copied() {
            let left = weighted.saturating_sub(scaled).max(self.virtual_time);
            self.replace(tenant, (left, charge));
        }
    }

    /// Sets the usage of a tenant, which stays in the order of service if it has work.
    fn replace(&mut self, tenant: &TenantName, usage: (u64, u64)) {
        let mut is_active = false;
        if let Some(old) = self.usage.insert(tenant.clone(), usage) {
            let old = usage_of(tenant, old);
            is_active = self.active.remove(&old);
            self.idle.remove(&old);
        }
        let set = if is_active {
            &mut self.active
        } else {
            &mut self.idle
        };
        set.insert(usage_of(tenant, usage));
    }

    /// Returns a cost as it is added to usages at `now`.
    fn scaled(&self, cost: u64, now: ClockTime) -> u64 {
        let scaled = cost.saturating_mul(COST_SCALE);
        match &self.decay {
            Some(decay) => (scaled as f64 * decay.scale(now)) as u64,
            None => scaled,
        }
    }

    /// Returns a usage in units of cost at `now`.
    fn unscaled(&self, weighted: u64, now: ClockTime) -> u64 {
        match &self.decay {
            Some(decay) => (weighted as f64 / decay.scale(now)) as u64 / COST_SCALE,
            None => weighted / COST_SCALE,
        }
    }

    /// Brings all usages to a scale of 1 if it has become large, and drops those that have decayed.
    fn rescale(&mut self, now: ClockTime) {
        let Some(decay) = self.decay else {
            return;
        };
        let scale = decay.scale(now);
        if scale < RESCALE_HALF_LIVES.exp2() {
            return;
        }
        self.decay = Some(UsageDecay {
            origin: now,
            ..decay
        });
        let active: Vec<TenantName> = self
            .active
            .iter()
            .map(|entry| entry.tenant.clone())
            .collect();
        self.active.clear();
        self.idle.clear();
        for (weighted, _) in self.usage.values_mut() {
            *weighted = (*weighted as f64 / scale) as u64;
        }
        for tenant in &active {
            if let Some(usage) = self.usage.get(tenant) {
                self.active.insert(usage_of(tenant, *usage));
            }
        }
        let (entries, set) = (&self.usage, &self.active);
        let idle: Vec<TenantUsage> = entries
            .iter()
            .map(|(tenant, usage)| usage_of(tenant, *usage))
            .filter(|entry| !set.contains(entry))
            .collect();
        for entry in idle {
            if entry.weighted < COST_SCALE {
                self.usage.remove(&entry.tenant);
            } else {
                self.idle.insert(entry);
            }
        }
    }

    /// Adds a tenant that has work; one without recorded usage starts at the virtual time.
    pub fn activate(&mut self, tenant: &TenantName) {
        let start = (self.virtual_time, self.charges);
        let usage = self.usage.entry(tenant.clone()).or_insert(start);
        let entry = usage_of(tenant, *usage);
        self.idle.remove(&entry);
        self.active.insert(entry);
    }

    /// Removes a tenant that has no more work from the order of service.
    pub fn deactivate(&mut self, tenant: &TenantName) {
        let Some(&usage) = self.usage.get(tenant) else {
            return;
        };
        let entry = usage_of(tenant, usage);
        self.active.remove(&entry);
        self.idle.insert(entry);
        self.drop_expired();
    }

    /// Returns the tenants that have work, the one with the lowest usage first.
    pub fn order(&self) -> impl Iterator<Item = &TenantUsage> {
        self.active.iter()
    }

    /// Charges the cost of a request to a tenant that has work, in a table without a half-life.
    ///
    /// A tenant below the virtual time is charged from the virtual time, so that a tenant that was
    /// blocked for long does not hold up the others afterwards.
    pub fn charge(&mut self, entry: &TenantUsage, cost: u32, weight: u32) {
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

/// Start tags of queued requests, by which a queue with many requests is brought into the order of
/// service at once.
///
/// The first request of a tenant starts from the usage of the tenant, and each further one from
/// where the one before it ends.
#[derive(Clone, Debug, Default)]
pub struct StartTags {
    /// Start of the next request, by a number that identifies the tenant and its queue.
    next: HashMap<u64, u64>,
}

impl StartTags {
    /// Returns the start tag of the next request in a queue of a tenant. `start` returns the usage of
    /// the tenant.
    pub fn take(&mut self, queue: u64, start: impl FnOnce() -> u64, cost: u64) -> u64 {
        let next = self.next.entry(queue).or_insert_with(start);
        let tag = *next;
        *next = tag.saturating_add(cost.max(1));
        tag
    }
}

fn usage_of(tenant: &TenantName, (weighted, last_charge): (u64, u64)) -> TenantUsage {
    TenantUsage {
        weighted,
        last_charge,
        tenant: tenant.clone(),
    }
}
