//! Table calls of the move reducer: reads of the lease, lease writes, and scans and writes of
//! intents.

use crate::effect::{MoveEffect, MoveLog};
use crate::indexes::recheck_all_fences;
use crate::intent::{IntentEntry, IntentRow, IntentStage, OrderAction, OrderPhase};
use crate::lease::{earliest_takeover, holder_deadline, LeaseRow, LeaseState};
use crate::reduce::MoveContext;
use crate::state::{add_entry, remove_entry, MoveState};
use crocusyard_base::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Shortest pause before the first retry of a failed table call.
const TABLE_BACKOFF_FIRST: ClockTime = ClockTime::from_ms(200);

/// A transaction, which always rewrites the lease row.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WriteBatch {
    /// Expected version of the lease row, 0 if there is no row.
    version: u64,
    /// New content of the lease row.
    row: LeaseRow,
    /// Whether the write acquires the lease; if not, it renews the lease.
    acquires: bool,
    /// Intent stage that is written for each order; `None` deletes the row.
    stages: Vec<(OrderId, Option<IntentStage>)>,
    /// All row changes, with that of the lease row first.
    changes: Vec<RowChange>,
}

/// Purpose of a table call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallKind {
    /// Reads the lease row.
    ReadLease,
    /// Reads a page of the intents.
    Scan,
    /// Writes the lease row and intents in one transaction.
    Write(Box<WriteBatch>),
}

/// A table call in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingCall {
    /// Number of the call.
    call: u64,
    /// When the call was made.
    sent: ClockTime,
    kind: CallKind,
}

/// Makes the next table call if one is due.
pub(crate) fn poll(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    out: &mut Vec<MoveEffect>,
) {
    if let Some(pending) = &state.pending_call {
        if context.now.since(pending.sent) < state.settings.table_timeout {
            return;
        }
        let call = pending.call;
        handle_answer(state, context, call, TableAnswer::Unknown, out);
    }
    if context.now < state.next_call_at {
        return;
    }
    if state.unresolved_write.is_some() {
        read_lease(state, context, out);
        return;
    }
    match &state.lease {
        LeaseState::Unread => read_lease(state, context, out),
        LeaseState::Watching {
            row, first_seen, ..
        } => {
            let takeover_at = row.as_ref().map_or(ClockTime::ZERO, |row| {
                earliest_takeover(row, *first_seen, state.settings.clock_drift)
            });
            // A host without the region's declarations could not order any move.
            if context.now >= takeover_at && !state.fleet.targets.is_empty() {
                let batch = acquire_batch(state, context);
                write(state, context, batch, out);
            } else {
                read_lease(state, context, out);
            }
        }
        LeaseState::Held {
            row, scan_complete, ..
        } => {
            let is_renewal_due = context.now >= row.sent + state.settings.renew_after;
            if !*scan_complete && !is_renewal_due {
                scan(state, context, out);
                return;
            }
            let has_changes = state
                .entries
                .values()
                .any(|entry| entry.desired_stage() != entry.stored_stage);
            if is_renewal_due || has_changes {
                let batch = renew_batch(state, context);
                write(state, context, batch, out);
            }
        }
    }
}

/// Handles the answer to a table call; answers to earlier calls are ignored.
pub(crate) fn handle_answer(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    call: u64,
    answer: TableAnswer,
    out: &mut Vec<MoveEffect>,
) {
    let Some(pending) = state.pending_call.take_if(|pending| pending.call == call) else {
        return;
    };
    match (pending.kind, answer) {
        (CallKind::Write(batch), TableAnswer::Unknown) => {
            state.unresolved_write = Some(*batch);
            schedule_retry(state, context);
        }
        (CallKind::Write(batch), TableAnswer::Committed { versions }) => {
            state.table_failures = 0;
            let version = versions.first().copied().unwrap_or(batch.version + 1);
            handle_commit(state, context, *batch, version, out);
        }
        (CallKind::Write(batch), TableAnswer::Conflict { rows }) => {
            state.table_failures = 0;
            let key = lease_key(state);
            let row = rows.into_iter().find(|row| row.key == key);
            state.unresolved_write = Some(*batch);
            handle_lease_row(state, context, row, out);
        }
        (CallKind::ReadLease, TableAnswer::Row(row)) => {
            state.table_failures = 0;
            handle_lease_row(state, context, row, out);
        }
        (CallKind::Scan, TableAnswer::Rows { rows, more }) => {
            state.table_failures = 0;
            handle_scan(state, context, rows, more, out);
        }
        _ => schedule_retry(state, context),
    }
}

