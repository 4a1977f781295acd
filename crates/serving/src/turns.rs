//! How hosts share out the free places of engines for which calls wait.
//!
//! Hosts tell each other how many calls wait for each model. When places become free, all hosts
//! learn of them at about the same time; if each sent what it has, the engines would refuse most of
//! it. While calls wait at other hosts, a host therefore takes a part of the free places in each
//! period between two beats: as large as its part of the waiting calls. A part below one place
//! becomes a chance to take one.

use crate::call::CallInfo;
use crate::peer_reports::PeerReports;
use crate::targets::short_key;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Short key of a model of a service in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelKey(u32);

impl ModelKey {
    /// Key of a model; two models with the same key only share their turns.
    pub fn of(service: &ServiceName, model: &ModelName) -> Self {
        Self(short_key(&[service.as_str(), model.as_str()]))
    }
}

/// Calls of one host that wait, by model.
pub type HostWaiting = BTreeMap<ModelKey, u16>;

/// What decides whether a host may take a place for a model.
#[derive(Clone, Copy, Debug)]
pub struct TurnInput {
    /// Calls that wait at this host; the one that asks may be missing.
    pub own: u32,
    /// Calls that wait at other hosts.
    pub others: u32,
    /// Places that are free now.
    pub free: u32,
    /// Time between two beats of a host.
    pub period: ClockTime,
    /// Places that become free in one period.
    pub expected_free: f64,
}

#[derive(Clone, Copy, Debug)]
struct ModelTurn {
    until: ClockTime,
    taken: u32,
    /// Chance drawn for the period, 0 to 1.
    draw: f64,
}

/// Turns of one host.
#[derive(Clone, Debug, Default)]
pub struct TurnTracker {
    peers: PeerReports<HostWaiting>,
    others: HashMap<ModelKey, u32>,
    turns: HashMap<ModelKey, ModelTurn>,
}

impl TurnTracker {
    /// Takes the waiting calls of another host.
    pub fn update_peer(&mut self, host: &HostName, waiting: HostWaiting, now: ClockTime) {
        for (key, count) in &waiting {
            *self.others.entry(*key).or_default() += u32::from(*count);
        }
        if let Some(old) = self.peers.update(host, waiting, now) {
            self.subtract(&old);
        }
    }

    /// Drops what hosts told that have been silent for `limit`, and turns that are over.
    pub fn drop_expired(&mut self, limit: ClockTime, now: ClockTime) {
        for old in self.peers.drop_silent(limit, now) {
            self.subtract(&old);
        }
        self.turns.retain(|_, turn| now < turn.until);
    }

    fn subtract(&mut self, old: &HostWaiting) {
        for (key, count) in old {
            if let Some(total) = self.others.get_mut(key) {
                *total = total.saturating_sub(u32::from(*count));
                if *total == 0 {
                    self.others.remove(key);
                }
            }
        }
    }

    /// Key of a call's model and the calls that wait for it at other hosts, if any does.
    pub fn waiting_elsewhere(&self, call: &CallInfo) -> Option<(ModelKey, u32)> {
        if self.others.is_empty() {
            return None;
        }
        let key = ModelKey::of(&call.service, call.model()?);
        let count = self.others.get(&key).copied()?;
        (count > 0).then_some((key, count))
    }

    /// Takes a place for a call if it is this host's turn.
    pub fn try_take(
        &mut self,
        key: ModelKey,
        call: &CallInfo,
        input: TurnInput,
        now: ClockTime,
    ) -> bool {
        let start = || ModelTurn {
            until: now + input.period,
            taken: 0,
            draw: call.random_unit(&now.as_ms()),
        };
        let turn = self.turns.entry(key).or_insert_with(start);
        if now >= turn.until {
            *turn = start();
        }
        let taken = f64::from(turn.taken);
        let own = f64::from(input.own.max(1)) + taken;
        let part = own / (own + f64::from(input.others));
        let share = (f64::from(input.free) + taken + input.expected_free) * part;
        if taken + 1.0 > share + turn.draw {
            return false;
        }
        turn.taken += 1;
        true
    }
}
