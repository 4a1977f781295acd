//! Hands the crashes that still count on to hosts that start later.
//!
//! A host that starts asks others for them. When all hosts start again at the same time, none of them
//! can answer; the holder of the lease therefore also keeps the crashes in a row of the lease's table,
//! which hosts read with the lease. The row is written only when other crashes count than before.

use crate::clock;
use crate::crash_log;
use crate::lease_keeper::LEASE_TIMEOUT;
use crate::message::HostMessage;
use crate::shell::EdgeShell;
use crate::store_calls::CallReason;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Key of the row in the lease table.
const HISTORY_KEY: &str = "crashes";
/// Shortest interval between two writes of the row.
const STORE_INTERVAL: Duration = Duration::from_millis(500);

/// Where a history comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HistorySource {
    /// Another host.
    Host,
    /// The store.
    Store,
}

impl HistorySource {
    /// Returns the name of the source in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Store => "store",
        }
    }
}

/// What this host knows of the row in the store.
#[derive(Debug, Default)]
pub(crate) struct StoredHistory {
    /// Version of the row; 0 if there is none, `None` before it was read.
    version: Option<u64>,
    /// Crashes in the row.
    counted: BTreeSet<CountedCrash>,
}

/// Content of the row. It is encoded like messages between hosts, since the store charges its bytes.
#[derive(Serialize, Deserialize)]
struct HistoryRow {
    /// Time of the write, Unix ms.
    written_ms: u64,
    history: CrashHistory,
}

/// Tells a host that has just started which crashes count, if any do.
pub(crate) fn send_crashes(shell: &EdgeShell, reply_to: SocketAddr) {
    let history = shell.serving.borrow().crash_history(clock::now());
    if !history.is_empty() {
        let answer = HostMessage::CrashHistory(history);
        shell.peers.send(reply_to, &answer);
    }
}

/// Applies the history of another host or of the store.
pub(crate) fn receive_history(shell: &EdgeShell, history: CrashHistory, source: HistorySource) {
    crash_log::log_history(&history, source.label());
    shell.dispatch(ServingEvent::CrashHistory(history));
}

/// Applies the row in the store, if there is one among these rows of the lease table.
pub(crate) fn receive_stored_history(shell: &EdgeShell, rows: &[StoreRow]) {
    let row = rows.iter().find(|row| row.key == HISTORY_KEY);
    let version = row.map_or(0, |row| row.version);
    let known = shell.stored_history.borrow().version;
    if known.is_some_and(|known| version <= known) {
        return;
    }
    let history = row.and_then(decode_history).unwrap_or_default();
    *shell.stored_history.borrow_mut() = StoredHistory {
        version: Some(version),
        counted: history.counted(),
    };
    if !history.is_empty() {
        receive_history(shell, history, HistorySource::Store);
    }
}

fn decode_history(row: &StoreRow) -> Option<CrashHistory> {
    match postcard::from_bytes::<HistoryRow>(row.value.as_deref()?) {
        Ok(HistoryRow {
            written_ms,
            mut history,
        }) => {
            let age_ms = clock::unix_ms().saturating_sub(written_ms);
            history.add_age(ClockTime::from_ms(age_ms));
            Some(history)
        }
        Err(error) => {
            warn!("the crashes in the store cannot be decoded: {error}");
            None
        }
    }
}

/// Stores the crashes that count while this host holds the lease, until the process ends.
pub(crate) async fn keep_history(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(STORE_INTERVAL).await;
        store_history(&shell).await;
    }
}

/// Writes the row if this host holds the lease and other crashes count than those in the row.
pub(crate) async fn store_history(shell: &EdgeShell) {
    if !shell.lease.borrow().is_holder() {
        return;
    }
    let history = shell.serving.borrow().crash_history(clock::now());
    let counted = history.counted();
    if counted == shell.stored_history.borrow().counted {
        return;
    }
    let version = shell.stored_history.borrow().version;
    match version {
        Some(version) => write_history(shell, history, counted, version).await,
        // The next round writes what this host knows beyond the row.
        None => read_history(shell).await,
    }
}

async fn read_history(shell: &EdgeShell) {
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Lease, CallReason::CrashHistory);
    match shell.store.read(StoreTable::Lease, LEASE_TIMEOUT).await {
        Ok(page) => receive_stored_history(shell, &page.rows),
        Err(error) => warn!("the crashes cannot be read from the store: {error}"),
    }
}

async fn write_history(
    shell: &EdgeShell,
    history: CrashHistory,
    counted: BTreeSet<CountedCrash>,
    expected: u64,
) {
    let row = HistoryRow {
        written_ms: clock::unix_ms(),
        history,
    };
    let value = match postcard::to_stdvec(&row) {
        Ok(value) => value,
        Err(error) => {
            warn!("the crashes cannot be serialized for the store: {error}");
            return;
        }
    };
    let write = StoreWrite {
        table: StoreTable::Lease,
        key: HISTORY_KEY.to_owned(),
        value: Some(value),
        expected: Some(expected),
    };
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Lease, CallReason::CrashHistory);
    match shell.store.write(&write, LEASE_TIMEOUT).await {
        Ok(version) => {
            crash_log::log_stored_history(counted.len(), version);
            *shell.stored_history.borrow_mut() = StoredHistory {
                version: Some(version),
                counted,
            };
        }
        Err(StoreError::Conflict { rows }) => {
            // The row may have a lower version than before, or be gone.
            shell.stored_history.borrow_mut().version = None;
            receive_stored_history(shell, &rows);
        }
        Err(error) => warn!("the crashes cannot be written to the store: {error}"),
    }
}
