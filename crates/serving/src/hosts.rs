//! Entry hosts: who there is, and who was heard lately.

use crate::hashing::unit_hash;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Pause between beats of a small system.
const BEAT_PAUSE: ClockTime = ClockTime::from_ms(250);
/// Hosts up to which that pause holds; beyond, it grows so that each host receives about as many
/// beats a second.
const BEAT_HOSTS: usize = 24;
/// Beats missed after which a host is left out of address answers; single datagrams get lost.
const SILENT_BEATS: f64 = 6.0;
/// Shortest age at which what a host told of its requests is dropped.
const NEWS_TIME: ClockTime = ClockTime::from_secs(2);
/// The same in beats, for many hosts; one or two datagrams may get lost.
const NEWS_BEATS: f64 = 3.0;
/// Time for which a host that was never heard counts as live; it has just started.
const START_TIME: ClockTime = ClockTime::from_secs(2);
/// Fewest addresses in an answer, as far as there are live hosts: callers need others to turn to.
const ADDRESS_MIN: usize = 8;
/// Silence after which the row of a host is removed.
const ROW_LIMIT: ClockTime = ClockTime::from_secs(30);

/// What a host says of itself in its row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Processor time that it may use, thousandths of a core; rows of older versions lack it.
    #[serde(default)]
    pub millicores: u32,
}

impl HostRecord {
    /// Processor time as a weight; never zero.
    fn strength(&self) -> f64 {
        f64::from(self.millicores.max(1))
    }

    /// Order in which hosts take on work for their failure domain.
    fn rank(&self) -> (Reverse<u32>, &HostName) {
        (Reverse(self.millicores), &self.name)
    }
}

/// What a host carries of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Hosts that take work, itself included.
    pub hosts: usize,
    /// Part of the callers that the address answers send to it, by processor time.
    pub fraction: f64,
}

impl HostShare {
    /// Share of each of `hosts` equal hosts.
    pub fn equal(hosts: usize) -> Self {
        let hosts = hosts.max(1);
        Self {
            hosts,
            fraction: 1.0 / hosts as f64,
        }
    }
}

#[derive(Clone, Debug)]
struct HostState {
    facts: HostRecord,
    known_since: ClockTime,
    heard: Option<ClockTime>,
    leaving: bool,
}

impl HostState {
    fn is_live(&self, silence: ClockTime, now: ClockTime) -> bool {
        if self.leaving {
            return false;
        }
        match self.heard {
            Some(heard) => now.since(heard) < silence,
            None => now.since(self.known_since) < START_TIME,
        }
    }
}

/// Pause between the beats of each of `count` hosts.
pub(crate) fn heartbeat_interval(count: usize) -> ClockTime {
    let factor = count as f64 / BEAT_HOSTS as f64;
    BEAT_PAUSE.scale(factor.max(1.0))
}

/// Age at which what each of `count` hosts told of its requests is dropped.
pub(crate) fn report_lifetime(count: usize) -> ClockTime {
    heartbeat_interval(count).scale(NEWS_BEATS).max(NEWS_TIME)
}

/// All hosts that one host knows.
#[derive(Clone, Debug)]
pub struct HostTable {
    own: HostRecord,
    own_leaving: bool,
    others: BTreeMap<HostName, HostState>,
}

impl HostTable {
    /// Makes a book that knows only its own host.
    pub fn new(own: HostRecord) -> Self {
        Self {
            own,
            own_leaving: false,
            others: BTreeMap::new(),
        }
    }

    /// Own row.
    pub fn own(&self) -> &HostRecord {
        &self.own
    }

    /// Takes a row.
    pub fn upsert(&mut self, facts: HostRecord, now: ClockTime) {
        if facts.name == self.own.name {
            return;
        }
        let moved = self
            .others
            .get(&facts.name)
            .is_none_or(|state| state.facts != facts);
        if moved {
            let state = HostState {
                known_since: now,
                heard: None,
                leaving: false,
                facts: facts.clone(),
            };
            self.others.insert(facts.name, state);
        }
    }

    /// Removes a row.
    pub fn remove(&mut self, name: &HostName) {
        self.others.remove(name);
    }

