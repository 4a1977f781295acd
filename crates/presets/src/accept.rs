//! Acceptance of a new version by compare-and-set.
//!
//! An acceptance stores the body, reads the pointer row, and commits the pointer and history rows
//! in one transaction. After a lost answer to the transaction, it reads the history row back.

use crate::effect::{AcceptResult, PresetEffect};
use crate::event::{AcceptId, AcceptRequest, PresetVersion};
use crate::follow;
use crate::row::{digest_hex, digest_of, history_key, PresetRow, CURRENT_KEY};
use crate::state::{backoff, PresetState};
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// Stage of an acceptance, named after the call that it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptStage {
    /// Storing the body in the object store.
    Storing,
    /// Reading the pointer row.
    Reading,
    /// Committing the transaction.
    Committing,
    /// Reading the history row, after the answer to the transaction was lost.
    Confirming,
}

/// An acceptance in progress.
#[derive(Clone, Debug)]
pub struct AcceptState {
    /// Stage that the acceptance has reached.
    pub stage: AcceptStage,
    /// Number and start time of the pending call; `None` while the acceptance waits until
    /// `retry_at`.
    pub pending_call: Option<(u64, ClockTime)>,
    /// Time at which the failed call is repeated.
    pub retry_at: ClockTime,
    /// Number of failed calls in this stage.
    pub failures: u32,
    /// Time at which the acceptance began.
    pub started_at: ClockTime,
    /// Version that the operator edited; `None` accepts any committed version.
    pub base_version: Option<u64>,
    /// Body of the new version.
    pub body: Arc<[u8]>,
    /// Row to write; its version is 0 until the pointer row was read.
    pub row: PresetRow,
    /// Precondition of the transaction on the pointer row.
    pub expected_pointer: RowExpect,
    /// Whether the transaction may have been committed although its answer was lost.
    pub maybe_committed: bool,
}

/// Starts an acceptance by storing the body.
pub fn start(
    state: &mut PresetState,
    now: ClockTime,
    request: AcceptRequest,
    out: &mut Vec<PresetEffect>,
) {
    let accept = request.accept;
    let digest = digest_hex(&digest_of(&request.body));
    let entry = AcceptState {
        stage: AcceptStage::Storing,
        pending_call: None,
        retry_at: now,
        failures: 0,
        started_at: now,
        base_version: request.base_version,
        body: request.body,
        row: PresetRow {
            version: 0,
            digest,
            author: request.author,
            accept,
            at_ms: request.at_ms,
        },
        expected_pointer: RowExpect::Absent,
        maybe_committed: false,
    };
    state.acceptances.insert(accept, entry);
    send_call(state, now, accept, out);
}

/// Returns the acceptance that waits for the answer to a call.
pub fn find_by_call(state: &PresetState, call: u64) -> Option<AcceptId> {
    let mut acceptances = state.acceptances.iter();
    let found =
        acceptances.find(|(_, entry)| entry.pending_call.is_some_and(|(number, _)| number == call));
    found.map(|(accept, _)| *accept)
}

/// Repeats calls that failed or timed out, and abandons acceptances that took too long.
pub fn tick(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    out: &mut Vec<PresetEffect>,
) {
    let ids: Vec<AcceptId> = state.acceptances.keys().copied().collect();
    for accept in ids {
        let timeout = state.settings.call_timeout;
        let Some(entry) = state.acceptances.get(&accept) else {
            continue;
        };
        if now.since(entry.started_at) >= state.settings.accept_timeout {
            abandon(state, accept, out);
            continue;
        }
        match entry.pending_call {
            Some((_, sent_at)) if now.since(sent_at) >= timeout => {
                receive_answer(state, now, rng, accept, TableAnswer::Unknown, out);
            }
            None if now >= entry.retry_at => send_call(state, now, accept, out),
            _ => {}
        }
    }
}

/// Takes the answer of the object store.
pub fn receive_store_result(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    accept: AcceptId,
    stored: bool,
    out: &mut Vec<PresetEffect>,
) {
    if !stored {
        retry(state, now, rng, accept, AcceptStage::Storing);
        return;
    }
    advance(state, now, accept, AcceptStage::Reading, out);
}

/// Takes an answer of the table service to the acceptance's pending call.
pub fn receive_answer(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    accept: AcceptId,
    answer: TableAnswer,
    out: &mut Vec<PresetEffect>,
) {
    let Some(stage) = state.acceptances.get(&accept).map(|entry| entry.stage) else {
        return;
    };
    match (stage, answer) {
        (AcceptStage::Reading, TableAnswer::Row(row)) => {
            receive_pointer(state, now, accept, row.as_ref(), out);
        }
        (AcceptStage::Committing, TableAnswer::Committed { .. }) => {
            finish_committed(state, now, accept, out);
        }
        (AcceptStage::Committing, TableAnswer::Conflict { rows }) => {
            let rows: Vec<_> = rows.iter().filter_map(PresetRow::parse).collect();
            // After a lost answer, the conflicting rows may be those of the first copy of this
            // acceptance's transaction.
            if rows.iter().any(|row| row.accept == accept) {
                finish_committed(state, now, accept, out);
            } else {
                let found = rows.iter().filter_map(PresetRow::preset).max();
                finish(state, accept, AcceptResult::Conflict { found }, out);
            }
        }
        (AcceptStage::Committing, TableAnswer::Unknown) => {
            if let Some(entry) = state.acceptances.get_mut(&accept) {
                entry.maybe_committed = true;
            }
            retry(state, now, rng, accept, AcceptStage::Confirming);
        }
        (AcceptStage::Confirming, TableAnswer::Row(Some(row))) => {
            let row = PresetRow::parse(&row);
            if row.as_ref().is_some_and(|row| row.accept == accept) {
                finish_committed(state, now, accept, out);
            } else {
                let found = row.and_then(|row| row.preset());
                finish(state, accept, AcceptResult::Conflict { found }, out);
            }
        }
        (AcceptStage::Confirming, TableAnswer::Row(None)) => {
            advance(state, now, accept, AcceptStage::Committing, out);
        }
        (stage, _) => retry(state, now, rng, accept, stage),
    }
}

