//! Effects of the move reducer.

use crate::event::OrderResult;
use crate::intent::OrderAction;
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// A command to an engine. The engine runs an order id at most once while its process lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Order id; the same in every repetition.
    pub id: OrderId,
    /// Fencing number of the lease under which the order is sent now.
    pub fencing: FencingNumber,
    /// What to do.
    pub action: OrderAction,
    /// Model or adapter.
    pub name: Arc<str>,
    /// Declared memory of the copy, bytes.
    pub bytes: u64,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveEffect {
    /// Perform a table call and report it with
    /// [`TableAnswered`](crate::event::MoveEvent::TableAnswered).
    CallTable {
        /// Number of the call.
        call: u64,
        /// Call.
        request: TableCall,
    },
    /// Send an order to an engine and report with
    /// [`OrderAnswered`](crate::event::MoveEvent::OrderAnswered).
    SendOrder {
        /// Target.
        target: TargetName,
        /// Order.
        order: EngineOrder,
        /// The shell reads its monotonic clock directly before writing to the socket and drops the
        /// order at or after this time, because the process may have been paused since.
        valid_until: ClockTime,
    },
    /// Tell an engine to refuse orders below a fencing number, and report with
    /// [`FencingConfirmed`](crate::event::MoveEvent::FencingConfirmed).
    RaiseFencing {
        /// Target.
        target: TargetName,
        /// New number.
        fencing: FencingNumber,
        /// As for an order.
        valid_until: ClockTime,
    },
    /// Something for metrics and logs.
    Log(MoveLog),
}

/// Something that metrics count and logs tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveLog {
    /// This host took the lease.
    LeaseAcquired {
        /// Its fencing number.
        fencing: FencingNumber,
    },
    /// This host no longer holds the lease.
    LeaseLost,
    /// An order ended.
    OrderEnded {
        /// Order.
        order: OrderId,
        /// Target.
        target: TargetName,
        /// What was ordered.
        action: OrderAction,
        /// Model or adapter.
        name: Arc<str>,
        /// Result.
        result: OrderResult,
    },
    /// A target uses more memory than it has, for example after its capacity shrank.
    OverCapacity {
        /// Target.
        target: TargetName,
        /// Memory in use, bytes.
        used: u64,
        /// Capacity, bytes.
        capacity: u64,
    },
    /// A load waits because every copy that could make room is the last one of its name.
    LoadBlocked {
        /// Target.
        target: TargetName,
        /// Model or adapter to be loaded.
        name: Arc<str>,
    },
    /// A row of the table could not be read as an intent; no order is sent while it stands.
    InvalidRow {
        /// Key.
        key: Arc<str>,
    },
}
