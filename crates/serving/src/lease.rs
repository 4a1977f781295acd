//! The lease of the moves.
//!
//! One row of the store names the holder. The version with which a holder took the lease is its
//! fencing number; renewals do not change it, so that orders that overtake each other agree. The
//! holder renews the row often and gives orders while its last confirmed renewal is young. A host takes the lease over
//! after it has neither seen a newer version nor heard the holder for so long that the holder's
//! last order is older than the lease.
//!
//! The holder plans for all engines and talks to all of them. A host that knows a stronger one
//! therefore waits a little longer before it takes the lease.
//!
//! While the holder cannot reach the store, it goes on as long as every other host has heard it
//! lately: none of them takes the lease over before that is long past. One host that has not heard
//! it, dead or cut off, ends this. With many hosts, beats are too far apart for this: a holder whose
//! renewal is late asks all hosts for their word, and they answer at once.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pause between renewals.
const RENEW_PAUSE: ClockTime = ClockTime::from_ms(700);
/// Age of the last confirmed renewal up to which the holder gives orders; two renewals.
const ORDER_TIME: ClockTime = ClockTime::from_ms(1_500);
/// Age of the last confirmed renewal from which the holder asks the other hosts. A renewal that is
/// answered is younger; two rounds of questions fit in before the age at which orders end.
const ASK_AGE: ClockTime = ClockTime::from_ms(800);
/// Silence of the holder after which others read the row.
const HOLDER_SILENCE: ClockTime = ClockTime::from_ms(1_500);
/// Pause between reads of the row while the holder is silent.
const READ_PAUSE: ClockTime = ClockTime::from_ms(700);
/// Time for which a host sees no row before it writes the first one, so that hosts that start
/// together know each other by then.
const FIRST_WAIT: ClockTime = ClockTime::from_ms(1_000);
/// Time by which a host lets stronger ones take the lease first: they may just have sent a write
/// that is lost, and send another one.
const STRONGER_FIRST: ClockTime = ClockTime::from_ms(1_600);
/// Part of the take-over time that covers answers on their way, ms.
const TAKE_MARGIN: ClockTime = ClockTime::from_ms(300);

/// Content of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder.
    pub holder: HostName,
    /// Whether the holder gave it up; it gives no more orders.
    #[serde(default)]
    pub released: bool,
}

