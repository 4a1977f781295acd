//! Intent rows in the table, and the progress of their orders at the lease holder.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether an order loads or unloads a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a model or adapter.
    Load,
    /// Unloads a model or adapter.
    Unload,
}

/// Stage of an intent as stored in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentStage {
    /// The order may be sent, or may have been sent.
    Open,
    /// The order ended; its memory stays reserved for the longest time that a repetition can be in
    /// transit.
    Reserved,
}

/// Content of the row `intents/<region>/<order id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Order id as 32 hexadecimal digits.
    pub order: Arc<str>,
    /// Target whose engine receives the order.
    pub target: TargetName,
    /// Whether the copy is loaded or unloaded.
    pub action: OrderAction,
    /// Name of the model or adapter.
    pub name: Arc<str>,
    /// Memory of the copy, bytes.
    pub bytes: u64,
    /// Fencing number of the lease under which the intent was written.
    pub fencing: FencingNumber,
    /// Stage of the intent.
    pub stage: IntentStage,
}

/// Progress of an order at the lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPhase {
    /// The order was never sent; it waits until its row is stored.
    Unsent,
    /// The order was cancelled before it was sent; only its row has to be deleted.
    Cancelled,
    /// The order may have been sent; it is repeated from `retry_at` on.
    Sent {
        /// Time of the next repetition.
        retry_at: ClockTime,
        /// Number of times that this holder sent the order.
        attempts: u32,
    },
    /// The end of the order is known; a load report measured at or after `at` settles it.
    Ended {
        /// When this host learnt of the end.
        at: ClockTime,
        /// Whether the order was sent more than once, so that a repetition may still arrive.
        repeated: bool,
    },
    /// The order is settled, and its memory stays reserved for late repetitions.
    Reserved {
        /// End of the reservation.
        until: ClockTime,
    },
    /// The order is settled and its row can be deleted.
    Settled,
    /// The order of an earlier holder, at an engine that checks fencing numbers. The engine refuses
    /// it once it has confirmed the present number.
    Fenced,
}

/// An intent as the lease holder knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentEntry {
    /// Id of the order.
    pub id: OrderId,
    /// Content of the row; its stage can be out of date.
    pub row: IntentRow,
    /// Progress of the order.
    pub phase: OrderPhase,
    /// Stage that the table is known to hold; `None` if there is no row.
    pub stored_stage: Option<IntentStage>,
    /// Whether the order loads a temporary copy that frees another target and is not in the plan.
    pub is_temporary: bool,
}

impl IntentEntry {
    /// Returns the stage that the table should hold; `None` if the row should be deleted.
    pub fn desired_stage(&self) -> Option<IntentStage> {
        match self.phase {
            OrderPhase::Cancelled | OrderPhase::Settled => None,
            OrderPhase::Reserved { .. } => Some(IntentStage::Reserved),
            _ => Some(IntentStage::Open),
        }
    }

    /// Returns whether the order may still change the copies on the engine.
    pub fn is_open(&self) -> bool {
        !matches!(
            self.phase,
            OrderPhase::Cancelled | OrderPhase::Settled | OrderPhase::Reserved { .. }
        )
    }
}
