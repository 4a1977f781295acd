//! The queue of calls that wait for a target.
//!
//! Calls that can still meet their latency objective are served before calls that no longer can.
//! Within each of the two groups, calls of the more urgent route come first, and then the older
//! ones. Late calls are still served when no other call can use a slot, so that no call is given up
//! that can be answered before its deadline. While there are tenants, `state/fairness.rs` orders the
//! calls.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Properties of a waiting call that decide its place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingCall {
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Time at which the call arrived.
    pub arrived: ClockTime,
    /// Latest time to send the call so that its answer meets the latency objective.
    pub send_by: ClockTime,
    /// Time at which the caller stops waiting unless the answer has begun.
    pub start_deadline: ClockTime,
    /// When a copy for the call was last requested; zero if none was.
    pub copy_requested: ClockTime,
}

/// All waiting calls of a host.
#[derive(Clone, Debug, Default)]
pub struct WaitingCalls {
    calls: HashMap<RequestKey, WaitingCall>,
}

impl WaitingCalls {
    /// Adds a call or replaces it.
    pub fn insert(&mut self, key: RequestKey, call: WaitingCall) {
        self.calls.insert(key, call);
    }

    /// Removes a call and returns it, or `None` if it does not wait.
    pub fn remove(&mut self, key: RequestKey) -> Option<WaitingCall> {
        self.calls.remove(&key)
    }

    /// Returns a waiting call for changes.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut WaitingCall> {
        self.calls.get_mut(&key)
    }

    /// Returns whether a call waits.
    pub fn contains(&self, key: RequestKey) -> bool {
        self.calls.contains_key(&key)
    }

    /// Iterates over all calls, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestKey, &WaitingCall)> + '_ {
        self.calls.iter().map(|(key, call)| (*key, call))
    }

    /// Iterates over the keys of all calls, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.calls.keys().copied()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the keys of all calls in the order in which they are served.
    pub fn in_order(&self, now: ClockTime) -> Vec<RequestKey> {
        let mut keys: Vec<(bool, u8, ClockTime, RequestKey)> = self
            .calls
            .iter()
            .map(|(key, call)| (now > call.send_by, call.priority, call.arrived, *key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(.., key)| key).collect()
    }

    /// Returns the calls whose callers stop waiting within `margin`.
    pub fn expired(&self, margin: ClockTime, now: ClockTime) -> Vec<RequestKey> {
        self.calls
            .iter()
            .filter(|(_, call)| now + margin >= call.start_deadline)
            .map(|(key, _)| *key)
            .collect()
    }
}
