//! The entry hosts: which exist, which are live and how callers and work are divided among them.
//!
//! Each host writes a row about itself to the store and sends heartbeats to all other hosts. Hosts
//! differ in the processor time that they may use, here called strength; callers and the work for
//! all hosts follow it.

use crate::hashing::unit_hash;
use crate::host_news::{
    draw_near_and_far, draw_receivers, HostKey, HostNews, NewsStamp, NEWS_WINDOW, SILENCE_LIMIT,
};
use crate::relay::ReaderRank;
use crocusyard_base::heartbeat::{heartbeat_interval, HEARTBEAT_HOSTS};
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Heartbeat intervals without a heartbeat after which a host no longer counts as live and is left
/// out of address answers; single datagrams may get lost.
const SILENCE_INTERVALS: f64 = 6.0;
/// Shortest lifetime of a host's report about its requests.
const MIN_REPORT_LIFETIME: ClockTime = ClockTime::from_secs(2);
/// Lifetime of such a report in heartbeat intervals, as one or two datagrams may get lost. It
/// applies with many hosts, where it is longer than `MIN_REPORT_LIFETIME`.
const REPORT_INTERVALS: f64 = 3.0;
/// Time for which a host without any heartbeat counts as live, since it may have just started.
const STARTUP_GRACE: ClockTime = ClockTime::from_secs(2);
/// Smallest number of addresses in an answer if there are enough live hosts; callers need other
/// addresses when one fails.
const MIN_ADDRESSES: usize = 8;
/// Time without a heartbeat after which the row of a host is removed.
const ROW_LIFETIME: ClockTime = ClockTime::from_secs(30);

/// Record that a host writes about itself to its row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host; also the key of its row.
    pub name: HostName,
    /// Failure domain that the host runs in.
    pub domain: DomainName,
    /// Address that callers use.
    pub entry: SocketAddr,
    /// Address that other hosts send their messages to (UDP).
    pub peer: SocketAddr,
    /// Processor time that the host may use, thousandths of a core; 0 in rows of older versions,
    /// which lack it.
    #[serde(default)]
    pub millicores: u32,
}

impl HostRecord {
    /// Returns the processor time as a weight, which is never zero.
    fn strength(&self) -> f64 {
        f64::from(self.millicores.max(1))
    }

    /// Returns the sort key by which hosts take on work for their failure domain: the strongest
    /// first, then by name.
    fn rank(&self) -> (Reverse<u32>, &HostName) {
        (Reverse(self.millicores), &self.name)
    }
}

/// The share that one host has of all callers and calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Number of live hosts, this one included.
    pub hosts: usize,
    /// Fraction of the callers that the address answers send to this host, by processor time.
    pub fraction: f64,
    /// The same among all known hosts, also those that are leaving or silent. They may have used what
    /// is divided among the hosts a short time ago.
    pub known_fraction: f64,
}

impl HostShare {
    /// Returns the share of each of `hosts` equal hosts.
    pub fn equal(hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let fraction = 1.0 / hosts as f64;
        Self {
            hosts,
            fraction,
            known_fraction: fraction,
        }
    }
}

/// State of another host, as known to this host.
#[derive(Clone, Debug)]
struct HostState {
    record: HostRecord,
    added_at: ClockTime,
    /// When the host was last known to be alive: the arrival of its last heartbeat, or the time of
    /// the newest news of it.
    heartbeat_at: Option<ClockTime>,
    /// Stamp of the newest news of the host that other hosts have passed on.
    stamp: Option<NewsStamp>,
    leaving: bool,
}

impl HostState {
    fn new(record: HostRecord, now: ClockTime) -> Self {
        Self {
            added_at: now,
            heartbeat_at: None,
            stamp: None,
            leaving: false,
            record,
        }
    }

    /// Applies news of the host that arrived at `now`, unless this host knows newer ones.
    fn receive_news(&mut self, news: &HostNews, now: ClockTime) {
        let at = now - news.age();
        // After a long silence the host may have restarted with a lower stamp.
        let is_forgotten = self
            .heartbeat_at
            .is_none_or(|known| now.since(known) >= ROW_LIFETIME);
        let is_newer = is_forgotten || self.stamp.is_none_or(|known| news.stamp.is_after(known));
        if !is_newer {
            return;
        }
        self.stamp = Some(news.stamp);
        if self.heartbeat_at.is_none_or(|known| at > known) {
            self.heartbeat_at = Some(at);
            self.leaving = news.is_leaving();
        }
    }
}

impl HostState {
    fn is_live(&self, limit: ClockTime, now: ClockTime) -> bool {
        if self.leaving {
            return false;
        }
        match self.heartbeat_at {
            Some(heartbeat_at) => now.since(heartbeat_at) < limit,
            None => now.since(self.added_at) < STARTUP_GRACE,
        }
    }
}

/// Returns the age at which reports of a host about its requests are dropped, in a system of
/// `count` hosts.
pub(crate) fn report_lifetime(count: usize) -> ClockTime {
    heartbeat_interval(count)
        .scale(REPORT_INTERVALS)
        .max(MIN_REPORT_LIFETIME)
}

