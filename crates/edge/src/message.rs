//! Messages between entry hosts, over UDP with postcard.

use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::{HeldModels, HostLoad};
use serde::{Deserialize, Serialize};

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum HostMessage {
    /// The sender lives.
    Beat {
        /// Sender.
        host: HostRecord,
        /// Whether it is leaving.
        leaving: bool,
        /// What it says of the lease.
        lease: Option<LeaseReport>,
        /// Requests in progress by target.
        load: HostLoad,
        /// Waiting calls by model.
        waiting: HostWaiting,
    },
    /// The lease holder asks each host for a report on the lease, or a host answers.
    Lease {
        /// Sender.
        host: HostName,
        /// What it says.
        report: LeaseReport,
    },
    /// Demand at the sender, for the lease holder.
    Demand {
        /// Sender.
        host: HostName,
        /// Demand.
        demands: Vec<ModelDemand>,
    },
    /// The sender waits for a copy.
    Want {
        /// Service.
        service: ServiceName,
        /// Model and adapter.
        need: CallNeed,
    },
    /// The lease holder tells what an engine holds.
    Notice {
        /// Version of the lease row.
        version: u64,
        /// Engine.
        target: TargetName,
        /// Start of its incarnation.
        incarnation: u64,
        /// Models with their adapters.
        models: HeldModels,
    },
    /// Changes of the target list that the sender has read.
    Targets {
        /// Version after which they begin.
        after: u64,
        /// Version that they lead to.
        version: u64,
        /// New or changed targets.
        upserts: Vec<TargetRecord>,
        /// Removed targets.
        removed: Vec<TargetName>,
    },
    /// A call broke a target.
    Crash(CrashReport),
}
