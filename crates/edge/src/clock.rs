//! The clock of the process.
//!
//! It includes suspended time, so that a host that was frozen sees that its lease has expired.

use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::NewsStamp;
use rustix::time::{clock_gettime, ClockId};

/// Returns the time since the machine started, suspended time included.
pub(crate) fn now() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    ClockTime::from_ms(secs * 1_000 + nanos / 1_000_000)
}

/// Returns the time of day in Unix ms, or 0 before 1970.
pub(crate) fn unix_ms() -> u64 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(0))
}

/// Returns the time of day in Unix s; it tells a process of a host from the one before it.
pub(crate) fn start_s() -> u32 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.map_or(0, |time| u32::try_from(time.as_secs()).unwrap_or(u32::MAX))
}

/// Returns the stamp that news had at the origin of the clock. It comes from the time of day, so that
/// the stamps of the next process on this machine or at its name are later.
pub(crate) fn first_stamp(now: ClockTime) -> NewsStamp {
    // A time of day before 1970 cannot be told from 1970; hosts then pass on fewer news of this one.
    NewsStamp::from_unix_ms(unix_ms().saturating_sub(now.as_ms()))
}
