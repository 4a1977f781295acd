//! Intent rows, and the holder's view of each of them.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a model or adapter.
    Load,
    /// Unloads a model or adapter.
    Unload,
}

/// Stage of an intent in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentStage {
    /// The order may be sent, or may have been sent.
    Open,
    /// The order ended; its memory stays reserved for the longest lateness of an order.
    Reserved,
}

/// Row `intents/<region>/<order id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRow {
    /// Order id, as 32 hexadecimal digits.
    pub order: Arc<str>,
    /// Target.
    pub target: TargetName,
    /// What is ordered.
    pub action: OrderAction,
    /// Model or adapter.
    pub name: Arc<str>,
    /// Memory, bytes.
    pub bytes: u64,
    /// Fencing number under which the intent was written.
    pub fencing: FencingNumber,
    /// Stage.
    pub stage: IntentStage,
}

/// Progress of an order at the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPhase {
    /// Its row is not yet confirmed, or it was never sent.
    Unsent,
    /// It was given up before it was sent; only its row has to go.
    Cancelled,
    /// It may have been sent; it is repeated from `retry_at` on.
    Sent {
        /// Next repetition.
        retry_at: ClockTime,
        /// Repetitions so far.
        attempts: u32,
    },
    /// Its end is known; a load report newer than `at` settles it.
    Ended {
        /// When the end was learnt.
        at: ClockTime,
        /// Whether the order was sent more than once, so that a repetition may still arrive.
        repeated: bool,
    },
    /// It is settled, and its memory is reserved until the given time.
    Reserved {
        /// End of the reservation.
        until: ClockTime,
    },
    /// It is settled and its row can go.
    Settled,
    /// It was written under an older number at an engine that checks numbers.
    Fenced,
}

/// An intent as the holder knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentEntry {
    /// Order.
    pub id: OrderId,
    /// Row content, apart from the stage.
    pub row: IntentRow,
    /// Progress.
    pub phase: OrderPhase,
    /// Stage that the table is known to have; `None` if there is no row.
    pub stored_stage: Option<IntentStage>,
    /// Whether the load is a temporary copy that frees another target; the plan does not name it.
    pub is_temporary: bool,
}

impl IntentEntry {
    /// Returns the stage that the table should have.
    pub fn desired_stage(&self) -> Option<IntentStage> {
        match self.phase {
            OrderPhase::Cancelled | OrderPhase::Settled => None,
            OrderPhase::Reserved { .. } => Some(IntentStage::Reserved),
            _ => Some(IntentStage::Open),
        }
    }

    /// Returns whether the order may still change something at the engine.
    pub fn is_open(&self) -> bool {
        !matches!(
            self.phase,
            OrderPhase::Cancelled | OrderPhase::Settled | OrderPhase::Reserved { .. }
        )
    }
}
