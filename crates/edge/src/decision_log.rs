//! Log lines of decisions.
//!
//! Each line is one JSON object with the same first fields: the host's clock, the request or the
//! subject, the decision or the change, and the inputs that decided it.

use crate::clock;
use crocusyard_logging::prelude::DECISION_TARGET;
use log::info;
use serde_json::{json, Value};

/// Logs a decision about a request.
pub(crate) fn request(id: &str, decision: &str, inputs: Value) {
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "request": id, "decision": decision, "inputs": inputs}));
}

/// Logs a change of what the process believes.
pub(crate) fn belief(subject: &str, change: &str, inputs: Value) {
    let clock_ms = clock::now().as_ms();
    info!(target: DECISION_TARGET, "{}", json!({"clock_ms": clock_ms, "subject": subject, "change": change, "inputs": inputs}));
}
