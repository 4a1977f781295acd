//! The memory ledger of the accelerators.

use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Memory of one accelerator.
#[derive(Clone, Debug, Default)]
struct LedgerAccount {
    declared: u64,
    reported: Option<u64>,
    copies: BTreeMap<Arc<str>, u64>,
    holds: BTreeMap<OrderId, (Arc<str>, u64)>,
    /// Memory in use that outside facts brought about beyond the capacity; never raised by a hold.
    excess: u64,
    /// Memory in use, kept because every decision asks for it.
    used: u64,
}

impl LedgerAccount {
    fn capacity(&self) -> u64 {
        self.reported
            .map_or(self.declared, |bytes| bytes.min(self.declared))
    }

    /// Sums the memory in use by name.
    fn count(&mut self) {
        let mut names: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, bytes) in &self.copies {
            names.insert(name, *bytes);
        }
        for (name, bytes) in self.holds.values() {
            let used = names.entry(name).or_insert(0);
            *used = (*used).max(*bytes);
        }
        self.used = names.values().sum();
    }

    fn check(&self, target: &TargetName) -> bool {
        let (used, capacity) = (self.used, self.capacity());
        invariant!(
            used <= capacity.saturating_add(self.excess),
            "memory_overcommitted",
            "{target}: {used} of {capacity} bytes, {} explained from outside",
            self.excess
        )
    }
}

/// Memory of every accelerator: copies that engines report and holds of intents.
#[derive(Clone, Debug, Default)]
pub struct MemoryLedger {
    accounts: BTreeMap<TargetName, LedgerAccount>,
    /// Targets that use more than their capacity, kept so that ticks need not look at all others.
    overrun: BTreeSet<TargetName>,
}

impl MemoryLedger {
    /// Sets a target's declared capacity.
    pub fn set_declared_capacity(&mut self, target: &TargetName, bytes: u64) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.declared = bytes;
        note_outside(account, target, &mut self.overrun);
        account.check(target);
    }

    /// Replaces what an engine reports: its capacity and the copies on it.
    pub fn apply_report(
        &mut self,
        target: &TargetName,
        capacity: u64,
        copies: BTreeMap<Arc<str>, u64>,
    ) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.reported = Some(capacity);
        account.copies = copies;
        note_outside(account, target, &mut self.overrun);
        account.check(target);
    }

    /// Holds memory for a new order if it fits.
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
        account.holds.insert(order, (name.clone(), bytes));
        account.count();
        if account.check(target) {
            return true;
        }
        account.holds.remove(&order);
        account.count();
        false
    }

    /// Holds memory for an intent that another holder wrote, whether it fits or not.
    pub fn reserve_unchecked(
        &mut self,
        target: &TargetName,
        order: OrderId,
        name: &Arc<str>,
        bytes: u64,
    ) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.holds.insert(order, (name.clone(), bytes));
        note_outside(account, target, &mut self.overrun);
    }

    /// Releases the memory of an intent.
    pub fn release(&mut self, target: &TargetName, order: OrderId) {
        if let Some(account) = self.accounts.get_mut(target) {
            account.holds.remove(&order);
            note_outside(account, target, &mut self.overrun);
            account.check(target);
        }
    }

    /// Releases every hold, when the lease is lost.
    pub fn release_all(&mut self) {
        for (target, account) in &mut self.accounts {
            account.holds.clear();
            note_outside(account, target, &mut self.overrun);
        }
    }

    /// Returns whether a copy can be added to a target.
    pub fn fits(&self, target: &TargetName, name: &Arc<str>, bytes: u64) -> bool {
        self.accounts.get(target).is_some_and(|account| {
            let own = used_by(account, name);
            account.used - own + bytes.max(own) <= account.capacity()
        })
    }

    /// Returns the memory of a reported copy, bytes.
    pub fn copy_bytes(&self, target: &TargetName, name: &Arc<str>) -> u64 {
        self.accounts
            .get(target)
            .and_then(|account| account.copies.get(name).copied())
            .unwrap_or(0)
    }

    /// Returns the targets.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = &TargetName> {
        self.accounts.keys()
    }

    /// Returns the targets that use more memory than their capacity.
    pub(crate) fn overrun(&self) -> &BTreeSet<TargetName> {
        &self.overrun
    }

    /// Returns the memory in use and the capacity of a target, bytes.
    pub fn usage(&self, target: &TargetName) -> (u64, u64) {
        self.accounts
            .get(target)
            .map_or((0, 0), |account| (account.used, account.capacity()))
    }
}

fn used_by(account: &LedgerAccount, name: &Arc<str>) -> u64 {
    let copy = account.copies.get(name).copied().unwrap_or(0);
    account
        .holds
        .values()
        .filter(|(held, _)| held == name)
        .map(|(_, bytes)| *bytes)
        .fold(copy, u64::max)
}

/// Records how far facts from outside exceed the capacity.
///
/// A hold that fits brings no target beyond its capacity, so only these facts change `overrun`.
fn note_outside(
    account: &mut LedgerAccount,
    target: &TargetName,
    overrun: &mut BTreeSet<TargetName>,
) {
    account.count();
    account.excess = account.used.saturating_sub(account.capacity());
    if account.excess == 0 {
        overrun.remove(target);
    } else if !overrun.contains(target) {
        overrun.insert(target.clone());
    }
}
