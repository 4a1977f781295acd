//! Counts the calls to the store by table and reason.
//!
//! The platform charges each call, and the number of calls must not grow with the number of hosts.
//! The counts are in the metrics and, at a fixed interval, in the decision log.

use crate::decision_log;
use crate::shell::EdgeShell;
use crocusyard_adapter::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the counts are written to the decision log.
const LOG_INTERVAL: Duration = Duration::from_secs(20);

/// Reason for a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum CallReason {
    /// The host has just started, or the store no longer has the history that it needs.
    WholeTable,
    /// The host reads the table for its failure domain.
    Reader,
    /// The host reads the table for itself, since it has no recent news from the reader.
    SilentReader,
    /// Another host reported a newer version than the one that this host knows, or the reader of the
    /// failure domain is silent.
    NewerVersion,
    /// A call that waits at the store for the next change.
    Wait,
    /// The holder of the lease is silent.
    SilentHolder,
    /// The host takes the lease, renews it or gives it up.
    LeaseWrite,
    /// The holder of the lease stores which crashes still count.
    CrashHistory,
    /// The host writes or removes its row.
    OwnRow,
    /// The host reads the rows of the hosts for itself: it holds the lease, or a relayed change may be
    /// lost.
    HostsForItself,
}

impl CallReason {
    /// Returns whether the host relays the changes that it reads for this reason to others.
    pub(crate) fn is_shared(self) -> bool {
        !matches!(
            self,
            Self::NewerVersion | Self::OwnRow | Self::HostsForItself
        )
    }

    /// Returns the name of the reason in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::WholeTable => "whole_table",
            Self::Reader => "reader",
            Self::SilentReader => "silent_reader",
            Self::NewerVersion => "newer_version",
            Self::Wait => "wait",
            Self::SilentHolder => "silent_holder",
            Self::LeaseWrite => "lease_write",
            Self::CrashHistory => "crash_history",
            Self::OwnRow => "own_row",
            Self::HostsForItself => "hosts_for_itself",
        }
    }
}

/// Labels of the counter of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    table: &'static str,
    reason: &'static str,
}

/// Calls to the store so far.
#[derive(Default)]
pub(crate) struct StoreCalls {
    /// Counter that the metrics export.
    pub(crate) family: Family<CallLabels, Counter>,
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
}

impl StoreCalls {
    /// Counts a call.
    pub(crate) fn count(&self, table: StoreTable, reason: CallReason) {
        let (table, reason) = (table.label(), reason.label());
        self.family
            .get_or_create(&CallLabels { table, reason })
            .inc();
        *self.counts.borrow_mut().entry((table, reason)).or_default() += 1;
    }

    /// Writes the counts to the decision log.
    pub(crate) fn log(&self) {
        let counts: Map<String, Value> = self
            .counts
            .borrow()
            .iter()
            .map(|((table, reason), count)| (format!("{table}/{reason}"), Value::from(*count)))
            .collect();
        decision_log::log_change("store", "calls", Value::Object(counts));
    }
}

/// Logs the counts at a fixed interval until the process ends.
pub(crate) async fn log_calls(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(LOG_INTERVAL).await;
        shell.metrics.store_calls.log();
    }
}
