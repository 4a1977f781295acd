//! The retry budget: how often a host may send requests again.
//!
//! All hosts together keep to one limit. Each host uses its fraction of the fixed part of the limit
//! and a ratio of its own requests, so that no host has to ask another.

use crocusyard_base::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Fraction of the limit that is used; the rest covers requests that hosts count at different
/// times.
const USED_FRACTION: f64 = 0.8;
/// Length of one bucket of the sliding window, ms.
const BUCKET_MS: u64 = 500;

/// Limits of retries within a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Further retries in the window, over all hosts.
    pub slack: f64,
    /// Length of the window.
    pub window: ClockTime,
}

/// Counts of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct RetryBucket {
    /// Start of the bucket, in multiples of its length.
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts of one service within the window, the oldest bucket first.
#[derive(Clone, Debug, Default)]
struct ServiceWindow {
    buckets: VecDeque<RetryBucket>,
}

/// Retry budget of one host, kept for each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    windows: HashMap<ServiceName, ServiceWindow>,
}

impl RetryBudget {
    /// Creates a budget without counted requests.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: HashMap::new(),
        }
    }

    /// Counts a request that arrived from a caller.
    pub fn count_request(&mut self, service: &ServiceName, now: ClockTime) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    ///
    /// `fraction` is the fraction of all callers that this host gets.
    pub fn try_take(&mut self, service: &ServiceName, fraction: f64, now: ClockTime) -> bool {
        let remaining = self.remaining(service, fraction, now);
        if remaining < 1.0 {
            return false;
        }
        self.bucket(service, now).retries += 1;
        true
    }

    /// Returns the number of retries that are left.
    pub fn remaining(&mut self, service: &ServiceName, fraction: f64, now: ClockTime) -> f64 {
        self.bucket(service, now);
        let buckets = &self.windows[service].buckets;
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let shared = self.limits.slack * fraction;
        let limit = self.limits.ratio * f64::from(requests) + shared;
        limit * USED_FRACTION - f64::from(retries)
    }

    /// Returns the current bucket of a service, after buckets outside the window have been dropped.
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
