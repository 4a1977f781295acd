//! Messages between entry hosts.
//!
//! They are sent over UDP and encoded with postcard, which identifies fields and variants by their
//! order. New fields are added at the end of a message, where hosts of an older version ignore them.

use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::{HeldModels, HostLoad};
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;

/// Reads a version at the end of a message, where hosts of an earlier version send none.
fn version_or_none<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// Message from one entry host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum HostMessage {
    /// Shows that the sender is alive, and carries its state; sent at every heartbeat interval.
    Heartbeat {
        /// Record of the sender, as in its row in the store.
        host: HostRecord,
        /// Whether the sender is stopping.
        leaving: bool,
        /// Lease report of the sender, if it has one.
        lease: Option<LeaseReport>,
        /// Requests of the sender in progress, by target.
        load: HostLoad,
        /// Calls that wait for a target at the sender, by model.
        waiting: HostWaiting,
        /// Answers of the store that the sender knows of, if it knows of any.
        availability: Option<AvailabilityReport>,
        /// Requests and retries within the window of the retry budget; `None` while the sender does not
        /// know what was counted before its start, and from hosts of an earlier version.
        #[serde(deserialize_with = "crocusyard_serving::retries::counts_or_none")]
        retries: Option<Vec<RetryCount>>,
    },
    /// Lease report: the holder's confirmation request, or a host's answer to it.
    Lease {
        /// Host that sends the report.
        host: HostName,
        /// Its lease report.
        report: LeaseReport,
    },
    /// Demand at one host, sent to the lease holder.
    Demand {
        /// Host that sends the demand.
        host: HostName,
        /// Its demand, one entry per service, model and adapter.
        demands: Vec<ModelDemand>,
        /// Tokens of the calls, one entry for each of `demands`; empty from hosts of an earlier
        /// version.
        #[serde(deserialize_with = "crocusyard_serving::work::work_or_none")]
        work: Vec<TokenWork>,
    },
    /// Asks the lease holder for a copy that calls at the sender wait for.
    CopyRequest {
        /// Service that the calls go to.
        service: ServiceName,
        /// Model and adapter that the calls need.
        need: CallNeed,
    },
    /// Reports what an engine holds; sent by the lease holder.
    Holdings {
        /// Version of the lease row by which the sender gives orders.
        version: u64,
        /// Engine that the report is about.
        target: TargetName,
        /// Incarnation of the engine, given as its start: Unix ms by the engine's own clock.
        incarnation: u64,
        /// Models that the engine holds, each with its adapters.
        models: HeldModels,
    },
    /// Relays changes of the target list that the sender has read from the store.
    Targets {
        /// Version of the list that the changes apply to.
        after: u64,
        /// Version of the list that the changes lead to.
        version: u64,
        /// Records of new or changed targets.
        upserts: Vec<TargetRecord>,
        /// Names of removed targets.
        removed: Vec<TargetName>,
        /// Time since the sender asked the store for the changes.
        age: ClockTime,
        /// Version of the row of the operators' configuration that the sender has in force; 0
        /// before the first one.
        configuration: u64,
    },
    /// Reports which calls were lost when a target crashed.
    Crash(CrashReport),
    /// Passes on what the sender has heard; sent to a few hosts at a time where hosts are many.
    News {
        /// Which hosts were alive when.
        hosts: Vec<HostNews>,
        /// Newest report of the lease holder, if one is known.
        holder: Option<HolderNews>,
        /// Targets that have recently said that they are leaving.
        leaving: Vec<LeavingNotice>,
    },
    /// Relays the operators' configuration within a failure domain.
    Configuration {
        /// Version of its row in the store.
        version: u64,
        /// Content of the row, compressed; empty if it is too long for a message.
        compressed: Vec<u8>,
    },
    /// Relays changes of the rows of the entry hosts within a failure domain.
    Hosts {
        /// Records of new or changed hosts.
        upserts: Vec<HostRecord>,
        /// Names of the hosts whose rows were removed.
        removed: Vec<HostName>,
        /// Version of the store at which the sender has read the changes; `None` from hosts of an
        /// earlier version.
        #[serde(deserialize_with = "version_or_none")]
        version: Option<u64>,
    },
    /// Reports what the sender knows of the causes of crashes.
    Evidence(EvidenceReport),
    /// Reports what the sender knows of targets; sent with the heartbeat if there is anything.
    TargetReports(TargetReports),
    /// Reports the largest recent usages of tenants at the sender; sent while there are tenants.
    TenantUsage {
        /// Host that sends the report.
        host: HostName,
        /// Usages by tenant.
        usage: UsageReport,
    },
    /// Reports the usage of tenants with limits at the sender.
    Usage(QuotaReport),
    /// Asks for what the sender has to know of the time before its start.
    HistoryRequest {
        /// Host that asks.
        host: HostName,
        /// Its address for the answers.
        reply_to: SocketAddr,
    },
    /// Answers with the crashes that still count.
    CrashHistory(CrashHistory),
    /// Answers with what the process before the asking one has counted for its retry budget.
    FormerRetries(Vec<RetryCount>),
}
