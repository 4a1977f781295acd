//! Performs the effects on claims of idempotency keys: calls to the table service, and reads of the
//! records that targets keep.

use crate::actor::HostActor;
use crate::claims::{ClaimRow, StoredAnswer};
use crate::effects::TaskEvent;
use actix::{AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_platform::prelude::PlatformClient;
use crocusyard_requests::prelude::*;
use crocusyard_targets::management;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of tries to release a claim. If all of them fail, its idempotency key stays in
/// doubt.
const MAX_RELEASE_TRIES: u32 = 10;
/// Wait after the first failed try of a release; it doubles after each further one. All tries
/// together take 128 s, which outlasts short outages of the table service.
const INITIAL_RELEASE_BACKOFF: Duration = Duration::from_millis(250);

/// The result of reading or writing a claim's row in the table service.
#[derive(Message)]
#[rtype(result = "()")]
struct ClaimRead {
    key: RequestKey,
    reply: ClaimReply,
    /// Answer that is recorded in the row.
    stored_answer: Option<StoredAnswer>,
}

impl Handler<ClaimRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: ClaimRead, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&read.key) {
            slot.stored_answer = read.stored_answer;
        }
        let event = RequestEvent::ClaimReplied {
            key: read.key,
            reply: read.reply,
        };
        self.apply_request_event(event, context);
    }
}

/// The result of reading a target's own record of a call.
#[derive(Message)]
#[rtype(result = "()")]
struct RecordRead {
    key: RequestKey,
    /// Whether the target ran the call; `None` if it could not be read.
    ran: Option<bool>,
    /// Answer from the target's record.
    stored_answer: Option<StoredAnswer>,
}

impl Handler<RecordRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: RecordRead, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&read.key) {
            slot.stored_answer = read.stored_answer;
        }
        let event = RequestEvent::ExecutionChecked {
            key: read.key,
            ran: read.ran,
        };
        self.apply_request_event(event, context);
    }
}

impl HostActor {
    /// Performs an effect on a claim; other effects are ignored.
    pub(crate) fn perform_claim(&mut self, effect: RequestEffect, context: &mut Context<Self>) {
        match effect {
            RequestEffect::WriteClaim {
                key,
                row,
                claim,
                digest,
                target,
                replaced_version,
            } => {
                let value = ClaimRow {
                    claim: claim.to_string(),
                    digest: digest.to_string(),
                    target: target.to_string(),
                    released: false,
                    answer: None,
                };
                self.write_claim(key, row, replaced_version, value, context);
            }
            RequestEffect::RetargetClaim {
                key,
                row,
                claim,
                target,
            } => self.retarget_claim(key, row, claim, target, context),
            RequestEffect::ReadClaim { key, row } => self.read_claim(key, row, context),
            RequestEffect::RecordAnswer {
                key,
                row,
                claim,
                attempt,
            } => {
                self.record_answer(key, row, claim, attempt, context);
            }
            RequestEffect::ReleaseClaim { row, claim, .. } => self.release_claim(row, claim),
            RequestEffect::CheckExecution { key, target, .. } => {
                self.read_record(key, &target, context);
            }
            _ => {}
        }
    }

    fn write_claim(
        &mut self,
        key: RequestKey,
        row: Arc<str>,
        replaced_version: Option<u64>,
        value: ClaimRow,
        context: &mut Context<Self>,
    ) {
        let expect = replaced_version.map_or(RowExpect::Absent, RowExpect::Version);
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let answer = write_row(&platform, row.clone(), expect, &value).await;
            let (reply, stored_answer) = match answer {
                TableAnswer::Committed { .. } => (ClaimReply::Granted, None),
                TableAnswer::Conflict { rows } => {
                    claim_reply(rows.iter().find(|found| found.key == row))
                }
                TableAnswer::Failed => (ClaimReply::Failed, None),
                _ => (ClaimReply::Unknown, None),
            };
            actor.do_send(ClaimRead {
                key,
                reply,
                stored_answer,
            });
        });
    }

    fn retarget_claim(
        &mut self,
        key: RequestKey,
        row: Arc<str>,
        claim: ClaimId,
        target: TargetName,
        context: &mut Context<Self>,
    ) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let update = |value: &mut ClaimRow| value.target = target.to_string();
            let (reply, stored_answer) = update_claim(&platform, row, claim, update).await;
            actor.do_send(ClaimRead {
                key,
                reply,
                stored_answer,
            });
        });
    }

    fn read_claim(&mut self, key: RequestKey, row: Arc<str>, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let (reply, stored_answer) =
                match platform.call_table(&TableCall::Get { key: row }).await {
                    TableAnswer::Row(Some(found)) => claim_reply(Some(&found)),
                    TableAnswer::Row(None) => (ClaimReply::Absent, None),
                    _ => (ClaimReply::Failed, None),
                };
            actor.do_send(ClaimRead {
                key,
                reply,
                stored_answer,
            });
        });
    }

    fn record_answer(
        &mut self,
        key: RequestKey,
        row: Arc<str>,
        claim: ClaimId,
        attempt: Option<AttemptId>,
        context: &mut Context<Self>,
    ) {
        let stored_answer = match attempt {
            None => self
                .requests
                .get(&key)
                .and_then(|slot| slot.stored_answer.clone()),
            Some(attempt) => self.attempts.get(&attempt).and_then(|slot| {
                let head = slot.head.as_deref()?;
                Some(StoredAnswer::new(head, slot.collected.as_deref()?))
            }),
        };
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let is_stored = match stored_answer {
                None => false,
                Some(stored_answer) => write_answer(&platform, row, claim, stored_answer).await,
            };
            let event = RequestEvent::AnswerRecorded {
                key,
                stored: is_stored,
            };
            actor.do_send(TaskEvent(HostEvent::Request(event)));
        });
    }

    fn release_claim(&mut self, row: Arc<str>, claim: ClaimId) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            let mut wait = INITIAL_RELEASE_BACKOFF;
            for _ in 1..MAX_RELEASE_TRIES {
                if release_row(&platform, &row, claim).await {
                    return;
                }
                actix_rt::time::sleep(wait).await;
                wait *= 2;
            }
            if !release_row(&platform, &row, claim).await {
                log::warn!(
                    "claim {claim} was not released in {MAX_RELEASE_TRIES} tries; \
                     its idempotency key stays in doubt"
                );
            }
        });
    }

    fn read_record(&mut self, key: RequestKey, target: &TargetName, context: &mut Context<Self>) {
        let slot = self.requests.get(&key);
        let record_key = slot.and_then(|slot| slot.payload.record_key());
        let (Some(address), Some(record_key)) = (self.address_of(target), record_key) else {
            let read = RecordRead {
                key,
                ran: None,
                stored_answer: None,
            };
            return context.notify(read);
        };
        let client = self.pools.client(address);
        let timeout = Duration::from_millis(self.settings.platform.table_timeout_ms.as_ms());
        let actor = context.address();
        actix_rt::spawn(async move {
            let record = management::read_record(&client, address, &record_key, timeout).await;
            let (ran, stored_answer) = match record {
                Ok(Some(record)) => (Some(true), Some(StoredAnswer::from_record(&record))),
                Ok(None) => (Some(false), None),
                Err(_) => (None, None),
            };
            actor.do_send(RecordRead {
                key,
                ran,
                stored_answer,
            });
        });
    }
}

