//! How often hosts send heartbeats to each other.

use crate::clock::ClockTime;

/// Interval between heartbeats with few hosts.
const HEARTBEAT_INTERVAL: ClockTime = ClockTime::from_ms(250);
/// Number of hosts up to which that interval holds. With more hosts the interval grows, so that
/// each host receives about the same number of heartbeats per second.
pub const HEARTBEAT_HOSTS: usize = 24;

/// Returns the interval between the heartbeats of each host in a system of `count` hosts.
pub fn heartbeat_interval(count: usize) -> ClockTime {
    let factor = count as f64 / HEARTBEAT_HOSTS as f64;
    HEARTBEAT_INTERVAL.scale(factor.max(1.0))
}