/// Returns whether a write may still take effect.
pub(crate) fn is_write_in_flight(state: &MoveState) -> bool {
    let pending = state.pending_call.as_ref().map(|pending| &pending.kind);
    state.unresolved_write.is_some() || matches!(pending, Some(CallKind::Write(_)))
}

/// Forgets the lease and everything that depends on it; the row in the table stays.
pub(crate) fn drop_lease(state: &mut MoveState, out: &mut Vec<MoveEffect>) {
    if matches!(state.lease, LeaseState::Held { .. }) {
        out.push(MoveEffect::Log(MoveLog::LeaseLost));
    }
    state.lease = LeaseState::Unread;
    state.pending_call = None;
    state.unresolved_write = None;
    clear_entries(state);
}

/// Forgets all intents and their reservations.
fn clear_entries(state: &mut MoveState) {
    state.entries.clear();
    state.entries_by_target.clear();
    state.ledger.release_all();
}

/// Starts a table call.
fn call(
    state: &mut MoveState,
    context: &MoveContext<'_>,
    kind: CallKind,
    request: TableCall,
    out: &mut Vec<MoveEffect>,
) {
    state.call_count += 1;
    let call = state.call_count;
    state.pending_call = Some(PendingCall {
        call,
        sent: context.now,
        kind,
    });
    out.push(MoveEffect::CallTable { call, request });
}

/// Starts a read of the lease row.
fn read_lease(state: &mut MoveState, context: &MoveContext<'_>, out: &mut Vec<MoveEffect>) {
    let request = TableCall::Get {
        key: lease_key(state),
    };
    call(state, context, CallKind::ReadLease, request, out);
}

/// Reads the next page of intents.
fn scan(state: &mut MoveState, context: &MoveContext<'_>, out: &mut Vec<MoveEffect>) {
    let LeaseState::Held { scan_cursor, .. } = &state.lease else {
        return;
    };
    let request = TableCall::Scan {
        prefix: intent_prefix(state),
        after: scan_cursor.clone(),
        limit: state.settings.rows_per_scan,
    };
    call(state, context, CallKind::Scan, request, out);
}

/// Starts the transaction of a batch.
fn write(
    state: &mut MoveState,
    context: &MoveContext<'_>,
    batch: WriteBatch,
    out: &mut Vec<MoveEffect>,
) {
    let request = TableCall::Transact {
        changes: batch.changes.clone(),
    };
    call(
        state,
        context,
        CallKind::Write(Box::new(batch)),
        request,
        out,
    );
}

/// Builds the write that acquires the lease.
fn acquire_batch(state: &mut MoveState, context: &MoveContext<'_>) -> WriteBatch {
    let version = match &state.lease {
        LeaseState::Watching { version, .. } => *version,
        _ => 0,
    };
    let fencing = FencingNumber(state.highest_fencing.0 + 1);
    new_batch(state, context, version, fencing, true)
}

/// Builds the write that renews the lease and stores the intents that changed.
fn renew_batch(state: &mut MoveState, context: &MoveContext<'_>) -> WriteBatch {
    let (version, fencing) = match &state.lease {
        LeaseState::Held { version, row, .. } => (*version, row.fencing),
        _ => (0, FencingNumber(0)),
    };
    let mut batch = new_batch(state, context, version, fencing, false);
    let limit = state.settings.rows_per_write;
    let changed_entries = state
        .entries
        .values()
        .filter(|entry| entry.desired_stage() != entry.stored_stage)
        .take(limit);
    for entry in changed_entries {
        let stage = entry.desired_stage();
        batch.stages.push((entry.id, stage));
        let value = stage.map(|stage| {
            let row = IntentRow {
                stage,
                ..entry.row.clone()
            };
            to_json(&row)
        });
        batch.changes.push(RowChange {
            key: intent_key(state, entry.id),
            expect: RowExpect::Any,
            value,
        });
    }
    batch
}

