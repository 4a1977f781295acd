//! Follows the target list.
//!
//! One host of each failure domain, the reader, polls the store and relays the changes to the other
//! hosts of its domain. Those poll the store themselves if the reader is silent.

use crate::clock;
use crate::decision_log;
use crate::follow::{read_table, StoreHealth};
use crate::message::HostMessage;
use crate::shell::EdgeShell;
use crate::store_calls::CallReason;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::relay::{POLL_TIMEOUT, RELAY_REPEAT_DELAY};
use log::warn;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Reads the target list and follows its changes until the process ends.
pub(crate) async fn follow_targets(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("targets");
    let mut reader = ListReader::default();
    let timeout = Duration::from_millis(POLL_TIMEOUT.as_ms());
    loop {
        let sent_at = clock::now();
        let page = read_table(&shell, StoreTable::Targets, &mut health).await;
        record_answer(&shell, sent_at);
        apply_page(&shell, &page, &mut reader, sent_at);
        loop {
            let pause = check_pause(&shell);
            actix_rt::time::sleep(Duration::from_millis(pause.as_ms())).await;
            release_removals(&shell, &mut reader);
            let now = clock::now();
            let rank = shell.hosts.borrow().reader_rank(now);
            if !shell.target_list.borrow().should_poll(rank, now) {
                continue;
            }
            shell.target_list.borrow_mut().start_poll(now);
            let after = known_version(&shell);
            let reason = if rank == ReaderRank::READER {
                CallReason::Reader
            } else {
                CallReason::SilentReader
            };
            shell.metrics.store_calls.count(StoreTable::Targets, reason);
            let changes = shell
                .store
                .read_changes(StoreTable::Targets, after, Duration::ZERO, timeout)
                .await;
            let is_answered = matches!(changes, Ok(_) | Err(StoreError::HistoryGone));
            if rank.reads_configuration(is_answered) {
                shell.configuration_news.notify_one();
            }
            match changes {
                Ok(changes) => {
                    health.record_answer();
                    record_answer(&shell, now);
                    apply_changes(&shell, changes, &mut reader, now);
                }
                Err(StoreError::HistoryGone) => break,
                // Without an extra pause: if the reader relayed nothing for longer than the interval
                // between two polls, the other hosts would poll in its place.
                Err(error) => {
                    health.record_failure(&error, now);
                    shell.target_list.borrow_mut().fail_poll();
                }
            }
        }
    }
}

/// Returns how long to wait until this host checks again whether to poll.
fn check_pause(shell: &EdgeShell) -> ClockTime {
    let now = clock::now();
    let rank = shell.hosts.borrow().reader_rank(now);
    shell.target_list.borrow().check_pause(rank, now)
}

/// Records that the store was available to a call that was sent at `sent_at`.
fn record_answer(shell: &EdgeShell, sent_at: ClockTime) {
    let mut availability = shell.availability.borrow_mut();
    availability.record_answer(sent_at, clock::now());
}

/// Returns the version up to which this host knows the target list.
fn known_version(shell: &EdgeShell) -> u64 {
    shell.target_list.borrow().version().unwrap_or(0)
}

/// Applies the answer to a poll that was sent at `sent_at`, and relays it: a host that is not the
/// reader polls because the reader is silent, and the others miss its news as well. Changes that
/// were relayed meanwhile may be newer than the answer.
fn apply_changes(
    shell: &EdgeShell,
    changes: StoreChanges,
    reader: &mut ListReader,
    sent_at: ClockTime,
) {
    let known = known_version(shell);
    let entries = decode_rows(&changes.rows);
    let entries = shell.target_list.borrow().newer_entries(entries);
    let change = read_entries(shell, reader, entries);
    let relay = change.is_complete && changes.version >= known;
    apply_change(shell, change, known, changes.version, sent_at, relay);
}

/// Applies the whole table, which was asked for at `sent_at`: known targets that it does not contain
/// are removed.
fn apply_page(shell: &EdgeShell, page: &StorePage, reader: &mut ListReader, sent_at: ClockTime) {
    if shell.target_list.borrow().is_outdated(page.version) {
        return;
    }
    let listed: BTreeSet<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
    let mut entries = decode_rows(&page.rows);
    entries.extend(
        shell
            .serving
            .borrow()
            .targets
            .iter()
            .map(|state| &state.record.name)
            .filter(|name| !listed.contains(name.as_str()))
            .map(|name| ListEntry {
                name: name.clone(),
                record: None,
                version: page.version,
            }),
    );
    let change = read_entries(shell, reader, entries);
    apply_change(shell, change, 0, page.version, sent_at, false);
}

/// Turns entries of the store into a change, in which removals may be held back.
fn read_entries(shell: &EdgeShell, reader: &mut ListReader, entries: Vec<ListEntry>) -> ListChange {
    let now = clock::now();
    let recovering = shell.availability.borrow().is_recovering(now);
    reader.read(entries, recovering, now)
}

/// Uses removals that no longer have to be held back.
fn release_removals(shell: &EdgeShell, reader: &mut ListReader) {
    let now = clock::now();
    if reader.is_complete() {
        return;
    }
    let recovering = shell.availability.borrow().is_recovering(now);
    let removed = reader.release(recovering, now);
    if reader.is_complete() {
        shell.target_list.borrow_mut().finish_release();
    }
    if removed.is_empty() {
        return;
    }
    let version = known_version(shell);
    log_target_changes(shell, &[], &removed, version, ListSource::HeldBack);
    shell.dispatch(ServingEvent::Targets {
        upserts: Vec::new(),
        removed,
    });
}

