//! Concurrency limit that follows measured latency.
//!
//! Additive increase while the limit is in use and latency is below the goal, multiplicative
//! decrease at most once per interval while it is above. The goal is absolute, because prompts of
//! mixed length make a ratio to the smallest latency meaningless.

use crocusyard_base::prelude::*;

/// Weight of a new sample in the smoothed latency.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Factor of one decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// The limit stays within this multiple of its start.
const GROWTH_FACTOR: f64 = 4.0;

/// Concurrency limit of one target.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    start: f64,
    goal: ClockTime,
    smoothed_ms: Option<f64>,
    decreased: Option<ClockTime>,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at `start` requests and keeps latency below `goal`.
    pub fn new(start: u32, goal: ClockTime) -> Self {
        let start = f64::from(start.max(1));
        Self {
            limit: start,
            start,
            goal,
            smoothed_ms: None,
            decreased: None,
        }
    }

    /// Returns the number of requests allowed at once; at least 1.
    pub fn current(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Returns the smoothed latency, if there is a sample.
    pub fn latency(&self) -> Option<ClockTime> {
        self.smoothed_ms.map(|ms| ClockTime::from_ms(ms as u64))
    }

    /// Takes the latency of one request while `in_flight` were in progress.
    pub fn observe(&mut self, now: ClockTime, latency: ClockTime, in_flight: u32) {
        let sample = latency.as_ms() as f64;
        let smoothed = self
            .smoothed_ms
            .map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old));
        self.smoothed_ms = Some(smoothed);
        if smoothed > self.goal.as_ms() as f64 {
            // Requests sent before the last decrease still show the old latency, so one interval
            // of the goal passes between two decreases.
            if self.decreased.is_none_or(|at| now.since(at) >= self.goal) {
                self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
                self.decreased = Some(now);
            }
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.start * GROWTH_FACTOR);
        }
        invariant!(
            self.limit >= 1.0 && self.limit <= self.start * GROWTH_FACTOR,
            "limit_in_bounds",
            "limit {} start {}",
            self.limit,
            self.start
        );
    }
}
