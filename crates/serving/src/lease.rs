//! The lease that allows one host at a time to give orders to engines.
//!
//! One row of the store names the holder. The version of the row with which a holder took the lease
//! is its fencing number. Renewals do not change the number, so that all orders of one holder carry
//! the same one even if they overtake each other. The holder renews the row often and gives orders
//! only while its last confirmed renewal is recent. Another host takes the lease over after it has
//! seen no newer version and received no heartbeat of the holder for so long that the holder's last
//! order is older than the lease time.
//!
//! The holder plans for all engines and communicates with all of them. A host that knows a live
//! host with more processor time therefore waits a little longer before it takes the lease.
//!
//! While the holder cannot reach the store, it keeps the lease as long as every other host has
//! acknowledged a recent heartbeat: a host takes the lease over only long after the last heartbeat.
//! A single host that has not acknowledged one, because it is dead or cut off, ends the lease. A
//! leaving host is no exception, since its next process may take the lease. With
//! many hosts, heartbeats are too far apart for this rule; a holder whose renewal is late
//! therefore asks all hosts for confirmation, and they answer at once.
//!
//! A holder can only ask the hosts that it knows. It writes into the row up to which version of the
//! store it has read the hosts' rows. A host whose own row is not among them, such as one that was
//! added while the holder was cut off, waits until a holder without the store has ended its term.
//!
//! A write without an answer may have been carried out, or may be later. A holder therefore gives
//! no orders once it has sent the release of the lease. Any other write of this process that is
//! found in the row is continued: the next write expects its version.

use crate::lease_messages::{HolderNews, LeaseOwner, LeaseReport, LeaseRow};
use crocusyard_base::prelude::*;
use std::collections::BTreeMap;

/// Interval between renewals.
const RENEWAL_INTERVAL: ClockTime = ClockTime::from_ms(700);
/// Age of the last confirmed renewal, or of the acknowledgements of all hosts, up to which the
/// holder gives orders; about two renewals.
const CONFIRMATION_LIFETIME: ClockTime = ClockTime::from_ms(1_500);
/// Age of the last confirmed renewal up to which the acknowledgements of all hosts count; longer
/// than outages of the store last as a rule. A host that the holder does not know waits for longer.
const UNCONFIRMED_TERM: ClockTime = ClockTime::from_secs(300);
/// Age of the last confirmed renewal from which the holder asks the other hosts for confirmation.
/// While the store answers, the last renewal is younger than this. Two rounds of requests fit in
/// before the age from which the holder gives no more orders.
const CONFIRMATION_REQUEST_AGE: ClockTime = ClockTime::from_ms(800);
/// Time without a heartbeat or news of the holder after which other hosts read the row. With many
/// hosts, heartbeats are up to 2 s apart, and news take up to 2 s to reach all hosts.
const HOLDER_SILENCE_LIMIT: ClockTime = ClockTime::from_ms(3_000);
/// Time after its start in which a host waits for a report of the holder before it reads the row.
const FIRST_READ_DELAY: ClockTime = ClockTime::from_ms(400);
/// Time for which a host waits for news of a take-over by a stronger host before it reads the row.
const TAKEOVER_NEWS_TIME: ClockTime = ClockTime::from_ms(400);
/// Interval between reads of the row while the holder is silent.
const READ_INTERVAL: ClockTime = ClockTime::from_ms(700);
/// Longest interval between failed reads of a host that lets stronger hosts go first. They go on
/// reading at the short interval, so that the end of an outage of the store is noticed at once.
const LONGEST_READ_INTERVAL: ClockTime = ClockTime::from_ms(2_800);
/// Time for which a host finds no row before it writes the first one. Hosts that start together
/// know each other by then.
const FIRST_WRITE_DELAY: ClockTime = ClockTime::from_ms(1_000);
/// Time for which a host lets stronger hosts take the lease first: a write that one of them has
/// just sent may be lost, and it has to send another one.
const STRONGER_HOST_DELAY: ClockTime = ClockTime::from_ms(1_600);
/// Part of the time before a take-over that covers answers still on their way.
const TAKEOVER_MARGIN: ClockTime = ClockTime::from_ms(300);

/// Next call of a host to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// No call now.
    Wait,
    /// Read the lease row.
    Read,
    /// Write the lease row with this host as the holder, if the row still has the expected version.
    Write {
        /// Expected version; 0 means that the row does not exist.
        expected: u64,
    },
}

