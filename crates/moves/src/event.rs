//! Events of the move reducer.

use crate::fleet::{FleetSpec, ResidencyPlan};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// How an order ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried the order out.
    Done,
    /// The engine refused the order and will not run it under this id.
    Refused,
}

/// An order that a load report lists as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedOrder {
    /// Id of the order.
    pub id: OrderId,
    /// How the order ended.
    pub result: OrderResult,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has received the order, which has not ended.
    Accepted,
    /// The order ended with this result.
    Ended(OrderResult),
    /// The fencing number of the order is lower than one that the engine has seen.
    StaleFencing,
    /// No answer came; the engine may or may not have received the order.
    Lost,
}

/// Input of the move reducer.
#[derive(Clone, Debug)]
pub enum MoveEvent {
    /// Time has passed. Sent about five times a second, and once right after a pause. Moves are
    /// scheduled and fencing numbers are raised in this event.
    Tick,
    /// The declarations of this host's region changed, including capacities.
    FleetChanged(Arc<FleetSpec>),
    /// A new plan replaces the present one. Plans must be delivered in the order in which they were
    /// made.
    PlanChanged(Arc<ResidencyPlan>),
    /// A request waits for a model or adapter that has no resident copy.
    ModelRequested {
        /// Name of the model or adapter.
        name: Arc<str>,
    },
    /// A table call ended. One event is expected for each
    /// [`CallTable`](crate::effect::MoveEffect::CallTable), but a missing, late or repeated one
    /// does no harm.
    TableAnswered {
        /// Number of the call, from [`CallTable`](crate::effect::MoveEffect::CallTable).
        call: u64,
        /// Answer of the table service.
        answer: TableAnswer,
    },
    /// An engine answered an order, or its answer is missing.
    OrderAnswered {
        /// Id of the order.
        order: OrderId,
        /// Answer of the engine.
        answer: OrderAnswer,
    },
    /// An engine confirmed that it refuses orders below a fencing number.
    FencingConfirmed {
        /// Target whose engine confirmed the number.
        target: TargetName,
        /// Process number of the engine, as in its load report.
        incarnation: u64,
        /// Confirmed fencing number.
        fencing: FencingNumber,
    },
    /// A load report of an engine arrived. Reports may come late, twice or out of order.
    ReportReceived {
        /// Load report.
        report: Arc<LoadReport>,
        /// Orders that the report lists as ended.
        finished: Vec<FinishedOrder>,
    },
}
