//! Calls to the table service, as data.
//!
//! Reducers emit a [`TableCall`] in an effect and receive the [`TableAnswer`] in an event. If the
//! answer is lost, they receive [`TableAnswer::Unknown`]: a write may or may not have taken effect.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key; its first path segment is the name of the table.
    pub key: Arc<str>,
    /// Version of the row; rises by one with each write.
    pub version: u64,
    /// Value, as JSON text.
    pub value: Arc<str>,
}

/// Precondition on a row for a change to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowExpect {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(u64),
    /// No precondition; the change is applied whether the row exists or not.
    Any,
}

/// One change of a transaction: a write or a deletion of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: Arc<str>,
    /// Precondition on the row before the change.
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
        /// Prefix of the keys to read.
        prefix: Arc<str>,
        /// Key after which to start; `None` to start at the first key.
        after: Option<Arc<str>>,
        /// Largest number of rows in the answer.
        limit: u32,
    },
    /// Applies all changes or none.
    Transact {
        /// Changes to apply, in order.
        changes: Vec<RowChange>,
    },
}

/// Answer to a [`TableCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableAnswer {
    /// Answer to a [`TableCall::Get`]; `None` if the row does not exist.
    Row(Option<TableRow>),
    /// Answer to a [`TableCall::Scan`].
    Rows {
        /// Rows found, in key order.
        rows: Vec<TableRow>,
        /// Whether further rows follow the last one.
        more: bool,
    },
    /// All changes of a transaction were applied.
    Committed {
        /// New version of each row in the order of the changes; 0 for a deletion.
        versions: Vec<u64>,
    },
    /// A precondition of a transaction failed, and no change was applied.
    Conflict {
        /// Rows found under the keys of the transaction.
        rows: Vec<TableRow>,
    },
    /// The call failed without applying a change: it was a read, it did not reach the service, or the
    /// service refused it.
    Failed,
    /// The answer to a transaction was lost; its changes may have been applied.
    Unknown,
}
