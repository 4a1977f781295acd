//! The sections of the settings file.
//!
//! Field names are the keys of the file. The end of a name gives its unit: `_ms` for milliseconds,
//! `_bytes` for bytes.

use crate::secret::KeySource;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Section `listen`: addresses of this host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address and port for callers, operators and other hosts over TCP.
    pub callers: SocketAddr,
    /// Address and port at which others reach `callers`.
    pub advertised_callers: SocketAddr,
    /// Address and port for messages between hosts over UDP.
    pub gossip: SocketAddr,
    /// Address and port at which other hosts reach `gossip`.
    pub advertised_gossip: SocketAddr,
}

/// Section `platform`: table service, object store and host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Time limit of one call to the table service.
    #[serde(default = "PlatformSettings::table_timeout_ms")]
    pub table_timeout_ms: ClockTime,
    /// Time limit of one call to the object store.
    #[serde(default = "PlatformSettings::object_timeout_ms")]
    pub object_timeout_ms: ClockTime,
    /// Time limit of one call to the host list.
    #[serde(default = "PlatformSettings::host_timeout_ms")]
    pub host_timeout_ms: ClockTime,
    /// Time between two reads of the host list.
    #[serde(default = "PlatformSettings::host_poll_ms")]
    pub host_poll_ms: ClockTime,
    /// Time between two reads of the preset pointer.
    #[serde(default = "PlatformSettings::preset_poll_ms")]
    pub preset_poll_ms: ClockTime,
}

impl PlatformSettings {
    const fn table_timeout_ms() -> ClockTime {
        ClockTime::from_ms(1000)
    }

    const fn object_timeout_ms() -> ClockTime {
        ClockTime::from_ms(3000)
    }

    const fn host_timeout_ms() -> ClockTime {
        ClockTime::from_ms(1000)
    }

    const fn host_poll_ms() -> ClockTime {
        ClockTime::from_ms(5000)
    }

    /// At 360 hosts this is 72 reads a second, 4% of the rate that the table service accepts.
    const fn preset_poll_ms() -> ClockTime {
        ClockTime::from_ms(5000)
    }
}

/// Section `keys`: sources of the keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeySettings {
    /// Key that operators present as a bearer token.
    pub operator: KeySource,
    /// Key that signs messages between hosts and resume tokens.
    pub gossip: KeySource,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            operator: KeySource {
                file: None,
                env: Some("CROCUSYARD_OPERATOR_KEY".to_owned()),
            },
            gossip: KeySource {
                file: None,
                env: Some("CROCUSYARD_GOSSIP_KEY".to_owned()),
            },
        }
    }
}

/// Section `address`: address answers and draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AddressSettings {
    /// Time for which callers may keep an address answer.
    pub ttl_ms: ClockTime,
    /// Time for which a draining host stays up after the last address answer that names it has
    /// expired.
    pub drain_ms: ClockTime,
    /// Time after which a host that could not confirm that its preset is current is left out of the
    /// address answers.
    pub stale_ms: ClockTime,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self {
            // A leaving host must get no new work after 3 s; it takes part of that time until other
            // hosts know that it leaves.
            ttl_ms: ClockTime::from_ms(2000),
            drain_ms: ClockTime::from_ms(1000),
            stale_ms: ClockTime::from_ms(30_000),
        }
    }
}

/// Section `membership`: failure detection and messages between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between two pings that a host sends.
    pub ping_interval_ms: ClockTime,
    /// Time after which an unanswered ping is repeated through other hosts.
    pub ping_timeout_ms: ClockTime,
    /// Time for which a suspected host may refute the suspicion before it counts as dead.
    pub suspicion_ms: ClockTime,
    /// Budget for messages to other hosts, bytes per second.
    pub budget_bytes: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            ping_interval_ms: ClockTime::from_ms(250),
            ping_timeout_ms: ClockTime::from_ms(500),
            suspicion_ms: ClockTime::from_ms(2000),
            // The limit that the design sets for control traffic with 360 hosts.
            budget_bytes: 23_000,
        }
    }
}

