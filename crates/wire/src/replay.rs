//! Replay protection: a window of sequence numbers per sender.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Sequence numbers below the highest that are still told apart; older packets are refused.
pub const WINDOW_SIZE: u64 = 128;
/// Senders that are remembered; ten times the planned number of hosts.
pub const SENDER_LIMIT: usize = 4096;

#[derive(Clone, Debug)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    seen: u128,
    used: u64,
}

/// Windows of all senders.
///
/// When full, the sender that was silent longest is dropped, and its incarnation and all lower
/// ones stay refused for senders without a window. Incarnations start from the wall clock, so a
/// restarted sender passes that floor. Floors are bounded too: after as many dropped senders again,
/// all floors are cleared, and old packets of long silent senders could be replayed.
#[derive(Clone, Debug, Default)]
pub struct ReplayTable {
    senders: HashMap<HostName, SenderWindow>,
    floors: HashMap<HostName, u64>,
    accepted: u64,
}

/// Why a packet counts as a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayCheck {
    /// The packet is new.
    Fresh,
    /// The sender has a higher incarnation since.
    OldIncarnation,
    /// The sequence number was seen or is below the window.
    OldSequence,
}

impl ReplayTable {
    /// Checks a packet and records it if it is fresh.
    pub fn admit(&mut self, sender: &HostName, incarnation: u64, sequence: u64) -> ReplayCheck {
        self.accepted += 1;
        let used = self.accepted;
        let Some(window) = self.senders.get_mut(sender) else {
            if self
                .floors
                .get(sender)
                .is_some_and(|floor| incarnation <= *floor)
            {
                return ReplayCheck::OldIncarnation;
            }
            self.make_room();
            let window = SenderWindow {
                incarnation,
                highest: sequence,
                seen: 1,
                used,
            };
            self.senders.insert(sender.clone(), window);
            return ReplayCheck::Fresh;
        };
        if incarnation < window.incarnation {
            return ReplayCheck::OldIncarnation;
        }
        if incarnation > window.incarnation {
            *window = SenderWindow {
                incarnation,
                highest: sequence,
                seen: 1,
                used,
            };
            return ReplayCheck::Fresh;
        }
        if sequence > window.highest {
            let shift = sequence - window.highest;
            window.seen = if shift >= WINDOW_SIZE {
                1
            } else {
                (window.seen << shift) | 1
            };
            window.highest = sequence;
            window.used = used;
            return ReplayCheck::Fresh;
        }
        let behind = window.highest - sequence;
        if behind >= WINDOW_SIZE || window.seen & (1 << behind) != 0 {
            return ReplayCheck::OldSequence;
        }
        window.seen |= 1 << behind;
        window.used = used;
        ReplayCheck::Fresh
    }

    /// Returns the number of remembered senders.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender is remembered.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    fn make_room(&mut self) {
        if self.senders.len() < SENDER_LIMIT {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.used);
        let Some((name, incarnation)) = oldest.map(|(n, w)| (n.clone(), w.incarnation)) else {
            return;
        };
        self.senders.remove(&name);
        if self.floors.len() >= SENDER_LIMIT {
            self.floors.clear();
        }
        self.floors.insert(name, incarnation);
    }
}
