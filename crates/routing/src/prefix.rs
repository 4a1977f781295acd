//! Hints on which target holds which prompt prefix in its cache.
//!
//! Hints come from cache events, which are late and have gaps, and from this host's own sends. They
//! only ever lower an estimate, so a wrong hint costs time and never correctness.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Targets remembered for one prefix.
const HINTS_PER_PREFIX: usize = 4;
/// Blocks of a prompt that are looked up, from the longest prefix down.
const BLOCKS_LOOKED_UP: usize = 32;
/// A hint is refreshed only when older than this, so that a hot prefix does not fill the queue.
const REFRESH_SPAN: ClockTime = ClockTime::from_secs(1);

/// One change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The block is cached.
    Stored {
        /// Hash of the block and all before it.
        block: u64,
    },
    /// The block is no longer cached.
    Evicted {
        /// Hash of the block and all before it.
        block: u64,
    },
    /// The cache was emptied.
    Cleared,
}

/// Consecutive cache events of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Target.
    pub target: TargetName,
    /// Number of the target's process.
    pub incarnation: u64,
    /// Sequence of the first event.
    pub first: u64,
    /// Events, with consecutive sequences.
    pub events: Vec<CacheEvent>,
    /// Whether the batch answers a resynchronisation and replaces all hints of the target.
    pub full: bool,
}

/// What became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The events are in; events after `next` are wanted.
    Applied {
        /// Sequence of the next event.
        next: u64,
    },
    /// Events are missing; a full batch is wanted.
    Resync,
    /// The batch is older than what is known, or its target is not declared.
    Ignored,
}

/// Position in the event sequence of one target.
#[derive(Clone, Copy, Debug, Default)]
struct CacheCursor {
    incarnation: u64,
    next: u64,
    epoch: u32,
    gap_at: Option<ClockTime>,
    wants_full: bool,
}

#[derive(Clone, Copy, Debug)]
struct PrefixHint {
    slot: u32,
    epoch: u32,
    at: ClockTime,
}

/// Expected cache hit on one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PrefixHit {
    pub(crate) slot: u32,
    /// Expected share of the prompt that is cached.
    pub(crate) share: f64,
}

/// Prefix hints of one host.
#[derive(Clone, Debug)]
pub(crate) struct PrefixHints {
    hints: HashMap<u64, SmallVec<[PrefixHint; 2]>>,
    order: VecDeque<(u64, u32, ClockTime)>,
    cursors: Vec<CacheCursor>,
    capacity: usize,
    half_life: ClockTime,
}

impl PrefixHints {
    pub(crate) fn new(capacity: usize, half_life: ClockTime) -> Self {
        Self {
            hints: HashMap::new(),
            order: VecDeque::new(),
            cursors: Vec::new(),
            capacity,
            half_life,
        }
    }

    /// Makes room for target slots below `slots`.
    pub(crate) fn grow(&mut self, slots: usize) {
        if self.cursors.len() < slots {
            self.cursors.resize(slots, CacheCursor::default());
        }
    }

    /// Drops all hints of a slot and its position in the event sequence.
    pub(crate) fn forget(&mut self, slot: u32) {
        let cursor = &mut self.cursors[slot as usize];
        *cursor = CacheCursor {
            epoch: cursor.epoch.wrapping_add(1),
            ..CacheCursor::default()
        };
    }

    /// Returns the number of hints; at most the capacity.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether the target's events have a gap that no full batch has closed.
    pub(crate) fn wants_full(&self, slot: u32) -> bool {
        self.cursors[slot as usize].wants_full
    }

