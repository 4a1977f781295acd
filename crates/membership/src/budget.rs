//! Limit on the bytes that a host sends.

use crocusyard_base::prelude::*;
use std::collections::VecDeque;

/// Bytes that a host may send within any second, including IP and UDP headers.
pub const MAX_BYTES_PER_SECOND: u64 = 23_000;

/// Token bucket that also checks how much was sent within the last second.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bytes a second that are added to the bucket.
    rate: u64,
    /// Capacity of the bucket, bytes.
    burst: u64,
    /// Content of the bucket, thousandths of a byte: a unit of 1,000 to the byte keeps low rates
    /// exact.
    millibytes: u64,
    refilled_at: ClockTime,
    /// Time and size of each packet of the last second.
    recent: VecDeque<(ClockTime, u64)>,
    recent_bytes: u64,
    /// Bytes sent since the start, including IP and UDP headers.
    pub total_bytes: u64,
}

impl ByteBudget {
    /// Creates a full budget of `burst` bytes that is refilled by `rate` bytes a second.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            millibytes: burst * 1000,
            refilled_at: ClockTime::ZERO,
            recent: VecDeque::new(),
            recent_bytes: 0,
            total_bytes: 0,
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub fn available(&mut self, now: ClockTime) -> u64 {
        let elapsed_ms = now.since(self.refilled_at).as_ms();
        let refilled = self
            .millibytes
            .saturating_add(elapsed_ms.saturating_mul(self.rate));
        self.millibytes = refilled.min(self.burst * 1000);
        self.refilled_at = now;
        self.millibytes / 1000
    }

    /// Takes `bytes` from the budget; returns `false` and takes nothing if they may not be sent.
    pub fn take(&mut self, now: ClockTime, bytes: u64) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        while let Some(&(sent_at, size)) = self.recent.front() {
            if now.since(sent_at) < ClockTime::from_secs(1) {
                break;
            }
            self.recent.pop_front();
            self.recent_bytes -= size;
        }
        if !invariant!(
            self.recent_bytes + bytes <= MAX_BYTES_PER_SECOND,
            "byte_budget",
            "{} bytes sent within a second, at most {MAX_BYTES_PER_SECOND} allowed",
            self.recent_bytes + bytes
        ) {
            return false;
        }
        self.millibytes -= bytes * 1000;
        self.recent.push_back((now, bytes));
        self.recent_bytes += bytes;
        self.total_bytes += bytes;
        true
    }
}
