//! Replay protection: a window of accepted sequence numbers for each sender.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Number of sequence numbers in a window, up to the highest accepted one; packets with lower ones
/// are refused.
pub const WINDOW_SIZE: u64 = 128;
/// Largest number of senders with a window; ten times the planned number of hosts.
pub const SENDER_LIMIT: usize = 4096;

/// Accepted packets of one sender.
#[derive(Clone, Debug)]
struct SenderWindow {
    /// Highest accepted incarnation of the sender.
    incarnation: u64,
    /// Highest accepted sequence number of the incarnation.
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was accepted.
    seen: u128,
    /// Value of [`ReplayTable::checks`] when a packet of the sender was last accepted.
    last_used: u64,
}

/// Windows of all senders, in bounded memory.
///
/// When the table is full, the window of the sender that was silent longest is evicted, and its
/// incarnation becomes the sender's floor: while the sender has no window, packets of that
/// incarnation and of lower ones are refused. Incarnations start from the wall clock, so a restarted
/// sender is above its floor. The number of floors is limited to [`SENDER_LIMIT`] too: at the limit
/// all floors are cleared, and old packets of senders without a window could be replayed.
#[derive(Clone, Debug, Default)]
pub struct ReplayTable {
    /// Windows by sender, at most [`SENDER_LIMIT`].
    senders: HashMap<HostName, SenderWindow>,
    /// Incarnations of senders whose windows were evicted.
    floors: HashMap<HostName, u64>,
    /// Number of packets checked so far; serves as a clock for `SenderWindow::last_used`.
    checks: u64,
}

/// Result of the replay check of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayCheck {
    /// The packet was not accepted before.
    Fresh,
    /// The sender has a higher incarnation, or this one was evicted.
    OldIncarnation,
    /// A packet with this sequence number was accepted before, or the number is below the window.
    OldSequence,
}

impl ReplayTable {
    /// Checks a packet, and records it as accepted if it is fresh.
    pub fn admit(&mut self, sender: &HostName, incarnation: u64, sequence: u64) -> ReplayCheck {
        self.checks += 1;
        let last_used = self.checks;
        let Some(window) = self.senders.get_mut(sender) else {
            if self
                .floors
                .get(sender)
                .is_some_and(|floor| incarnation <= *floor)
            {
                return ReplayCheck::OldIncarnation;
            }
            self.evict_if_full();
            let window = SenderWindow {
                incarnation,
                highest: sequence,
                seen: 1,
                last_used,
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
                last_used,
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
            window.last_used = last_used;
            return ReplayCheck::Fresh;
        }
        let behind = window.highest - sequence;
        if behind >= WINDOW_SIZE || window.seen & (1 << behind) != 0 {
            return ReplayCheck::OldSequence;
        }
        window.seen |= 1 << behind;
        window.last_used = last_used;
        ReplayCheck::Fresh
    }

    /// Returns the number of senders with a window.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Returns whether no sender has a window.
    pub fn is_empty(&self) -> bool {
        self.senders.is_empty()
    }

    /// Evicts the window that was used longest ago if the table is full.
    fn evict_if_full(&mut self) {
        if self.senders.len() < SENDER_LIMIT {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.last_used);
        let Some((name, incarnation)) =
            oldest.map(|(name, window)| (name.clone(), window.incarnation))
        else {
            return;
        };
        self.senders.remove(&name);
        if self.floors.len() >= SENDER_LIMIT {
            self.floors.clear();
        }
        self.floors.insert(name, incarnation);
    }
}
