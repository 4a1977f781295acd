//! Targets: what they told the store, what they hold and how loaded they are.

use crate::peer_reports::PeerReports;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Age up to which a told load is used; about one beat of the hosts.
const TOLD_LOAD_TIME: ClockTime = ClockTime::from_ms(300);
/// First time for which a target that failed is avoided.
const AVOID_FIRST: ClockTime = ClockTime::from_ms(500);
/// Longest time for which a target that failed is avoided.
const AVOID_LONGEST: ClockTime = ClockTime::from_secs(4);
/// Time without failures after which the first avoid time holds again.
const AVOID_RESET: ClockTime = ClockTime::from_secs(5);
/// Time for which a notice of the lease holder goes before the target's record: the pause between
/// two writes of a target, and the delay until they are read.
const NOTICE_TIME: ClockTime = ClockTime::from_secs(3);
/// Time for which calls for a model are kept away from a target that refused one; the notice of
/// the unload comes within it.
const REFUSING_TIME: ClockTime = ClockTime::from_ms(500);
/// Time for which a call that a target refused as full keeps others away.
const FULL_TIME: ClockTime = ClockTime::from_ms(100);

/// Models with their adapters on an engine.
pub type HeldModels = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// What an engine holds, as of a number of accepted orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHoldings {
    /// Orders accepted.
    pub accepted_orders: u64,
    /// Models with their adapters.
    pub models: HeldModels,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name.
    pub name: TargetName,
    /// Service.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Start of the incarnation, Unix ms by the target's own clock.
    pub incarnation: u64,
    /// Number of the write; it rises within an incarnation.
    pub sequence: u64,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models with their adapters.
    pub models: HeldModels,
    /// Models whose weights are in the engine's memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights are on the engine's disk.
    pub on_disk: BTreeSet<ModelName>,
}

impl TargetRecord {
    /// Returns whether another write of the same target says the same.
    pub fn has_same_content(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.sequence = self.sequence;
        *self == other
    }
}

/// Load that a target told with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct ToldLoad {
    load: TargetLoad,
    own: u32,
    at: ClockTime,
}

/// State of one target in one host.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// What it says of itself.
    pub record: TargetRecord,
    /// Models with their adapters, by the newest source.
    pub models: HeldModels,
    noticed: Option<ClockTime>,
    /// Own requests in progress there.
    pub in_flight: u32,
    /// Requests of the other hosts in progress there, as they told last.
    others: u32,
    told: Option<ToldLoad>,
    avoid_until: ClockTime,
    avoid_time: ClockTime,
    last_failure: ClockTime,
    /// Models for which it refused calls, until when they are kept away.
    refusing: BTreeMap<ModelName, ClockTime>,
    full_until: ClockTime,
}

impl TargetState {
    fn new(record: TargetRecord) -> Self {
        Self {
            models: record.models.clone(),
            noticed: None,
            record,
            in_flight: 0,
            others: 0,
            told: None,
            avoid_until: ClockTime::ZERO,
            avoid_time: AVOID_FIRST,
            last_failure: ClockTime::ZERO,
            refusing: BTreeMap::new(),
            full_until: ClockTime::ZERO,
        }
    }

    /// Requests in progress there, from all hosts, as far as known.
    ///
    /// What the target told counts the requests of all hosts but is only as new as its last
    /// answer; what the hosts told is only as new as their last beat.
    pub fn load(&self, now: ClockTime) -> u32 {
        let shared = self.in_flight + self.others;
        match self.told {
            Some(told) if now.since(told.at) < TOLD_LOAD_TIME => {
                let all = told.load.running + told.load.waiting;
                shared.max(all.saturating_sub(told.own) + self.in_flight)
            }
            _ => shared,
        }
    }

    /// Age of the load that it told last.
    pub fn load_age(&self, now: ClockTime) -> Option<ClockTime> {
        self.told.map(|told| now.since(told.at))
    }

    /// Requests that run at once.
    pub fn slots(&self) -> u32 {
        self.record.slots.max(1)
    }

    /// Returns whether it is avoided after a failure.
    pub fn is_avoided(&self, now: ClockTime) -> bool {
        now < self.avoid_until
    }

    /// Returns whether it has a place for a call that needs a model, or none.
    ///
    /// For a plain call, what other hosts told is left out: it is older than such a call runs.
    pub fn has_place(&self, model: Option<&ModelName>, now: ClockTime) -> bool {
        let used = match model {
            Some(_) => self.load(now),
            None => self.in_flight,
        };
        let refusing = model.is_some_and(|model| self.is_refusing(model, now));
        !refusing && now >= self.full_until && used < self.slots()
    }

    /// Returns whether it holds a model and, if one is named, an adapter.
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models
            .get(model)
            .is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter)))
    }

    /// Returns whether it refused calls for a model just now.
    fn is_refusing(&self, model: &ModelName, now: ClockTime) -> bool {
        self.refusing.get(model).is_some_and(|until| now < *until)
    }

    fn record_failure(&mut self, now: ClockTime) {
        if now.since(self.last_failure) > AVOID_RESET {
            self.avoid_time = AVOID_FIRST;
        }
        self.last_failure = now;
        self.avoid_until = now + self.avoid_time;
        let doubled = self.avoid_time + self.avoid_time;
        self.avoid_time = doubled.min(AVOID_LONGEST);
    }
}

/// Short key of a target in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub u32);

