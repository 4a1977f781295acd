//! News that is repeated in outgoing packets until it was sent often enough.
//!
//! Only keys are queued; the content is read from the state when a packet is composed, so the
//! newest state is sent.

use crocusyard_base::prelude::*;
use crocusyard_wire::prelude::*;
use std::collections::BTreeMap;

/// What a rumour is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumourKey {
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
pub struct RumourQueue {
    sent: BTreeMap<RumourKey, u32>,
}

impl RumourQueue {
    /// Adds news, or starts repeating it anew.
    pub fn add(&mut self, key: RumourKey) {
        self.sent.insert(key, 0);
    }

    /// Drops news that no longer holds.
    pub fn drop_key(&mut self, key: &RumourKey) {
        self.sent.remove(key);
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns the keys, least sent first.
    pub fn by_need(&self) -> Vec<RumourKey> {
        let mut keys: Vec<_> = self.sent.iter().collect();
        keys.sort_by_key(|(_, sent)| **sent);
        keys.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Counts a sending and drops the rumour after `limit` sendings.
    pub fn count_sent(&mut self, key: &RumourKey, limit: u32) {
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
pub fn repeat_limit(hosts: usize) -> u32 {
    3 * (usize::BITS - hosts.leading_zeros()).max(1)
}
