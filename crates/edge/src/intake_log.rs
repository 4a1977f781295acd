//! Counts and logs what was refused or closed to protect the memory and the descriptors of the host.

use crate::clock;
use crate::decision_log;
use crocusyard_base::prelude::*;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Shortest time between two lines, so that uncontrolled clients cannot flood the log.
const LINE_INTERVAL: ClockTime = ClockTime::from_secs(1);

/// Refusals by reason since the last line.
#[derive(Default)]
pub(crate) struct IntakeLog {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    last_line: Cell<ClockTime>,
}

impl IntakeLog {
    /// Counts a refusal.
    pub(crate) fn count(&self, reason: &'static str) {
        *self.counts.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Writes a line about the refusals since the last one, if there are any and it is time.
    pub(crate) fn write(&self, held_bytes: usize, connections: usize) {
        let now = clock::now();
        if self.counts.borrow().is_empty() || now.since(self.last_line.get()) < LINE_INTERVAL {
            return;
        }
        self.last_line.set(now);
        let counts = self.counts.take();
        decision_log::log_change(
            "intake",
            "refused",
            json!({"counts": counts, "held_bytes": held_bytes, "connections": connections}),
        );
    }
}