/// Records an answer in the row of its claim; returns whether it is known to be recorded.
async fn write_answer(
    platform: &PlatformClient,
    row: Arc<str>,
    claim: ClaimId,
    stored_answer: StoredAnswer,
) -> bool {
    let record = |value: &mut ClaimRow| value.answer = Some(stored_answer);
    let (answer, _) = update_claim(platform, row, claim, record).await;
    matches!(answer, ClaimReply::Granted | ClaimReply::Recorded { .. })
}

/// Updates the row of a claim of this host. The write expects the version that was read, so that a
/// concurrent change of the row is detected.
async fn update_claim(
    platform: &PlatformClient,
    row: Arc<str>,
    claim: ClaimId,
    update: impl FnOnce(&mut ClaimRow),
) -> (ClaimReply, Option<StoredAnswer>) {
    let call = TableCall::Get { key: row.clone() };
    let TableAnswer::Row(Some(found)) = platform.call_table(&call).await else {
        return (ClaimReply::Failed, None);
    };
    let own_row = ClaimRow::parse(&found).filter(|value| {
        value.claim == claim.to_string() && !value.released && value.answer.is_none()
    });
    let Some(mut value) = own_row else {
        return claim_reply(Some(&found));
    };
    update(&mut value);
    let expect = RowExpect::Version(found.version);
    match write_row(platform, row, expect, &value).await {
        TableAnswer::Committed { .. } => (ClaimReply::Granted, None),
        TableAnswer::Conflict { rows } => claim_reply(rows.first()),
        TableAnswer::Failed => (ClaimReply::Failed, None),
        _ => (ClaimReply::Unknown, None),
    }
}

async fn write_row(
    platform: &PlatformClient,
    row: Arc<str>,
    expect: RowExpect,
    value: &ClaimRow,
) -> TableAnswer {
    let change = RowChange {
        key: row,
        expect,
        value: Some(value.encode()),
    };
    let call = TableCall::Transact {
        changes: vec![change],
    };
    platform.call_table(&call).await
}

/// Marks a row as released unless another claim holds it; returns whether nothing is left to do.
///
/// A late write of the claim expects either no row or an older version of a released row, so the
/// table refuses it.
async fn release_row(platform: &PlatformClient, row: &Arc<str>, claim: ClaimId) -> bool {
    let released = |found: Option<ClaimRow>| {
        let digest = found.map(|value| value.digest).unwrap_or_default();
        ClaimRow {
            claim: claim.to_string(),
            digest,
            target: String::new(),
            released: true,
            answer: None,
        }
    };
    let call = TableCall::Get { key: row.clone() };
    let (expect, value) = match platform.call_table(&call).await {
        TableAnswer::Row(None) => (RowExpect::Absent, released(None)),
        TableAnswer::Row(Some(found)) => {
            let Some(value) = ClaimRow::parse(&found) else {
                return true;
            };
            let is_own = value.claim == claim.to_string();
            let is_active = is_own && !value.released && value.answer.is_none();
            // A late write of this claim may expect the version of a released row of another claim,
            // so such a row is written again.
            if !is_active && (is_own || !value.released) {
                return true;
            }
            (RowExpect::Version(found.version), released(Some(value)))
        }
        _ => return false,
    };
    let answer = write_row(platform, row.clone(), expect, &value).await;
    matches!(answer, TableAnswer::Committed { .. })
}

/// Turns a row that was read into the reply for the reducer and the answer recorded in it.
fn claim_reply(row: Option<&TableRow>) -> (ClaimReply, Option<StoredAnswer>) {
    match row.and_then(|row| Some((row, ClaimRow::parse(row)?))) {
        None => (ClaimReply::Failed, None),
        Some((row, value)) => (value.to_reply(row.version), value.answer),
    }
}
