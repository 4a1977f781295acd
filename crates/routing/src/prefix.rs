//! Hints about which targets have a prompt prefix in their cache.
//!
//! Hints come from the targets' cache events, which arrive late and with gaps, and from the
//! requests that this host sent. A hint only lowers a time estimate, so a wrong hint costs time but
//! never correctness.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};

/// Largest number of targets recorded for one prefix.
const MAX_HINTS_PER_PREFIX: usize = 4;
/// Largest number of prefixes of a prompt that are looked up, spread evenly from the longest down.
const MAX_PREFIX_LOOKUPS: usize = 32;
/// Shortest time between two refreshes of a hint, so that a popular prefix does not fill the age
/// queue.
const HINT_REFRESH_INTERVAL: ClockTime = ClockTime::from_secs(1);

/// One change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// A block was cached.
    Stored {
        /// Hash of the block and all blocks before it.
        block: u64,
    },
    /// A block was dropped from the cache.
    Evicted {
        /// Hash of the block and all blocks before it.
        block: u64,
    },
    /// The cache was emptied.
    Cleared,
}

/// Consecutive cache events of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Target whose cache changed.
    pub target: TargetName,
    /// Number of the target's process; rises with each restart.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first: u64,
    /// Events with consecutive sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Whether the batch lists the whole cache and so replaces all hints of the target.
    pub full: bool,
}

/// Outcome of applying a [`CacheBatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The events were applied; the next batch should start at `next`.
    Applied {
        /// Sequence number of the next event.
        next: u64,
    },
    /// Events are missing; a full batch is needed.
    Resync,
    /// The batch is outdated or its target is not declared.
    Ignored,
}

/// Position in the cache events of one target.
#[derive(Clone, Copy, Debug, Default)]
struct CacheCursor {
    incarnation: u64,
    /// Sequence number of the next event.
    next: u64,
    /// Hints of earlier epochs are invalid.
    epoch: u32,
    /// Time of the last gap that no full batch has closed yet.
    gap_at: Option<ClockTime>,
    needs_full: bool,
}

/// Target that had a prefix in its cache at time `at`.
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
    /// Expected fraction of the prompt that is cached.
    pub(crate) cached_fraction: f64,
}

/// Prefix hints held by one host.
#[derive(Clone, Debug)]
pub(crate) struct PrefixHints {
    /// Hints by the hash of the prefix.
    hints: HashMap<u64, SmallVec<[PrefixHint; 2]>>,
    /// Prefix hash, slot and time of all hints, oldest first.
    by_age: VecDeque<(u64, u32, ClockTime)>,
    /// Cursors by target slot.
    cursors: Vec<CacheCursor>,
    capacity: usize,
    /// Age at which the confidence in a hint is one half.
    half_life: ClockTime,
}

impl PrefixHints {
    pub(crate) fn new(capacity: usize, half_life: ClockTime) -> Self {
        Self {
            hints: HashMap::new(),
            by_age: VecDeque::new(),
            cursors: Vec::new(),
            capacity,
            half_life,
        }
    }

    /// Adds cursors for the target slots below `slots`.
    pub(crate) fn grow(&mut self, slots: usize) {
        if self.cursors.len() < slots {
            self.cursors.resize(slots, CacheCursor::default());
        }
    }

    /// Invalidates all hints of a slot and resets its cursor.
    pub(crate) fn reset_slot(&mut self, slot: u32) {
        let cursor = &mut self.cursors[slot as usize];
        *cursor = CacheCursor {
            epoch: cursor.epoch.wrapping_add(1),
            ..CacheCursor::default()
        };
    }

    /// Returns the length of the age queue, which is at most the capacity.
    pub(crate) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Returns whether the events of a target have a gap that no full batch has closed.
    pub(crate) fn needs_full(&self, slot: u32) -> bool {
        self.cursors[slot as usize].needs_full
    }

    /// Applies a batch of events to the hints of a slot.
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
            cursor.needs_full = false;
        } else if batch.first > cursor.next {
            // The missing events may include evictions, so the confidence in older hints is halved
            // until a full batch arrives.
            cursor.gap_at = Some(now);
            cursor.needs_full = true;
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
        if cursor.needs_full {
            BatchOutcome::Resync
        } else {
            BatchOutcome::Applied { next: end }
        }
    }

    /// Records that a block is cached, or will be soon.
    pub(crate) fn store(&mut self, now: ClockTime, slot: u32, block: u64) {
        let epoch = self.cursors[slot as usize].epoch;
        let hint = PrefixHint {
            slot,
            epoch,
            at: now,
        };
        let hints = self.hints.entry(block).or_default();
        if let Some(old) = hints.iter_mut().find(|old| old.slot == slot) {
            if old.epoch == epoch && now.since(old.at) < HINT_REFRESH_INTERVAL {
                return;
            }
            *old = hint;
        } else if hints.len() < MAX_HINTS_PER_PREFIX {
            hints.push(hint);
        } else if let Some(oldest) = hints.iter_mut().min_by_key(|old| old.at) {
            *oldest = hint;
        }
        self.by_age.push_back((block, slot, now));
        while self.by_age.len() > self.capacity {
            self.drop_oldest();
        }
        invariant!(
            self.by_age.len() <= self.capacity,
            "prefix_hints_bounded",
            "the age queue of the prefix hints has {} entries, more than its capacity",
            self.by_age.len()
        );
    }

    /// Returns the expected cache hit of a prompt on each target with a hint for it.
    ///
    /// The longest matching prefix of a target counts.
    pub(crate) fn hits(&self, now: ClockTime, prefix_blocks: &[u64]) -> SmallVec<[PrefixHit; 4]> {
        let mut hits: SmallVec<[PrefixHit; 4]> = SmallVec::new();
        let step = prefix_blocks.len().div_ceil(MAX_PREFIX_LOOKUPS).max(1);
        for index in (0..prefix_blocks.len()).rev().step_by(step) {
            let Some(hints) = self.hints.get(&prefix_blocks[index]) else {
                continue;
            };
            let fraction = (index + 1) as f64 / prefix_blocks.len() as f64;
            for hint in hints {
                let has_longer = hits.iter().any(|hit| hit.slot == hint.slot);
                if !has_longer && hint.epoch == self.cursors[hint.slot as usize].epoch {
                    hits.push(PrefixHit {
                        slot: hint.slot,
                        cached_fraction: fraction * self.confidence(now, hint),
                    });
                }
            }
            if hits.len() >= MAX_HINTS_PER_PREFIX {
                break;
            }
        }
        hits
    }

    /// Returns the confidence in a hint, between 0 and 1, which falls with age and after a gap.
    fn confidence(&self, now: ClockTime, hint: &PrefixHint) -> f64 {
        let half_life = self.half_life.as_ms().max(1) as f64;
        let age = now.since(hint.at).as_ms() as f64;
        let confidence = half_life / (half_life + age);
        let gap_at = self.cursors[hint.slot as usize].gap_at;
        if gap_at.is_some_and(|gap| hint.at <= gap) {
            confidence / 2.0
        } else {
            confidence
        }
    }

    /// Removes the hint that a target has a block.
    fn evict(&mut self, slot: u32, block: u64) {
        if let Some(hints) = self.hints.get_mut(&block) {
            hints.retain(|hint| hint.slot != slot);
            if hints.is_empty() {
                self.hints.remove(&block);
            }
        }
    }

    /// Drops the oldest entry of the age queue, and its hint unless that was refreshed since.
    fn drop_oldest(&mut self) {
        let Some((block, slot, at)) = self.by_age.pop_front() else {
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