    /// Takes a batch of events.
    pub(crate) fn apply(&mut self, now: ClockTime, slot: u32, batch: &CacheBatch) -> BatchOutcome {
        let mut cursor = self.cursors[slot as usize];
        if batch.incarnation < cursor.incarnation {
            return BatchOutcome::Ignored;
        }
        if batch.incarnation > cursor.incarnation {
            cursor = CacheCursor {
                incarnation: batch.incarnation,
                epoch: cursor.epoch.wrapping_add(1),
                ..CacheCursor::default()
            };
        }
        let end = batch.first.saturating_add(batch.events.len() as u64);
        if end < cursor.next || (!batch.full && end == cursor.next && !batch.events.is_empty()) {
            return BatchOutcome::Ignored;
        }
        if batch.full {
            cursor.epoch = cursor.epoch.wrapping_add(1);
            cursor.gap_at = None;
            cursor.wants_full = false;
        } else if batch.first > cursor.next {
            // Evictions may be among the missing events, so older hints count half until a full
            // batch arrives.
            cursor.gap_at = Some(now);
            cursor.wants_full = true;
        }
        let skipped = if batch.full {
            0
        } else {
            cursor.next.saturating_sub(batch.first) as usize
        };
        cursor.next = end;
        self.cursors[slot as usize] = cursor;
        for event in batch.events.iter().skip(skipped) {
            match *event {
                CacheEvent::Stored { block } => self.store(now, slot, block),
                CacheEvent::Evicted { block } => self.evict(slot, block),
                CacheEvent::Cleared => {
                    let cursor = &mut self.cursors[slot as usize];
                    cursor.epoch = cursor.epoch.wrapping_add(1);
                }
            }
        }
        if cursor.wants_full {
            BatchOutcome::Resync
        } else {
            BatchOutcome::Applied { next: end }
        }
    }

    /// Notes that a block is or soon will be cached.
    pub(crate) fn store(&mut self, now: ClockTime, slot: u32, block: u64) {
        let epoch = self.cursors[slot as usize].epoch;
        let hint = PrefixHint {
            slot,
            epoch,
            at: now,
        };
        let hints = self.hints.entry(block).or_default();
        if let Some(old) = hints.iter_mut().find(|old| old.slot == slot) {
            if old.epoch == epoch && now.since(old.at) < REFRESH_SPAN {
                return;
            }
            *old = hint;
        } else if hints.len() < HINTS_PER_PREFIX {
            hints.push(hint);
        } else if let Some(oldest) = hints.iter_mut().min_by_key(|old| old.at) {
            *oldest = hint;
        }
        self.order.push_back((block, slot, now));
        while self.order.len() > self.capacity {
            self.drop_oldest();
        }
        invariant!(
            self.order.len() <= self.capacity,
            "prefix_hints_bounded",
            "{} hints",
            self.order.len()
        );
    }

    /// Returns the longest expected hits of a prompt, one per target.
    pub(crate) fn hits(&self, now: ClockTime, prefix: &[u64]) -> SmallVec<[PrefixHit; 4]> {
        let mut hits: SmallVec<[PrefixHit; 4]> = SmallVec::new();
        let step = prefix.len().div_ceil(BLOCKS_LOOKED_UP).max(1);
        for index in (0..prefix.len()).rev().step_by(step) {
            let Some(hints) = self.hints.get(&prefix[index]) else {
                continue;
            };
            let share = (index + 1) as f64 / prefix.len() as f64;
            for hint in hints {
                let known = hits.iter().any(|hit| hit.slot == hint.slot);
                if !known && hint.epoch == self.cursors[hint.slot as usize].epoch {
                    hits.push(PrefixHit {
                        slot: hint.slot,
                        share: share * self.trust(now, hint),
                    });
                }
            }
            if hits.len() >= HINTS_PER_PREFIX {
                break;
            }
        }
        hits
    }

    fn trust(&self, now: ClockTime, hint: &PrefixHint) -> f64 {
        let half_life = self.half_life.as_ms().max(1) as f64;
        let age = now.since(hint.at).as_ms() as f64;
        let trust = half_life / (half_life + age);
        let gap_at = self.cursors[hint.slot as usize].gap_at;
        if gap_at.is_some_and(|gap| hint.at <= gap) {
            trust / 2.0
        } else {
            trust
        }
    }

    fn evict(&mut self, slot: u32, block: u64) {
        if let Some(hints) = self.hints.get_mut(&block) {
            hints.retain(|hint| hint.slot != slot);
            if hints.is_empty() {
                self.hints.remove(&block);
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some((block, slot, at)) = self.order.pop_front() else {
            return;
        };
        if let Some(hints) = self.hints.get_mut(&block) {
            hints.retain(|hint| hint.slot != slot || hint.at != at);
            if hints.is_empty() {
                self.hints.remove(&block);
            }
        }
    }
}