/// What a host says of the lease in its beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReport {
    /// It holds the lease and gives orders.
    Holds {
        /// Version of the row.
        version: u64,
        /// The holder's clock; others only return it.
        stamp: ClockTime,
    },
    /// It has given the lease up.
    Released {
        /// Version of the row.
        version: u64,
    },
    /// It heard the holder.
    Acknowledged {
        /// Version of the row.
        version: u64,
        /// Stamp of the newest word that it heard. A word that is read late, as after a freeze,
        /// thus shows its age by the holder's own clock.
        stamp: ClockTime,
    },
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
    /// Version with which this host took the lease.
    taken: Option<u64>,
    sent: Option<ClockTime>,
    read_at: Option<ClockTime>,
    told_at: ClockTime,
    /// Stamp of the newest word of the holder.
    stamp: ClockTime,
    /// When the other hosts last heard this one as the holder; only at the holder.
    heard_by: BTreeMap<HostName, ClockTime>,
    released: bool,
    /// Whether a stronger host may take the lease.
    yields: bool,
    /// When the row was first read after the lease had become free to take; a host that yields to
    /// stronger ones counts from then.
    free_since: Option<ClockTime>,
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
            taken: None,
            sent: None,
            read_at: None,
            told_at: now,
            stamp: ClockTime::ZERO,
            heard_by: BTreeMap::new(),
            released: false,
            yields: false,
            free_since: None,
        }
    }

    /// Notes whether a stronger host is live.
    pub fn yield_to_stronger(&mut self, is_live: bool) {
        self.yields = is_live;
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

    /// Fencing number, if orders may be given now; `others` are all other hosts that are known.
    pub fn order_fence(&self, others: &[HostName], now: ClockTime) -> Option<FencingNumber> {
        let confirmed = self.confirmed?;
        let by_store = now.since(confirmed) < ORDER_TIME;
        if by_store || self.is_heard_by_all(others, now) {
            return self.taken.map(FencingNumber);
        }
        None
    }

    fn is_heard_by_all(&self, others: &[HostName], now: ClockTime) -> bool {
        !others.is_empty()
            && others.iter().all(|host| {
                let heard = self.heard_by.get(host);
                heard.is_some_and(|at| now.since(*at) < ORDER_TIME)
            })
    }

    /// What this host says of the lease.
    pub fn report(&self, others: &[HostName], now: ClockTime) -> Option<LeaseReport> {
        let version = self.version()?;
        if self.is_holder() {
            // A holder that may give no orders keeps silent, so that another one takes over.
            return self.order_fence(others, now).map(|_| LeaseReport::Holds {
                version,
                stamp: now,
            });
        }
        let stamp = self.stamp;
        (version > 0).then_some(LeaseReport::Acknowledged { version, stamp })
    }

    /// Word with which the holder asks the other hosts, if the store confirms it late.
    pub fn confirmation_request(&self, others: &[HostName], now: ClockTime) -> Option<LeaseReport> {
        let confirmed = self.confirmed?;
        if now.since(confirmed) < ASK_AGE {
            return None;
        }
        self.report(others, now)
    }

    /// Takes what another host says of the lease.
    pub fn receive_report(&mut self, host: &HostName, report: &LeaseReport, now: ClockTime) {
        match *report {
            LeaseReport::Holds { version, stamp } => self.heard(host, version, stamp, now),
            LeaseReport::Released { version } => {
                if self.version().is_none_or(|seen| version >= seen) {
                    self.see_version(Some(host.clone()), version, now);
                    self.released = true;
                }
            }
            LeaseReport::Acknowledged { version, stamp } => {
                if self.is_holder() && self.version() == Some(version) {
                    let newest = self.heard_by.entry(host.clone()).or_default();
                    *newest = stamp.max(*newest).min(now);
                }
            }
        }
    }

    /// Gives the lease up after its row was written as released.
    pub fn release(&mut self, version: u64, now: ClockTime) {
        self.confirmed = None;
        self.note_version(version, now);
        self.released = true;
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
        if self.is_free(seen, now) {
            if self.yields {
                // While the store is away, everyone waits; its return is noticed by a read.
                let Some(free_since) = self.free_since else {
                    return self.step_read(now);
                };
                if now.since(free_since) < STRONGER_FIRST {
                    return LeaseStep::Wait;
                }
            }
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

    /// Whether the same version has been seen for so long that the lease may be taken over.
    fn is_free(&self, seen: SeenVersion, now: ClockTime) -> bool {
        let wait = if seen.version == 0 {
            FIRST_WAIT
        } else if self.released {
            self.lease_time + TAKE_MARGIN
        } else {
            self.lease_time + ORDER_TIME + TAKE_MARGIN
        };
        now.since(seen.since) >= wait
    }

    /// Takes the row that was read, or that a failed write showed.
    pub fn receive_row(&mut self, row: Option<(LeaseRow, u64)>, now: ClockTime) {
        let (holder, version, released) = match row {
            Some((row, version)) => (Some(row.holder), version, row.released),
            None => (None, 0, false),
        };
        if let Some(seen) = self.seen {
            if seen.version == version && self.is_free(seen, now) {
                self.free_since.get_or_insert(now);
            }
        }
        self.see_version(holder, version, now);
        self.released = released;
    }

    /// Takes a beat of the holder; the lease is not taken over for a while.
    fn heard(&mut self, holder: &HostName, version: u64, stamp: ClockTime, now: ClockTime) {
        if self.version().is_some_and(|seen| version < seen) || self.is_holder() {
            return;
        }
        self.told_at = now;
        self.stamp = stamp;
        self.holder = Some(holder.clone());
        self.released = false;
        self.note_version(version, now);
    }

    fn note_version(&mut self, version: u64, now: ClockTime) {
        let since = now;
        self.free_since = None;
        self.seen = Some(SeenVersion { version, since });
    }

    fn see_version(&mut self, holder: Option<HostName>, version: u64, now: ClockTime) {
        if self.seen.is_some_and(|seen| seen.version == version) {
            return;
        }
        self.note_version(version, now);
        self.holder = holder;
        self.confirmed = None;
    }

    /// Takes the success of a write that was sent at `sent`.
    pub fn write_succeeded(
        &mut self,
        own: &HostName,
        version: u64,
        sent: ClockTime,
        now: ClockTime,
    ) {
        if !self.is_holder() {
            self.taken = Some(version);
            self.heard_by.clear();
        }
        self.note_version(version, now);
        self.holder = Some(own.clone());
        self.confirmed = Some(sent);
        self.told_at = now;
        self.released = false;
    }

    /// Notes that a write failed or its fate is unknown.
    ///
    /// A holder that neither the store nor all others confirm stops being one.
    pub fn write_failed(&mut self, others: &[HostName], now: ClockTime) {
        self.read_at = None;
        if self.order_fence(others, now).is_none() {
            self.confirmed = None;
            self.heard_by.clear();
        }
    }
}
