//! Time on a host's monotonic clock.
//!
//! [`ClockTime`] is both a point in time and a duration between two points. Points in time of
//! different hosts are never compared: messages between hosts carry ages instead.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// A point in time on the monotonic clock of one host, or a duration, in milliseconds.
///
/// Additions and subtractions saturate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClockTime(u64);

impl ClockTime {
    /// The origin of the clock, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Makes a time from milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Makes a time from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the time in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this point.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the fraction that is left after this duration of what halves in each `half_life`.
    pub fn decay_factor(self, half_life: Self) -> f64 {
        0.5_f64.powf(self.0 as f64 / half_life.0.max(1) as f64)
    }

    /// Returns the time multiplied by a factor, rounded down to milliseconds.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for ClockTime {
    type Output = Self;

    fn add(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl AddAssign for ClockTime {
    fn add_assign(&mut self, duration: Self) {
        *self = *self + duration;
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
