//! The row of a host in the store.
//!
//! Each process writes the row of its host under the condition that it replaces the row that the
//! process has seen. A write without an answer may have been carried out, or may be later; it is
//! repeated until an answer or a read of the table shows the row's version. The row keeps the version
//! since which the host has had one without interruption: processes that are killed leave their row,
//! and the holder of the lease may have read it.

use crate::hosts::HostRecord;
use serde::{Deserialize, Serialize};

/// Row of a host as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHost {
    /// What the host writes about itself.
    #[serde(flatten)]
    pub record: HostRecord,
    /// Random number of the process that wrote the row; `None` from earlier versions.
    #[serde(default)]
    pub process: Option<u64>,
    /// Version since which the host has had a row; `None` if this is the first one.
    #[serde(default)]
    pub since: Option<u64>,
}

/// Row of this host that was found in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundRow {
    /// Version of the row.
    pub version: u64,
    /// Process that wrote it, if it states one.
    pub process: Option<u64>,
    /// Version since which the host has had a row, if the row states it.
    pub since: Option<u64>,
}

/// What a process knows of the row of its host.
#[derive(Clone, Debug)]
pub struct OwnRow {
    process: u64,
    /// Row of a former process that the next write replaces.
    former: Option<FoundRow>,
    /// Row of this process, once it is known to be in the store.
    written: Option<FoundRow>,
}

impl FoundRow {
    /// Returns the version since which the host has had a row.
    fn listed_since(self) -> u64 {
        self.since.unwrap_or(self.version)
    }
}

impl OwnRow {
    /// Creates the state of a process that knows nothing of the row yet; `process` is its random
    /// number.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            former: None,
            written: None,
        }
    }

    /// Returns whether the store is known to have the row of this process.
    pub fn is_written(&self) -> bool {
        self.written.is_some()
    }

    /// Returns the version since which the store has had a row of this host without interruption, once
    /// the row of this process is in it.
    pub fn listed_since(&self) -> Option<u64> {
        self.written.map(FoundRow::listed_since)
    }

    /// Returns the row to write, and the version that it replaces; 0 if there must be no row.
    pub fn next_write(&self, record: HostRecord) -> (StoredHost, u64) {
        let row = StoredHost {
            record,
            process: Some(self.process),
            since: self.former.map(FoundRow::listed_since),
        };
        (row, self.former.map_or(0, |former| former.version))
    }

    /// Applies the success of the write of a row.
    pub fn write_succeeded(&mut self, row: &StoredHost, version: u64) {
        self.written = Some(FoundRow {
            version,
            process: row.process,
            since: row.since,
        });
    }

    /// Applies the row in the store, as a conflict or a read shows it. If this process has written it,
    /// an earlier write was carried out; otherwise the next write replaces it. Returns whether this
    /// process has written it.
    pub fn learn(&mut self, found: Option<FoundRow>) -> bool {
        let own = found.filter(|found| found.process == Some(self.process));
        if own.is_some() {
            self.written = own;
        } else {
            self.former = found;
        }
        own.is_some()
    }

    /// Returns the version that the removal of the row expects. A removal without a known version
    /// finds the row that a write may have left.
    pub fn removal_expected(&self) -> u64 {
        self.written.map_or(0, |written| written.version)
    }
}
