//! Which part of the recent calls of each tenant has been sent to targets.
//!
//! Calls are counted by what they wait for and by tenant. A tenant whose part is far below that of
//! all calls for the same targets is neglected, and its calls are promoted.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Time in which counts fall by half: a small tenant sends a few calls in it.
const COUNT_HALF_LIFE: ClockTime = ClockTime::from_secs(8);
/// Part of the calls that is sent, relative to that of all calls, below which a tenant is neglected:
/// twice the quarter that each tenant must get, since calls wait before they are promoted.
const NEGLECTED_FRACTION: f64 = 0.5;
/// Number of recent calls below which counts are dropped.
const MIN_COUNT: f64 = 0.05;

/// Decaying counts of calls.
#[derive(Clone, Copy, Debug)]
struct CallCounts {
    arrived: f64,
    sent: f64,
    at: ClockTime,
}

impl CallCounts {
    fn new(now: ClockTime) -> Self {
        Self {
            arrived: 0.0,
            sent: 0.0,
            at: now,
        }
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = now.since(self.at).decay_factor(COUNT_HALF_LIFE);
        self.arrived *= factor;
        self.sent *= factor;
        self.at = now;
    }

    /// Part of the calls that has been sent; 1 without calls.
    fn ratio(&self) -> f64 {
        if self.arrived > 0.0 {
            self.sent / self.arrived
        } else {
            1.0
        }
    }
}

/// Counts of recent calls by queue, and by queue and tenant.
#[derive(Clone, Debug, Default)]
pub struct ServedRatios {
    counts: HashMap<u64, CallCounts>,
}

impl ServedRatios {
    /// Counts a call that has arrived; `queue` identifies what it waits for, and `group` also its
    /// tenant.
    pub fn count_arrived(&mut self, queue: u64, group: u64, now: ClockTime) {
        for key in [queue, group] {
            let counts = self.counts(key, now);
            counts.arrived += 1.0;
        }
    }

    /// Counts a call that has been sent for the first time.
    pub fn count_sent(&mut self, queue: u64, group: u64, now: ClockTime) {
        for key in [queue, group] {
            let counts = self.counts(key, now);
            counts.sent += 1.0;
        }
    }

    fn counts(&mut self, key: u64, now: ClockTime) -> &mut CallCounts {
        let counts = self.counts.entry(key).or_insert(CallCounts::new(now));
        counts.decay(now);
        counts
    }

    /// Returns the part of a tenant's calls that has been sent if the tenant is neglected.
    pub fn neglected(&self, queue: u64, group: u64) -> Option<f64> {
        let all = self.counts.get(&queue)?.ratio();
        let own = self.counts.get(&group)?.ratio();
        (own < all * NEGLECTED_FRACTION).then_some(own)
    }

    /// Drops counts that have decayed.
    pub fn drop_decayed(&mut self, now: ClockTime) {
        self.counts.retain(|_, counts| {
            counts.decay(now);
            counts.arrived >= MIN_COUNT
        });
    }
}
