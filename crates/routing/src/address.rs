//! The address answer: which entry hosts a caller should use for a model or service.
//!
//! Rendezvous hashing ranks the live hosts for each key, so hosts agree on the ranking without
//! exchanging it, and a host's coming or going moves only the keys that it holds.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Keys whose demand is remembered; the rest count as having none.
const DEMAND_KEYS: usize = 8_192;
/// Factor of the weight from one place of the answer to the next.
const WEIGHT_STEP: f64 = 0.5;
/// Smallest weight of a host in the ranking.
const WEIGHT_MIN: f64 = 0.05;
/// Weight of the first address.
const FIRST_WEIGHT: f64 = 100.0;

/// An entry host as the ring knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryHost {
    /// Name.
    pub name: HostName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Load as a share of what the host can take.
    pub load: f64,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// A question for entry addresses.
#[derive(Clone, Debug)]
pub struct AddressQuery<'a> {
    /// Now.
    pub now: ClockTime,
    /// Model or service.
    pub key: &'a str,
    /// Hash of what identifies the caller; spreads callers over the addresses of a key.
    pub caller_hash: u64,
    /// Address that the caller used last.
    pub last_address: Option<SocketAddr>,
}

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Host.
    pub host: HostName,
    /// Address.
    pub address: SocketAddr,
    /// Weight relative to the other addresses; 0 for one to use only when the others fail.
    pub weight: u32,
}

/// Addresses for a caller, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses.
    pub addresses: Vec<EntryAddress>,
    /// How long the caller may keep the answer.
    pub ttl: ClockTime,
}

/// Tuning of the address answer.
#[derive(Clone, Debug)]
pub struct AddressTuning {
    ttl: ClockTime,
    host_timeout: ClockTime,
    overload_threshold: f64,
    host_rate: f64,
    spare_addresses: usize,
    load_weighted: bool,
}

impl Default for AddressTuning {
    fn default() -> Self {
        Self {
            ttl: ClockTime::from_secs(10),
            host_timeout: ClockTime::from_secs(3),
            overload_threshold: 0.9,
            host_rate: 2.0,
            spare_addresses: 2,
            load_weighted: true,
        }
    }
}

impl AddressTuning {
    /// Starts from the defaults.
    pub fn builder() -> AddressTuningBuilder {
        AddressTuningBuilder {
            tuning: Self::default(),
        }
    }
}

/// Builder of [`AddressTuning`].
#[derive(Clone, Debug)]
pub struct AddressTuningBuilder {
    tuning: AddressTuning,
}

impl AddressTuningBuilder {
    /// Sets how long callers may keep an answer.
    #[must_use]
    pub fn ttl(mut self, ttl: ClockTime) -> Self {
        self.tuning.ttl = ttl;
        self
    }

    /// Sets the silence after which a host is left out.
    #[must_use]
    pub fn host_timeout(mut self, span: ClockTime) -> Self {
        self.tuning.host_timeout = span;
        self
    }

    /// Sets the load from which a host is left out.
    #[must_use]
    pub fn overload_threshold(mut self, load: f64) -> Self {
        self.tuning.overload_threshold = load;
        self
    }

    /// Sets the requests a second of one key that one host takes before the width grows.
    #[must_use]
    pub fn host_rate(mut self, rate: f64) -> Self {
        self.tuning.host_rate = rate.max(f64::MIN_POSITIVE);
        self
    }

    /// Sets the number of addresses beyond the width, for use when the others fail.
    #[must_use]
    pub fn spare_addresses(mut self, spare: usize) -> Self {
        self.tuning.spare_addresses = spare;
        self
    }

    /// Sets whether loaded hosts rank lower, besides being left out when overloaded.
    #[must_use]
    pub fn load_weighted(mut self, weighted: bool) -> Self {
        self.tuning.load_weighted = weighted;
        self
    }

    /// Finishes the tuning.
    pub fn build(self) -> AddressTuning {
        self.tuning
    }
}

#[derive(Clone, Debug)]
struct RingEntry {
    host: EntryHost,
    seed: u64,
    heard: ClockTime,
}

/// Entry hosts and the demand for each key.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    tuning: AddressTuning,
    hosts: BTreeMap<HostName, RingEntry>,
    demand: HashMap<Arc<str>, f64>,
}

impl EntryDirectory {
    /// Makes an empty ring.
    pub fn new(tuning: AddressTuning) -> Self {
        Self {
            tuning,
            hosts: BTreeMap::new(),
            demand: HashMap::new(),
        }
    }

    /// Adds a host or takes news of it; counts as hearing of it.
    pub fn upsert_host(&mut self, now: ClockTime, host: EntryHost) {
        let seed = hash_text(host.name.as_str());
        let name = host.name.clone();
        let entry = RingEntry {
            host,
            seed,
            heard: now,
        };
        self.hosts.insert(name, entry);
    }

