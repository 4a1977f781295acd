//! Writes the lines of the decision log.
//!
//! Each line is one JSON object with the time on the host's clock, the request or the subject, the
//! decision or the change, and the inputs that led to it.

use crate::clock;
use crocusyard_logging::prelude::DECISION_TARGET;
use log::info;
use serde_json::{json, Value};

/// Longest part of a value that a caller chose in a line, bytes; the log's queue is bounded in lines.
const MAX_SHOWN_BYTES: usize = 128;

/// Shortens a value that a caller chose.
pub(crate) fn shorten(value: &str) -> &str {
    let mut end = value.len().min(MAX_SHOWN_BYTES);
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    &value[..end]
}

/// Logs a decision about a request.
pub(crate) fn log_decision(id: &str, decision: &str, inputs: Value) {
    let id = shorten(id);
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "request": id, "decision": decision, "inputs": inputs}));
}

/// Logs a change in what the process knows about a subject, such as the lease or a target.
pub(crate) fn log_change(subject: &str, change: &str, inputs: Value) {
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "subject": subject, "change": change, "inputs": inputs}));
}
