//! Follows the operators' configuration and the rows of the entry hosts in the store.

use crate::clock;
use crate::compression::{compress, decompress};
use crate::decision_log;
use crate::gossip::update_limit_hosts;
use crate::message::HostMessage;
use crate::own_row::{keep_writing_own_row, read_own_row, write_own_row};
use crate::shell::EdgeShell;
use crate::store_calls::CallReason;
use crocusyard_adapter::configuration::CONFIGURATION_KEY;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::relay::HOLDER_HOSTS_READ_INTERVAL;
use log::warn;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for an answer of the store, in addition to the wait that a call asks for.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which the store holds a long poll open until the first change. The answer may be lost
/// without a sign on the connection. This wait, `FEED_TIMEOUT` and the first delay before a retry
/// therefore fit into the 3 s after a disruption in which changes must be known.
const FEED_WAIT: Duration = Duration::from_millis(1_200);
/// Longest time for an answer of the store after the wait of a long poll.
const FEED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a relayed configuration takes at most, unless it is lost.
const RELAY_TIME: Duration = Duration::from_millis(150);
/// Longest compressed configuration that is relayed, bytes; it fits into one datagram.
const MAX_RELAYED_BYTES: usize = 48 * 1024;
/// Longest relayed configuration, bytes.
const MAX_CONFIGURATION_BYTES: u64 = 8 * 1024 * 1024;
/// Interval at which a host checks whether it has become the reader of its failure domain or the
/// deputy of the reader.
const RANK_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Tracks whether the calls for one table of the store succeed.
pub(crate) struct StoreHealth {
    /// Name of the table in the decision log.
    table: &'static str,
    /// When the first call since the last answer was sent, if it failed.
    failing_since: Option<ClockTime>,
    backoff: CallBackoff,
}

impl StoreHealth {
    pub(crate) fn new(table: &'static str) -> Self {
        Self {
            table,
            failing_since: None,
            backoff: CallBackoff::default(),
        }
    }

    /// Records a failed call that was sent at `sent_at`; logs the first one after a success.
    pub(crate) fn record_failure(&mut self, error: &StoreError, sent_at: ClockTime) {
        if self.failing_since.is_some() {
            return;
        }
        self.failing_since = Some(sent_at);
        let cause = error.to_string();
        let asked_ms = clock::now().since(sent_at).as_ms();
        decision_log::log_change(
            "store",
            "lost",
            json!({"table": self.table, "cause": cause, "asked_ms": asked_ms}),
        );
    }

    /// Returns whether the last call failed.
    fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Waits before the call that follows a failed one; the wait grows with each failure.
    pub(crate) async fn wait_for_retry(&mut self) {
        let pause = self.backoff.next_delay();
        actix_rt::time::sleep(Duration::from_millis(pause.as_ms())).await;
    }

    /// Records a successful call; logs the first one after a failure.
    pub(crate) fn record_answer(&mut self) {
        self.backoff.reset();
        if let Some(since) = self.failing_since.take() {
            let failing_ms = clock::now().since(since).as_ms();
            decision_log::log_change(
                "store",
                "regained",
                json!({"table": self.table, "failing_ms": failing_ms}),
            );
        }
    }
}

/// Reads a whole table, repeating the call until the store answers.
pub(crate) async fn read_table(
    shell: &EdgeShell,
    table: StoreTable,
    health: &mut StoreHealth,
) -> StorePage {
    loop {
        shell
            .metrics
            .store_calls
            .count(table, CallReason::WholeTable);
        let sent_at = clock::now();
        match shell.store.read(table, STORE_TIMEOUT).await {
            Ok(page) => {
                health.record_answer();
                return page;
            }
            Err(error) => {
                health.record_failure(&error, sent_at);
                health.wait_for_retry().await;
            }
        }
    }
}

/// Next call that asks the store for the changes of a table.
#[derive(Clone, Copy)]
struct ChangeRead {
    /// Time for which the store waits for the first change before it answers.
    wait: Duration,
    /// Longest time for an answer, in addition to the wait.
    timeout: Duration,
    /// Reason under which the call is counted.
    reason: CallReason,
}

