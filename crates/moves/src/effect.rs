//! Effects of the move reducer.

use crate::event::OrderResult;
use crate::intent::OrderAction;
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// An order to an engine, which runs each order id at most once while its process lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Order id, the same in every repetition.
    pub id: OrderId,
    /// Fencing number of the lease under which this repetition is sent.
    pub fencing: FencingNumber,
    /// Whether the copy is loaded or unloaded.
    pub action: OrderAction,
    /// Name of the model or adapter.
    pub name: Arc<str>,
    /// Declared memory of the copy, bytes.
    pub bytes: u64,
}

/// Action that the reducer requests from the shell around it.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveEffect {
    /// Call the table service and report the answer with
    /// [`TableAnswered`](crate::event::MoveEvent::TableAnswered).
    CallTable {
        /// Number of the call, to be repeated in the answer.
        call: u64,
        /// Request to the table service.
        request: TableCall,
    },
    /// Send an order to an engine and report the answer with
    /// [`OrderAnswered`](crate::event::MoveEvent::OrderAnswered).
    SendOrder {
        /// Target whose engine receives the order.
        target: TargetName,
        /// Order to send.
        order: EngineOrder,
        /// The shell reads its monotonic clock directly before writing to the socket, and drops the
        /// order at or after this time: the process may have been paused since the decision.
        valid_until: ClockTime,
    },
    /// Make an engine refuse orders below a fencing number, and report its confirmation with
    /// [`FencingConfirmed`](crate::event::MoveEvent::FencingConfirmed).
    RaiseFencing {
        /// Target whose engine is called.
        target: TargetName,
        /// New lowest fencing number.
        fencing: FencingNumber,
        /// Time at which the shell drops the call, as for an order.
        valid_until: ClockTime,
    },
    /// Log an occurrence and count it in the metrics.
    Log(MoveLog),
}

/// Occurrence for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveLog {
    /// This host acquired the lease.
    LeaseAcquired {
        /// Fencing number of the new lease.
        fencing: FencingNumber,
    },
    /// This host no longer holds the lease.
    LeaseLost,
    /// An order ended.
    OrderEnded {
        /// Id of the order.
        order: OrderId,
        /// Target of the order.
        target: TargetName,
        /// Whether the copy was loaded or unloaded.
        action: OrderAction,
        /// Name of the model or adapter.
        name: Arc<str>,
        /// How the order ended.
        result: OrderResult,
    },
    /// A target uses more memory than its capacity, for example after the capacity shrank.
    OverCapacity {
        /// Target that is over its capacity.
        target: TargetName,
        /// Memory in use, bytes.
        used: u64,
        /// Capacity of the target, bytes.
        capacity: u64,
    },
    /// A load waits because every copy that could make room is the last one of its name.
    LoadBlocked {
        /// Target that has no room.
        target: TargetName,
        /// Name of the model or adapter to load.
        name: Arc<str>,
    },
    /// A row of the table is not a valid lease or intent; no order is sent until it is.
    InvalidRow {
        /// Key of the row.
        key: Arc<str>,
    },
}