/// Section `lease`: lease on the moves of the region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time for which a lease is granted or renewed.
    pub length_ms: ClockTime,
    /// Time after which the holder renews its lease.
    pub renew_ms: ClockTime,
    /// Largest relative difference between the clock rates of two hosts.
    pub drift: f64,
    /// Longest time for which an order to an engine can be late.
    pub order_lateness_ms: ClockTime,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            length_ms: ClockTime::from_ms(10_000),
            renew_ms: ClockTime::from_ms(3000),
            drift: 0.01,
            order_lateness_ms: ClockTime::from_ms(30_000),
        }
    }
}

/// How the tenant of a request is found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TenantSource {
    /// By the API key in `Authorization: Bearer`.
    #[default]
    Key,
    /// By the name in `X-Tenant`, for callers that are already authenticated.
    Header,
}

/// Section `requests`: time limits and retries of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// How the tenant of a request is found.
    pub tenant_from: TenantSource,
    /// Time limit for opening a connection to a target.
    pub connect_timeout_ms: ClockTime,
    /// Longest time to the first byte of an answer, before it is scaled to the target's load.
    pub first_byte_ms: ClockTime,
    /// Longest time between two tokens, before it is scaled to the target's load.
    pub between_tokens_ms: ClockTime,
    /// Time limit for the probe of a target that has gone silent.
    pub probe_timeout_ms: ClockTime,
    /// Time between two comments on a stream that carries nothing else.
    pub keepalive_ms: ClockTime,
    /// Time between two reads of the load report of a target in use; four times that for others.
    pub load_poll_ms: ClockTime,
    /// Largest number of load reports read per second over all targets.
    pub load_polls: u32,
    /// Largest number of attempts of one request, including the first.
    pub attempts: u32,
    /// Largest number of retries, as a share of requests.
    pub retry_budget: f64,
    /// Mean time before a retry.
    pub retry_pause_ms: ClockTime,
    /// Time for which a request that crashed two targets is refused.
    pub crash_suspect_ms: ClockTime,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            tenant_from: TenantSource::Key,
            connect_timeout_ms: ClockTime::from_ms(500),
            first_byte_ms: ClockTime::from_ms(5000),
            between_tokens_ms: ClockTime::from_ms(1000),
            probe_timeout_ms: ClockTime::from_ms(500),
            keepalive_ms: ClockTime::from_ms(5000),
            load_poll_ms: ClockTime::from_ms(500),
            // A read costs about 0.7 KB with headers. Together with the messages between nine
            // hosts, 11.5 KB/s sent and received, the reads stay within 23 KB/s.
            load_polls: 15,
            attempts: 3,
            // Together with the reserve for the first requests of a host, this keeps attempts at or
            // below 1.1 times the requests in a full outage.
            retry_budget: 0.09,
            retry_pause_ms: ClockTime::from_ms(50),
            crash_suspect_ms: ClockTime::from_ms(600_000),
        }
    }
}

/// Section `limits`: limits on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Largest head of a request, bytes.
    pub header_bytes: u64,
    /// Time within which the head of a request must have arrived.
    pub header_read_ms: ClockTime,
    /// Largest number of open connections from callers.
    pub connections: u32,
    /// Memory that the process may use, MB.
    pub memory_mb: u64,
    /// Number of files and sockets that the process may have open.
    pub descriptors: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            header_bytes: 32 << 10,
            header_read_ms: ClockTime::from_ms(5000),
            connections: 8192,
            memory_mb: 512,
            descriptors: 10_240,
        }
    }
}

/// Least severe level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// No lines at all.
    Off,
    /// Failures that need an operator.
    Error,
    /// Failures that the host handles itself.
    Warn,
    /// Events of normal operation.
    #[default]
    Info,
    /// Details for finding faults.
    Debug,
    /// Every line, with the most detail.
    Trace,
}

/// Section `log`: levels of logging.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of modules that are not listed.
    pub level: LogLevel,
    /// Level by module, as in `crocusyard_moves: debug`.
    pub modules: BTreeMap<String, LogLevel>,
}
