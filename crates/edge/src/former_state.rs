//! What a host that starts has to know of the time before: crashes that still count, targets that have
//! said that they are leaving, and what the process before it has counted for its retry budget.
//!
//! The host asks others a few times, since they may not know it yet, and since news may be told to the
//! hosts that run just before they do.

use crate::clock;
use crate::crash_history::send_crashes;
use crate::decision_log;
use crate::gossip::leaving_message;
use crate::message::HostMessage;
use crate::shell::EdgeShell;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use rand::Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pauses before the rounds in which a host that has started asks other hosts.
const REQUEST_PAUSES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(2_500),
    Duration::from_millis(3_000),
    Duration::from_millis(4_000),
];
/// Number of rounds that find another host, after which the host asks no more.
const REQUEST_ROUNDS: usize = 3;

/// Time for which the last report of a host is kept.
const REPORT_LIFETIME: ClockTime = ClockTime::from_secs(600);

/// Counts of the retry budgets of other hosts, as they have reported them last.
#[derive(Debug, Default)]
pub(crate) struct ReportedRetries {
    reports: BTreeMap<HostName, RetryReport>,
}

#[derive(Debug)]
struct RetryReport {
    counts: Vec<RetryCount>,
    received_at: ClockTime,
}

impl ReportedRetries {
    /// Records the report of a host.
    pub(crate) fn record(&mut self, host: &HostName, counts: Vec<RetryCount>, now: ClockTime) {
        let report = RetryReport {
            counts,
            received_at: now,
        };
        if let Some(known) = self.reports.get_mut(host) {
            *known = report;
            return;
        }
        // The rows of stopped hosts are gone before their next processes ask.
        self.reports
            .retain(|_, report| now.since(report.received_at) < REPORT_LIFETIME);
        self.reports.insert(host.clone(), report);
    }

    /// Returns the counts of a host that are still in the window; `None` if it has reported none.
    fn counts(
        &self,
        host: &HostName,
        window: ClockTime,
        now: ClockTime,
    ) -> Option<Vec<RetryCount>> {
        let report = self.reports.get(host)?;
        let is_in_window = now.since(report.received_at) < window;
        Some(if is_in_window {
            report.counts.clone()
        } else {
            Vec::new()
        })
    }
}

/// Asks other hosts for what this one has to know of the time before its start.
pub(crate) async fn learn_history(shell: Rc<EdgeShell>) {
    let mut rounds = 0;
    for pause in REQUEST_PAUSES {
        actix_rt::time::sleep(pause).await;
        let salt = shell.rng.borrow_mut().random::<u64>();
        let sources = shell.hosts.borrow().draw_sources(salt, clock::now());
        if sources.is_empty() {
            continue;
        }
        let request = HostMessage::HistoryRequest {
            host: shell.settings.name.clone(),
            reply_to: shell.settings.peer,
        };
        shell.peers.send_all(&sources, &request);
        rounds += 1;
        if rounds == REQUEST_ROUNDS {
            return;
        }
    }
}

/// Answers a host that has just started.
pub(crate) fn send_history(shell: &EdgeShell, host: &HostName, reply_to: SocketAddr) {
    send_crashes(shell, reply_to);
    send_leaving(shell, reply_to);
    let window = shell.settings.retries.window;
    let reports = shell.former_retries.borrow();
    if let Some(counts) = reports.counts(host, window, clock::now()) {
        let answer = HostMessage::FormerRetries(counts);
        shell.peers.send(reply_to, &answer);
    }
}

/// Tells a host that has just started which targets have said that they are leaving, if any have.
fn send_leaving(shell: &EdgeShell, reply_to: SocketAddr) {
    let leaving = shell.serving.borrow().targets.all_leaving_notices();
    if !leaving.is_empty() {
        shell.peers.send(reply_to, &leaving_message(leaving));
    }
}

/// Applies what the process before this one has counted. It is compared with this host's fraction of the
/// limit, which is not known before the other hosts are.
pub(crate) fn receive_former_retries(shell: &EdgeShell, counts: Vec<RetryCount>) {
    if !shell.knows_hosts() {
        return;
    }
    let share = shell.hosts.borrow().share(clock::now());
    let known: Vec<(&str, u32, u32)> = counts
        .iter()
        .map(|count| (count.service.as_str(), count.requests, count.retries))
        .collect();
    decision_log::log_change(
        "retries",
        "former_counts_received",
        json!({"counts": known, "hosts": share.hosts}),
    );
    shell.dispatch(ServingEvent::Hosts(share));
    shell.dispatch(ServingEvent::FormerRetries(counts));
}
