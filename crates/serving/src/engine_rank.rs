//! The rank that a call gets in the queue of an engine.
//!
//! While there are tenants, each tenant priority has a band of ranks, so that no call outranks one of
//! a more urgent tenant. Within the band, the priority of the route counts, and a call whose latency
//! objective is near goes one rank ahead. A late call has the last rank, as late calls go last in the
//! queues of the hosts.

use crate::call::CallInfo;
use crocusyard_base::prelude::*;

/// Least urgent rank in an engine's queue; 0 is the most urgent.
const LEAST_URGENT_RANK: u8 = 9;
/// Number of tenant priorities with a band of their own; all further ones share the last band.
const TENANT_BANDS: u8 = 3;
/// Number of ranks in a band, for as many route priorities; all further ones share the last rank.
const BAND_RANKS: u8 = 3;
/// Fraction of the latency objective from which on it counts as near.
const NEAR_FRACTION: f64 = 0.5;

/// Circumstances in which an attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Whether the configuration has tenants.
    pub has_tenants: bool,
    /// When the call arrived.
    pub arrived: ClockTime,
    /// Whether an earlier attempt may have run, so that this one may continue an answer that has
    /// begun.
    pub maybe_ran: bool,
    /// When the attempt begins.
    pub now: ClockTime,
}

/// Returns the rank of an attempt at a call.
pub fn engine_rank(call: &CallInfo, start: AttemptStart) -> u8 {
    if !start.has_tenants && call.tenant.is_none() {
        return call.route.priority.min(LEAST_URGENT_RANK);
    }
    let waited = start.now.since(start.arrived);
    let objective = call.route.latency_objective;
    if waited > objective && !start.maybe_ran {
        return LEAST_URGENT_RANK;
    }
    let band = call.tenant_priority().min(TENANT_BANDS - 1) * BAND_RANKS;
    let rank = call.route.priority.min(BAND_RANKS - 1);
    let is_near = waited >= objective.scale(NEAR_FRACTION);
    band + rank.saturating_sub(u8::from(is_near))
}
