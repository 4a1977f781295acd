//! Takes, renews, watches and releases the lease in the store.
//!
//! Only the holder of the lease gives orders to engines.

use crate::clock;
use crate::crash_history::receive_stored_history;
use crate::decision_log;
use crate::gossip::send_heartbeat;
use crate::shell::EdgeShell;
use crate::store_calls::CallReason;
use crocusyard_adapter::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

/// Key of the lease row in the lease table.
const LEASE_KEY: &str = "moves";
/// Longest time for the store's answer to a read or write of the lease.
pub(crate) const LEASE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a release without an answer is repeated.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the host decides whether to read or write the lease row.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Takes, renews or watches the lease until the process ends.
pub(crate) async fn keep_lease(shell: Rc<EdgeShell>) {
    loop {
        let was_holder = shell.lease.borrow().is_holder();
        let step = if shell.is_stopping() {
            LeaseStep::Wait
        } else {
            let now = clock::now();
            let stronger = shell.hosts.borrow().has_stronger(now);
            let mut lease = shell.lease.borrow_mut();
            lease.yield_to_stronger(stronger);
            lease.step(now)
        };
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read => read_lease(&shell).await,
            LeaseStep::Write { expected } => write_lease(&shell, expected).await,
        }
        let is_holder = shell.lease.borrow().is_holder();
        if is_holder != was_holder {
            let former_loads = shell.lease.borrow().former_orders_end(clock::now());
            shell.orders.borrow_mut().start_term(former_loads);
            let change = if is_holder { "taken" } else { "lost" };
            let details = {
                let lease = shell.lease.borrow();
                json!({"version": lease.version(), "hosts_version": lease.hosts_version()})
            };
            decision_log::log_change("lease", change, details);
            send_heartbeat(&shell);
        }
        actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

/// Lease row as it is stored, with the evidence against the causes that its holder blames. The evidence
/// lasts there when all hosts start again at the same time.
#[derive(Serialize)]
struct StoredLease {
    #[serde(flatten)]
    row: LeaseRow,
    evidence: EvidenceReport,
}

/// Part of the lease row that holds evidence of crashes.
#[derive(Default, Deserialize)]
struct StoredEvidence {
    #[serde(default)]
    evidence: EvidenceReport,
}

async fn read_lease(shell: &EdgeShell) {
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Lease, CallReason::SilentHolder);
    match shell.store.read(StoreTable::Lease, LEASE_TIMEOUT).await {
        Ok(page) => {
            let row = page.rows.iter().find_map(decode_lease);
            if page.rows.is_empty() {
                // No host has run before.
                shell.dispatch(ServingEvent::FormerRetries(Vec::new()));
            }
            shell.lease.borrow_mut().receive_row(row, clock::now());
            receive_stored_evidence(shell, &page.rows);
            receive_stored_history(shell, &page.rows);
        }
        Err(error) => {
            shell.lease.borrow_mut().read_failed();
            warn!("the lease row cannot be read from the store: {error}");
        }
    }
}

fn decode_lease(row: &StoreRow) -> Option<(LeaseRow, u64)> {
    if row.key != LEASE_KEY {
        return None;
    }
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(lease) => Some((lease, row.version)),
        Err(error) => {
            warn!("the lease row in the store cannot be decoded: {error}");
            None
        }
    }
}

/// Applies the evidence of crashes in the lease row.
fn receive_stored_evidence(shell: &EdgeShell, rows: &[StoreRow]) {
    let value = rows
        .iter()
        .find(|row| row.key == LEASE_KEY)
        .and_then(|row| row.value.as_deref());
    let Some(value) = value else {
        return;
    };
    match serde_json::from_slice::<StoredEvidence>(value) {
        Ok(stored) if stored.evidence.is_empty() => {}
        Ok(stored) => shell.dispatch(ServingEvent::Evidence(stored.evidence)),
        Err(error) => warn!("the evidence in the lease row cannot be decoded: {error}"),
    }
}