/// Which hosts the holder knew when it wrote the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownHosts {
    /// The row of this version has not been read; only the holder's reports have been received.
    Unread,
    /// The row does not state it.
    Unstated,
    /// The hosts with a row in the store up to this version.
    UpTo(u64),
}

/// Version of the row, and since when this host has seen neither a newer one nor a heartbeat of the
/// holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SeenVersion {
    version: u64,
    since: ClockTime,
    hosts: KnownHosts,
}

/// State of the lease, as known to one host.
#[derive(Clone, Debug)]
pub struct LeaseState {
    owner: LeaseOwner,
    lease_time: ClockTime,
    holder: Option<HostName>,
    seen: Option<SeenVersion>,
    /// When the last confirmed write was sent; set only at the holder.
    confirmed_at: Option<ClockTime>,
    /// Version with which this host took the lease: its fencing number.
    taken_version: Option<u64>,
    /// When the last write was sent.
    write_sent_at: Option<ClockTime>,
    /// When the last read was sent.
    read_at: Option<ClockTime>,
    /// Interval between two reads; longer after failed ones.
    read_interval: ClockTime,
    /// When the last heartbeat of the holder arrived.
    heartbeat_at: ClockTime,
    /// Stamp of the newest report of the holder.
    stamp: ClockTime,
    /// Newest stamps that the other hosts have acknowledged; used only at the holder.
    acknowledged: BTreeMap<HostName, ClockTime>,
    /// Whether the holder has given the lease up.
    released: bool,
    /// Whether this process has begun to give the lease up, after which it gives no orders.
    is_ending: bool,
    /// Version with which this process has released the lease.
    released_version: Option<u64>,
    /// Version of the store up to which this host has read the rows of the hosts.
    hosts_version: Option<u64>,
    /// Version since which the store has had a row of this host without interruption.
    listed_since: Option<u64>,
    /// Whether this host holds the lease as the first holder of the system.
    is_first: bool,
    /// Start of this host.
    started: ClockTime,
    /// Whether this host lets a stronger one take the lease first.
    yields: bool,
    /// When the row was first read after the lease had become free; the delay in favour of stronger
    /// hosts counts from then.
    free_since: Option<ClockTime>,
}

impl LeaseState {
    /// Creates the state of a host that knows nothing of the lease yet.
    ///
    /// `lease_time` is the shortest time between the orders of two holders.
    pub fn new(owner: LeaseOwner, lease_time: ClockTime, now: ClockTime) -> Self {
        Self {
            owner,
            lease_time,
            holder: None,
            seen: None,
            confirmed_at: None,
            taken_version: None,
            write_sent_at: None,
            read_at: None,
            read_interval: READ_INTERVAL,
            heartbeat_at: now,
            stamp: ClockTime::ZERO,
            acknowledged: BTreeMap::new(),
            released: false,
            is_ending: false,
            released_version: None,
            hosts_version: None,
            listed_since: None,
            is_first: false,
            started: now,
            yields: false,
            free_since: None,
        }
    }

    /// Sets whether a host with more processor time is live, which may then take the lease first.
    pub fn yield_to_stronger(&mut self, is_live: bool) {
        self.yields = is_live;
    }

    /// Records up to which version of the store this host has read the rows of the hosts.
    pub fn record_hosts_read(&mut self, version: u64) {
        self.hosts_version = self.hosts_version.max(Some(version));
    }

    /// Returns up to which version of the store this host has read the rows of the hosts; `None` if it
    /// has not read them yet.
    pub fn hosts_version(&self) -> Option<u64> {
        self.hosts_version
    }

    /// Records the version since which the store has had a row of this host without interruption.
    pub fn record_listed(&mut self, since: u64) {
        self.listed_since = Some(since);
    }

    /// Returns the row that this process writes.
    pub fn own_row(&self, released: bool) -> LeaseRow {
        LeaseRow {
            holder: self.owner.host.clone(),
            released,
            process: Some(self.owner.process),
            hosts_version: self.hosts_version,
        }
    }

    /// Returns the holder, as far as this host knows it.
    pub fn holder(&self) -> Option<&HostName> {
        self.holder.as_ref()
    }

    /// Returns the version of the row that was seen last: `None` before the first read, 0 if no row
    /// existed.
    pub fn version(&self) -> Option<u64> {
        self.seen.map(|seen| seen.version)
    }

