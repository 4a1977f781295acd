//! Log lines about crashes of targets and their causes.

use crate::decision_log::log_change;
use crocusyard_serving::prelude::*;
use serde_json::json;

/// Largest number of causes in a log line.
const MAX_LOGGED_CAUSES: usize = 16;

/// Returns a cause as text: `call:` or `part:` with the identifier in hexadecimal.
fn cause_text(cause: CrashCause) -> String {
    match cause {
        CrashCause::Call(digest) => format!("call:{digest:x}"),
        CrashCause::Part(id) => format!("part:{id:x}"),
    }
}

/// Logs what the lost calls of this host contained when a target crashed, and how many crashes this host
/// counts against each cause, this one included.
pub(crate) fn log_crash(report: &CrashReport, serving: &ServingState) {
    let mut counts: Vec<(String, usize)> = report
        .causes
        .iter()
        .map(|lost| (cause_text(lost.cause), serving.crash_count(lost.cause)))
        .collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(MAX_LOGGED_CAUSES);
    let parts: Vec<String> = report
        .causes
        .iter()
        .filter(|lost| matches!(lost.cause, CrashCause::Part(_)))
        .take(MAX_LOGGED_CAUSES)
        .map(|lost| cause_text(lost.cause))
        .collect();
    log_change(
        "target",
        "crashed",
        json!({"target": report.target.as_str(), "incarnation": report.incarnation, "age_ms": report.age.as_ms(), "causes": report.causes.len(), "parts": parts, "counts": counts}),
    );
}

/// Logs what this host tells the others about causes.
pub(crate) fn log_evidence(evidence: &EvidenceReport) {
    for blamed in &evidence.blamed {
        log_change(
            "cause",
            "trial",
            json!({"cause": cause_text(blamed.cause), "crashes": blamed.crashes.len(), "trials": blamed.trials, "next_in_ms": blamed.trial_in.as_ms()}),
        );
    }
    if !evidence.sound.is_empty() {
        let sound: Vec<(String, u64)> = evidence
            .sound
            .iter()
            .take(MAX_LOGGED_CAUSES)
            .map(|(cause, age)| (cause_text(*cause), age.as_ms()))
            .collect();
        log_change(
            "cause",
            "sound",
            json!({"count": evidence.sound.len(), "ages_ms": sound}),
        );
    }
    for (target, incarnation) in &evidence.alive {
        log_change(
            "target",
            "alive",
            json!({"target": target.as_str(), "incarnation": incarnation}),
        );
    }
}

/// Logs that calls with a cause are refused from now on, or are not any more.
pub(crate) fn log_blame(cause: CrashCause, is_blamed: bool) {
    let change = if is_blamed { "blamed" } else { "cleared" };
    log_change("cause", change, json!({"cause": cause_text(cause)}));
}

/// Logs that this host has been told of crashes before its start.
pub(crate) fn log_history(history: &CrashHistory, source: &str) {
    let ages = history.crashes.iter().map(|report| report.age.as_ms());
    log_change(
        "cause",
        "history_received",
        json!({"source": source, "crashes": history.crashes.len(), "counted": history.counted().len(), "newest_age_ms": ages.min()}),
    );
}

/// Logs that the store has the crashes that count.
pub(crate) fn log_stored_history(counted: usize, version: u64) {
    log_change(
        "cause",
        "history_stored",
        json!({"counted": counted, "version": version}),
    );
}
