//! What hosts report to each other about the usage of tenants.

use crocusyard_base::ids::short_key;
use serde::{Deserialize, Serialize};

/// Short key of a host, used in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId([u8; 4]);

impl HostId {
    /// Computes the key of a host.
    pub fn of(name: &str) -> Self {
        Self(short_key(&[name]).to_le_bytes())
    }
}

/// Short key of a tenant, used in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantKey([u8; 4]);

impl TenantKey {
    /// Computes the key of a tenant. Two tenants with the same key would count as one; with 1,000
    /// tenants the probability is about 1 in 10,000.
    pub fn of(name: &str) -> Self {
        Self(short_key(&[name]).to_le_bytes())
    }
}

/// Usage of one tenant at the host that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Tenant that the usage belongs to.
    pub tenant: TenantKey,
    /// Usage admitted since the start of the process; it never falls.
    pub charged: u64,
    /// Usage refunded since the start of the process; it never falls.
    pub refunded: u64,
    /// Part of `charged` since the previous report about the tenant, for receivers that do not know
    /// that report.
    pub recent: u32,
    /// Usage per second that the sender admits until its next report, as far as it can tell.
    pub rate: u32,
    /// Usage per second that callers ask the sender for, refused calls included.
    pub demand: u32,
}

/// Report of one host to all others about tenants whose usage has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Host that reports.
    pub host: HostId,
    /// Incarnation of its process; it rises with each start.
    pub process: u32,
    /// Usage by tenant.
    pub entries: Vec<UsageEntry>,
}
