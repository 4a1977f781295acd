//! Which host of a failure domain reads the target list, and when the others trust it.
//!
//! One host of each failure domain polls the store and passes the changes on. A message names the
//! versions that it leads from and to, so that a host that missed one, or hears nothing for a
//! while, polls the store itself.

use crocusyard_base::prelude::*;

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
}

impl ListFollower {
    /// Version up to which the list is known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns whether this host polls the store now.
    pub fn polls(&self, is_reader: bool, now: ClockTime) -> bool {
        let rested = self.polled.is_none_or(|at| now.since(at) >= POLL_PAUSE);
        if !rested {
            return false;
        }
        let heard = self.heard.is_some_and(|at| now.since(at) < SILENCE_LIMIT);
        is_reader || !heard
    }

    /// Notes that a poll begins.
    pub fn poll(&mut self, now: ClockTime) {
        self.polled = Some(now);
    }

    /// Notes the version that a poll of this host reached.
    pub fn read(&mut self, version: u64, sent: ClockTime) {
        self.version = Some(self.version.unwrap_or(0).max(version));
        self.heard = Some(self.heard.unwrap_or(sent).max(sent));
    }

    /// Takes changes that another host read; returns whether they are to be applied.
    pub fn take(&mut self, after: u64, version: u64, now: ClockTime) -> bool {
        let Some(known) = self.version else {
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
