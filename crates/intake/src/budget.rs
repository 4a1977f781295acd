//! The memory budget and the guards that hold its charges.

use crate::limits::IntakeLimits;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Added to the time without progress when victims are compared, ms, so that the larger one of two
/// bodies that both arrive quickly is evicted.
const SCORE_OFFSET_MS: u64 = 100;

/// Shortest time between two searches for an idle body. Many bodies may wait for room, and each looks
/// for one to displace.
const SEARCH_INTERVAL: ClockTime = ClockTime::from_ms(10);

/// What a charge is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeUse {
    /// Part of a request that is being read; it may be evicted, since it has not been sent.
    Incoming,
    /// Bytes in use for a call, or on their way to a slow reader; they are released by their owner
    /// only.
    Held,
}

/// Why bytes must not be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeRefusal {
    /// The budget is full at present; room may come.
    Full,
    /// The budget is full and this is the slowest and largest body.
    Evicted,
    /// The bytes arrive more slowly than the minimum rate.
    TooSlow,
}

impl IntakeRefusal {
    /// Returns the label of the reason in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Evicted => "evicted",
            Self::TooSlow => "too_slow",
        }
    }
}

/// Figures of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeCounts {
    /// Sum of all charges, bytes.
    pub held_bytes: usize,
    /// Number of open guards.
    pub guards: usize,
    /// Number of evicted bodies so far.
    pub evicted: u64,
}

/// Charge of one guard.
#[derive(Debug)]
struct Charge {
    bytes: usize,
    kind: IntakeUse,
    opened: ClockTime,
    /// When bytes were charged last.
    progress: ClockTime,
    /// Number of bytes that arrived, which is less than the charge if that contains overhead.
    arrived: u64,
    evicted: bool,
}

#[derive(Debug)]
struct BudgetState {
    limits: IntakeLimits,
    charges: BTreeMap<u64, Charge>,
    next_id: u64,
    held_bytes: usize,
    /// Bytes of charges that were evicted and are not released yet.
    evicted_bytes: usize,
    evicted: u64,
    /// When an idle body was last searched for, without one being found.
    searched_at: Option<ClockTime>,
}

/// A memory budget; clones share it.
#[derive(Clone, Debug)]
pub struct IntakeBudget {
    state: Arc<Mutex<BudgetState>>,
}

/// Holds a charge, which is released when this value is dropped.
#[derive(Debug)]
pub struct IntakeGuard {
    state: Arc<Mutex<BudgetState>>,
    id: u64,
}