impl ChangeRead {
    /// A call that the store answers at once.
    fn immediate(reason: CallReason) -> Self {
        Self {
            wait: Duration::ZERO,
            timeout: STORE_TIMEOUT,
            reason,
        }
    }

    /// A call that waits for the first change. While calls fail, it does not wait, so that the first
    /// answer after a disruption arrives at once.
    fn waiting(is_failing: bool) -> Self {
        if is_failing {
            return Self::immediate(CallReason::Wait);
        }
        Self {
            wait: FEED_WAIT,
            timeout: FEED_TIMEOUT,
            reason: CallReason::Wait,
        }
    }
}

/// A table whose changes a host follows.
#[derive(Clone, Copy)]
enum FollowedTable {
    Configuration,
    Hosts,
}

impl FollowedTable {
    fn table(self) -> StoreTable {
        match self {
            Self::Configuration => StoreTable::Configuration,
            Self::Hosts => StoreTable::Hosts,
        }
    }

    /// Waits until this host has to ask for changes; `is_failing` is whether the last call failed.
    async fn next_read(self, shell: &EdgeShell, is_failing: bool) -> ChangeRead {
        match self {
            Self::Configuration => next_configuration_read(shell, is_failing).await,
            Self::Hosts => next_hosts_read(shell).await,
        }
    }

    /// Applies rows that were read, as of a version of the store.
    fn apply(self, shell: &EdgeShell, rows: &[StoreRow], version: u64) {
        match self {
            Self::Configuration => {
                apply_rules(shell, rows, ConfigurationSource::Store);
                let known = shell.configuration_read.get();
                shell.configuration_read.set(known.max(version));
            }
            Self::Hosts => {
                let (upserts, removed) = decode_hosts(rows);
                update_hosts(shell, upserts, &removed);
                shell.lease.borrow_mut().record_hosts_read(version);
                read_own_row(shell, rows);
            }
        }
    }

    /// Tells the other hosts of the failure domain of changes that this host has read for them.
    fn relay(self, shell: &EdgeShell, rows: &[StoreRow], version: u64) {
        let hosts = shell.hosts.borrow();
        if rows.is_empty() || hosts.is_small() {
            return;
        }
        let message = match self {
            Self::Configuration => configuration_message(rows),
            Self::Hosts => {
                let (upserts, removed) = decode_hosts(rows);
                HostMessage::Hosts {
                    upserts,
                    removed,
                    version: Some(version),
                }
            }
        };
        shell
            .peers
            .send_all(&hosts.domain_peer_addresses(), &message);
    }
}

/// Builds the message that relays the configuration among the rows that were read.
fn configuration_message(rows: &[StoreRow]) -> HostMessage {
    let row = rows.iter().rfind(|row| row.key == CONFIGURATION_KEY);
    let value = row.and_then(|row| row.value.as_deref());
    // The other hosts read a version that is not relayed from the store, and log what is invalid.
    let relayed = value.and_then(|value| write_relayed_rules(value).ok());
    let compressed = relayed.map_or_else(Vec::new, |value| {
        compress(&value).unwrap_or_else(|error| {
            warn!("the configuration cannot be compressed: {error}");
            Vec::new()
        })
    });
    let fits = compressed.len() <= MAX_RELAYED_BYTES;
    HostMessage::Configuration {
        version: row.map_or(0, |row| row.version),
        compressed: if fits { compressed } else { Vec::new() },
    }
}

/// Applies a configuration that the reader of the failure domain has relayed. If it cannot be
/// decompressed, this host reads it from the store.
pub(crate) fn apply_relayed_configuration(shell: &EdgeShell, version: u64, compressed: &[u8]) {
    let is_newer = version > shell.configuration_read.get();
    if is_newer && !compressed.is_empty() {
        match decompress(compressed, MAX_CONFIGURATION_BYTES) {
            Ok(value) => {
                let row = StoreRow {
                    key: CONFIGURATION_KEY.to_owned(),
                    value: Some(value),
                    version,
                };
                if may_start_with(shell, &row) {
                    apply_rules(shell, &[row], ConfigurationSource::Relay);
                    shell.configuration_read.set(version);
                }
            }
            Err(error) => warn!("a relayed configuration cannot be decompressed: {error}"),
        }
    }
    shell.hear_configuration(version);
}

