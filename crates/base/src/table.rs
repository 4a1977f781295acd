//! Calls to the table service, as data.
//!
//! Reducers put a [`TableCall`] into an effect and get a [`TableAnswer`] back in an event. A lost
//! answer is [`TableAnswer::Unknown`]: the write may or may not have taken effect.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key, with the table's name as first path segment.
    pub key: Arc<str>,
    /// Version, which rises by one with every write of the row.
    pub version: u64,
    /// Value, as JSON text.
    pub value: Arc<str>,
}

/// What a row must be for a change to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowExpect {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Whatever the row is.
    Any,
}

/// One change within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: Arc<str>,
    /// Precondition.
    pub expect: RowExpect,
    /// New value as JSON text, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// A call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableCall {
    /// Reads one row.
    Get {
        /// Key of the row.
        key: Arc<str>,
    },
    /// Reads rows whose keys start with a prefix, in key order.
    Scan {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Reads only keys after this one.
        after: Option<Arc<str>>,
        /// Largest number of rows.
        limit: u32,
    },
    /// Applies all changes or none.
    Transact {
        /// Changes.
        changes: Vec<RowChange>,
    },
}

/// Answer to a [`TableCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableAnswer {
    /// Answer to a get.
    Row(Option<TableRow>),
    /// Answer to a scan.
    Rows {
        /// Rows, in key order.
        rows: Vec<TableRow>,
        /// Whether rows remain after the last one.
        more: bool,
    },
    /// All changes were applied; the new versions in the order of the changes, 0 for a deletion.
    Committed {
        /// New versions.
        versions: Vec<u64>,
    },
    /// A precondition failed and nothing was applied; the rows that were found.
    Conflict {
        /// Rows found under the keys of the transaction.
        rows: Vec<TableRow>,
    },
    /// The call did not reach the service; nothing was applied.
    Failed,
    /// The answer was lost; the changes may have been applied.
    Unknown,
}
