//! Fake of the table service, held in memory.

use crocusyard_base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Default)]
pub struct FakeTable {
    /// Rows by key.
    pub rows: BTreeMap<Arc<str>, TableRow>,
    /// Most rows that one scan returned.
    pub largest_scan: usize,
}

impl FakeTable {
    /// Answers a call at once.
    pub fn perform(&mut self, call: &TableCall) -> TableAnswer {
        match call {
            TableCall::Get { key } => TableAnswer::Row(self.rows.get(key).cloned()),
            TableCall::Scan {
                prefix,
                after,
                limit,
            } => {
                let mut rows: Vec<TableRow> = self
                    .rows
                    .values()
                    .filter(|row| row.key.starts_with(&**prefix))
                    .filter(|row| after.as_ref().is_none_or(|after| row.key > *after))
                    .cloned()
                    .collect();
                let more = rows.len() > *limit as usize;
                rows.truncate(*limit as usize);
                self.largest_scan = self.largest_scan.max(rows.len());
                TableAnswer::Rows { rows, more }
            }
            TableCall::Transact { changes } => self.transact(changes),
        }
    }

    /// Applies all changes, or none if a row does not have its expected version.
    fn transact(&mut self, changes: &[RowChange]) -> TableAnswer {
        let as_expected = changes.iter().all(|change| {
            let version = self.rows.get(&change.key).map(|row| row.version);
            match change.expect {
                RowExpect::Absent => version.is_none(),
                RowExpect::Version(expected) => version == Some(expected),
                RowExpect::Any => true,
            }
        });
        if !as_expected {
            let rows = changes
                .iter()
                .filter_map(|change| self.rows.get(&change.key).cloned())
                .collect();
            return TableAnswer::Conflict { rows };
        }
        let versions = changes.iter().map(|change| self.apply(change)).collect();
        TableAnswer::Committed { versions }
    }

    /// Writes or deletes a row; returns its new version, 0 for a deleted row.
    fn apply(&mut self, change: &RowChange) -> u64 {
        let Some(value) = change.value.clone() else {
            self.rows.remove(&change.key);
            return 0;
        };
        let version = self.rows.get(&change.key).map_or(1, |row| row.version + 1);
        let row = TableRow {
            key: change.key.clone(),
            version,
            value,
        };
        self.rows.insert(change.key.clone(), row);
        version
    }

    /// Returns the number of rows with a key prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.rows
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }
}
