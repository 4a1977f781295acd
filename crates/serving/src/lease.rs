//! The lease of the moves.
//!
//! One row of the store names the holder; its version is the fencing number. The holder renews it
//! often and gives orders only while its last confirmed renewal is young. A host takes the lease
//! over after it has seen the same version for so long that the former holder's last order is
//! older than the lease.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Pause between renewals.
const RENEW_PAUSE: ClockTime = ClockTime::from_ms(700);
/// Age of the last confirmed renewal up to which the holder gives orders; two renewals.
const ORDER_TIME: ClockTime = ClockTime::from_ms(1_500);
/// Silence of the holder after which others read the row.
const HOLDER_SILENCE: ClockTime = ClockTime::from_ms(1_500);
/// Pause between reads of the row while the holder is silent.
const READ_PAUSE: ClockTime = ClockTime::from_ms(700);
/// Part of the take-over time that covers answers on their way, ms.
const TAKE_MARGIN: ClockTime = ClockTime::from_ms(300);

/// Content of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder.
    pub holder: HostName,
}

/// Next call of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// None now.
    Wait,
    /// Read the row.
    Read,
    /// Write the row, if it still has this version (0: does not exist).
    Write {
        /// Version.
        expected: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeenVersion {
    version: u64,
    since: ClockTime,
}

/// View of one host on the lease.
#[derive(Clone, Debug)]
pub struct LeaseState {
    lease_time: ClockTime,
    holder: Option<HostName>,
    seen: Option<SeenVersion>,
    /// Time at which the last confirmed write was sent; only at the holder.
    confirmed: Option<ClockTime>,
    sent: Option<ClockTime>,
    read_at: Option<ClockTime>,
    told_at: ClockTime,
}

impl LeaseState {
    /// Makes a view that knows nothing.
    ///
    /// `lease_time` is the shortest time between orders of two holders.
    pub fn new(lease_time: ClockTime, now: ClockTime) -> Self {
        Self {
            lease_time,
            holder: None,
            seen: None,
            confirmed: None,
            sent: None,
            read_at: None,
            told_at: now,
        }
    }

    /// Holder, as far as known.
    pub fn holder(&self) -> Option<&HostName> {
        self.holder.as_ref()
    }

    /// Version of the row that was seen last.
    pub fn version(&self) -> Option<u64> {
        self.seen.map(|seen| seen.version)
    }

    /// Returns whether this host holds the lease, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Fencing number, if orders may be given now.
    pub fn order_fence(&self, now: ClockTime) -> Option<FencingNumber> {
        let confirmed = self.confirmed?;
        if now.since(confirmed) >= ORDER_TIME {
            return None;
        }
        self.version().map(FencingNumber)
    }

    /// Decides the next call.
    pub fn step(&mut self, now: ClockTime) -> LeaseStep {
        if let Some(sent) = self.sent {
            if now.since(sent) < RENEW_PAUSE {
                return LeaseStep::Wait;
            }
        }
        if self.confirmed.is_some() {
            self.sent = Some(now);
            let expected = self.version().unwrap_or(0);
            return LeaseStep::Write { expected };
        }
        let Some(seen) = self.seen else {
            return self.step_read(now);
        };
        if seen.version == 0 || now.since(seen.since) >= self.take_time() {
            self.sent = Some(now);
            return LeaseStep::Write {
                expected: seen.version,
            };
        }
        if now.since(self.told_at) >= HOLDER_SILENCE {
            return self.step_read(now);
        }
        LeaseStep::Wait
    }

    fn step_read(&mut self, now: ClockTime) -> LeaseStep {
        if self.read_at.is_some_and(|at| now.since(at) < READ_PAUSE) {
            return LeaseStep::Wait;
        }
        self.read_at = Some(now);
        LeaseStep::Read
    }

    /// Time for which the same version is seen before the lease is taken over.
    fn take_time(&self) -> ClockTime {
        self.lease_time + ORDER_TIME + TAKE_MARGIN
    }

    /// Takes the row that was read, or that a failed write showed.
    pub fn saw(&mut self, row: Option<(LeaseRow, u64)>, now: ClockTime) {
        let (holder, version) = match row {
            Some((row, version)) => (Some(row.holder), version),
            None => (None, 0),
        };
        self.see_version(holder, version, now);
    }

    /// Takes what the holder told in a beat.
    pub fn heard(&mut self, holder: &HostName, version: u64, now: ClockTime) {
        if self.version().is_none_or(|seen| version >= seen) {
            self.told_at = now;
        }
        if self.version().is_none_or(|seen| version > seen) {
            self.see_version(Some(holder.clone()), version, now);
        }
    }

    fn see_version(&mut self, holder: Option<HostName>, version: u64, now: ClockTime) {
        if self.seen.is_some_and(|seen| seen.version == version) {
            return;
        }
        self.seen = Some(SeenVersion {
            version,
            since: now,
        });
        self.holder = holder;
        self.confirmed = None;
    }

    /// Takes the success of a write that was sent at `sent`.
    pub fn written(&mut self, own: &HostName, version: u64, sent: ClockTime, now: ClockTime) {
        self.seen = Some(SeenVersion {
            version,
            since: now,
        });
        self.holder = Some(own.clone());
        self.confirmed = Some(sent);
        self.told_at = now;
    }

    /// Takes a write whose fate is unknown; the row is read before the next one.
    pub fn write_lost(&mut self, now: ClockTime) {
        self.read_at = None;
        if self
            .confirmed
            .is_some_and(|at| now.since(at) >= self.lease_time)
        {
            self.confirmed = None;
        }
    }
}
