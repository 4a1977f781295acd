//! Keeps or watches the lease of the moves in the store.

use crate::clock;
use crate::decision_log;
use crate::gossip::beat;
use crate::shell::EdgeShell;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

/// Key of the lease row.
const LEASE_KEY: &str = "moves";
/// Longest time for an answer to a lease call.
const LEASE_LIMIT: Duration = Duration::from_millis(800);
/// Pause between looks at the lease.
const LEASE_PAUSE: Duration = Duration::from_millis(100);

/// Keeps or watches the lease.
pub(crate) async fn keep_lease(shell: Rc<EdgeShell>) {
    let own = shell.settings.name.clone();
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
            LeaseStep::Write { expected } => write_lease(&shell, &own, expected).await,
        }
        let is_holder = shell.lease.borrow().is_holder();
        if is_holder != was_holder {
            shell.orders.borrow_mut().clear();
            let version = shell.lease.borrow().version();
            let change = if is_holder { "taken" } else { "lost" };
            decision_log::belief("lease", change, json!({"version": version}));
            beat(&shell);
        }
        actix_rt::time::sleep(LEASE_PAUSE).await;
    }
}

async fn read_lease(shell: &EdgeShell) {
    match shell.store.read(StoreTable::Lease, LEASE_LIMIT).await {
        Ok(page) => {
            let row = page.rows.iter().find_map(decode_lease);
            shell.lease.borrow_mut().receive_row(row, clock::now());
        }
        Err(error) => warn!("lease cannot be read: {error}"),
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
            warn!("lease row: {error}");
            None
        }
    }
}

fn lease_write(own: &HostName, expected: u64, released: bool) -> Option<StoreWrite> {
    let row = LeaseRow {
        holder: own.clone(),
        released,
    };
    match serde_json::to_vec(&row) {
        Ok(value) => Some(StoreWrite {
            table: StoreTable::Lease,
            key: LEASE_KEY.to_owned(),
            value: Some(value),
            expected: Some(expected),
        }),
        Err(error) => {
            warn!("lease row cannot be written: {error}");
            None
        }
    }
}

/// Gives the lease up when the process stops; without the store it is kept to the end.
pub(crate) async fn release_lease(shell: &EdgeShell) {
    let (is_holder, version) = {
        let lease = shell.lease.borrow();
        (lease.is_holder(), lease.version())
    };
    let (true, Some(expected)) = (is_holder, version) else {
        return;
    };
    let Some(write) = lease_write(&shell.settings.name, expected, true) else {
        return;
    };
    match shell.store.write(&write, LEASE_LIMIT).await {
        Ok(version) => {
            shell.lease.borrow_mut().release(version, clock::now());
            shell.released.set(Some(version));
            decision_log::belief("lease", "released", json!({"version": version}));
            beat(shell);
        }
        Err(error) => warn!("lease is kept to the end: {error}"),
    }
}

async fn write_lease(shell: &EdgeShell, own: &HostName, expected: u64) {
    let sent = clock::now();
    let Some(write) = lease_write(own, expected, false) else {
        return;
    };
    let result = shell.store.write(&write, LEASE_LIMIT).await;
    let now = clock::now();
    let others = shell.hosts.borrow().other_names();
    let mut lease = shell.lease.borrow_mut();
    match result {
        Ok(version) => lease.write_succeeded(own, version, sent, now),
        Err(StoreError::Conflict { rows }) => {
            lease.receive_row(rows.iter().find_map(decode_lease), now);
        }
        Err(error) => {
            warn!("lease cannot be written: {error}");
            lease.write_failed(&others, now);
        }
    }
}
