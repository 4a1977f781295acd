//! News that is repeated in outgoing packets until it was sent often enough.
//!
//! Only keys are queued; the content is read from the state when a packet is composed, so the
//! newest state is sent.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::BTreeMap;

/// What a rumour is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// A target's leaving.
    Target(TargetName),
    /// A host's incarnation, death or leaving.
    Member(NameId),
    /// One observer's suspicion of a host.
    Suspicion {
        /// Suspect.
        host: NameId,
        /// Observer.
        observer: NameId,
    },
    /// A region's lease.
    Lease(RegionName),
    /// A crash digest.
    Crash(CrashNotice),
    /// A new host's description.
    Introduction(NameId),
}

/// Queue of rumours with the number of times that each was sent.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    sent: BTreeMap<UpdateKey, u32>,
}

impl UpdateQueue {
    /// Adds news, or starts repeating it anew.
    pub fn add(&mut self, key: UpdateKey) {
        self.sent.insert(key, 0);
    }

    /// Drops news that no longer holds.
    pub fn remove(&mut self, key: &UpdateKey) {
        self.sent.remove(key);
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns the keys, least sent first.
    pub fn keys_by_priority(&self) -> Vec<UpdateKey> {
        let mut keys: Vec<_> = self.sent.iter().collect();
        keys.sort_by_key(|(_, sent)| **sent);
        keys.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Counts a sending and drops the rumour after `limit` sendings.
    pub fn count_sent(&mut self, key: &UpdateKey, limit: u32) {
        if let Some(sent) = self.sent.get_mut(key) {
            *sent += 1;
            if *sent >= limit {
                self.sent.remove(key);
            }
        }
    }
}

/// Sendings after which nearly every one of `hosts` hosts has heard a rumour.
///
/// Three times the base-2 logarithm; what still misses is healed by the pages of the view.
pub fn transmit_limit(hosts: usize) -> u32 {
    3 * (usize::BITS - hosts.leading_zeros()).max(1)
}
