//! Log lines of decisions.
//!
//! Each line is one JSON object with the same first fields; the logger adds time and level.

use log::info;
use serde_json::{json, Value};

/// Target of the lines, for the module filter of the settings.
const LOG_TARGET: &str = "crocusyard::decision";

/// Logs a decision about a request.
pub(crate) fn request(id: &str, decision: &str, inputs: Value) {
    info!(target: LOG_TARGET, "{}", json!({"request": id, "decision": decision, "inputs": inputs}));
}

/// Logs a change of what the process believes.
pub(crate) fn belief(subject: &str, change: &str, inputs: Value) {
    info!(target: LOG_TARGET, "{}", json!({"subject": subject, "change": change, "inputs": inputs}));
}