/// Decodes rows of the target table. A row that cannot be read is skipped, so that its target stays
/// as it is.
fn decode_rows(rows: &[StoreRow]) -> Vec<ListEntry> {
    let decode = |row: &StoreRow| {
        let record = match &row.value {
            None => None,
            Some(value) => match read_target_record(&row.key, value) {
                Ok(record) => Some(record),
                Err(error) => {
                    warn!("the row of target {} is skipped: {error}", row.key);
                    return None;
                }
            },
        };
        let name = TargetName::new(&row.key);
        let version = row.version;
        Some(ListEntry {
            name,
            record,
            version,
        })
    };
    rows.iter().filter_map(decode).collect()
}

/// Applies changes that were read from the store. If `relay` is set, also sends them to the other
/// hosts of the failure domain.
fn apply_change(
    shell: &EdgeShell,
    change: ListChange,
    after: u64,
    version: u64,
    sent_at: ClockTime,
    relay: bool,
) {
    shell
        .target_list
        .borrow_mut()
        .finish_poll(version, sent_at, change.is_complete);
    let age = clock::now().since(sent_at);
    if relay {
        let upserts = records_to_relay(shell, &change);
        relay_change(
            shell,
            after,
            version,
            upserts,
            change.removed.clone(),
            sent_at,
        );
    }
    let source = ListSource::Poll { age };
    log_target_changes(shell, &change.upserts, &change.removed, version, source);
    for name in &change.held_back {
        decision_log::log_change(
            "target",
            "held_back",
            json!({"target": name.as_str(), "list_version": version, "age_ms": age.as_ms(), "answers": log_availability(shell)}),
        );
    }
    shell.dispatch(ServingEvent::Targets {
        upserts: change.upserts,
        removed: change.removed,
    });
}

/// Sends changes that were read from the store to the other hosts of the failure domain, and once
/// more a little later.
fn relay_change(
    shell: &EdgeShell,
    after: u64,
    version: u64,
    upserts: Vec<TargetRecord>,
    removed: Vec<TargetName>,
    sent_at: ClockTime,
) {
    let Some(shell) = shell.own_reference() else {
        return;
    };
    actix_rt::spawn(async move {
        for delay in [ClockTime::ZERO, RELAY_REPEAT_DELAY] {
            actix_rt::time::sleep(Duration::from_millis(delay.as_ms())).await;
            let message = HostMessage::Targets {
                after,
                version,
                upserts: upserts.clone(),
                removed: removed.clone(),
                age: clock::now().since(sent_at),
                configuration: shell.configuration_version.get(),
            };
            let peers = shell.hosts.borrow().domain_peer_addresses();
            shell.peers.send_all(&peers, &message);
        }
    });
}

/// Returns the records whose content has changed, and those of restored targets.
fn records_to_relay(shell: &EdgeShell, change: &ListChange) -> Vec<TargetRecord> {
    let serving = shell.serving.borrow();
    change.records_to_relay(|record| {
        let known = serving.targets.get(&record.name);
        known.is_some_and(|state| state.record.has_same_content(record))
    })
}

/// Ages of the first and last answer of the store since its last outage, for the decision log.
fn log_availability(shell: &EdgeShell) -> Value {
    match shell.availability.borrow().report(clock::now()) {
        None => Value::Null,
        Some(report) => json!({
            "since_age_ms": report.since_age.as_ms(),
            "until_age_ms": report.until_age.as_ms(),
            "outage_age_ms": report.outage_age.map(ClockTime::as_ms),
        }),
    }
}

/// Where a host has read a change of the target list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListSource {
    /// The store, which was asked this long ago.
    Poll { age: ClockTime },
    /// The reader of the failure domain, which asked the store this long before its message.
    Relay { age: ClockTime },
    /// An earlier call to the store, whose removals were held back.
    HeldBack,
}

impl ListSource {
    /// Returns the name in the decision log, and the time since the store was asked, ms.
    fn log_values(self) -> (&'static str, Option<u64>) {
        match self {
            Self::Poll { age } => ("poll", Some(age.as_ms())),
            Self::Relay { age } => ("relay", Some(age.as_ms())),
            Self::HeldBack => ("held_back", None),
        }
    }
}

/// Logs which targets are new, restarted, leaving or gone.
pub(crate) fn log_target_changes(
    shell: &EdgeShell,
    upserts: &[TargetRecord],
    removed: &[TargetName],
    version: u64,
    source: ListSource,
) {
    let (source, age_ms) = source.log_values();
    let serving = shell.serving.borrow();
    for record in upserts {
        let change = match serving.targets.get(&record.name) {
            None => "new",
            Some(state) if state.record.incarnation != record.incarnation => "restarted",
            Some(state) if !state.record.leaving && record.leaving => "leaving",
            Some(_) => continue,
        };
        decision_log::log_change(
            "target",
            change,
            json!({"target": record.name.as_str(), "list_version": version, "service": record.service.as_str(), "source": source, "age_ms": age_ms}),
        );
    }
    for name in removed
        .iter()
        .filter(|name| serving.targets.get(name).is_some())
    {
        decision_log::log_change(
            "target",
            "gone",
            json!({"target": name.as_str(), "list_version": version, "source": source, "age_ms": age_ms}),
        );
    }
}