fn lock(state: &Mutex<BudgetState>) -> MutexGuard<'_, BudgetState> {
    // No operation panics between two changes that belong together.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl BudgetState {
    /// Returns whether a charge that has `bytes` in all fits after `added` more.
    fn fits(&self, bytes: usize, added: usize) -> bool {
        self.fits_in(bytes, self.held_bytes + added)
    }

    fn fits_in(&self, bytes: usize, sum: usize) -> bool {
        let reserve = if bytes <= self.limits.small_bytes {
            0
        } else {
            self.limits.small_reserve_bytes
        };
        sum + reserve <= self.limits.total_bytes
    }

    /// Evicts the first body to evict if no byte of it has arrived for `idle`. None is evicted while
    /// another one is about to be released.
    fn evict_idle(&mut self, idle: ClockTime, now: ClockTime) -> bool {
        if self.evicted_bytes > 0 {
            return true;
        }
        let is_recent = |at: ClockTime| now.since(at) < SEARCH_INTERVAL;
        if self.searched_at.is_some_and(is_recent) {
            return false;
        }
        let is_idle = |charge: &Charge| now.since(charge.progress) >= idle;
        let found = self.victim(now);
        let found = found.filter(|id| self.charges.get(id).is_some_and(is_idle));
        match found {
            Some(id) => self.evict(id),
            None => self.searched_at = Some(now),
        }
        found.is_some()
    }

    /// Returns the charge that is evicted first: the one that is largest and has made no progress
    /// for longest.
    fn victim(&self, now: ClockTime) -> Option<u64> {
        let score = |charge: &Charge| {
            let idle_ms = now.since(charge.progress).as_ms() + SCORE_OFFSET_MS;
            charge.bytes as u64 * idle_ms
        };
        let incoming = self.charges.iter();
        let incoming = incoming.filter(|(_, charge)| charge.is_evictable());
        let largest = incoming.max_by_key(|(id, charge)| (score(charge), **id));
        largest.map(|(id, _)| *id)
    }

    fn evict(&mut self, id: u64) {
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.evicted = true;
            self.evicted_bytes += charge.bytes;
            self.evicted += 1;
        }
    }

    /// Charges bytes to a guard, of which `arrived` are payload.
    fn charge(
        &mut self,
        id: u64,
        added: usize,
        arrived: usize,
        now: ClockTime,
    ) -> Result<(), IntakeRefusal> {
        let Some(charge) = self.charges.get(&id) else {
            return Err(IntakeRefusal::Evicted);
        };
        charge.check_rate(arrived, &self.limits, now)?;
        let bytes = charge.bytes + added;
        if !self.fits(bytes, added) {
            self.make_room(id, bytes, added, now)?;
            return Err(IntakeRefusal::Full);
        }
        self.held_bytes += added;
        if let Some(charge) = self.charges.get_mut(&id) {
            charge.bytes = bytes;
            charge.arrived += arrived as u64;
            charge.progress = now;
        }
        Ok(())
    }

    /// Evicts charges until `added` bytes fit once these are released; fails if `id` is the first
    /// one to evict.
    fn make_room(
        &mut self,
        id: u64,
        bytes: usize,
        added: usize,
        now: ClockTime,
    ) -> Result<(), IntakeRefusal> {
        loop {
            let remaining = self.held_bytes.saturating_sub(self.evicted_bytes) + added;
            if self.fits_in(bytes, remaining) {
                return Ok(());
            }
            let Some(victim) = self.victim(now) else {
                return Ok(());
            };
            self.evict(victim);
            if victim == id {
                return Err(IntakeRefusal::Evicted);
            }
        }
    }

    fn release(&mut self, id: u64, bytes: usize) {
        let Some(charge) = self.charges.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(charge.bytes);
        charge.bytes -= bytes;
        self.held_bytes -= bytes;
        if charge.evicted {
            self.evicted_bytes -= bytes;
        }
    }
}

impl Charge {
    fn is_evictable(&self) -> bool {
        self.kind == IntakeUse::Incoming && !self.evicted && self.bytes > 0
    }

    /// Returns whether the body may still be read.
    fn check(&self, limits: &IntakeLimits, now: ClockTime) -> Result<(), IntakeRefusal> {
        if self.evicted {
            return Err(IntakeRefusal::Evicted);
        }
        if self.kind == IntakeUse::Held {
            return Ok(());
        }
        if now.since(self.progress) > limits.stall_limit {
            return Err(IntakeRefusal::TooSlow);
        }
        self.check_rate(0, limits, now)
    }

    /// Returns whether the body may still be read when `arriving` bytes arrive. A pause before them
    /// is over and no reason to refuse it: this process may have been suspended.
    fn check_rate(
        &self,
        arriving: usize,
        limits: &IntakeLimits,
        now: ClockTime,
    ) -> Result<(), IntakeRefusal> {
        if self.evicted {
            return Err(IntakeRefusal::Evicted);
        }
        let age_ms = now.since(self.opened).since(limits.grace).as_ms();
        let due = age_ms.saturating_mul(limits.min_rate) / 1_000;
        if self.kind == IntakeUse::Incoming && self.arrived + (arriving as u64) < due {
            return Err(IntakeRefusal::TooSlow);
        }
        Ok(())
    }
}

