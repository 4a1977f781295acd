//! Byte budget of the sender.

use crocusyard_base::prelude::*;
use std::collections::VecDeque;

/// Bytes that a host may send within any second, with IP and UDP headers.
pub const MAX_BYTES_PER_SECOND: u64 = 23_000;

/// Token bucket with a check of what was sent within the last second.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: u64,
    burst: u64,
    // Bytes times 1,000, so that slow rates lose nothing by rounding.
    tokens: u64,
    filled: ClockTime,
    recent: VecDeque<(ClockTime, u64)>,
    recent_sum: u64,
    /// Bytes sent since the start.
    pub total_bytes: u64,
}

impl ByteBudget {
    /// Makes a full budget; `rate` and `burst` in bytes a second and bytes.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst * 1000,
            filled: ClockTime::ZERO,
            recent: VecDeque::new(),
            recent_sum: 0,
            total_bytes: 0,
        }
    }

    /// Returns the bytes that may be sent now.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        let elapsed = now.since(self.filled).as_ms();
        let filled = self
            .tokens
            .saturating_add(elapsed.saturating_mul(self.rate));
        self.tokens = filled.min(self.burst * 1000);
        self.filled = now;
        self.tokens / 1000
    }

    /// Takes bytes; returns whether they may be sent.
    pub fn take(&mut self, now: ClockTime, bytes: u64) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        while let Some(&(sent, size)) = self.recent.front() {
            if now.since(sent) < ClockTime::from_secs(1) {
                break;
            }
            self.recent.pop_front();
            self.recent_sum -= size;
        }
        if !invariant!(
            self.recent_sum + bytes <= MAX_BYTES_PER_SECOND,
            "byte_budget",
            "{} bytes within a second",
            self.recent_sum + bytes
        ) {
            return false;
        }
        self.tokens -= bytes * 1000;
        self.recent.push_back((now, bytes));
        self.recent_sum += bytes;
        self.total_bytes += bytes;
        true
    }
}