/// Returns whether a relayed configuration may come in force. A host that has none yet, such as one
/// that was restarted, reads its first configuration with tenants from the store: a peer that lags
/// behind could relay one with a key that was revoked before the restart.
fn may_start_with(shell: &EdgeShell, row: &StoreRow) -> bool {
    if shell.serving.borrow().rules().is_some() {
        return true;
    }
    let rules = row.value.as_deref().map(read_relayed_rules);
    let is_open = matches!(rules, Some(Ok(rules)) if rules.tenants.is_none());
    if !is_open {
        decision_log::log_change(
            "configuration",
            "relay_not_used",
            json!({"row_version": row.version, "reason": "the first configuration is read from the store"}),
        );
    }
    is_open
}

/// Waits until this host has to read the configuration. The reader of a failure domain and its
/// deputy wait for changes at the store; the other hosts read them when they hear of them, or while
/// they hear nothing of the reader.
async fn next_configuration_read(shell: &EdgeShell, is_failing: bool) -> ChangeRead {
    loop {
        if shell.may_lack_revocations() {
            return ChangeRead::immediate(if shell.awaits_configuration() {
                CallReason::Wait
            } else {
                CallReason::NewerVersion
            });
        }
        if shell.awaits_configuration() {
            return ChangeRead::waiting(is_failing);
        }
        let news = shell.configuration_news.notified();
        let is_heard = shell.lacks_configuration()
            || actix_rt::time::timeout(RANK_CHECK_INTERVAL, news)
                .await
                .is_ok();
        if is_heard && shell.lacks_configuration() {
            // The configuration itself may be on its way.
            actix_rt::time::sleep(RELAY_TIME).await;
            if !shell.lacks_configuration() {
                continue;
            }
        }
        if is_heard {
            return ChangeRead::immediate(CallReason::NewerVersion);
        }
    }
}

/// Waits until this host has to read the rows of the entry hosts: the lease holder does so most
/// often, and the reader of a failure domain more often than the others, to which it relays the
/// changes. A host that has just written its own row reads them at once.
async fn next_hosts_read(shell: &EdgeShell) -> ChangeRead {
    let interval = HOLDER_HOSTS_READ_INTERVAL;
    let mut elapsed = ClockTime::ZERO;
    loop {
        let news = shell.hosts_news.notified();
        let pause = Duration::from_millis(interval.as_ms());
        let has_news = actix_rt::time::timeout(pause, news).await.is_ok();
        elapsed += interval;
        let hosts = shell.hosts.borrow();
        let is_reader = hosts.is_small() || hosts.is_list_reader(clock::now());
        // A row that has just been written is as urgent as the lease.
        let is_urgent = has_news || shell.lease.borrow().is_holder();
        match HostsRead::next(elapsed, is_reader, is_urgent) {
            Some(HostsRead::Domain) => return ChangeRead::immediate(CallReason::Reader),
            Some(HostsRead::Own) => return ChangeRead::immediate(CallReason::HostsForItself),
            None => {}
        }
    }
}

/// Follows a table until the process ends; reads the whole table again when the store no longer has
/// the history since the last call.
async fn follow_table(shell: &EdgeShell, followed: FollowedTable, health: &mut StoreHealth) {
    let table = followed.table();
    loop {
        let page = read_table(shell, table, health).await;
        followed.apply(shell, &page.rows, page.version);
        let mut version = page.version;
        loop {
            let read = followed.next_read(shell, health.is_failing()).await;
            shell.metrics.store_calls.count(table, read.reason);
            let sent_at = clock::now();
            let changes = shell
                .store
                .read_changes(table, version, read.wait, read.timeout)
                .await;
            match changes {
                Ok(changes) => {
                    health.record_answer();
                    followed.apply(shell, &changes.rows, changes.version);
                    if matches!(followed, FollowedTable::Configuration) {
                        shell.finish_configuration_read(sent_at);
                    }
                    if read.reason.is_shared() {
                        followed.relay(shell, &changes.rows, changes.version);
                    }
                    version = changes.version;
                }
                Err(StoreError::HistoryGone) => break,
                Err(error) => {
                    health.record_failure(&error, sent_at);
                    health.wait_for_retry().await;
                }
            }
        }
    }
}

