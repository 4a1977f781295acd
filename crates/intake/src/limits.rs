//! The limits that follow from the memory and the descriptors of a host.

use crocusyard_base::prelude::*;

/// Share of the memory that the budget covers. The rest is for the process itself (about 20 MB),
/// fragmentation and the buffers of sockets, of which each connection has some KB outside the
/// budget.
const MEMORY_SHARE: f64 = 0.3;
/// Share of the budget that is reserved for small calls.
const SMALL_SHARE: f64 = 0.25;
/// Largest charge of a small call, bytes: four times the largest head.
const SMALL_BYTES: usize = 64 * 1_024;
/// Time after which a body must have arrived at the minimum rate.
const GRACE: ClockTime = ClockTime::from_secs(10);
/// Lowest rate of a body after the grace period, bytes per s; the slowest mobile links are ten times
/// as fast.
const MIN_RATE: u64 = 512;
/// Time for which the bytes of a body may stop.
const STALL_LIMIT: ClockTime = ClockTime::from_secs(10);
/// Memory of the buffers of a connection that carries a long body, bytes: the largest read buffer of
/// the connections of `crocusyard entry`.
const READ_BUFFER_BYTES: usize = 64 * 1_024;
/// Number of the longest bodies that fit into a budget that covers them. One of unknown length takes
/// up to twice its length, and its answer may be as long.
const BODIES_COVERED: usize = 4;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for the listeners, the store, peers and the operator; a host in calm has 20 of them.
const OWN_DESCRIPTORS: usize = 40;
/// Share of the other descriptors that callers may use. The rest is for targets: a call holds one
/// connection of its caller and one to a target, and callers also keep idle ones.
const CALLER_SHARE: f64 = 0.6;

/// Limits of a memory budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Largest sum of all charges, bytes.
    pub total_bytes: usize,
    /// Part of it that only small calls may use, bytes.
    pub small_reserve_bytes: usize,
    /// Largest charge of a small call, bytes.
    pub small_bytes: usize,
    /// Time after which a body must have arrived at the minimum rate.
    pub grace: ClockTime,
    /// Lowest rate of a body after the grace period, bytes per s.
    pub min_rate: u64,
    /// Time for which the bytes of a body may stop.
    pub stall_limit: ClockTime,
    /// Memory of the buffers of a connection that carries a long body of announced length, bytes.
    pub read_buffer_bytes: usize,
    /// The same for a body in chunks, which the HTTP library may hold in tiny parts.
    pub chunk_buffer_bytes: usize,
}

impl IntakeLimits {
    /// Returns the limits for a host with this memory.
    pub fn for_memory(memory_mb: u64) -> Self {
        let total_bytes = (memory_mb as f64 * 1e6 * MEMORY_SHARE) as usize;
        Self {
            total_bytes,
            small_reserve_bytes: (total_bytes as f64 * SMALL_SHARE) as usize,
            small_bytes: SMALL_BYTES,
            grace: GRACE,
            min_rate: MIN_RATE,
            stall_limit: STALL_LIMIT,
            read_buffer_bytes: READ_BUFFER_BYTES,
            chunk_buffer_bytes: READ_BUFFER_BYTES,
        }
    }

    /// Makes the budget large enough for bodies of this length, if the memory is too small for them.
    #[must_use]
    pub fn covering(mut self, body_bytes: usize) -> Self {
        self.total_bytes = self
            .total_bytes
            .max(body_bytes.saturating_mul(BODIES_COVERED));
        self
    }
}

/// Limits on the connections of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnLimits {
    /// Largest number of connections of callers.
    pub callers: usize,
    /// Largest number of connections to targets.
    pub targets: usize,
}

impl ConnLimits {
    /// Returns the limits for a host with this number of descriptors.
    pub fn for_descriptors(descriptors: usize) -> Self {
        let usable = descriptors.saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS);
        let callers = (usable as f64 * CALLER_SHARE) as usize;
        Self {
            callers: callers.max(1),
            targets: (usable - callers).max(1),
        }
    }
}