/// Takes the pointer row, and commits the next version unless the operator edited another one.
fn receive_pointer(
    state: &mut PresetState,
    now: ClockTime,
    accept: AcceptId,
    row: Option<&TableRow>,
    out: &mut Vec<PresetEffect>,
) {
    let found = row.and_then(PresetRow::parse).and_then(|row| row.preset());
    let version = found.map_or(0, |found| found.version);
    let Some(entry) = state.acceptances.get_mut(&accept) else {
        return;
    };
    if entry.base_version.is_some_and(|base| base != version) {
        finish(state, accept, AcceptResult::Conflict { found }, out);
        return;
    }
    entry.row.version = version + 1;
    entry.expected_pointer = row.map_or(RowExpect::Absent, |row| RowExpect::Version(row.version));
    advance(state, now, accept, AcceptStage::Committing, out);
}

/// Moves on to a stage and sends its call.
fn advance(
    state: &mut PresetState,
    now: ClockTime,
    accept: AcceptId,
    stage: AcceptStage,
    out: &mut Vec<PresetEffect>,
) {
    if let Some(entry) = state.acceptances.get_mut(&accept) {
        entry.stage = stage;
        entry.failures = 0;
        send_call(state, now, accept, out);
    }
}

/// Schedules the call of a stage after a failure.
fn retry(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    accept: AcceptId,
    stage: AcceptStage,
) {
    let settings = &state.settings;
    if let Some(entry) = state.acceptances.get_mut(&accept) {
        entry.stage = stage;
        entry.pending_call = None;
        entry.retry_at = now
            + backoff(
                settings.retry_delay,
                settings.max_retry_delay,
                entry.failures,
                rng,
            );
        entry.failures += 1;
    }
}

/// Sends the call of the acceptance's stage.
fn send_call(
    state: &mut PresetState,
    now: ClockTime,
    accept: AcceptId,
    out: &mut Vec<PresetEffect>,
) {
    let call = state.next_call();
    let Some(entry) = state.acceptances.get_mut(&accept) else {
        return;
    };
    entry.pending_call = Some((call, now));
    let request = match entry.stage {
        AcceptStage::Storing => {
            out.push(PresetEffect::StoreBody {
                call,
                digest: digest_of(&entry.body),
                body: entry.body.clone(),
            });
            return;
        }
        AcceptStage::Reading => TableCall::Get {
            key: CURRENT_KEY.into(),
        },
        AcceptStage::Confirming => TableCall::Get {
            key: history_key(entry.row.version),
        },
        AcceptStage::Committing => {
            let value = Some(entry.row.to_json());
            let pointer = RowChange {
                key: CURRENT_KEY.into(),
                expect: entry.expected_pointer,
                value: value.clone(),
            };
            let history = RowChange {
                key: history_key(entry.row.version),
                expect: RowExpect::Absent,
                value,
            };
            TableCall::Transact {
                changes: vec![pointer, history],
            }
        }
    };
    out.push(PresetEffect::Table { call, request });
}

/// Puts the committed version in force on this host and reports success.
fn finish_committed(
    state: &mut PresetState,
    now: ClockTime,
    accept: AcceptId,
    out: &mut Vec<PresetEffect>,
) {
    let Some(entry) = state.acceptances.get(&accept) else {
        return;
    };
    let (row, body) = (entry.row.clone(), entry.body.clone());
    let preset = PresetVersion {
        version: row.version,
        digest: digest_of(&body),
    };
    follow::record_version(state, now, preset, None, out);
    follow::put_in_force(state, preset, body, out);
    finish(state, accept, AcceptResult::Committed(preset), out);
}

/// Ends an acceptance that took too long.
fn abandon(state: &mut PresetState, accept: AcceptId, out: &mut Vec<PresetEffect>) {
    let Some(entry) = state.acceptances.get(&accept) else {
        return;
    };
    let committing = entry.stage == AcceptStage::Committing && entry.pending_call.is_some();
    let result = if entry.maybe_committed || committing {
        AcceptResult::Unknown {
            preset: PresetVersion {
                version: entry.row.version,
                digest: digest_of(&entry.body),
            },
        }
    } else {
        AcceptResult::Unavailable
    };
    finish(state, accept, result, out);
}

/// Removes an acceptance and reports its outcome.
fn finish(
    state: &mut PresetState,
    accept: AcceptId,
    result: AcceptResult,
    out: &mut Vec<PresetEffect>,
) {
    state.acceptances.remove(&accept);
    out.push(PresetEffect::AcceptDone { accept, result });
}
