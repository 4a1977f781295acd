//! Writes the row of this host to the store, and removes it when the process stops.

use crate::clock;
use crate::decision_log;
use crate::follow::StoreHealth;
use crate::shell::EdgeShell;
use crate::store_calls::CallReason;
use crocusyard_adapter::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for the store's answer to a write of the row.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for the store's answer to the removal of the row.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the removal is repeated.
const REMOVAL_PAUSE: Duration = Duration::from_millis(300);
/// Largest number of attempts in a row that find another row than expected: that of a former process,
/// whose writes may be carried out late.
const MAX_ATTEMPTS: usize = 3;

/// Writes the row of this host.
///
/// # Errors
///
/// Fails if the store did not answer or refused the write.
pub(crate) async fn write_own_row(shell: &EdgeShell) -> Result<(), StoreError> {
    let mut result = Ok(());
    for _ in 0..MAX_ATTEMPTS {
        result = write_once(shell).await;
        if !matches!(result, Err(StoreError::Conflict { .. })) {
            break;
        }
    }
    result
}

/// Repeats the write of the row until its version is known. The rows of the other hosts are then read
/// again, since those that started meanwhile may not have seen this one.
pub(crate) async fn keep_writing_own_row(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("own_row");
    while !shell.is_stopping() && !shell.own_row.borrow().is_written() {
        let sent_at = clock::now();
        match write_own_row(&shell).await {
            Ok(()) => {
                health.record_answer();
                shell.hosts_news.notify_one();
            }
            Err(error) => {
                health.record_failure(&error, sent_at);
                if matches!(error, StoreError::Unknown { .. }) {
                    // A read shows whether the write was carried out.
                    shell.hosts_news.notify_one();
                }
                health.wait_for_retry().await;
            }
        }
    }
}

/// Makes one attempt to write the row; a conflict may show that an earlier attempt was carried out.
async fn write_once(shell: &EdgeShell) -> Result<(), StoreError> {
    let record = shell.hosts.borrow().own().clone();
    let (row, expected) = shell.own_row.borrow().next_write(record);
    let value = serde_json::to_vec(&row).map_err(|error| StoreError::NotApplied {
        reason: error.to_string(),
    })?;
    let write = own_write(shell, Some(value), expected);
    match shell.store.write(&write, WRITE_TIMEOUT).await {
        Ok(version) => {
            shell.own_row.borrow_mut().write_succeeded(&row, version);
            record_written(shell);
            Ok(())
        }
        Err(StoreError::Conflict { rows }) if learn_row(shell, &rows) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Applies the row of this host among rows that were read, unless its version is known: neither the
/// write nor the conflict with a former row may have been answered.
pub(crate) fn read_own_row(shell: &EdgeShell, rows: &[StoreRow]) {
    let key = shell.settings.name.as_str();
    let is_read = rows.iter().any(|row| row.key == key);
    if is_read && !shell.own_row.borrow().is_written() {
        learn_row(shell, rows);
    }
}

/// Applies the row in the store; returns whether this process has written it.
fn learn_row(shell: &EdgeShell, rows: &[StoreRow]) -> bool {
    let found = find_row(shell.settings.name.as_str(), rows);
    let is_own = shell.own_row.borrow_mut().learn(found);
    if is_own {
        record_written(shell);
    }
    is_own
}

/// Records that the store has the row of this process.
fn record_written(shell: &EdgeShell) {
    let since = shell.own_row.borrow().listed_since();
    if let Some(since) = since {
        shell.lease.borrow_mut().record_listed(since);
    }
    decision_log::log_change("own_row", "written", json!({"since": since}));
}

/// Finds the row with a key; of several changes, the last one counts.
fn find_row(key: &str, rows: &[StoreRow]) -> Option<FoundRow> {
    let row = rows.iter().rfind(|row| row.key == key)?;
    let (process, since) = match serde_json::from_slice::<StoredHost>(row.value.as_deref()?) {
        Ok(stored) => (stored.process, stored.since),
        Err(error) => {
            warn!("the row of this host in the store cannot be decoded: {error}");
            (None, None)
        }
    };
    Some(FoundRow {
        version: row.version,
        process,
        since,
    })
}

/// Removes the row of this host when the process stops, unless a later process has written it. The
/// removal is repeated until the store has answered it or the process ends.
pub(crate) async fn remove_own_row(shell: Rc<EdgeShell>) {
    loop {
        let expected = shell.own_row.borrow().removal_expected();
        let write = own_write(&shell, None, expected);
        match shell.store.write(&write, REMOVAL_TIMEOUT).await {
            Err(StoreError::Conflict { rows }) if learn_row(&shell, &rows) => {}
            Ok(_) | Err(StoreError::Conflict { .. }) => return,
            Err(error) => {
                warn!("the row of this host cannot be removed from the store: {error}");
                actix_rt::time::sleep(REMOVAL_PAUSE).await;
            }
        }
    }
}

/// Builds a write of the row, or its removal, and counts it.
fn own_write(shell: &EdgeShell, value: Option<Vec<u8>>, expected: u64) -> StoreWrite {
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Hosts, CallReason::OwnRow);
    StoreWrite {
        table: StoreTable::Hosts,
        key: shell.settings.name.as_str().to_owned(),
        value,
        expected: Some(expected),
    }
}
