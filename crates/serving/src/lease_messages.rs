//! What hosts write and tell each other about the lease.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Content of the lease row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host that holds the lease or held it last.
    pub holder: HostName,
    /// Whether the holder has given the lease up; it gives no more orders then.
    #[serde(default)]
    pub released: bool,
    /// Process of the holder that wrote the row; `None` in rows of earlier versions.
    #[serde(default)]
    pub process: Option<u64>,
    /// Version of the store up to which the holder had read the rows of the hosts. The hosts in them
    /// have to acknowledge its reports while the store does not confirm it. `None` in rows of earlier
    /// versions.
    #[serde(default)]
    pub hosts_version: Option<u64>,
}

/// The host and process that a lease state belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseOwner {
    /// Name of the host.
    pub host: HostName,
    /// Random number of the process, by which it recognizes its own writes.
    pub process: u64,
}

/// Report about the lease in the heartbeat of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReport {
    /// The host holds the lease and gives orders.
    Holds {
        /// Version of the lease row.
        version: u64,
        /// Time of the report by the holder's clock; other hosts only send it back.
        stamp: ClockTime,
    },
    /// The host has given the lease up.
    Released {
        /// Version of the lease row that released it.
        version: u64,
    },
    /// The host has received a heartbeat of the holder.
    Acknowledged {
        /// Version of the lease row in the holder's report.
        version: u64,
        /// Stamp of the newest report received from the holder. An acknowledgement that the holder
        /// reads late, as after a freeze, thus shows its age by the holder's own clock.
        stamp: ClockTime,
    },
}

/// Report of the holder that hosts pass on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNews {
    /// Host that holds the lease.
    pub holder: HostName,
    /// Version of the lease row in its report.
    pub version: u64,
    /// Time of the report by the holder's clock.
    pub stamp: ClockTime,
}
