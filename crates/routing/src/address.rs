//! Directory of entry hosts: which hosts a caller should send requests for a model or service to.
//!
//! Rendezvous hashing ranks the live hosts for each key. All hosts compute the same ranking without
//! exchanging it, and a host that joins or leaves moves only its own keys.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest number of keys with a recorded demand; further keys count as having no demand.
const MAX_DEMAND_KEYS: usize = 8_192;
/// Ratio of the weight of an address to the weight of the address before it in the answer.
const ADDRESS_WEIGHT_RATIO: f64 = 0.5;
/// Smallest ranking weight of a host, reached as its load nears 1.0.
const MIN_RANKING_WEIGHT: f64 = 0.05;
/// Weight of the first address of an answer.
const FIRST_ADDRESS_WEIGHT: f64 = 100.0;

/// State of an entry host that the directory uses to rank it.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryHost {
    /// Unique name, hashed for the ranking.
    pub name: HostName,
    /// Address on which the host accepts callers.
    pub address: SocketAddr,
    /// Failure domain; the first addresses of an answer are in different domains.
    pub domain: DomainName,
    /// Load as a fraction of the host's capacity; 1.0 is full.
    pub load: f64,
    /// Whether the host is leaving; answers never contain a leaving host.
    pub leaving: bool,
}

/// Query for the entry addresses of one key.
#[derive(Clone, Debug)]
pub struct AddressQuery<'a> {
    /// Current time.
    pub now: ClockTime,
    /// Name of the model or service that the caller wants to use.
    pub key: &'a str,
    /// Hash of the caller's identity; spreads the callers of a key over its addresses.
    pub caller_hash: u64,
    /// Address that the caller used last, if any; it stays first while it is among the primary
    /// ones.
    pub last_address: Option<SocketAddr>,
}

/// Address of one entry host in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the entry host.
    pub host: HostName,
    /// Address on which the host accepts callers.
    pub address: SocketAddr,
    /// Weight relative to the other addresses; 0 for a spare address, used only when the others
    /// fail.
    pub weight: u32,
}

/// Answer to an [`AddressQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Primary addresses, best first, then spare ones; empty if no host is known
    /// that is not leaving.
    pub addresses: Vec<EntryAddress>,
    /// Time for which the caller may keep the answer.
    pub ttl: ClockTime,
}

/// Tuning of the [`EntryDirectory`].
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
    /// Sets the time for which callers may keep an answer.
    #[must_use]
    pub fn ttl(mut self, ttl: ClockTime) -> Self {
        self.tuning.ttl = ttl;
        self
    }

    /// Sets the time without contact after which a host is left out of answers.
    #[must_use]
    pub fn host_timeout(mut self, timeout: ClockTime) -> Self {
        self.tuning.host_timeout = timeout;
        self
    }

    /// Sets the load at which a host is left out of answers, as a fraction of its capacity.
    #[must_use]
    pub fn overload_threshold(mut self, load: f64) -> Self {
        self.tuning.overload_threshold = load;
        self
    }

    /// Sets the requests per second for one key that one primary host takes.
    ///
    /// A key with more demand gets more primary hosts.
    #[must_use]
    pub fn host_rate(mut self, rate: f64) -> Self {
        self.tuning.host_rate = rate.max(f64::MIN_POSITIVE);
        self
    }

    /// Sets the number of spare addresses after the primary ones, used only when the others fail.
    #[must_use]
    pub fn spare_addresses(mut self, spare: usize) -> Self {
        self.tuning.spare_addresses = spare;
        self
    }

    /// Sets whether load lowers the rank of a host that is not overloaded.
    #[must_use]
    pub fn load_weighted(mut self, weighted: bool) -> Self {
        self.tuning.load_weighted = weighted;
        self
    }

    /// Returns the finished tuning.
    pub fn build(self) -> AddressTuning {
        self.tuning
    }
}

/// Entry host with the hash of its name and the time of the last contact.
#[derive(Clone, Debug)]
struct HostEntry {
    host: EntryHost,
    name_hash: u64,
    last_seen: ClockTime,
}

/// Entry hosts and the demand for each key, from which callers get their addresses.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    tuning: AddressTuning,
    hosts: BTreeMap<HostName, HostEntry>,
    /// Requests per second of each key.
    demand: HashMap<Arc<str>, f64>,
}

impl EntryDirectory {
    /// Creates an empty directory.
    pub fn new(tuning: AddressTuning) -> Self {
        Self {
            tuning,
            hosts: BTreeMap::new(),
            demand: HashMap::new(),
        }
    }

    /// Adds a host or replaces its state, and records `now` as the time of the last contact.
    pub fn upsert_host(&mut self, now: ClockTime, host: EntryHost) {
        let name_hash = hash_text(host.name.as_str());
        let name = host.name.clone();
        let entry = HostEntry {
            host,
            name_hash,
            last_seen: now,
        };
        self.hosts.insert(name, entry);
    }

