//! Queue of gossip updates that are piggybacked on outgoing packets, each a limited number of
//! times.
//!
//! The queue holds only keys. The content is read from the state when a packet is composed, so a
//! packet always carries the newest state.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::BTreeMap;

/// Subject of a gossip update.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// Whether a target is leaving.
    Target(TargetName),
    /// The incarnation of a host, and whether the host is dead or leaving.
    Member(NameId),
    /// The suspicion of a host by one observer.
    Suspicion {
        /// Suspected host.
        host: NameId,
        /// Host that got no answer from the suspect.
        observer: NameId,
    },
    /// The lease holder of a region.
    Lease(RegionName),
    /// A report that a request is suspected of crashing a target, or that it is cleared.
    Crash(CrashReport),
    /// The description of a new host.
    Introduction(NameId),
}

/// Updates to disseminate, with the number of packets that each was sent in.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    transmits: BTreeMap<UpdateKey, u32>,
}

impl UpdateQueue {
    /// Queues an update; an update that is already queued starts again from zero transmissions.
    pub fn add(&mut self, key: UpdateKey) {
        self.transmits.insert(key, 0);
    }

    /// Removes an update that no longer holds.
    pub fn remove(&mut self, key: &UpdateKey) {
        self.transmits.remove(key);
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.transmits.is_empty()
    }

    /// Returns the keys of all updates, those with the fewest transmissions first.
    pub fn keys_by_priority(&self) -> Vec<UpdateKey> {
        let mut keys: Vec<_> = self.transmits.iter().collect();
        keys.sort_by_key(|(_, transmits)| **transmits);
        keys.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Counts a transmission, and removes the update after `limit` transmissions.
    pub fn count_sent(&mut self, key: &UpdateKey, limit: u32) {
        if let Some(transmits) = self.transmits.get_mut(key) {
            *transmits += 1;
            if *transmits >= limit {
                self.transmits.remove(key);
            }
        }
    }
}

/// Returns the number of transmissions by each host after which an update has reached nearly all of
/// `hosts` hosts.
///
/// The limit is three times the base-2 logarithm of `hosts`. The pages of the view repair the
/// updates that are still missing.
pub fn transmit_limit(hosts: usize) -> u32 {
    3 * (usize::BITS - hosts.leading_zeros()).max(1)
}
