//! Retry budget and waits between attempts.
//!
//! Every new request earns a fraction of a retry, so that retries cannot multiply the load of an
//! outage. Resumes are not paid from it: they run nothing again, and each stream's are counted.

use crate::state::RequestLimits;
use crocusyard_base::prelude::*;
use rand::Rng;

/// Retries that this host may still make.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new(reserve: f64) -> Self {
        Self { tokens: reserve }
    }

    /// Adds what a new request earns.
    pub(crate) fn earn(&mut self, limits: &RequestLimits) {
        self.tokens = (self.tokens + limits.retry_ratio).min(limits.retry_reserve);
    }

    /// Pays for a retry; returns whether the budget allowed it.
    pub(crate) fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the jittered wait before the retry after `failures` failures.
pub(crate) fn backoff(limits: &RequestLimits, failures: u32, rng: &mut SeededRng) -> ClockTime {
    let doubled = limits
        .initial_backoff
        .scale(f64::from(1u32 << failures.min(16)));
    jitter(doubled.min(limits.max_backoff), rng)
}

/// Returns a span between half and one and a half times `span`.
pub(crate) fn jitter(span: ClockTime, rng: &mut SeededRng) -> ClockTime {
    span.scale(rng.random_range(0.5..1.5))
}
