//! The retry budget: how often a host may send requests again.
//!
//! All hosts together keep to one limit. Each host uses its fraction of the fixed part of the limit
//! and a ratio of its own requests, so that no host has to ask another.
//!
//! The window outlasts a process. A process that starts adopts what the process before it has counted,
//! which other hosts know by its reports. Until one of them has told it, or the window has passed, it
//! assumes that its whole part of the limit is taken; it also does not know at first how many hosts
//! there are, and would take the fixed part of all of them.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize};
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

/// What a host has counted for one service within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCount {
    /// The service.
    pub service: ServiceName,
    /// Requests from callers.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
}

/// Deserializes the last field of a message; messages of an earlier version end before it.
///
/// # Errors
///
/// Never fails.
pub fn counts_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Vec<RetryCount>>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// What the process before this one has counted within the window.
#[derive(Clone, Debug)]
enum FormerCounts {
    /// It may have taken its whole part of the limit.
    Unknown,
    /// Its counts at its end.
    Known(HashMap<ServiceName, RetryCount>),
}

/// Retry budget of one host, kept for each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    windows: HashMap<ServiceName, ServiceWindow>,
    former: FormerCounts,
    /// Start of the process.
    started: ClockTime,
}

impl RetryBudget {
    /// Creates a budget without counted requests, and without a process before this one.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            windows: HashMap::new(),
            former: FormerCounts::Known(HashMap::new()),
            started: ClockTime::ZERO,
        }
    }

    /// Creates the budget of a process that starts at `now` and does not know what was taken before.
    pub fn after_start(limits: RetryLimits, now: ClockTime) -> Self {
        Self {
            former: FormerCounts::Unknown,
            started: now,
            ..Self::new(limits)
        }
    }

    /// Adopts what the process before this one has counted, as another host knows it. Later answers are
    /// ignored: they may have been made after this process has reported its own counts.
    pub fn adopt(&mut self, counts: &[RetryCount]) {
        if matches!(self.former, FormerCounts::Unknown) {
            let counts = counts.iter();
            let by_service = counts.map(|count| (count.service.clone(), count.clone()));
            self.former = FormerCounts::Known(by_service.collect());
        }
    }

    /// Returns what this host has counted for the services with retries, or `None` while it does not
    /// know what was counted before its start.
    pub fn report(&mut self, now: ClockTime) -> Option<Vec<RetryCount>> {
        if self.is_unknown(now) {
            return None;
        }
        let mut services: Vec<ServiceName> = self.windows.keys().cloned().collect();
        if let FormerCounts::Known(former) = &self.former {
            services.extend(former.keys().cloned());
        }
        services.sort_unstable();
        services.dedup();
        let counts = services
            .into_iter()
            .map(|service| self.count(&service, now))
            .filter(|count| count.retries > 0);
        Some(counts.collect())
    }

    /// Counts a request that arrived from a caller.
    pub fn count_request(&mut self, service: &ServiceName, now: ClockTime) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    ///
    /// `fraction` is the fraction of the fixed part of the limit that belongs to this host. The
    /// fractions of hosts that have been leaving within the window belong to them still.
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
        let count = self.count(service, now);
        let earned = self.limits.ratio * f64::from(count.requests);
        if self.is_unknown(now) {
            // Processes before this one have left this fraction of the limit.
            return earned * (1.0 - USED_FRACTION) - f64::from(count.retries);
        }
        let limit = earned + self.limits.slack * fraction;
        limit * USED_FRACTION - f64::from(count.retries)
    }

    /// Returns whether this host does not know what was counted before its start.
    fn is_unknown(&self, now: ClockTime) -> bool {
        matches!(self.former, FormerCounts::Unknown) && self.former_fraction(now) > 0.0
    }

    /// Returns which fraction of the window lies before the start of this process.
    fn former_fraction(&self, now: ClockTime) -> f64 {
        let window = self.limits.window.as_ms() as f64;
        let elapsed = now.since(self.started).as_ms() as f64;
        (1.0 - elapsed / window).max(0.0)
    }

    /// Returns the counts of a service within the window. It is not known when the process before this
    /// one has sent its retries; they count until the window has passed its end.
    fn count(&mut self, service: &ServiceName, now: ClockTime) -> RetryCount {
        self.bucket(service, now);
        let mut count = RetryCount {
            service: service.clone(),
            requests: 0,
            retries: 0,
        };
        for bucket in &self.windows[service].buckets {
            count.requests += bucket.requests;
            count.retries += bucket.retries;
        }
        let fraction = self.former_fraction(now);
        if let (FormerCounts::Known(former), true) = (&self.former, fraction > 0.0) {
            if let Some(former) = former.get(service) {
                count.requests += (f64::from(former.requests) * fraction) as u32;
                count.retries += former.retries;
            }
        }
        count
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
