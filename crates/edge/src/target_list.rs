//! Follows the target list, by the store or by the host of the failure domain that reads it.

use crate::clock;
use crate::decision_log;
use crate::follow::{read_table, StoreHealth};
use crate::message::HostMessage;
use crate::shell::EdgeShell;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks whether to poll the targets.
const LIST_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for an answer to such a poll; the next one goes over another connection.
const POLL_LIMIT: Duration = Duration::from_millis(700);

/// Follows the target list.
pub(crate) async fn follow_targets(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("targets");
    let mut reader = ListReader::default();
    loop {
        let sent = clock::now();
        let page = read_table(&shell, StoreTable::Targets, &mut health).await;
        take_page(&shell, &page, &health, &mut reader, sent);
        loop {
            actix_rt::time::sleep(LIST_PAUSE).await;
            let now = clock::now();
            let is_reader = shell.hosts.borrow().is_list_reader(now);
            if !shell.list.borrow().should_poll(is_reader, now) {
                continue;
            }
            shell.list.borrow_mut().start_poll(now);
            let after = shell.list.borrow().version().unwrap_or(0);
            let changes = shell
                .store
                .read_changes(StoreTable::Targets, after, Duration::ZERO, POLL_LIMIT)
                .await;
            match changes {
                Ok(changes) => {
                    health.answered();
                    let entries = decode_rows(&changes.rows);
                    let change = reader.read(entries, health.is_recovering());
                    let pass_on = is_reader && change.is_complete;
                    apply_change(&shell, change, after, changes.version, now, pass_on);
                }
                Err(StoreError::HistoryGone) => break,
                // No longer pause than between polls: the other hosts poll in place of a reader
                // that is silent for longer.
                Err(error) => health.failed(&error),
            }
        }
    }
}

/// Takes a whole table: targets that are not in it are gone.
fn take_page(
    shell: &EdgeShell,
    page: &StorePage,
    health: &StoreHealth,
    reader: &mut ListReader,
    sent: ClockTime,
) {
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
            }),
    );
    let change = reader.read(entries, health.is_recovering());
    apply_change(shell, change, 0, page.version, sent, false);
}

/// Decodes rows of the target table; one that cannot be read leaves its target as it is.
fn decode_rows(rows: &[StoreRow]) -> Vec<ListEntry> {
    let decode = |row: &StoreRow| {
        let record = match &row.value {
            None => None,
            Some(value) => match read_target_record(&row.key, value) {
                Ok(record) => Some(record),
                Err(error) => {
                    warn!("entry {}: {error}", row.key);
                    return None;
                }
            },
        };
        let name = TargetName::new(&row.key);
        Some(ListEntry { name, record })
    };
    rows.iter().filter_map(decode).collect()
}

fn apply_change(
    shell: &EdgeShell,
    change: ListChange,
    after: u64,
    version: u64,
    sent: ClockTime,
    pass_on: bool,
) {
    shell
        .list
        .borrow_mut()
        .finish_poll(version, sent, change.is_complete);
    if pass_on {
        let message = HostMessage::Targets {
            after,
            version,
            upserts: news(shell, &change.upserts),
            removed: change.removed.clone(),
        };
        let peers = shell.hosts.borrow().domain_peer_addresses();
        shell.peers.send_all(&peers, &message);
    }
    log_targets(shell, &change.upserts, &change.removed, version);
    shell.dispatch(ServingEvent::Targets {
        upserts: change.upserts,
        removed: change.removed,
    });
}

/// Records that say something new; most writes of targets only show that they live.
fn news(shell: &EdgeShell, upserts: &[TargetRecord]) -> Vec<TargetRecord> {
    let serving = shell.serving.borrow();
    let is_news = |record: &&TargetRecord| {
        let known = serving.targets.get(&record.name);
        !known.is_some_and(|state| state.record.has_same_content(record))
    };
    upserts.iter().filter(is_news).cloned().collect()
}

/// Logs what changes in the target list.
pub(crate) fn log_targets(
    shell: &EdgeShell,
    upserts: &[TargetRecord],
    removed: &[TargetName],
    version: u64,
) {
    let serving = shell.serving.borrow();
    for record in upserts {
        let change = match serving.targets.get(&record.name) {
            None => "new",
            Some(state) if state.record.incarnation != record.incarnation => "restarted",
            Some(state) if !state.record.leaving && record.leaving => "leaving",
            Some(_) => continue,
        };
        decision_log::belief(
            "target",
            change,
            json!({"target": record.name.as_str(), "list_version": version, "service": record.service.as_str()}),
        );
    }
    for name in removed
        .iter()
        .filter(|name| serving.targets.get(name).is_some())
    {
        decision_log::belief(
            "target",
            "gone",
            json!({"target": name.as_str(), "list_version": version}),
        );
    }
}