/// Builds a transaction that writes only the lease row.
fn new_batch(
    state: &mut MoveState,
    context: &MoveContext<'_>,
    version: u64,
    fencing: FencingNumber,
    acquires: bool,
) -> WriteBatch {
    state.write_count += 1;
    let row = LeaseRow {
        holder: state.settings.host.clone(),
        instance: state.instance.unwrap_or_default(),
        write: state.write_count,
        sent: context.now,
        fencing,
        length: state.settings.lease_length,
    };
    let expect = if version == 0 {
        RowExpect::Absent
    } else {
        RowExpect::Version(version)
    };
    let change = RowChange {
        key: lease_key(state),
        expect,
        value: Some(to_json(&row)),
    };
    WriteBatch {
        version,
        row,
        acquires,
        stages: Vec::new(),
        changes: vec![change],
    }
}

/// Handles the lease row that was read, and determines whether an unresolved write took effect.
fn handle_lease_row(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    found: Option<TableRow>,
    out: &mut Vec<MoveEffect>,
) {
    let version = found.as_ref().map_or(0, |row| row.version);
    let row: Option<LeaseRow> = match found.map(|row| serde_json::from_str(&row.value)) {
        None => None,
        Some(Ok(row)) => Some(row),
        Some(Err(_)) => {
            let key = lease_key(state);
            out.push(MoveEffect::Log(MoveLog::InvalidRow { key }));
            drop_lease(state, out);
            schedule_retry(state, context);
            return;
        }
    };
    if let Some(row) = &row {
        state.highest_fencing = state.highest_fencing.max(row.fencing);
    }
    if let Some(batch) = state.unresolved_write.take() {
        let took_effect = row
            .as_ref()
            .is_some_and(|row| row.instance == batch.row.instance && row.write == batch.row.write);
        if took_effect {
            handle_commit(state, context, batch, version, out);
            return;
        }
        // The lease runs from when the write was first sent, so an old acquisition would leave too
        // little time and is replaced by a new one. If the old one takes effect after all, this
        // host does not recognise its row and waits for the lease to end.
        let is_too_old =
            batch.acquires && context.now >= batch.row.sent + state.settings.renew_after;
        if version == batch.version && !is_too_old {
            // The write may still be in transit. The same transaction is sent again, so that at
            // most one of the two takes effect and either one is recognised.
            write(state, context, batch, out);
            return;
        }
    }
    if let LeaseState::Held {
        version: held_version,
        ..
    } = &state.lease
    {
        if *held_version == version {
            return;
        }
        drop_lease(state, out);
    }
    watch(state, context, version, row);
}

/// Watches a lease row that this host does not hold, and schedules the next read or acquisition.
fn watch(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    version: u64,
    row: Option<LeaseRow>,
) {
    let known = match &state.lease {
        LeaseState::Watching {
            version,
            first_seen,
            ..
        } => Some((*version, *first_seen)),
        _ => None,
    };
    let first_seen = match known {
        Some((known_version, first_seen)) if known_version == version => first_seen,
        _ => context.now,
    };
    let length = state.settings.lease_length.as_ms();
    let takeover_at = row.as_ref().map_or(context.now, |row| {
        earliest_takeover(row, first_seen, state.settings.clock_drift)
    });
    // Random delays keep the hosts of a region from reading and acquiring at the same moment.
    let read_at =
        context.now + ClockTime::from_ms(context.rng.random_range(length / 4..=length / 2));
    let acquire_at = takeover_at + ClockTime::from_ms(context.rng.random_range(0..=length / 4));
    state.next_call_at = read_at.min(acquire_at);
    state.lease = LeaseState::Watching {
        version,
        row,
        first_seen,
    };
}

/// Handles a transaction that took effect.
fn handle_commit(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    batch: WriteBatch,
    new_version: u64,
    out: &mut Vec<MoveEffect>,
) {
    if context.now >= holder_deadline(&batch.row, state.settings.clock_drift) {
        drop_lease(state, out);
        watch(state, context, new_version, Some(batch.row));
        return;
    }
    state.next_call_at = context.now;
    if batch.acquires {
        let fencing = batch.row.fencing;
        invariant!(
            fencing > state.own_fencing,
            "fencing_rises",
            "new fencing number {fencing} does not exceed the previous one, {}",
            state.own_fencing
        );
        state.own_fencing = fencing;
        state.highest_fencing = state.highest_fencing.max(fencing);
        clear_entries(state);
        state.lease = LeaseState::Held {
            version: new_version,
            row: batch.row,
            acquired_at: context.now,
            scan_complete: false,
            scan_cursor: None,
        };
        recheck_all_fences(state);
        state.load_tokens = 0.0;
        state.tokens_refilled_at = context.now;
        out.push(MoveEffect::Log(MoveLog::LeaseAcquired { fencing }));
        return;
    }
    if let LeaseState::Held { version, row, .. } = &mut state.lease {
        *version = new_version;
        *row = batch.row;
    }
    for (order, stage) in batch.stages {
        let Some(entry) = state.entries.get_mut(&order) else {
            continue;
        };
        entry.stored_stage = stage;
        if stage.is_none() {
            remove_entry(state, order);
        }
    }
}

