//! Settings of membership.

use crocusyard_base::prelude::*;
use std::net::SocketAddr;

/// Who gets full records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisseminationLayout {
    /// All hosts; kept as the baseline of the experiment.
    Flat,
    /// Hosts of the same failure domain; the others get summaries.
    Partitioned,
}

/// Settings of membership; all but the identity have defaults.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Own name.
    pub host: HostName,
    /// Own address for packets between hosts.
    pub address: SocketAddr,
    /// Own address for callers, which other hosts learn without the host list.
    pub callers: Option<SocketAddr>,
    /// Own failure domain.
    pub domain: DomainName,
    /// Own region.
    pub region: RegionName,
    /// Incarnation at the start: wall clock of the process start, milliseconds.
    pub incarnation: u64,
    /// Who gets full records.
    pub layout: DisseminationLayout,
    /// Time between two ticks.
    pub tick: ClockTime,
    /// Largest age of a record or summary that is passed on.
    pub window_age: ClockTime,
    /// Wait for an ack before other hosts are asked to ping.
    pub probe_timeout: ClockTime,
    /// Wait for other hosts' pings before the host becomes a suspect.
    pub indirect_timeout: ClockTime,
    /// Time for a suspect to refute before it may be declared dead.
    pub suspicion: ClockTime,
    /// Tick gap that counts as a pause of the own process.
    pub pause: ClockTime,
    /// Time after which a silent host that the host list does not name is forgotten.
    pub forget: ClockTime,
    /// Bytes a second that may be sent on average, with IP and UDP headers.
    pub budget_rate: u64,
    /// Bytes that may be sent at once after a quiet time.
    pub budget_burst: u64,
}

impl MembershipSettings {
    /// Makes settings with defaults for everything but the identity.
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
            callers: None,
            domain,
            region,
            incarnation,
            layout: DisseminationLayout::Partitioned,
            tick: ClockTime::from_ms(250),
            window_age: ClockTime::from_secs(10),
            probe_timeout: ClockTime::from_ms(500),
            indirect_timeout: ClockTime::from_ms(750),
            suspicion: ClockTime::from_secs(2),
            pause: ClockTime::from_ms(1000),
            forget: ClockTime::from_secs(600),
            // Sending and receiving together may cost 23 KB/s; hosts receive as much as they send.
            budget_rate: 10_500,
            budget_burst: 5_000,
        }
    }
}