/// All entry hosts that one host knows, itself included.
#[derive(Clone, Debug)]
pub struct HostTable {
    own: HostRecord,
    own_leaving: bool,
    others: BTreeMap<HostName, HostState>,
    /// Names of the other hosts by the keys in news.
    names: HashMap<HostKey, HostName>,
    /// Stamp of this host's own news at the origin of its clock.
    first_stamp: NewsStamp,
}

impl HostTable {
    /// Creates a table that contains only its own host.
    pub fn new(own: HostRecord) -> Self {
        Self {
            own,
            own_leaving: false,
            others: BTreeMap::new(),
            names: HashMap::new(),
            first_stamp: NewsStamp::default(),
        }
    }

    /// Sets the stamp that this host's own news had at the origin of its clock. It has to rise from
    /// one process of a host to the next.
    pub fn with_first_stamp(mut self, stamp: NewsStamp) -> Self {
        self.first_stamp = stamp;
        self
    }

    /// Returns the record of this host.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// Adds a host or updates its record; a changed record counts as a host that has just started.
    pub fn upsert(&mut self, record: HostRecord, now: ClockTime) {
        if record.name == self.own.name {
            return;
        }
        let is_changed = self
            .others
            .get(&record.name)
            .is_none_or(|state| state.record != record);
        if is_changed {
            let name = record.name.clone();
            self.names.insert(HostKey::of(&name), name.clone());
            self.others.insert(name, HostState::new(record, now));
        }
    }

    /// Removes a host whose row was removed.
    pub fn remove(&mut self, name: &HostName) {
        self.others.remove(name);
        self.names.remove(&HostKey::of(name));
    }

    /// Records a heartbeat of another host that arrived at `at`.
    pub fn receive_heartbeat(&mut self, record: &HostRecord, leaving: bool, at: ClockTime) {
        self.upsert(record.clone(), at);
        if let Some(state) = self.others.get_mut(&record.name) {
            state.heartbeat_at = state.heartbeat_at.max(Some(at));
            state.leaving = leaving;
        }
    }

    /// Returns the news that this host passes on in one round, and the hosts that it sends them
    /// to; `None` while heartbeats alone are frequent enough. `salt` has to differ between rounds.
    pub fn news_round(
        &self,
        salt: u64,
        now: ClockTime,
    ) -> Option<(Vec<SocketAddr>, Vec<HostNews>)> {
        if self.is_small() {
            return None;
        }
        let receivers = draw_receivers(&self.live_or_all(now), &self.own.domain, salt);
        let mut news = vec![HostNews::new(
            HostKey::of(&self.own.name),
            self.first_stamp.at(now),
            ClockTime::ZERO,
            self.own_leaving,
        )];
        for (name, state) in &self.others {
            let (Some(stamp), Some(at)) = (state.stamp, state.heartbeat_at) else {
                continue;
            };
            let age = now.since(at);
            if age < NEWS_WINDOW {
                news.push(HostNews::new(HostKey::of(name), stamp, age, state.leaving));
            }
        }
        Some((receivers, news))
    }

    /// Draws the hosts that this one asks for what it missed before its start: one of its failure
    /// domain and one of another, where there are any. `salt` has to differ between draws.
    pub fn draw_sources(&self, salt: u64, now: ClockTime) -> Vec<SocketAddr> {
        draw_near_and_far(&self.live_or_all(now), &self.own.domain, salt)
    }

    /// Returns the live hosts, or all other hosts if none is known to be live.
    fn live_or_all(&self, now: ClockTime) -> Vec<&HostRecord> {
        let live: Vec<&HostRecord> = self.live(now).collect();
        if live.is_empty() {
            return self.others.values().map(|state| &state.record).collect();
        }
        live
    }

    /// Applies news that another host passed on and that arrived at `at`. News of unknown hosts are
    /// ignored: their records come with their heartbeats.
    pub fn receive_news(&mut self, news: &[HostNews], at: ClockTime) {
        for item in news {
            let name = self.names.get(&item.key);
            if let Some(state) = name.and_then(|name| self.others.get_mut(name)) {
                state.receive_news(item, at);
            }
        }
    }

