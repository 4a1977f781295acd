//! Logs what was refused or closed to protect the memory and the descriptors of the host.

use crate::clock;
use crate::decision_log;
use crocusyard_intake::prelude::*;
use serde_json::json;
use std::cell::RefCell;

/// Refusals that have not been logged yet.
#[derive(Default)]
pub(crate) struct IntakeLog(RefCell<RefusalTally>);

impl IntakeLog {
    /// Counts a refusal.
    pub(crate) fn count(&self, reason: &'static str) {
        self.0.borrow_mut().count(reason);
    }

    /// Writes a line about the refusals since the last one, if there are any and it is time.
    pub(crate) fn write(&self, held_bytes: usize, connections: usize) {
        if let Some(counts) = self.0.borrow_mut().take_due(clock::now()) {
            decision_log::log_change(
                "intake",
                "refused",
                json!({"counts": counts, "held_bytes": held_bytes, "connections": connections}),
            );
        }
    }
}
