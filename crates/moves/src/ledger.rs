//! Ledger of the memory in use and reserved on each accelerator.

use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Memory of one accelerator, bytes.
#[derive(Clone, Debug, Default)]
struct LedgerAccount {
    /// Capacity in the catalogue.
    declared: u64,
    /// Capacity that the engine reported, or `None` before its first report.
    reported: Option<u64>,
    /// Memory of each copy that the engine reported, by name.
    copies: BTreeMap<Arc<str>, u64>,
    /// Name and memory of each unfinished order.
    reservations: BTreeMap<OrderId, (Arc<str>, u64)>,
    /// Memory in use beyond the capacity that reports, declarations and unchecked reservations
    /// caused; a checked reservation never raises it.
    external_excess: u64,
    /// Memory in use, cached because every decision reads it.
    used: u64,
}

impl LedgerAccount {
    /// Returns the smaller of the declared and the reported capacity, bytes.
    fn capacity(&self) -> u64 {
        self.reported
            .map_or(self.declared, |bytes| bytes.min(self.declared))
    }

    /// Sums the memory in use over the names on the accelerator.
    fn recompute_used(&mut self) {
        let mut names: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, bytes) in &self.copies {
            names.insert(name, *bytes);
        }
        for (name, bytes) in self.reservations.values() {
            let used = names.entry(name).or_insert(0);
            *used = (*used).max(*bytes);
        }
        self.used = names.values().sum();
    }

    /// Checks that no reservation raised the memory in use above the capacity.
    fn check_limit(&self, target: &TargetName) -> bool {
        let (used, capacity) = (self.used, self.capacity());
        invariant!(
            used <= capacity.saturating_add(self.external_excess),
            "memory_overcommitted",
            "{target}: {used} bytes in use, capacity {capacity} bytes, allowed excess {} bytes",
            self.external_excess
        )
    }
}

/// Memory of every accelerator: copies that engines report, and reservations of intents.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    accounts: BTreeMap<TargetName, LedgerAccount>,
    /// Targets that use more than their capacity, indexed so that ticks need not examine all
    /// targets.
    over_capacity: BTreeSet<TargetName>,
}

impl MemoryLedger {
    /// Sets a target's declared capacity, bytes.
    pub fn set_declared_capacity(&mut self, target: &TargetName, bytes: u64) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.declared = bytes;
        update_external_excess(account, target, &mut self.over_capacity);
        account.check_limit(target);
    }

    /// Replaces the capacity and the copies that an engine reported, in bytes.
    pub fn apply_report(
        &mut self,
        target: &TargetName,
        capacity: u64,
        copies: BTreeMap<Arc<str>, u64>,
    ) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.reported = Some(capacity);
        account.copies = copies;
        update_external_excess(account, target, &mut self.over_capacity);
        account.check_limit(target);
    }

    /// Reserves memory for a new order; returns `false` if it does not fit.
    #[must_use]
    pub fn reserve(
        &mut self,
        target: &TargetName,
        order: OrderId,
        name: &Arc<str>,
        bytes: u64,
    ) -> bool {
        if !self.fits(target, name, bytes) {
            return false;
        }
        let Some(account) = self.accounts.get_mut(target) else {
            return false;
        };
        account.reservations.insert(order, (name.clone(), bytes));
        account.recompute_used();
        if account.check_limit(target) {
            return true;
        }
        account.reservations.remove(&order);
        account.recompute_used();
        false
    }

    /// Reserves memory that is in use whether it fits or not: that of an intent of another holder,
    /// or that of a copy until its unload is settled.
    pub fn reserve_unchecked(
        &mut self,
        target: &TargetName,
        order: OrderId,
        name: &Arc<str>,
        bytes: u64,
    ) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.reservations.insert(order, (name.clone(), bytes));
        update_external_excess(account, target, &mut self.over_capacity);
    }

    /// Releases the reservation of an order.
    pub fn release(&mut self, target: &TargetName, order: OrderId) {
        if let Some(account) = self.accounts.get_mut(target) {
            account.reservations.remove(&order);
            update_external_excess(account, target, &mut self.over_capacity);
            account.check_limit(target);
        }
    }

    /// Releases every reservation, when the lease is lost.
    pub fn release_all(&mut self) {
        for (target, account) in &mut self.accounts {
            account.reservations.clear();
            update_external_excess(account, target, &mut self.over_capacity);
        }
    }

    /// Returns whether a target has the memory for a copy of a name, beside the other names on it.
    pub fn fits(&self, target: &TargetName, name: &Arc<str>, bytes: u64) -> bool {
        self.accounts.get(target).is_some_and(|account| {
            let used_by_name = bytes_used_by(account, name);
            account.used - used_by_name + bytes.max(used_by_name) <= account.capacity()
        })
    }

    /// Returns the memory of a reported copy, bytes; 0 if there is none.
    pub fn copy_bytes(&self, target: &TargetName, name: &Arc<str>) -> u64 {
        self.accounts
            .get(target)
            .and_then(|account| account.copies.get(name).copied())
            .unwrap_or(0)
    }

    /// Returns every target that was declared or reported.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &TargetName> {
        self.accounts.keys()
    }

    /// Returns the targets that use more memory than their capacity.
    pub(crate) fn over_capacity(&self) -> &BTreeSet<TargetName> {
        &self.over_capacity
    }

    /// Returns the memory in use and the capacity of a target, bytes.
    pub fn usage(&self, target: &TargetName) -> (u64, u64) {
        self.accounts
            .get(target)
            .map_or((0, 0), |account| (account.used, account.capacity()))
    }
}

/// Returns the memory that a name uses or reserves on an accelerator, bytes.
fn bytes_used_by(account: &LedgerAccount, name: &Arc<str>) -> u64 {
    let copy = account.copies.get(name).copied().unwrap_or(0);
    account
        .reservations
        .values()
        .filter(|(reserved, _)| reserved == name)
        .map(|(_, bytes)| *bytes)
        .fold(copy, u64::max)
}

/// Updates the excess after a change that may exceed the capacity without fault of the reducer.
///
/// A checked reservation fits by definition, so only these changes can bring a target into
/// `over_capacity`.
fn update_external_excess(
    account: &mut LedgerAccount,
    target: &TargetName,
    over_capacity: &mut BTreeSet<TargetName>,
) {
    account.recompute_used();
    account.external_excess = account.used.saturating_sub(account.capacity());
    if account.external_excess == 0 {
        over_capacity.remove(target);
    } else if !over_capacity.contains(target) {
        over_capacity.insert(target.clone());
    }
}