    /// Notes a beat.
    pub fn receive_heartbeat(&mut self, facts: &HostRecord, leaving: bool, now: ClockTime) {
        self.upsert(facts.clone(), now);
        if let Some(state) = self.others.get_mut(&facts.name) {
            state.heard = Some(now);
            state.leaving = leaving;
        }
    }

    /// Notes that the own host is leaving.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Addresses of other hosts for beats; hosts that are silent are tried as well.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.others.values().map(|state| state.facts.peer).collect()
    }

    /// Names of the other hosts; one that said that it leaves takes no lease any more.
    pub fn other_names(&self) -> Vec<HostName> {
        self.others
            .iter()
            .filter(|(_, state)| !state.leaving)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Address of one host.
    pub fn peer_address(&self, name: &HostName) -> Option<SocketAddr> {
        self.others.get(name).map(|state| state.facts.peer)
    }

    /// Pause between beats.
    pub fn heartbeat_interval(&self) -> ClockTime {
        heartbeat_interval(self.known_count())
    }

    fn silence_limit(&self) -> ClockTime {
        self.heartbeat_interval().scale(SILENT_BEATS)
    }

    /// Other hosts that take work.
    fn live(&self, now: ClockTime) -> impl Iterator<Item = &HostRecord> {
        let silence = self.silence_limit();
        self.others
            .values()
            .filter(move |state| state.is_live(silence, now))
            .map(|state| &state.facts)
    }

    /// Hosts that take work, the own one included, and its part of the callers.
    pub fn share(&self, now: ClockTime) -> HostShare {
        let (mut hosts, mut millicores) = (1, self.own.strength());
        for facts in self.live(now) {
            hosts += 1;
            millicores += facts.strength();
        }
        let fraction = self.own.strength() / millicores;
        HostShare { hosts, fraction }
    }

    /// Hosts known, the own one included.
    pub fn known_count(&self) -> usize {
        1 + self.others.len()
    }

    /// Addresses of the other hosts in the own failure domain.
    pub fn domain_peer_addresses(&self) -> Vec<SocketAddr> {
        self.others
            .values()
            .filter(|state| state.facts.domain == self.own.domain)
            .map(|state| state.facts.peer)
            .collect()
    }

    /// Returns whether this host reads the target list for its failure domain: the strongest live
    /// host does, and of several the one with the lowest name.
    pub fn is_list_reader(&self, now: ClockTime) -> bool {
        let own = self.own.rank();
        let before = self
            .live(now)
            .any(|facts| facts.domain == self.own.domain && facts.rank() < own);
        !before && !self.own_leaving
    }

    /// Returns whether a live host may use more processor time than this one.
    pub fn has_stronger(&self, now: ClockTime) -> bool {
        self.live(now)
            .any(|facts| facts.millicores > self.own.millicores)
    }

    /// Addresses for callers.
    ///
    /// Callers choose among them evenly. A host is therefore in as large a part of the answers as
    /// its processor time is of the strongest host's; `salt` is another number for each answer.
    /// Never empty: a host that is the only one left names itself.
    pub fn entry_addresses(&self, limit: usize, salt: u64, now: ClockTime) -> Vec<SocketAddr> {
        let mut live: Vec<&HostRecord> = self.live(now).collect();
        if !self.own_leaving || live.is_empty() {
            live.push(&self.own);
        }
        let strengths = live.iter().map(|facts| facts.strength());
        let strongest = strengths.fold(1.0, f64::max);
        // The draw over the strength: those below 1 are in, and of too few the lowest.
        let mut drawn: Vec<(f64, SocketAddr)> = live
            .into_iter()
            .map(|facts| {
                let fraction = facts.strength() / strongest;
                (unit_hash(&(&facts.name, salt)) / fraction, facts.entry)
            })
            .collect();
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = drawn.iter().filter(|(draw, _)| *draw < 1.0).count();
        let count = count.max(ADDRESS_MIN).min(limit);
        drawn.truncate(count);
        drawn.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Hosts whose rows can be removed.
    pub fn expired_rows(&self, now: ClockTime) -> Vec<HostName> {
        self.others
            .values()
            .filter(|state| now.since(state.heard.unwrap_or(state.known_since)) > ROW_LIMIT)
            .map(|state| state.facts.name.clone())
            .collect()
    }
}