impl TargetKey {
    /// Key of a target; two targets with the same key only look more loaded than they are.
    pub fn of(name: &TargetName) -> Self {
        Self(short_key(&[name.as_str()]))
    }
}

/// First bytes of a hash of names, for messages between hosts.
pub(crate) fn short_key(names: &[&str]) -> u32 {
    let hash = blake3::hash(names.join("\0").as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Requests of one host in progress, by target.
pub type HostLoad = BTreeMap<TargetKey, u16>;

/// All targets of a host.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    states: BTreeMap<TargetName, TargetState>,
    names: BTreeMap<TargetKey, TargetName>,
    peers: PeerReports<HostLoad>,
}

impl TargetTable {
    /// Takes what a target says of itself; an older incarnation is ignored.
    pub fn upsert(&mut self, record: TargetRecord, now: ClockTime) {
        let Some(state) = self.states.get_mut(&record.name) else {
            let name = record.name.clone();
            self.names.insert(TargetKey::of(&name), name.clone());
            self.states.insert(name, TargetState::new(record));
            return;
        };
        let older = (record.incarnation, record.sequence)
            < (state.record.incarnation, state.record.sequence);
        if older {
            return;
        }
        if record.incarnation > state.record.incarnation {
            let (in_flight, others) = (state.in_flight, state.others);
            *state = TargetState::new(record);
            state.in_flight = in_flight;
            state.others = others;
            return;
        }
        if state.noticed.is_none_or(|at| now.since(at) >= NOTICE_TIME) {
            state.models = record.models.clone();
        }
        let leaving = state.record.leaving;
        state.record = record;
        state.record.leaving |= leaving;
    }

    /// Takes newer holdings than the record's, from the lease holder.
    pub fn update_holdings(
        &mut self,
        name: &TargetName,
        incarnation: u64,
        models: HeldModels,
        now: ClockTime,
    ) {
        if let Some(state) = self.states.get_mut(name) {
            if state.record.incarnation == incarnation {
                state.models = models;
                state.noticed = Some(now);
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, name: &TargetName) -> Option<TargetState> {
        self.names.remove(&TargetKey::of(name));
        self.states.remove(name)
    }

    /// Finds a target.
    pub fn get(&self, name: &TargetName) -> Option<&TargetState> {
        self.states.get(name)
    }

    /// All targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.states.values()
    }

    /// Targets of a service that take work.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.states
            .values()
            .filter(move |state| state.record.service == *service && !state.record.leaving)
    }

    /// Counts a request that is sent.
    pub fn count_sent(&mut self, name: &TargetName) {
        if let Some(state) = self.states.get_mut(name) {
            state.in_flight += 1;
        }
    }

    /// Counts a request that has ended.
    pub fn count_ended(&mut self, name: &TargetName) {
        if let Some(state) = self.states.get_mut(name) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Own requests in progress, for the other hosts.
    pub fn own_load(&self) -> HostLoad {
        self.states
            .values()
            .filter(|state| state.in_flight > 0)
            .map(|state| {
                let count = u16::try_from(state.in_flight).unwrap_or(u16::MAX);
                (TargetKey::of(&state.record.name), count)
            })
            .collect()
    }

    /// Takes the requests in progress of another host.
    pub fn update_peer(&mut self, host: &HostName, load: HostLoad, now: ClockTime) {
        if let Some(old) = self.peers.update(host, load.clone(), now) {
            self.add_others(&old, false);
        }
        self.add_others(&load, true);
    }

    /// Hosts that told their requests lately.
    pub fn reporting_peers(&self) -> usize {
        self.peers.host_count()
    }

    /// Drops what hosts told that have been silent for `limit`.
    pub fn drop_silent_peers(&mut self, limit: ClockTime, now: ClockTime) {
        for old in self.peers.drop_silent(limit, now) {
            self.add_others(&old, false);
        }
    }

    fn add_others(&mut self, load: &HostLoad, more: bool) {
        for (key, count) in load {
            let state = self
                .names
                .get(key)
                .and_then(|name| self.states.get_mut(name));
            let Some(state) = state else {
                continue;
            };
            let count = u32::from(*count);
            state.others = if more {
                state.others + count
            } else {
                state.others.saturating_sub(count)
            };
        }
    }

    /// Takes the load that a target told.
    pub fn update_load(&mut self, name: &TargetName, load: TargetLoad, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            let own = state.in_flight;
            state.told = Some(ToldLoad { load, own, at: now });
        }
    }

    /// Notes that a target refused a call because it is full, or because it is about to unload the
    /// model; with places left the latter is likely.
    pub fn record_full(&mut self, name: &TargetName, model: Option<&ModelName>, now: ClockTime) {
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        match model {
            Some(model) if state.load(now) < state.slots() => {
                state.refusing.insert(model.clone(), now + REFUSING_TIME);
            }
            _ => state.full_until = now + FULL_TIME,
        }
    }

    /// Notes a failure of a target.
    pub fn record_failure(&mut self, name: &TargetName, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.record_failure(now);
        }
    }

    /// Notes that a target does not hold what it was believed to hold.
    pub fn record_missing(
        &mut self,
        name: &TargetName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        match adapter {
            Some(adapter) => {
                if let Some(held) = state.models.get_mut(model) {
                    held.remove(adapter);
                }
            }
            None => {
                state.models.remove(model);
            }
        }
    }
}