impl IntakeBudget {
    /// Creates an empty budget.
    pub fn new(limits: IntakeLimits) -> Self {
        let state = BudgetState {
            limits,
            charges: BTreeMap::new(),
            next_id: 0,
            held_bytes: 0,
            evicted_bytes: 0,
            evicted: 0,
            searched_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Creates a guard without a charge.
    pub fn open(&self, kind: IntakeUse, now: ClockTime) -> IntakeGuard {
        let mut state = lock(&self.state);
        let id = state.next_id;
        state.next_id += 1;
        let charge = Charge {
            bytes: 0,
            kind,
            opened: now,
            progress: now,
            arrived: 0,
            evicted: false,
        };
        state.charges.insert(id, charge);
        IntakeGuard {
            state: self.state.clone(),
            id,
        }
    }

    /// Returns whether a body of this length would fit at present.
    pub fn has_room(&self, bytes: usize) -> bool {
        lock(&self.state).fits(bytes, bytes)
    }

    /// Evicts the slowest and largest body for another reason than its memory, unless bytes of it
    /// have arrived within the last `idle`; returns whether one was evicted or is about to be released.
    pub fn evict_idle(&self, idle: ClockTime, now: ClockTime) -> bool {
        lock(&self.state).evict_idle(idle, now)
    }

    /// Returns the limits of the budget.
    pub fn limits(&self) -> IntakeLimits {
        lock(&self.state).limits
    }

    /// Returns the figures of the budget.
    pub fn counts(&self) -> IntakeCounts {
        let state = lock(&self.state);
        IntakeCounts {
            held_bytes: state.held_bytes,
            guards: state.charges.len(),
            evicted: state.evicted,
        }
    }
}

impl IntakeGuard {
    /// Charges bytes before they are buffered.
    ///
    /// # Errors
    ///
    /// Nothing is charged. After `Full` the same bytes may be charged later; the other refusals are
    /// final.
    pub fn charge(&mut self, bytes: usize, now: ClockTime) -> Result<(), IntakeRefusal> {
        lock(&self.state).charge(self.id, bytes, bytes, now)
    }

    /// Charges memory that is larger than the `arrived` bytes that it is for.
    ///
    /// # Errors
    ///
    /// As for [`charge`](Self::charge).
    pub fn charge_memory(
        &mut self,
        memory: usize,
        arrived: usize,
        now: ClockTime,
    ) -> Result<(), IntakeRefusal> {
        lock(&self.state).charge(self.id, memory, arrived, now)
    }

    /// Releases bytes that are no longer buffered.
    pub fn release(&mut self, bytes: usize) {
        lock(&self.state).release(self.id, bytes);
    }

    /// Returns whether the body may still be read, without charging anything.
    ///
    /// # Errors
    ///
    /// Fails once the body is evicted or too slow.
    pub fn check(&self, now: ClockTime) -> Result<(), IntakeRefusal> {
        let state = lock(&self.state);
        let Some(charge) = state.charges.get(&self.id) else {
            return Err(IntakeRefusal::Evicted);
        };
        charge.check(&state.limits, now)
    }

    /// Marks the body as complete, from when on it is in use and cannot be evicted.
    ///
    /// # Errors
    ///
    /// Fails if it was evicted before.
    pub fn complete(&mut self) -> Result<(), IntakeRefusal> {
        let mut state = lock(&self.state);
        match state.charges.get_mut(&self.id) {
            Some(charge) if !charge.evicted => {
                charge.kind = IntakeUse::Held;
                Ok(())
            }
            _ => Err(IntakeRefusal::Evicted),
        }
    }

    /// Returns the charge, bytes.
    pub fn bytes(&self) -> usize {
        let state = lock(&self.state);
        state.charges.get(&self.id).map_or(0, |charge| charge.bytes)
    }

    /// Joins bytes with their charge, which is released once the last copy of them is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(ChargedBytes {
            bytes,
            _guard: self,
        })
    }
}

impl Drop for IntakeGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.release(self.id, usize::MAX);
        state.charges.remove(&self.id);
    }
}

/// Bytes with the guard of their charge. The bytes are dropped first.
struct ChargedBytes<B> {
    bytes: B,
    _guard: IntakeGuard,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for ChargedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
