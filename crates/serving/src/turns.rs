//! How hosts divide the free slots of engines while calls for the same model wait at several hosts.
//!
//! Hosts report to each other how many calls wait for each model. When slots become free, all hosts
//! learn of them at about the same time; if each sent all its waiting calls, the engines would
//! refuse most of them. While calls wait at other hosts, a host therefore takes only a share of the
//! free slots in each interval between two heartbeats. The share is as large as the host's share of
//! the waiting calls; a share below one slot becomes the probability of taking one.

use crate::call::CallInfo;
use crate::peer_reports::PeerReports;
use crocusyard_base::ids::short_key;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Short key of a model of a service, used in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelKey(u32);

impl ModelKey {
    /// Computes the key of a model; two models with the same key only share their turns.
    pub fn of(service: &ServiceName, model: &ModelName) -> Self {
        Self(short_key(&[service.as_str(), model.as_str()]))
    }
}

/// Number of waiting calls of one host, by model.
pub type HostWaiting = BTreeMap<ModelKey, u16>;

/// Figures that decide whether a host may take a slot for a model.
#[derive(Clone, Copy, Debug)]
pub struct TurnInput {
    /// Calls that wait at this host; the call that takes the slot may not be counted yet.
    pub own: u32,
    /// Calls that wait at other hosts.
    pub others: u32,
    /// Slots that are free now.
    pub free: u32,
    /// Time between two heartbeats of a host.
    pub interval: ClockTime,
    /// Slots that are expected to become free in one interval.
    pub expected_free: f64,
}

/// Slots for one model that this host has taken in the current interval.
#[derive(Clone, Copy, Debug)]
struct ModelTurn {
    /// End of the interval.
    until: ClockTime,
    taken: u32,
    /// Random number between 0 and 1, drawn once per interval; decides whether a fractional share
    /// is rounded up.
    random: f64,
}

/// Turns of one host, and the waiting calls that the other hosts reported.
#[derive(Clone, Debug, Default)]
pub struct TurnTracker {
    peers: PeerReports<HostWaiting>,
    /// Calls that wait at all other hosts, by model.
    others: HashMap<ModelKey, u32>,
    turns: HashMap<ModelKey, ModelTurn>,
}

impl TurnTracker {
    /// Replaces the waiting calls of another host.
    pub fn update_peer(&mut self, host: &HostName, waiting: HostWaiting, now: ClockTime) {
        for (key, count) in &waiting {
            *self.others.entry(*key).or_default() += u32::from(*count);
        }
        if let Some(old) = self.peers.update(host, waiting, now) {
            self.subtract(&old);
        }
    }

    /// Drops the reports of hosts that have been silent for `limit`, and turns that are over.
    pub fn drop_expired(&mut self, limit: ClockTime, now: ClockTime) {
        for old in self.peers.drop_silent(limit, now) {
            self.subtract(&old);
        }
        self.turns.retain(|_, turn| now < turn.until);
    }

    /// Subtracts an outdated report from the calls that wait at other hosts.
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

    /// Returns the key of a call's model and the number of calls that wait for it at other hosts,
    /// or `None` if no call does.
    pub fn waiting_elsewhere(&self, call: &CallInfo) -> Option<(ModelKey, u32)> {
        if self.others.is_empty() {
            return None;
        }
        let key = ModelKey::of(&call.service, call.model()?);
        let count = self.others.get(&key).copied()?;
        (count > 0).then_some((key, count))
    }

    /// Takes a slot for a call if this host's share allows it.
    pub fn try_take(
        &mut self,
        key: ModelKey,
        call: &CallInfo,
        input: TurnInput,
        now: ClockTime,
    ) -> bool {
        let start = || ModelTurn {
            until: now + input.interval,
            taken: 0,
            random: call.random_unit(&now.as_ms()),
        };
        let turn = self.turns.entry(key).or_insert_with(start);
        if now >= turn.until {
            *turn = start();
        }
        let taken = f64::from(turn.taken);
        let own = f64::from(input.own.max(1)) + taken;
        let fraction = own / (own + f64::from(input.others));
        let share = (f64::from(input.free) + taken + input.expected_free) * fraction;
        if taken + 1.0 > share + turn.random {
            return false;
        }
        turn.taken += 1;
        true
    }
}