    /// Returns whether this host holds the lease, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns the fencing number if this host may give orders now.
    ///
    /// `others` are all other hosts that are known.
    pub fn order_fence(&self, others: &[HostName], now: ClockTime) -> Option<FencingNumber> {
        let confirmed_at = self.confirmed_at.filter(|_| !self.is_ending)?;
        let is_confirmed_by_store = now.since(confirmed_at) < CONFIRMATION_LIFETIME;
        if is_confirmed_by_store || self.is_confirmed_by_all(others, now) {
            return self.taken_version.map(FencingNumber);
        }
        None
    }

    /// Returns whether every other host has acknowledged a recent report of this holder.
    fn is_confirmed_by_all(&self, others: &[HostName], now: ClockTime) -> bool {
        let is_in_term = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < UNCONFIRMED_TERM);
        is_in_term
            && !others.is_empty()
            && others.iter().all(|host| {
                let stamp = self.acknowledged.get(host);
                stamp.is_some_and(|at| now.since(*at) < CONFIRMATION_LIFETIME)
            })
    }

    /// Returns what this host reports about the lease, or `None` if it has nothing to report.
    pub fn report(&self, others: &[HostName], now: ClockTime) -> Option<LeaseReport> {
        let version = self.version()?;
        if self.released_version == Some(version) {
            return Some(LeaseReport::Released { version });
        }
        if self.is_holder() {
            // A holder that may not give orders reports nothing, so that another host takes over.
            return self.order_fence(others, now).map(|_| LeaseReport::Holds {
                version,
                stamp: now,
            });
        }
        let stamp = self.stamp;
        (version > 0).then_some(LeaseReport::Acknowledged { version, stamp })
    }

    /// Returns the report with which the holder asks the other hosts for confirmation, or `None`
    /// while the last confirmation by the store is recent enough.
    pub fn confirmation_request(&self, others: &[HostName], now: ClockTime) -> Option<LeaseReport> {
        let confirmed_at = self.confirmed_at?;
        if now.since(confirmed_at) < CONFIRMATION_REQUEST_AGE {
            return None;
        }
        self.report(others, now)
    }

    /// Applies the report of another host.
    pub fn receive_report(&mut self, host: &HostName, report: &LeaseReport, now: ClockTime) {
        match *report {
            LeaseReport::Holds { version, stamp } => self.update_holder(host, version, stamp, now),
            LeaseReport::Released { version } => {
                if self.version().is_none_or(|seen| version >= seen) {
                    self.observe_version(Some(host.clone()), version, now);
                    self.released = true;
                }
            }
            LeaseReport::Acknowledged { version, stamp } => {
                if self.is_holder() && self.version() == Some(version) {
                    let newest = self.acknowledged.entry(host.clone()).or_default();
                    *newest = stamp.max(*newest).min(now);
                }
            }
        }
    }

    /// Returns the newest report of the holder that this host passes on to others, or `None` if it
    /// has heard none recently.
    pub fn holder_news(&self, others: &[HostName], now: ClockTime) -> Option<HolderNews> {
        if self.is_holder() {
            let report = self.report(others, now);
            let Some(LeaseReport::Holds { version, stamp }) = report else {
                return None;
            };
            return Some(HolderNews {
                holder: self.owner.host.clone(),
                version,
                stamp,
            });
        }
        let is_recent = now.since(self.heartbeat_at) < HOLDER_SILENCE_LIMIT;
        let holder = self
            .holder
            .clone()
            .filter(|_| is_recent && !self.released)?;
        Some(HolderNews {
            holder,
            version: self.version()?,
            stamp: self.stamp,
        })
    }

    /// Applies news of the holder that another host passed on. Only a report that is newer than the
    /// known one shows that the holder was alive: older ones may travel between hosts for a while
    /// after its end.
    pub fn receive_holder_news(&mut self, news: &HolderNews, now: ClockTime) {
        let is_newer = match self.seen {
            None => true,
            Some(seen) if news.version == seen.version => news.stamp > self.stamp,
            Some(seen) => news.version > seen.version,
        };
        if is_newer {
            self.update_holder(&news.holder, news.version, news.stamp, now);
        }
    }

    /// Begins to give the lease up as the process stops. The release may be carried out without an
    /// answer, and so may a write by which this host takes the lease; it gives no orders from now on.
    pub fn begin_release(&mut self) {
        self.is_ending = true;
    }

    /// Returns the version that the release of the lease has to expect, or `None` if this host does
    /// not hold the lease.
    pub fn release_expected(&self) -> Option<u64> {
        self.version().filter(|_| self.is_holder())
    }

    /// Gives the lease up after the row has been written as released.
    pub fn release(&mut self, version: u64, now: ClockTime) {
        self.confirmed_at = None;
        self.set_version(version, KnownHosts::Unstated, now);
        self.released = true;
        self.released_version = Some(version);
    }

    /// Decides the next call to the store; the caller has to carry it out.
    pub fn step(&mut self, now: ClockTime) -> LeaseStep {
        if let Some(sent) = self.write_sent_at {
            if now.since(sent) < RENEWAL_INTERVAL {
                return LeaseStep::Wait;
            }
        }
        if self.confirmed_at.is_some() {
            self.write_sent_at = Some(now);
            let expected = self.version().unwrap_or(0);
            return LeaseStep::Write { expected };
        }
        let Some(seen) = self.seen else {
            if self.yields && now.since(self.started) < FIRST_READ_DELAY {
                return LeaseStep::Wait;
            }
            return self.step_read(now);
        };
        if self.is_free(seen, now) {
            if self.yields {
                if !self.is_free(seen, now.since(TAKEOVER_NEWS_TIME)) {
                    return LeaseStep::Wait;
                }
                // While the store is unavailable, no host can write. The delay in favour of
                // stronger hosts therefore starts with the first read that the store answers.
                let Some(free_since) = self.free_since else {
                    return self.step_read(now);
                };
                if now.since(free_since) < STRONGER_HOST_DELAY {
                    return LeaseStep::Wait;
                }
            }
            if seen.hosts == KnownHosts::Unread && !self.released {
                return self.step_read(now);
            }
            // The row states which hosts its holder knows.
            if self.hosts_version.is_none() {
                return LeaseStep::Wait;
            }
            self.write_sent_at = Some(now);
            return LeaseStep::Write {
                expected: seen.version,
            };
        }
        if !self.yields && now.since(self.heartbeat_at) >= HOLDER_SILENCE_LIMIT {
            return self.step_read(now);
        }
        LeaseStep::Wait
    }

    /// Reads the row unless it has just been read.
    fn step_read(&mut self, now: ClockTime) -> LeaseStep {
        if self
            .read_at
            .is_some_and(|at| now.since(at) < self.read_interval)
        {
            return LeaseStep::Wait;
        }
        self.read_at = Some(now);
        LeaseStep::Read
    }

    /// Records a read without an answer of the store.
    pub fn read_failed(&mut self) {
        if self.yields {
            self.read_interval = self.read_interval.scale(2.0).min(LONGEST_READ_INTERVAL);
        }
    }

    /// Returns whether no newer version and no heartbeat has been seen for so long that this host
    /// may take the lease.
    fn is_free(&self, seen: SeenVersion, now: ClockTime) -> bool {
        let wait = if seen.version == 0 {
            FIRST_WRITE_DELAY
        } else if self.released {
            self.lease_time + TAKEOVER_MARGIN
        } else if self.may_be_known(seen) {
            self.lease_time + CONFIRMATION_LIFETIME + TAKEOVER_MARGIN
        } else {
            self.lease_time + UNCONFIRMED_TERM + TAKEOVER_MARGIN
        };
        now.since(seen.since) >= wait
    }

    /// Returns whether the holder knows this host, so that it needs its acknowledgements, as far as
    /// the row has been read. An earlier process of this host has ended.
    fn may_be_known(&self, seen: SeenVersion) -> bool {
        match seen.hosts {
            KnownHosts::Unread | KnownHosts::Unstated => true,
            KnownHosts::UpTo(version) => {
                let is_own = self.holder.as_ref() == Some(&self.owner.host);
                is_own || self.listed_since.is_some_and(|since| since <= version)
            }
        }
    }

    /// Applies the row that a read returned, or the row that a conflicting write found. A read that
    /// is answered late may return an older row than the one that the holder has reported.
    pub fn receive_row(&mut self, row: Option<(LeaseRow, u64)>, now: ClockTime) {
        self.read_interval = READ_INTERVAL;
        let (row, version) = match row {
            Some((_, version)) if self.version().is_some_and(|seen| version < seen) => return,
            Some((row, version)) => (Some(row), version),
            None => (None, 0),
        };
        if let Some(row) = row.as_ref().filter(|row| self.is_own(row)) {
            return self.receive_own_row(row.released, version, now);
        }
        let hosts_version = row.as_ref().and_then(|row| row.hosts_version);
        let hosts = hosts_version.map_or(KnownHosts::Unstated, KnownHosts::UpTo);
        let (holder, released) = row.map_or((None, false), |row| (Some(row.holder), row.released));
        self.observe_version(holder, version, now);
        self.released = released;
        if let Some(seen) = &mut self.seen {
            seen.hosts = hosts;
        }
        if let Some(seen) = self.seen {
            // A version that has just been observed is not free yet.
            if self.is_free(seen, now) {
                self.free_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether this process has written a row.
    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.owner.host && row.process == Some(self.owner.process)
    }

    /// Applies a row that this process has written, and whose write may have had no answer.
    fn receive_own_row(&mut self, released: bool, version: u64, now: ClockTime) {
        let Some(seen) = self.seen.filter(|seen| seen.version != version) else {
            return;
        };
        if released {
            return self.release(version, now);
        }
        // The next write expects this version. It alone renews the lease or takes it: for the other
        // hosts, the lease becomes free at a time that counts from the write found here.
        self.write_sent_at = None;
        let is_continued = !self.is_holder() && self.is_free(seen, now);
        let since = if is_continued { seen.since } else { now };
        let free_since = self.free_since.filter(|_| is_continued);
        self.set_version(version, KnownHosts::Unstated, since);
        self.free_since = free_since;
        self.holder = Some(self.owner.host.clone());
        self.stamp = ClockTime::ZERO;
    }

    /// Records a heartbeat of the holder, which postpones a take-over. A holder that hears of one
    /// with a newer version has lost the lease to it.
    fn update_holder(&mut self, holder: &HostName, version: u64, stamp: ClockTime, now: ClockTime) {
        let is_older = |seen| version < seen || (version == seen && self.is_holder());
        if self.version().is_some_and(is_older) {
            return;
        }
        self.confirmed_at = None;
        self.heartbeat_at = now;
        self.stamp = stamp;
        self.holder = Some(holder.clone());
        self.released = false;
        let known = self.seen.filter(|seen| seen.version == version);
        let hosts = known.map_or(KnownHosts::Unread, |seen| seen.hosts);
        self.set_version(version, hosts, now);
    }

    /// Records a version as seen at `since`, from which the time until a take-over counts.
    fn set_version(&mut self, version: u64, hosts: KnownHosts, since: ClockTime) {
        self.free_since = None;
        self.seen = Some(SeenVersion {
            version,
            since,
            hosts,
        });
    }

    /// Records a version and its holder, unless the version is already known.
    fn observe_version(&mut self, holder: Option<HostName>, version: u64, now: ClockTime) {
        if self.seen.is_some_and(|seen| seen.version == version) {
            return;
        }
        self.set_version(version, KnownHosts::Unread, now);
        self.holder = holder;
        // Stamps of two holders cannot be compared.
        self.stamp = ClockTime::ZERO;
        self.confirmed_at = None;
    }

    /// Returns the latest time at which a former holder may have given orders, for a host that has
    /// taken the lease at `now`; `None` if it is the first holder of the system.
    pub fn former_orders_end(&self, now: ClockTime) -> Option<ClockTime> {
        (!self.is_first).then(|| now.since(self.lease_time))
    }

    /// Applies the success of a write that was sent at `sent`.
    pub fn write_succeeded(&mut self, version: u64, sent: ClockTime, now: ClockTime) {
        if !self.is_holder() {
            self.is_first = self.version().unwrap_or(0) == 0;
            self.taken_version = Some(version);
            self.acknowledged.clear();
        }
        self.set_version(version, KnownHosts::Unstated, now);
        self.holder = Some(self.owner.host.clone());
        self.confirmed_at = Some(sent);
        self.heartbeat_at = now;
        self.released = false;
    }

    /// Records that a write failed or that its result is unknown.
    ///
    /// A holder that is confirmed neither by the store nor by all other hosts gives the lease up.
    pub fn write_failed(&mut self, others: &[HostName], now: ClockTime) {
        self.read_at = None;
        if self.order_fence(others, now).is_none() {
            self.confirmed_at = None;
            self.acknowledged.clear();
        }
    }
}