/// Builds the write of the lease row; `None` if the row cannot be serialized.
fn lease_row_write(shell: &EdgeShell, expected: u64, released: bool) -> Option<StoreWrite> {
    let evidence = shell.serving.borrow().evidence_report(clock::now());
    let row = StoredLease {
        row: shell.lease.borrow().own_row(released),
        evidence: evidence.unwrap_or_default(),
    };
    match serde_json::to_vec(&row) {
        Ok(value) => Some(StoreWrite {
            table: StoreTable::Lease,
            key: LEASE_KEY.to_owned(),
            value: Some(value),
            expected: Some(expected),
        }),
        Err(error) => {
            warn!("the lease row cannot be serialized: {error}");
            None
        }
    }
}

/// Releases the lease when the process stops. This is repeated until the process ends, since a write
/// by which this host takes the lease may be answered late.
pub(crate) async fn release_lease(shell: Rc<EdgeShell>) {
    shell.lease.borrow_mut().begin_release();
    loop {
        let expected = shell.lease.borrow().release_expected();
        if let Some(expected) = expected {
            write_release(&shell, expected).await;
        }
        actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

/// Writes the lease row as released, if it still has the expected version.
async fn write_release(shell: &EdgeShell, expected: u64) {
    let Some(write) = lease_row_write(shell, expected, true) else {
        return;
    };
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Lease, CallReason::LeaseWrite);
    let result = shell.store.write(&write, LEASE_TIMEOUT).await;
    let now = clock::now();
    match result {
        Ok(version) => shell.lease.borrow_mut().release(version, now),
        // An earlier attempt or a renewal without an answer has been carried out, or another host has
        // taken the lease.
        Err(StoreError::Conflict { rows }) => {
            let row = rows.iter().find_map(decode_lease);
            log_conflict(expected, row.as_ref());
            shell.lease.borrow_mut().receive_row(row, now);
        }
        Err(error) => {
            decision_log::log_change(
                "lease",
                "release_unanswered",
                json!({"expected": expected, "cause": error.to_string()}),
            );
            actix_rt::time::sleep(RELEASE_PAUSE).await;
            return;
        }
    }
    if let Some(LeaseReport::Released { version }) = shell.lease_report() {
        decision_log::log_change("lease", "released", json!({"version": version}));
        send_heartbeat(shell);
    }
}

/// Logs the row that a write has found in place of the one that it expected.
fn log_conflict(expected: u64, found: Option<&(LeaseRow, u64)>) {
    let details = found.map(|(row, version)| {
        json!({
            "version": version,
            "holder": row.holder.as_str(),
            "process": row.process,
            "released": row.released,
        })
    });
    decision_log::log_change(
        "lease",
        "conflict",
        json!({"expected": expected, "found": details}),
    );
}

/// Writes the lease row with this host as the holder.
async fn write_lease(shell: &EdgeShell, expected: u64) {
    let sent_at = clock::now();
    let Some(write) = lease_row_write(shell, expected, false) else {
        return;
    };
    let calls = &shell.metrics.store_calls;
    calls.count(StoreTable::Lease, CallReason::LeaseWrite);
    let result = shell.store.write(&write, LEASE_TIMEOUT).await;
    let now = clock::now();
    let others = shell.hosts.borrow().other_names();
    match result {
        Ok(version) => {
            let mut lease = shell.lease.borrow_mut();
            lease.write_succeeded(version, sent_at, now);
        }
        Err(StoreError::Conflict { rows }) => {
            let row = rows.iter().find_map(decode_lease);
            log_conflict(expected, row.as_ref());
            shell.lease.borrow_mut().receive_row(row, now);
            receive_stored_evidence(shell, &rows);
        }
        Err(error) => {
            warn!("the lease row cannot be written to the store: {error}");
            shell.lease.borrow_mut().write_failed(&others, now);
        }
    }
}
