//! Retry budget and waits between attempts.
//!
//! Every new request adds a fraction of a retry to the budget, so that retries cannot multiply the
//! load during an outage. Resumes are not taken from the budget, because they run no work again and
//! are limited per stream.

use crate::state::RequestLimits;
use crocusyard_base::prelude::*;
use rand::Rng;

/// Token bucket of the retries that this host may still make.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new(reserve: f64) -> Self {
        Self { tokens: reserve }
    }

    /// Adds the fraction of a retry that a new request earns, up to the reserve.
    pub(crate) fn earn(&mut self, limits: &RequestLimits) {
        self.tokens = (self.tokens + limits.retry_ratio).min(limits.retry_reserve);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the jittered wait before the next retry, which doubles with each failure.
pub(crate) fn backoff(limits: &RequestLimits, failures: u32, rng: &mut SeededRng) -> ClockTime {
    let doubled = limits
        .initial_backoff
        .scale(f64::from(1u32 << failures.min(16)));
    jitter(doubled.min(limits.max_backoff), rng)
}

/// Returns a random time between half and one and a half times `span`.
pub(crate) fn jitter(span: ClockTime, rng: &mut SeededRng) -> ClockTime {
    span.scale(rng.random_range(0.5..1.5))
}
