//! Writes the lines of the decision log.
//!
//! Each line is one JSON object with the time on the host's clock, the request or the subject, the
//! decision or the change, and the inputs that led to it.

use crate::clock;
use crocusyard_logging::prelude::DECISION_TARGET;
use log::info;
use serde_json::{json, Value};

/// Logs a decision about a request.
pub(crate) fn log_decision(id: &str, decision: &str, inputs: Value) {
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "request": id, "decision": decision, "inputs": inputs}));
}

/// Logs a change in what the process knows about a subject, such as the lease or a target.
pub(crate) fn log_change(subject: &str, change: &str, inputs: Value) {
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "subject": subject, "change": change, "inputs": inputs}));
}
