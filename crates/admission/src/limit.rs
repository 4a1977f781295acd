//! Adaptive concurrency limit that follows the measured latency.
//!
//! The limit rises additively while it is in use and the latency is within the goal. It falls
//! multiplicatively, at most once per interval, while the latency is above the goal. The goal is
//! absolute, because prompts of mixed length make a ratio to the smallest latency meaningless.

use crocusyard_base::prelude::*;

/// Weight of a new sample in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// Factor by which one decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.85;
/// Largest multiple of its initial value that the limit can reach.
const MAX_GROWTH_FACTOR: f64 = 4.0;

/// Limit on the requests in flight at one target, adapted to its latency.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    initial: f64,
    latency_goal: ClockTime,
    smoothed_ms: Option<f64>,
    last_decrease: Option<ClockTime>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `initial` requests and keeps the latency within
    /// `latency_goal`.
    pub fn new(initial: u32, latency_goal: ClockTime) -> Self {
        let initial = f64::from(initial.max(1));
        Self {
            limit: initial,
            initial,
            latency_goal,
            smoothed_ms: None,
            last_decrease: None,
        }
    }

    /// Returns the number of requests allowed in flight, which is at least 1.
    pub fn current(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Returns the smoothed latency, or `None` before the first sample.
    pub fn latency(&self) -> Option<ClockTime> {
        self.smoothed_ms.map(|ms| ClockTime::from_ms(ms as u64))
    }

    /// Adapts the limit to the latency of one request, measured with `in_flight` requests at the
    /// target.
    pub fn observe(&mut self, now: ClockTime, latency: ClockTime, in_flight: u32) {
        let sample = latency.as_ms() as f64;
        let smoothed = self
            .smoothed_ms
            .map_or(sample, |old| old + LATENCY_SMOOTHING * (sample - old));
        self.smoothed_ms = Some(smoothed);
        if smoothed > self.latency_goal.as_ms() as f64 {
            // Requests sent before the last decrease still show the old latency, so at least one
            // latency goal passes between two decreases.
            if self
                .last_decrease
                .is_none_or(|at| now.since(at) >= self.latency_goal)
            {
                self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
                self.last_decrease = Some(now);
            }
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.initial * MAX_GROWTH_FACTOR);
        }
        invariant!(
            self.limit >= 1.0 && self.limit <= self.initial * MAX_GROWTH_FACTOR,
            "limit_in_bounds",
            "the concurrency limit {} is out of bounds for the initial value {}",
            self.limit,
            self.initial
        );
    }
}