/// Adds the intents of a scanned page.
fn handle_scan(
    state: &mut MoveState,
    context: &mut MoveContext<'_>,
    rows: Vec<TableRow>,
    more: bool,
    out: &mut Vec<MoveEffect>,
) {
    let prefix = intent_prefix(state);
    let last_key = rows.last().map(|row| row.key.clone());
    for table_row in rows {
        let order = table_row
            .key
            .strip_prefix(&*prefix)
            .and_then(OrderId::parse);
        let row: Option<IntentRow> = serde_json::from_str(&table_row.value).ok();
        let (Some(order), Some(row)) = (order, row) else {
            out.push(MoveEffect::Log(MoveLog::InvalidRow { key: table_row.key }));
            if let LeaseState::Held { scan_cursor, .. } = &mut state.lease {
                *scan_cursor = None;
            }
            schedule_retry(state, context);
            return;
        };
        if !state.entries.contains_key(&order) {
            inherit(state, context.now, order, row);
        }
    }
    if let LeaseState::Held {
        scan_complete,
        scan_cursor,
        ..
    } = &mut state.lease
    {
        *scan_complete = !more;
        *scan_cursor = last_key.or(scan_cursor.take());
    }
    state.next_call_at = context.now;
}

/// Takes over an intent of an earlier holder.
fn inherit(state: &mut MoveState, now: ClockTime, id: OrderId, row: IntentRow) {
    let reserved = OrderPhase::Reserved {
        until: now + state.settings.max_order_delay,
    };
    let checks_fencing = state
        .fleet
        .targets
        .get(&row.target)
        .is_some_and(|target| target.checks_fencing);
    let phase = match (row.stage, row.action) {
        _ if checks_fencing => OrderPhase::Fenced,
        // An unload is not sent again, because its copy may have become the last one.
        (IntentStage::Reserved, _) | (IntentStage::Open, OrderAction::Unload) => reserved,
        (IntentStage::Open, OrderAction::Load) => OrderPhase::Sent {
            retry_at: now,
            attempts: 0,
        },
    };
    state
        .ledger
        .reserve_unchecked(&row.target, id, &row.name, row.bytes);
    let entry = IntentEntry {
        id,
        stored_stage: Some(row.stage),
        row,
        phase,
        is_temporary: false,
    };
    add_entry(state, entry);
}

/// Schedules the next table call after a failure, with exponential backoff.
fn schedule_retry(state: &mut MoveState, context: &mut MoveContext<'_>) {
    state.table_failures = state.table_failures.saturating_add(1);
    let factor =
        f64::from(1_u32 << state.table_failures.min(12)) * context.rng.random_range(0.5..1.0);
    let pause = TABLE_BACKOFF_FIRST.scale(factor).min(
        state
            .settings
            .table_backoff_max
            .scale(context.rng.random_range(0.5..1.0)),
    );
    state.next_call_at = context.now + pause;
}

/// Returns the key of the region's lease row.
fn lease_key(state: &MoveState) -> Arc<str> {
    format!("leases/{}", state.settings.region).into()
}

/// Returns the common prefix of the keys of the region's intents.
fn intent_prefix(state: &MoveState) -> Arc<str> {
    format!("intents/{}/", state.settings.region).into()
}

/// Returns the key of an intent row.
fn intent_key(state: &MoveState, order: OrderId) -> Arc<str> {
    format!("intents/{}/{order}", state.settings.region).into()
}

/// Serialises a row.
fn to_json(row: &impl serde::Serialize) -> Arc<str> {
    // Plain structs with text keys always serialise.
    serde_json::to_string(row).unwrap_or_default().into()
}
