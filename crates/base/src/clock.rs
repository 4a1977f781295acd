//! The clock type of the project.
//!
//! One type serves as a point on a host's monotonic clock and as a span between two points. Points
//! of different hosts are never compared: messages between hosts carry ages, not points.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// A point on the monotonic clock of one host, or a span, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The origin of the clock, and the empty span.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Makes a time from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Makes a time from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Multiplies by a factor, rounding down.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for ClockTime {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign for ClockTime {
    fn add_assign(&mut self, span: Self) {
        *self = *self + span;
    }
}

impl Sub for ClockTime {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        self.since(earlier)
    }
}

impl fmt::Display for ClockTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
