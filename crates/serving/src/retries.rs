//! The budget of repeated sends.
//!
//! All hosts share one limit; each spends its part of the fixed share and a ratio of its own
//! requests, so that no host has to ask another.

use crocusyard_base::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Part of the limit that is spent; the rest covers requests that hosts count at other moments.
const SPENT_PART: f64 = 0.8;
/// Length of a bucket of the window, ms.
const BUCKET_MS: u64 = 500;

/// Limits of repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats besides, over all hosts.
    pub slack: f64,
    /// Window.
    pub window: ClockTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts of one service in the window.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    buckets: VecDeque<RetryBucket>,
}

/// Budget of one host, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    windows: HashMap<ServiceName, ServiceWindow>,
}

impl RetryBudget {
    /// Makes a budget.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: HashMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, service: &ServiceName, now: ClockTime) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one repeated send, if the budget has one left.
    ///
    /// `part` is this host's part of the callers.
    pub fn try_take(&mut self, service: &ServiceName, fraction: f64, now: ClockTime) -> bool {
        let left = self.remaining(service, fraction, now);
        if left < 1.0 {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    /// Repeated sends left.
    pub fn remaining(&mut self, service: &ServiceName, fraction: f64, now: ClockTime) -> f64 {
        self.bucket(service, now);
        let buckets = &self.windows[service].buckets;
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let shared = self.limits.slack * fraction;
        let limit = self.limits.ratio * f64::from(requests) + shared;
        limit * SPENT_PART - f64::from(repeats)
    }

    fn bucket(&mut self, service: &ServiceName, now: ClockTime) -> &mut RetryBucket {
        let number = now.as_ms() / BUCKET_MS;
        let oldest = number.saturating_sub(self.limits.window.as_ms() / BUCKET_MS);
        let window = self.windows.entry(service.clone()).or_default();
        while window
            .buckets
            .front()
            .is_some_and(|first| first.number < oldest)
        {
            window.buckets.pop_front();
        }
        if window
            .buckets
            .back()
            .is_none_or(|last| last.number < number)
        {
            window.buckets.push_back(RetryBucket {
                number,
                ..RetryBucket::default()
            });
        }
        let last = window.buckets.len() - 1;
        &mut window.buckets[last]
    }
}
