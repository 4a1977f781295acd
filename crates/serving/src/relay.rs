//! Which host of a failure domain reads the target list, and when the others trust it.
//!
//! One host of each failure domain polls the store and passes the changes on. A message names the
//! versions that it leads from and to, so that a host that missed one, or hears nothing for a
//! while, polls the store itself. So does a host that holds removals back, since only its own polls
//! tell whether the targets have written again.

use crate::targets::TargetRecord;
use crocusyard_base::prelude::*;
use std::collections::BTreeSet;

/// Pause between polls of the reader.
pub const POLL_PAUSE: ClockTime = ClockTime::from_ms(600);
/// Silence of the reader after which a host polls itself. With a poll and its answer it stays well
/// below the 2 s in which a leaving target must be known.
const SILENCE_LIMIT: ClockTime = ClockTime::from_ms(950);

/// What a host knows of the target list.
#[derive(Clone, Debug, Default)]
pub struct ListFollower {
    version: Option<u64>,
    heard: Option<ClockTime>,
    polled: Option<ClockTime>,
    holds_removals: bool,
}

impl ListFollower {
    /// Version up to which the list is known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns whether this host polls the store now.
    pub fn should_poll(&self, is_reader: bool, now: ClockTime) -> bool {
        let rested = self.polled.is_none_or(|at| now.since(at) >= POLL_PAUSE);
        if !rested {
            return false;
        }
        let heard = self.heard.is_some_and(|at| now.since(at) < SILENCE_LIMIT);
        is_reader || self.holds_removals || !heard
    }

    /// Notes that a poll begins.
    pub fn start_poll(&mut self, now: ClockTime) {
        self.polled = Some(now);
    }

    /// Notes the version that a poll of this host reached, and whether its change was complete.
    pub fn finish_poll(&mut self, version: u64, sent: ClockTime, is_complete: bool) {
        self.holds_removals = !is_complete;
        self.version = Some(self.version.unwrap_or(0).max(version));
        self.heard = Some(self.heard.unwrap_or(sent).max(sent));
    }

    /// Takes changes that another host read; returns whether they are to be applied.
    pub fn accept_relayed(&mut self, after: u64, version: u64, now: ClockTime) -> bool {
        let Some(known) = self.version.filter(|_| !self.holds_removals) else {
            return false;
        };
        if after > known {
            // A message was lost; the next look polls.
            self.heard = None;
            return false;
        }
        if version < known {
            return false;
        }
        self.version = Some(version);
        self.heard = Some(now);
        true
    }
}

/// What the store says of one target.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Target.
    pub name: TargetName,
    /// What it says of itself; none if its entry was removed.
    pub record: Option<TargetRecord>,
}

/// Change of the target list.
#[derive(Clone, Debug, Default)]
pub struct ListChange {
    /// Targets that are new or wrote again.
    pub upserts: Vec<TargetRecord>,
    /// Targets that are gone.
    pub removed: Vec<TargetName>,
    /// Whether the entries said nothing else. Only such a change is passed on, since a host that
    /// takes it never reads its entries itself.
    pub is_complete: bool,
}

/// Turns entries of the store into changes.
///
/// Targets that could not reach the store lose their entries and write them again when it is back.
/// Removals that are read meanwhile are held back until that time is over.
#[derive(Clone, Debug, Default)]
pub struct ListReader {
    held: BTreeSet<TargetName>,
}

impl ListReader {
    /// Reads entries in the order of their writes; `recovering` tells that the store was away a
    /// moment ago.
    pub fn read(&mut self, entries: Vec<ListEntry>, recovering: bool) -> ListChange {
        let mut upserts = Vec::new();
        for ListEntry { name, record } in entries {
            match record {
                Some(record) => {
                    self.held.remove(&name);
                    upserts.push(record);
                }
                None => {
                    upserts.retain(|record: &TargetRecord| record.name != name);
                    self.held.insert(name);
                }
            }
        }
        let removed = if recovering {
            Vec::new()
        } else {
            std::mem::take(&mut self.held).into_iter().collect()
        };
        ListChange {
            upserts,
            removed,
            is_complete: self.held.is_empty(),
        }
    }
}
