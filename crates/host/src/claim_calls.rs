//! Performs the effects that concern claims of idempotency keys.

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

/// The table service answered a call for a claim.
#[derive(Message)]
#[rtype(result = "()")]
struct ClaimRead {
    key: RequestKey,
    answer: ClaimAnswer,
    stored: Option<StoredAnswer>,
}

impl Handler<ClaimRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: ClaimRead, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&read.key) {
            slot.stored = read.stored;
        }
        let event = RequestEvent::ClaimAnswered {
            key: read.key,
            answer: read.answer,
        };
        self.feed_request(event, context);
    }
}

/// A target's own record of a call was read.
#[derive(Message)]
#[rtype(result = "()")]
struct RecordRead {
    key: RequestKey,
    ran: Option<bool>,
    stored: Option<StoredAnswer>,
}

impl Handler<RecordRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: RecordRead, context: &mut Self::Context) {
        if let Some(slot) = self.requests.get_mut(&read.key) {
            slot.stored = read.stored;
        }
        let event = RequestEvent::SettleAnswered {
            key: read.key,
            ran: read.ran,
        };
        self.feed_request(event, context);
    }
}

impl HostActor {
    /// Performs an effect that concerns claims.
    pub(crate) fn perform_claim(&mut self, effect: RequestEffect, context: &mut Context<Self>) {
        match effect {
            RequestEffect::WriteClaim {
                key,
                row,
                claim,
                digest,
                target,
            } => {
                let value = ClaimRow {
                    claim: claim.to_string(),
                    digest: digest.to_string(),
                    target: target.to_string(),
                    answer: None,
                };
                self.write_claim(key, row, claim, &value, context);
            }
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
            RequestEffect::AskRecord { key, target, .. } => {
                self.ask_record(key, &target, context);
            }
            _ => {}
        }
    }

    fn write_claim(
        &mut self,
        key: RequestKey,
        row: Arc<str>,
        claim: ClaimId,
        value: &ClaimRow,
        context: &mut Context<Self>,
    ) {
        let change = RowChange {
            key: row.clone(),
            expect: RowExpect::Absent,
            value: Some(value.value()),
        };
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let call = TableCall::Transact {
                changes: vec![change],
            };
            let (answer, stored) = match platform.call_table(&call).await {
                TableAnswer::Committed { .. } => (ClaimAnswer::Granted, None),
                TableAnswer::Conflict { rows } => {
                    found_claim(rows.iter().find(|found| found.key == row), Some(claim))
                }
                TableAnswer::Failed => (ClaimAnswer::Failed, None),
                _ => (ClaimAnswer::Unknown, None),
            };
            actor.do_send(ClaimRead {
                key,
                answer,
                stored,
            });
        });
    }

    fn read_claim(&mut self, key: RequestKey, row: Arc<str>, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let (answer, stored) = match platform.call_table(&TableCall::Get { key: row }).await {
                TableAnswer::Row(Some(found)) => found_claim(Some(&found), None),
                TableAnswer::Row(None) => (ClaimAnswer::Absent, None),
                _ => (ClaimAnswer::Failed, None),
            };
            actor.do_send(ClaimRead {
                key,
                answer,
                stored,
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
        let stored = match attempt {
            None => self.requests.get(&key).and_then(|slot| slot.stored.clone()),
            Some(attempt) => self.attempts.get(&attempt).and_then(|slot| {
                let head = slot.head.as_deref()?;
                Some(StoredAnswer::new(head, slot.collected.as_deref()?))
            }),
        };
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let is_stored = match stored {
                None => false,
                Some(stored) => write_record(&platform, row, claim, stored).await,
            };
            let event = RequestEvent::RecordAnswered {
                key,
                stored: is_stored,
            };
            actor.do_send(TaskEvent(HostEvent::Request(event)));
        });
    }

    fn release_claim(&mut self, row: Arc<str>, claim: ClaimId) {
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            replace_claim(&platform, row, claim, |_| None).await;
        });
    }

    fn ask_record(&mut self, key: RequestKey, target: &TargetName, context: &mut Context<Self>) {
        let slot = self.requests.get(&key);
        let record_key = slot.and_then(|slot| slot.payload.record_key());
        let (Some(address), Some(record_key)) = (self.address_of(target), record_key) else {
            let read = RecordRead {
                key,
                ran: None,
                stored: None,
            };
            return context.notify(read);
        };
        let client = self.pools.client(address);
        let timeout = Duration::from_millis(self.settings.platform.table_timeout_ms.as_ms());
        let actor = context.address();
        actix_rt::spawn(async move {
            let record = management::read_record(&client, address, &record_key, timeout).await;
            let (ran, stored) = match record {
                Ok(Some(record)) => (Some(true), Some(StoredAnswer::from_record(&record))),
                Ok(None) => (Some(false), None),
                Err(_) => (None, None),
            };
            actor.do_send(RecordRead { key, ran, stored });
        });
    }
}

/// Writes the answer under the claim.
async fn write_record(
    platform: &PlatformClient,
    row: Arc<str>,
    claim: ClaimId,
    stored: StoredAnswer,
) -> bool {
    let record = |mut value: ClaimRow| {
        value.answer = Some(stored);
        Some(value.value())
    };
    replace_claim(platform, row, claim, record).await
}

/// Replaces the row of one's own claim; its version shows that nobody else changed it meanwhile.
async fn replace_claim(
    platform: &PlatformClient,
    row: Arc<str>,
    claim: ClaimId,
    replace: impl FnOnce(ClaimRow) -> Option<Arc<str>>,
) -> bool {
    let call = TableCall::Get { key: row.clone() };
    let TableAnswer::Row(Some(found)) = platform.call_table(&call).await else {
        return false;
    };
    let own = ClaimRow::read(&found).filter(|value| value.claim == claim.to_string());
    let Some(value) = own else { return false };
    let expect = RowExpect::Version(found.version);
    let change = RowChange {
        key: row,
        expect,
        value: replace(value),
    };
    let answer = platform
        .call_table(&TableCall::Transact {
            changes: vec![change],
        })
        .await;
    matches!(answer, TableAnswer::Committed { .. })
}

/// Turns a found claim into the reducer's answer; one's own claim counts as granted.
fn found_claim(
    row: Option<&TableRow>,
    own: Option<ClaimId>,
) -> (ClaimAnswer, Option<StoredAnswer>) {
    let Some(value) = row.and_then(ClaimRow::read) else {
        return (ClaimAnswer::Failed, None);
    };
    if own.is_some_and(|own| own.to_string() == value.claim) {
        return (ClaimAnswer::Granted, None);
    }
    let answer = value.answer();
    (answer, value.answer)
}
