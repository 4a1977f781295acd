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
    /// Order.
    pub id: OrderId,
    /// Result.
    pub result: OrderResult,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine has the order and has not ended it.
    Accepted,
    /// The order ended.
    Ended(OrderResult),
    /// The fencing number is older than one the engine has seen.
    StaleFencing,
    /// No answer came; the engine may or may not have the order.
    Lost,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum MoveEvent {
    /// Time has passed. Sent about five times a second, and once right after a pause. Moves are
    /// scheduled and fencing numbers raised here.
    Tick,
    /// The declarations of this host's region changed, capacities included.
    FleetChanged(Arc<FleetSpec>),
    /// A new plan replaces the one in force. Plans must be delivered in the order of their making.
    PlanChanged(Arc<ResidencyPlan>),
    /// A request waits for a model or adapter that has no resident copy.
    ModelRequested {
        /// Model or adapter.
        name: Arc<str>,
    },
    /// A table call ended. Exactly one for each [`CallTable`](crate::effect::MoveEffect::CallTable)
    /// is expected, but a missing, late or repeated one does no harm.
    TableAnswered {
        /// Number of the call.
        call: u64,
        /// Answer.
        answer: TableAnswer,
    },
    /// An engine answered an order, or did not.
    OrderAnswered {
        /// Order.
        order: OrderId,
        /// Answer.
        answer: OrderAnswer,
    },
    /// An engine confirmed that it refuses orders below a fencing number.
    FencingConfirmed {
        /// Target.
        target: TargetName,
        /// Process number of the engine, as in its load report.
        incarnation: u64,
        /// Number that it confirmed.
        fencing: FencingNumber,
    },
    /// A load report of an engine arrived. Reports may come late, twice or out of order.
    ReportReceived {
        /// Report.
        report: Arc<LoadReport>,
        /// Orders that the report lists as ended.
        finished: Vec<FinishedOrder>,
    },
}
