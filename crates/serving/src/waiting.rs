//! Calls that wait for a target.
//!
//! Calls that can still be in time go before calls that are already late; among each, the more
//! urgent route first and then the older call. Late calls still go before nothing at all, so that
//! every call that can be served before its deadline is.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingCall {
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Arrival.
    pub arrived: ClockTime,
    /// Last time to send it so that its answer is in time.
    pub send_by: ClockTime,
    /// Point at which the caller gives up unless the answer has begun.
    pub start_deadline: ClockTime,
    /// Last time at which its model was asked for.
    pub copy_requested: ClockTime,
}

/// All waiting calls of a host.
#[derive(Clone, Debug, Default)]
pub struct WaitingCalls {
    calls: HashMap<RequestKey, WaitingCall>,
}

impl WaitingCalls {
    /// Adds a call.
    pub fn insert(&mut self, key: RequestKey, call: WaitingCall) {
        self.calls.insert(key, call);
    }

    /// Removes a call.
    pub fn remove(&mut self, key: RequestKey) -> Option<WaitingCall> {
        self.calls.remove(&key)
    }

    /// Finds a call.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut WaitingCall> {
        self.calls.get_mut(&key)
    }

    /// Returns whether a call waits.
    pub fn contains(&self, key: RequestKey) -> bool {
        self.calls.contains_key(&key)
    }

    /// Keys of all calls, in no order.
    pub fn keys(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.calls.keys().copied()
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Keys of all calls in the order in which they are served.
    pub fn in_order(&self, now: ClockTime) -> Vec<RequestKey> {
        let mut keys: Vec<(bool, u8, ClockTime, RequestKey)> = self
            .calls
            .iter()
            .map(|(key, call)| (now > call.send_by, call.priority, call.arrived, *key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(.., key)| key).collect()
    }

    /// Calls whose caller gives up less than `margin` away.
    pub fn expired(&self, margin: ClockTime, now: ClockTime) -> Vec<RequestKey> {
        self.calls
            .iter()
            .filter(|(_, call)| now + margin >= call.start_deadline)
            .map(|(key, _)| *key)
            .collect()
    }
}