    /// Removes a host; an unknown one is ignored.
    pub fn remove_host(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// Records that a host showed a sign of life.
    pub fn record_seen(&mut self, now: ClockTime, host: &HostName) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.last_seen = entry.last_seen.max(now);
        }
    }

    /// Returns a host's load as a fraction of its capacity; 0 for an unknown host.
    pub fn load_of(&self, host: &HostName) -> f64 {
        self.hosts.get(host).map_or(0.0, |entry| entry.host.load)
    }

    /// Sets a host's load as a fraction of its capacity. The caller smooths it over some seconds.
    pub fn set_load(&mut self, host: &HostName, load: f64) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.host.load = load;
        }
    }

    /// Marks a host as leaving, or as staying if `leaving` is false.
    pub fn set_leaving(&mut self, host: &HostName, leaving: bool) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.host.leaving = leaving;
        }
    }

    /// Sets the demand for a key over all hosts, in requests per second.
    pub fn set_demand(&mut self, key: &str, rate: f64) {
        if rate <= 0.0 {
            self.demand.remove(key);
        } else if let Some(old) = self.demand.get_mut(key) {
            *old = rate;
        } else if self.demand.len() < MAX_DEMAND_KEYS {
            self.demand.insert(Arc::from(key), rate);
        }
    }

    /// Returns the addresses that a caller should use.
    ///
    /// Overloaded hosts and hosts past the timeout are left out. If no host remains, overloaded
    /// hosts are accepted, and if there is still none, hosts past the timeout as well: a slow
    /// answer is better than none. A leaving host is never returned.
    pub fn answer(&self, query: &AddressQuery<'_>) -> AddressAnswer {
        let mut hosts = self.filter_hosts(|entry| {
            self.is_live(entry, query.now) && entry.host.load < self.tuning.overload_threshold
        });
        if hosts.is_empty() {
            hosts = self.filter_hosts(|entry| self.is_live(entry, query.now));
        }
        if hosts.is_empty() {
            hosts = self.filter_hosts(|_| true);
        }
        let ranked = rank(hosts, hash_text(query.key), &self.tuning);
        let primaries = self.primary_count(query.key, &ranked);
        let mut chosen = ranked;
        chosen.truncate(primaries + self.tuning.spare_addresses);
        order_for_caller(&mut chosen[..], primaries, query);
        invariant!(
            chosen.iter().all(|entry| !entry.host.leaving),
            "no_leaving_host_answered",
            "the answer for key {} contains a leaving host",
            query.key
        );
        AddressAnswer {
            addresses: assign_weights(&chosen, primaries),
            ttl: self.tuning.ttl,
        }
    }

    /// Returns the hosts that are not leaving and for which `keep` returns true.
    fn filter_hosts(&self, keep: impl Fn(&HostEntry) -> bool) -> Vec<&HostEntry> {
        self.hosts
            .values()
            .filter(|entry| !entry.host.leaving && keep(entry))
            .collect()
    }

    /// Returns whether the last contact with a host is within the timeout.
    fn is_live(&self, entry: &HostEntry, now: ClockTime) -> bool {
        now.since(entry.last_seen) < self.tuning.host_timeout
    }

    /// Returns the number of primary hosts, which share the requests for the key.
    fn primary_count(&self, key: &str, ranked: &[&HostEntry]) -> usize {
        let rate = self.demand.get(key).copied().unwrap_or(0.0);
        let needed = (rate / self.tuning.host_rate).ceil() as usize;
        needed.max(1).min(ranked.len())
    }
}

/// Orders hosts by weighted rendezvous hash, in rounds of one host from each failure domain.
///
/// The first round has the best host of each domain, the second round the next best, and so on.
///
/// The weight falls as the load rises, so that keys leave a loaded host one by one. Without the
/// weight, the few keys with high demand decide which host is busiest.
fn rank<'a>(hosts: Vec<&'a HostEntry>, key: u64, tuning: &AddressTuning) -> Vec<&'a HostEntry> {
    let mut scored: Vec<(f64, &HostEntry)> = hosts
        .into_iter()
        .map(|entry| (score(entry, key, tuning), entry))
        .collect();
    scored.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut domain_counts: HashMap<&DomainName, usize> = HashMap::new();
    let mut rounds: Vec<(usize, &HostEntry)> = scored
        .into_iter()
        .map(|(_, entry)| {
            let count = domain_counts.entry(&entry.host.domain).or_insert(0);
            let round = *count;
            *count += 1;
            (round, entry)
        })
        .collect();
    rounds.sort_by_key(|&(round, _)| round);
    rounds.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the score of weighted rendezvous hashing; the highest score ranks first.
fn score(entry: &HostEntry, key: u64, tuning: &AddressTuning) -> f64 {
    let uniform = (mix_hash(entry.name_hash ^ key) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = if tuning.load_weighted {
        (1.0 - entry.host.load).clamp(MIN_RANKING_WEIGHT, 1.0)
    } else {
        1.0
    };
    -weight / uniform.ln()
}

/// Rotates the primary hosts by the caller's hash, or moves the caller's last address to the front
/// if that host is among them.
fn order_for_caller(chosen: &mut [&HostEntry], primaries: usize, query: &AddressQuery<'_>) {
    let primaries = primaries.min(chosen.len());
    if primaries == 0 {
        return;
    }
    let last = chosen[..primaries]
        .iter()
        .position(|entry| Some(entry.host.address) == query.last_address);
    if let Some(position) = last {
        chosen[..=position].rotate_right(1);
        return;
    }
    let start = (mix_hash(query.caller_hash) % primaries as u64) as usize;
    chosen[..primaries].rotate_left(start);
}

/// Gives the primary hosts falling weights, and the spare ones a weight of 0.
fn assign_weights(chosen: &[&HostEntry], primaries: usize) -> Vec<EntryAddress> {
    let mut weight = FIRST_ADDRESS_WEIGHT;
    let mut addresses = Vec::with_capacity(chosen.len());
    for (position, entry) in chosen.iter().enumerate() {
        let address_weight = if position < primaries {
            weight.max(1.0)
        } else {
            0.0
        };
        addresses.push(EntryAddress {
            host: entry.host.name.clone(),
            address: entry.host.address,
            weight: address_weight as u32,
        });
        weight *= ADDRESS_WEIGHT_RATIO;
    }
    addresses
}

/// Returns the first 64 bits of the BLAKE3 hash of a text.
fn hash_text(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Finaliser of `SplitMix64`; spreads the combined hashes of a host and a key evenly.
fn mix_hash(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
