//! The lease of a region.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Row `leases/<region>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder.
    pub holder: HostName,
    /// Random number of the holder's process, so that a restarted host does not take the lease of
    /// its former process for its own.
    pub instance: u64,
    /// Number of the write within the holder's process.
    pub write: u64,
    /// The holder's own clock before this write was first sent; meaningless to other hosts.
    pub sent: ClockTime,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// Length of the lease.
    pub length: ClockTime,
}

/// What a host knows of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// The row was never read.
    Unread,
    /// Another host holds the lease, or nobody does.
    Watching {
        /// Version of the row, 0 if absent.
        version: u64,
        /// Row.
        row: Option<LeaseRow>,
        /// When this host first saw this version.
        first_seen: ClockTime,
    },
    /// This host holds the lease.
    Held {
        /// Version of the row.
        version: u64,
        /// Row; the lease runs from its `sent`.
        row: LeaseRow,
        /// When this host took the lease.
        acquired_at: ClockTime,
        /// Whether every intent has been read.
        scan_complete: bool,
        /// Last key of the scan so far.
        scan_cursor: Option<Arc<str>>,
    },
}

/// Returns when the holder must stop ordering, by its own clock.
pub fn holder_deadline(row: &LeaseRow, clock_drift: f64) -> ClockTime {
    row.sent + row.length.scale(1.0 - clock_drift)
}

/// Returns when a host that saw a row first at `first_seen` may take the lease, by its own clock.
pub fn earliest_takeover(row: &LeaseRow, first_seen: ClockTime, clock_drift: f64) -> ClockTime {
    // One millisecond covers the rounding of both spans.
    first_seen + row.length.scale(1.0 + clock_drift) + ClockTime::from_ms(1)
}