/// Follows the operators' configuration.
pub(crate) async fn follow_rules(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("configuration");
    follow_table(&shell, FollowedTable::Configuration, &mut health).await;
}

/// Where a host has read a configuration.
#[derive(Clone, Copy, Debug)]
enum ConfigurationSource {
    /// The store.
    Store,
    /// The reader of the failure domain.
    Relay,
}

impl ConfigurationSource {
    fn read(self, value: &[u8]) -> Result<RuleSet, ConfigurationError> {
        match self {
            Self::Store => read_rules(value),
            Self::Relay => read_relayed_rules(value),
        }
    }

    /// Returns the name in the decision log.
    fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay => "relay",
        }
    }
}

/// Puts the configuration in force if it is among the rows.
fn apply_rules(shell: &EdgeShell, rows: &[StoreRow], source: ConfigurationSource) {
    for row in rows.iter().filter(|row| row.key == CONFIGURATION_KEY) {
        let Some(value) = &row.value else {
            continue;
        };
        let known = shell.configuration_version.get();
        if row.version == known {
            // The same row was read again, as a whole or from a relay.
            continue;
        }
        shell.configuration_version.set(known.max(row.version));
        match source.read(value) {
            Ok(rules) => {
                decision_log::log_change(
                    "configuration",
                    "in_force",
                    json!({"version": rules.version, "routes": rules.route_count(), "row_version": row.version, "source": source.label()}),
                );
                shell.dispatch(ServingEvent::Rules(Rc::new(rules)));
                update_limit_hosts(shell);
            }
            Err(error) => warn!(
                "the configuration of row version {} is not put in force: {error}",
                row.version
            ),
        }
    }
}

/// Writes this host's row and reads those of the other entry hosts, then their changes at a fixed
/// interval.
///
/// A host that starts reads the table and sends heartbeats to the other hosts, so that they know it
/// before they read its row. It reads the table even if the write of its row gets no answer.
pub(crate) async fn follow_hosts(shell: Rc<EdgeShell>) {
    let mut health = StoreHealth::new("hosts");
    if write_own_row(&shell).await.is_err() {
        actix_rt::spawn(keep_writing_own_row(shell.clone()));
    }
    follow_table(&shell, FollowedTable::Hosts, &mut health).await;
}

/// Applies changes of the rows of the entry hosts.
fn update_hosts(shell: &EdgeShell, upserts: Vec<HostRecord>, removed: &[HostName]) {
    let now = clock::now();
    let mut hosts = shell.hosts.borrow_mut();
    for record in upserts {
        hosts.upsert(record, now);
    }
    for name in removed {
        hosts.remove(name);
    }
    drop(hosts);
    update_limit_hosts(shell);
}

/// Applies changes of the rows of the entry hosts that the reader of the failure domain has relayed,
/// unless this host has read them itself: a host that was removed may have a row again.
pub(crate) fn apply_relayed_hosts(
    shell: &EdgeShell,
    upserts: Vec<HostRecord>,
    removed: &[HostName],
    version: Option<u64>,
) {
    let known = shell.lease.borrow().hosts_version();
    if version > known {
        update_hosts(shell, upserts, removed);
    }
}

/// Decodes rows of the entry hosts into the records of hosts and the names of removed ones. Of a
/// host with several changes, the last one counts.
fn decode_hosts(rows: &[StoreRow]) -> (Vec<HostRecord>, Vec<HostName>) {
    let newest: BTreeMap<&str, &StoreRow> =
        rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let (mut upserts, mut removed) = (Vec::new(), Vec::new());
    for row in newest.into_values() {
        match &row.value {
            None => removed.push(HostName::new(&row.key)),
            Some(value) => match serde_json::from_slice::<HostRecord>(value) {
                Ok(record) => upserts.push(record),
                Err(error) => warn!(
                    "the row of host {} in the store cannot be decoded: {error}",
                    row.key
                ),
            },
        }
    }
    (upserts, removed)
}
