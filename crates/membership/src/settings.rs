//! Settings of membership.

use crocusyard_base::prelude::*;
use std::net::SocketAddr;

/// Hosts to which a host sends full load records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisseminationLayout {
    /// All hosts; kept as the baseline of the dissemination experiment.
    Flat,
    /// Hosts of the same failure domain; other hosts get a summary of each failure domain.
    Partitioned,
}

/// Identity, timeouts and byte budget of this host; everything but the identity has a default.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of this host.
    pub host: HostName,
    /// Address of this host for packets between hosts.
    pub address: SocketAddr,
    /// Address of this host for callers, which peers learn from this host even without the host
    /// list.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Region of this host.
    pub region: RegionName,
    /// Incarnation at the start: wall-clock time of the process start, milliseconds since 1970.
    pub incarnation: u64,
    /// Hosts that get full load records.
    pub layout: DisseminationLayout,
    /// Time between two ticks.
    pub tick_interval: ClockTime,
    /// Greatest age of a load record or summary that is still passed on.
    pub max_record_age: ClockTime,
    /// Wait for an ack before other hosts are asked to ping the silent host.
    pub probe_timeout: ClockTime,
    /// Further wait for an ack, also through other hosts, before the silent host becomes a suspect.
    pub indirect_probe_timeout: ClockTime,
    /// Time that a suspect has to refute the suspicion before it may be declared dead.
    pub suspicion_timeout: ClockTime,
    /// Least time between two ticks that counts as a pause of this process.
    pub pause_threshold: ClockTime,
    /// Time after which a silent host is removed if the host list does not contain it.
    pub forget_after: ClockTime,
    /// Bytes a second that this host may send on average, including IP and UDP headers.
    pub budget_rate: u64,
    /// Bytes that this host may send at once after a quiet period, including IP and UDP headers.
    pub budget_burst: u64,
}

impl MembershipSettings {
    /// Creates settings with defaults for everything but the identity.
    pub fn new(
        host: HostName,
        address: SocketAddr,
        domain: DomainName,
        region: RegionName,
        incarnation: u64,
    ) -> Self {
        Self {
            host,
            address,
            caller_address: None,
            domain,
            region,
            incarnation,
            layout: DisseminationLayout::Partitioned,
            tick_interval: ClockTime::from_ms(250),
            max_record_age: ClockTime::from_secs(10),
            probe_timeout: ClockTime::from_ms(500),
            indirect_probe_timeout: ClockTime::from_ms(750),
            suspicion_timeout: ClockTime::from_secs(2),
            pause_threshold: ClockTime::from_ms(1000),
            forget_after: ClockTime::from_secs(600),
            // Sending and receiving together may take 23 KB/s; a host receives as much as it sends.
            budget_rate: 10_500,
            budget_burst: 5_000,
        }
    }
}
