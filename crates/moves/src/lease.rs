//! The lease of a region, which one host at a time holds.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of the row `leases/<region>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the host that holds the lease.
    pub holder: HostName,
    /// Random number of the holder's process, so that a restarted host does not mistake the lease
    /// of its former process for its own.
    pub instance: u64,
    /// Number of the write within the holder's process.
    pub write: u64,
    /// Time by the holder's own clock before this write was first sent; meaningless to other hosts.
    pub sent: ClockTime,
    /// Fencing number of the lease; it rises with each acquisition.
    pub fencing: FencingNumber,
    /// Time for which the lease lasts from `sent`.
    pub length: ClockTime,
}

/// What a host knows of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The row has not been read since the start or since the lease was lost.
    Unread,
    /// Another host holds the lease, or no host does.
    Watching {
        /// Version of the row, 0 if there is no row.
        version: u64,
        /// Content of the row, or `None` if it is absent.
        row: Option<LeaseRow>,
        /// When this host first saw this version of the row.
        first_seen: ClockTime,
    },
    /// This host holds the lease.
    Held {
        /// Version of the row.
        version: u64,
        /// Content of the row; the lease runs from its `sent`.
        row: LeaseRow,
        /// When this host learnt that it had acquired the lease.
        acquired_at: ClockTime,
        /// Whether every intent has been read since the acquisition.
        scan_complete: bool,
        /// Key of the last intent that was read, or `None` before the first page.
        scan_cursor: Option<Arc<str>>,
    },
}

/// Returns when the holder must stop ordering moves, by its own clock.
pub fn holder_deadline(row: &LeaseRow, clock_drift: f64) -> ClockTime {
    row.sent + row.length.scale(1.0 - clock_drift)
}

/// Returns when a host that first saw a row at `first_seen` may acquire the lease, by its own
/// clock.
pub fn earliest_takeover(row: &LeaseRow, first_seen: ClockTime, clock_drift: f64) -> ClockTime {
    // One millisecond covers the rounding of both times.
    first_seen + row.length.scale(1.0 + clock_drift) + ClockTime::from_ms(1)
}