    /// Marks this host as leaving.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Returns the addresses of all other hosts for heartbeats, including those of silent hosts.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.others
            .values()
            .map(|state| state.record.peer)
            .collect()
    }

    /// Returns the names of the other hosts that may take the lease. Leaving hosts are among them:
    /// their next processes may take it.
    pub fn other_names(&self) -> Vec<HostName> {
        self.others.keys().cloned().collect()
    }

    /// Returns the address for messages to another host, or `None` if the host is not known.
    pub fn peer_address(&self, name: &HostName) -> Option<SocketAddr> {
        self.others.get(name).map(|state| state.record.peer)
    }

    /// Returns the interval between heartbeats for the number of known hosts.
    pub fn heartbeat_interval(&self) -> ClockTime {
        heartbeat_interval(self.known_count())
    }

    /// Time without a heartbeat after which a host no longer counts as live.
    fn silence_limit(&self) -> ClockTime {
        let by_heartbeats = self.heartbeat_interval().scale(SILENCE_INTERVALS);
        by_heartbeats.min(SILENCE_LIMIT)
    }

    /// Iterates over the other hosts that are live and not leaving.
    fn live(&self, now: ClockTime) -> impl Iterator<Item = &HostRecord> {
        let limit = self.silence_limit();
        self.others
            .values()
            .filter(move |state| state.is_live(limit, now))
            .map(|state| &state.record)
    }

    /// Returns whether another host is known to be live and not leaving.
    pub fn is_live(&self, name: &HostName, now: ClockTime) -> bool {
        let limit = self.silence_limit();
        let state = self.others.get(name);
        state.is_some_and(|state| state.is_live(limit, now))
    }

    /// Returns the number of live hosts and the fraction of the callers that this host gets.
    pub fn share(&self, now: ClockTime) -> HostShare {
        let (mut hosts, mut millicores) = (1, self.own.strength());
        for record in self.live(now) {
            hosts += 1;
            millicores += record.strength();
        }
        let known: f64 = self.weights().map(|(_, weight, _)| weight).sum();
        HostShare {
            hosts,
            fraction: self.own.strength() / millicores,
            known_fraction: self.own.strength() / known,
        }
    }

    /// Iterates over all known hosts, live or not, with their processor times as weights and whether
    /// they are leaving.
    pub fn weights(&self) -> impl Iterator<Item = (&HostName, f64, bool)> {
        let own = (&self.own, self.own_leaving);
        let others = self.others.values();
        std::iter::once(own)
            .chain(others.map(|state| (&state.record, state.leaving)))
            .map(|(record, leaving)| (&record.name, record.strength(), leaving))
    }

    /// Returns the number of known hosts, this one included.
    pub fn known_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Returns whether hosts are so few that each can talk to every other one, and to the store,
    /// several times a second.
    pub fn is_small(&self) -> bool {
        self.known_count() <= HEARTBEAT_HOSTS
    }

    /// Returns the addresses for messages to the other hosts in the failure domain of this host.
    pub fn domain_peer_addresses(&self) -> Vec<SocketAddr> {
        self.others
            .values()
            .filter(|state| state.record.domain == self.own.domain)
            .map(|state| state.record.peer)
            .collect()
    }

    /// Returns whether this host reads the store for its failure domain. The strongest live host
    /// does; among equally strong hosts, the one with the lowest name.
    pub fn is_list_reader(&self, now: ClockTime) -> bool {
        self.reader_rank(now) == ReaderRank::READER
    }

    /// Returns the place of this host among the live hosts of its failure domain, in the order in
    /// which they read the store. A leaving host comes last.
    pub fn reader_rank(&self, now: ClockTime) -> ReaderRank {
        if self.own_leaving {
            return ReaderRank(usize::MAX);
        }
        let own = self.own.rank();
        let before = self
            .live(now)
            .filter(|record| record.domain == self.own.domain && record.rank() < own);
        ReaderRank(before.count())
    }

    /// Returns whether a live host may use more processor time than this one.
    pub fn has_stronger(&self, now: ClockTime) -> bool {
        self.live(now)
            .any(|record| record.millicores > self.own.millicores)
    }

    /// Draws the addresses for an answer to a caller, at most `limit`.
    ///
    /// Callers choose among the addresses of an answer evenly. The probability that a host is in an
    /// answer is therefore its processor time divided by that of the strongest host. `salt` has to
    /// differ between answers. The answer is never empty: a leaving host that knows no live host
    /// returns its own address.
    pub fn entry_addresses(&self, limit: usize, salt: u64, now: ClockTime) -> Vec<SocketAddr> {
        // A row alone may be that of a host which is off.
        let silence_limit = self.silence_limit();
        let mut live: Vec<&HostRecord> = self
            .others
            .values()
            .filter(|state| state.heartbeat_at.is_some() && state.is_live(silence_limit, now))
            .map(|state| &state.record)
            .collect();
        if !self.own_leaving || live.is_empty() {
            live.push(&self.own);
        }
        let strengths = live.iter().map(|record| record.strength());
        let strongest = strengths.fold(1.0, f64::max);
        // For each host, a random number is divided by the relative strength of the host. Hosts
        // with a quotient below 1 are in the answer; if these are too few, the hosts with the
        // lowest quotients are.
        let mut drawn: Vec<(f64, SocketAddr)> = live
            .into_iter()
            .map(|record| {
                let fraction = record.strength() / strongest;
                (unit_hash(&(&record.name, salt)) / fraction, record.entry)
            })
            .collect();
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = drawn.iter().filter(|(quotient, _)| *quotient < 1.0).count();
        let count = count.max(MIN_ADDRESSES).min(limit);
        drawn.truncate(count);
        drawn.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the hosts whose rows can be removed since they have been silent for too long.
    pub fn expired_rows(&self, now: ClockTime) -> Vec<HostName> {
        self.others
            .values()
            .filter(|state| now.since(state.heartbeat_at.unwrap_or(state.added_at)) > ROW_LIFETIME)
            .map(|state| state.record.name.clone())
            .collect()
    }
}
