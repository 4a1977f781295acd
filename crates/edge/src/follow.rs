//! Follows the configuration and the entry hosts in the store.

use crate::clock;
use crate::decision_log;
use crate::shell::EdgeShell;
use crocusyard_adapter::configuration::CONFIGURATION_KEY;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for an answer of the store, beyond a wait that was asked for.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Wait of a feed for the first change.
const FEED_WAIT: Duration = Duration::from_secs(25);
/// Pause between reads of the rows of the entry hosts. It bounds how long the row of a host that
/// left, or one that could not be reached by beats, stays unknown.
const HOSTS_PAUSE: Duration = Duration::from_secs(15);
/// Time for which removed targets stay after the store was away: they write again within it.
const LAPSE_TIME: ClockTime = ClockTime::from_ms(2_500);

/// Whether the store answers, and since when.
pub(crate) struct StoreHealth {
    table: &'static str,
    failing: bool,
    back_at: Option<ClockTime>,
    backoff: CallBackoff,
}

impl StoreHealth {
    pub(crate) fn new(table: &'static str) -> Self {
        Self {
            table,
            failing: false,
            back_at: None,
            backoff: CallBackoff::default(),
        }
    }

    /// Notes a failed call.
    pub(crate) fn failed(&mut self, error: &StoreError) {
        if !self.failing {
            self.failing = true;
            let cause = error.to_string();
            decision_log::belief(
                "store",
                "lost",
                json!({"table": self.table, "cause": cause}),
            );
        }
    }

    /// Waits before the next call after a failed one.
    pub(crate) async fn rest(&mut self) {
        let pause = self.backoff.next_delay();
        actix_rt::time::sleep(Duration::from_millis(pause.as_ms())).await;
    }

    pub(crate) fn answered(&mut self) {
        self.backoff.reset();
        if self.failing {
            self.failing = false;
            self.back_at = Some(clock::now());
            decision_log::belief("store", "regained", json!({"table": self.table}));
        }
    }

    /// Returns whether rows may be missing because their writers could not reach the store.
    pub(crate) fn is_recovering(&self) -> bool {
        self.back_at
            .is_some_and(|at| clock::now().since(at) < LAPSE_TIME)
    }
}

/// Reads a table until the store answers.
pub(crate) async fn read_table(
    shell: &EdgeShell,
    table: StoreTable,
    health: &mut StoreHealth,
) -> StorePage {
    loop {
        match shell.store.read(table, ANSWER_LIMIT).await {
            Ok(page) => {
                health.answered();
                return page;
            }
            Err(error) => {
                health.failed(&error);
                health.rest().await;
            }
        }
    }
}

/// How often changes of a table are asked for.
#[derive(Clone, Copy)]
struct FeedRhythm {
    /// Pause before each call.
    pause: Duration,
    /// Wait of the store for the first change.
    wait: Duration,
}

/// Hears of each change at once.
const AT_ONCE: FeedRhythm = FeedRhythm {
    pause: Duration::ZERO,
    wait: FEED_WAIT,
};
/// Hears of all changes since the last call from time to time.
const FROM_TIME_TO_TIME: FeedRhythm = FeedRhythm {
    pause: HOSTS_PAUSE,
    wait: Duration::ZERO,
};

/// Follows a table and hands its rows on; reads it again when its history is gone.
async fn follow_table(
    shell: &EdgeShell,
    table: StoreTable,
    rhythm: FeedRhythm,
    health: &mut StoreHealth,
    take: fn(&EdgeShell, &[StoreRow]),
) {
    loop {
        let page = read_table(shell, table, health).await;
        take(shell, &page.rows);
        let mut version = page.version;
        loop {
            actix_rt::time::sleep(rhythm.pause).await;
            let changes = shell
                .store
                .read_changes(table, version, rhythm.wait, ANSWER_LIMIT)
                .await;
            match changes {
                Ok(changes) => {
                    health.answered();
                    take(shell, &changes.rows);
                    version = changes.version;
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => {
                    health.failed(&error);
                    health.rest().await;
                }
            }
        }
    }
}

/// Follows the operators' configuration.
pub(crate) async fn follow_rules(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("configuration");
    let table = StoreTable::Configuration;
    follow_table(&shell, table, AT_ONCE, &mut health, take_rules).await;
}

fn take_rules(shell: &EdgeShell, rows: &[StoreRow]) {
    for row in rows.iter().filter(|row| row.key == CONFIGURATION_KEY) {
        let Some(value) = &row.value else {
            continue;
        };
        match read_rules(value) {
            Ok(rules) => {
                decision_log::belief(
                    "configuration",
                    "in_force",
                    json!({"version": rules.version, "routes": rules.route_count()}),
                );
                shell.dispatch(ServingEvent::Rules(Rc::new(rules)));
            }
            Err(error) => warn!("configuration of row version {}: {error}", row.version),
        }
    }
}

/// Writes the own row and reads those of the other entry hosts from time to time.
///
/// A host that starts reads the table and sends beats to the others, so that they know it before
/// they read its row.
pub(crate) async fn follow_hosts(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("hosts");
    write_own_row(&shell, &mut health).await;
    let table = StoreTable::Hosts;
    follow_table(&shell, table, FROM_TIME_TO_TIME, &mut health, take_hosts).await;
}

async fn write_own_row(shell: &EdgeShell, health: &mut StoreHealth) {
    let facts = shell.hosts.borrow().own().clone();
    let value = match serde_json::to_vec(&facts) {
        Ok(value) => value,
        Err(error) => {
            warn!("own row cannot be written: {error}");
            return;
        }
    };
    let write = StoreWrite {
        table: StoreTable::Hosts,
        key: facts.name.as_str().to_owned(),
        value: Some(value),
        expected: None,
    };
    loop {
        match shell.store.write(&write, ANSWER_LIMIT).await {
            Ok(_) => {
                health.answered();
                return;
            }
            Err(error) => {
                health.failed(&error);
                health.rest().await;
            }
        }
    }
}

fn take_hosts(shell: &EdgeShell, rows: &[StoreRow]) {
    let now = clock::now();
    let mut hosts = shell.hosts.borrow_mut();
    for row in rows {
        match &row.value {
            None => hosts.remove(&HostName::new(&row.key)),
            Some(value) => match serde_json::from_slice::<HostRecord>(value) {
                Ok(facts) => hosts.upsert(facts, now),
                Err(error) => warn!("row of host {}: {error}", row.key),
            },
        }
    }
}