    /// Removes a host.
    pub fn remove_host(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Notes that a host was heard of.
    pub fn record_seen(&mut self, now: ClockTime, host: &HostName) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.heard = entry.heard.max(now);
        }
    }

    /// Returns a host's load; 0 for an unknown host.
    pub fn load_of(&self, host: &HostName) -> f64 {
        self.hosts.get(host).map_or(0.0, |entry| entry.host.load)
    }

    /// Takes a host's load, as a share of what it can take; smoothed over some seconds.
    pub fn set_load(&mut self, host: &HostName, load: f64) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.host.load = load;
        }
    }

    /// Marks a host as leaving or staying.
    pub fn set_leaving(&mut self, host: &HostName, leaving: bool) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.host.leaving = leaving;
        }
    }

    /// Sets the demand for a key over all hosts, requests a second.
    pub fn set_demand(&mut self, key: &str, rate: f64) {
        if rate <= 0.0 {
            self.demand.remove(key);
        } else if let Some(old) = self.demand.get_mut(key) {
            *old = rate;
        } else if self.demand.len() < DEMAND_KEYS {
            self.demand.insert(Arc::from(key), rate);
        }
    }

    /// Answers a caller.
    ///
    /// If every host is overloaded or silent, these conditions are dropped in turn: a slow answer is
    /// better than none. A leaving host is never named.
    pub fn answer(&self, query: &AddressQuery<'_>) -> AddressAnswer {
        let mut hosts = self.hosts_where(|entry| {
            self.is_heard(entry, query.now) && entry.host.load < self.tuning.overload_threshold
        });
        if hosts.is_empty() {
            hosts = self.hosts_where(|entry| self.is_heard(entry, query.now));
        }
        if hosts.is_empty() {
            hosts = self.hosts_where(|_| true);
        }
        let ranked = rank(hosts, hash_text(query.key), &self.tuning);
        let width = self.width(query.key, &ranked);
        let mut chosen = ranked;
        chosen.truncate(width + self.tuning.spare_addresses);
        order_for_caller(&mut chosen[..], width, query);
        invariant!(
            chosen.iter().all(|entry| !entry.host.leaving),
            "no_leaving_host_answered",
            "key {}",
            query.key
        );
        AddressAnswer {
            addresses: weigh(&chosen, width),
            ttl: self.tuning.ttl,
        }
    }

    fn hosts_where(&self, keep: impl Fn(&RingEntry) -> bool) -> Vec<&RingEntry> {
        self.hosts
            .values()
            .filter(|entry| !entry.host.leaving && keep(entry))
            .collect()
    }

    fn is_heard(&self, entry: &RingEntry, now: ClockTime) -> bool {
        now.since(entry.heard) < self.tuning.host_timeout
    }

    /// Returns how many hosts share the key's requests.
    fn width(&self, key: &str, ranked: &[&RingEntry]) -> usize {
        let rate = self.demand.get(key).copied().unwrap_or(0.0);
        let width = (rate / self.tuning.host_rate).ceil() as usize;
        width.max(1).min(ranked.len())
    }
}

/// Orders hosts by weighted rendezvous hash, one of each failure domain first.
///
/// The weight falls with the load, so that keys leave a loaded host one by one; without it the few
/// keys with much demand decide which host is busiest.
fn rank<'a>(hosts: Vec<&'a RingEntry>, key: u64, tuning: &AddressTuning) -> Vec<&'a RingEntry> {
    let mut scored: Vec<(f64, &RingEntry)> = hosts
        .into_iter()
        .map(|entry| (score(entry, key, tuning), entry))
        .collect();
    scored.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut places: HashMap<&DomainName, usize> = HashMap::new();
    let mut rounds: Vec<(usize, &RingEntry)> = scored
        .into_iter()
        .map(|(_, entry)| {
            let place = places.entry(&entry.host.domain).or_insert(0);
            let round = *place;
            *place += 1;
            (round, entry)
        })
        .collect();
    rounds.sort_by_key(|&(round, _)| round);
    rounds.into_iter().map(|(_, entry)| entry).collect()
}

fn score(entry: &RingEntry, key: u64, tuning: &AddressTuning) -> f64 {
    let share = (mix(entry.seed ^ key) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = if tuning.load_weighted {
        (1.0 - entry.host.load).clamp(WEIGHT_MIN, 1.0)
    } else {
        1.0
    };
    -weight / share.ln()
}

/// Rotates the first `width` hosts by the caller's hash; a usable last address goes first.
fn order_for_caller(chosen: &mut [&RingEntry], width: usize, query: &AddressQuery<'_>) {
    let width = width.min(chosen.len());
    if width == 0 {
        return;
    }
    let last = chosen[..width]
        .iter()
        .position(|entry| Some(entry.host.address) == query.last_address);
    if let Some(position) = last {
        chosen[..=position].rotate_right(1);
        return;
    }
    let start = (mix(query.caller_hash) % width as u64) as usize;
    chosen[..width].rotate_left(start);
}

fn weigh(chosen: &[&RingEntry], width: usize) -> Vec<EntryAddress> {
    let mut weight = FIRST_WEIGHT;
    let mut addresses = Vec::with_capacity(chosen.len());
    for (place, entry) in chosen.iter().enumerate() {
        // Spare addresses serve only when the others fail.
        let shown = if place < width { weight.max(1.0) } else { 0.0 };
        addresses.push(EntryAddress {
            host: entry.host.name.clone(),
            address: entry.host.address,
            weight: shown as u32,
        });
        weight *= WEIGHT_STEP;
    }
    addresses
}

fn hash_text(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Finaliser of `SplitMix64`; spreads the combination of a host's and a key's hash.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
