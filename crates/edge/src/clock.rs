//! The clock of the process.
//!
//! It includes suspended time, so that a host that was frozen sees that its lease has expired.

use crocusyard_base::prelude::*;
use rustix::time::{clock_gettime, ClockId};

/// Returns the time since the machine started, suspended time included.
pub(crate) fn now() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    ClockTime::from_ms(secs * 1_000 + nanos / 1_000_000)
}
