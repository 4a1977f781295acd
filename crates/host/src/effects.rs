//! Performs the effects of the reducer.

use crate::actor::{AttemptSlot, HostActor};
use crate::answer::AnswerPart;
use crate::claims::{ClaimRow, StoredAnswer};
use crate::submit::RequestPayload;
use actix::{AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_platform::prelude::PlatformClient;
use crocusyard_requests::prelude::*;
use crocusyard_targets::management;
use crocusyard_targets::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// Answer bytes that wait for a slow caller before its request is dropped.
const UNREAD_MAX: usize = 8 << 20;
/// Answer bytes that are collected for a record; a longer answer is not replayed.
const COLLECTED_MAX: usize = 4 << 20;
/// Time limit of a cancellation; nothing waits for it.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An event that a local task produced.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TaskEvent(pub(crate) HostEvent);

impl Handler<TaskEvent> for HostActor {
    type Result = ();

    fn handle(&mut self, event: TaskEvent, context: &mut Self::Context) {
        self.feed(event.0, context);
    }
}

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
    /// Performs one effect.
    pub(crate) fn perform(&mut self, effect: HostEffect, context: &mut Context<Self>) {
        match effect {
            HostEffect::Request(effect) => self.perform_request(effect, context),
        }
    }

    fn perform_request(&mut self, effect: RequestEffect, context: &mut Context<Self>) {
        match effect {
            RequestEffect::Dispatch {
                key,
                attempt,
                target,
                resume,
            } => {
                self.dispatch(key, attempt, target, resume);
            }
            RequestEffect::CancelAttempt { attempt, target } => self.cancel(attempt, &target),
            RequestEffect::DeliverHead { key, attempt } => self.deliver_head(key, attempt, context),
            RequestEffect::Deliver {
                key,
                attempt,
                target,
                index,
                data,
            } => {
                let part = AnswerPart::Chunk {
                    attempt,
                    target,
                    index,
                    data,
                };
                self.send_part(key, part, context);
            }
            RequestEffect::Finish { key } => self.end_answer(key, AnswerPart::Finished),
            RequestEffect::Refuse { key, refusal } => {
                self.end_answer(key, AnswerPart::Refused(refusal));
            }
            RequestEffect::Replay { key } => self.replay(key),
            RequestEffect::Measure { key, sample } => self.measure(key, &sample),
            RequestEffect::Probe { target } => self.probe(target, context),
            RequestEffect::ClosePool { target } => {
                if let Some(address) = self.address_of(&target) {
                    self.pools.close(address);
                }
            }
            effect => self.perform_claim(effect, context),
        }
    }

    fn perform_claim(&mut self, effect: RequestEffect, context: &mut Context<Self>) {
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
            RequestEffect::AskRecord { key, row, target } => {
                self.ask_record(key, &row, &target, context);
            }
            _ => {}
        }
    }

    fn dispatch(
        &mut self,
        key: RequestKey,
        attempt: AttemptId,
        target: TargetName,
        resume: Option<(AttemptId, u32)>,
    ) {
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let Some(slot) = self.requests.get(&key) else {
            return;
        };
        let kind = match (resume, &slot.payload) {
            (Some((stream, from)), _) => PlanKind::Resume { stream, from },
            (
                None,
                RequestPayload::Completion {
                    path,
                    body,
                    blocks,
                    priority,
                },
            ) => PlanKind::Completion {
                path,
                body: body.clone(),
                blocks: blocks.clone(),
                priority: *priority,
            },
            (
                None,
                RequestPayload::Plain {
                    method,
                    path,
                    headers,
                    body,
                },
            ) => PlanKind::Plain {
                method: method.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.clone(),
            },
        };
        let slot = AttemptSlot {
            key,
            head: None,
            collected: Vec::new(),
        };
        self.attempts.insert(attempt, slot);
        self.pools.start(
            address,
            AttemptPlan {
                attempt,
                target,
                kind,
            },
        );
    }

    fn cancel(&mut self, attempt: AttemptId, target: &TargetName) {
        self.pools.abort(attempt);
        let is_stream = self
            .attempts
            .remove(&attempt)
            .and_then(|slot| self.requests.get(&slot.key))
            .is_some_and(|slot| matches!(slot.payload, RequestPayload::Completion { .. }));
        let Some(address) = self.address_of(target).filter(|_| is_stream) else {
            return;
        };
        let client = self.pools.client(address);
        actix_rt::spawn(async move {
            // A lost cancellation costs the engine some work, but no answer.
            let _ = management::cancel_stream(&client, address, attempt, CANCEL_TIMEOUT).await;
        });
    }

    /// Takes a report of an attempt.
    pub(crate) fn take_update(&mut self, update: AttemptUpdate, context: &mut Context<Self>) {
        let attempt = update.attempt;
        let Some(slot) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let event = match update.change {
            AttemptChange::Sent => RequestEvent::AttemptSent { attempt },
            AttemptChange::Head(head) => {
                slot.head = Some(head);
                RequestEvent::AttemptHead { attempt }
            }
            AttemptChange::Chunk { index, data } => {
                let collects = self
                    .requests
                    .get(&slot.key)
                    .is_some_and(|slot| slot.collects);
                if collects && slot.collected.len() + data.len() <= COLLECTED_MAX {
                    slot.collected.extend_from_slice(&data);
                }
                RequestEvent::AttemptChunk {
                    attempt,
                    index,
                    data,
                }
            }
            AttemptChange::Ended(result) => {
                self.pools.forget(attempt);
                RequestEvent::AttemptEnded {
                    attempt,
                    end: end_of(result),
                }
            }
        };
        self.feed_request(event, context);
    }

    fn deliver_head(&mut self, key: RequestKey, attempt: AttemptId, context: &mut Context<Self>) {
        let head = self
            .attempts
            .get(&attempt)
            .and_then(|slot| slot.head.clone());
        if let Some(head) = head {
            self.send_part(key, AnswerPart::Head(head), context);
        }
    }

    /// Sends a part to the caller; a caller that has gone or reads too slowly loses its request.
    fn send_part(&mut self, key: RequestKey, part: AnswerPart, context: &mut Context<Self>) {
        let Some(slot) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(answer) = &slot.answer else { return };
        if answer.send(part).is_some_and(|unread| unread <= UNREAD_MAX) {
            return;
        }
        slot.answer = None;
        let event = HostEvent::Request(RequestEvent::CallerGone { key });
        context.notify(TaskEvent(event));
    }

    fn end_answer(&mut self, key: RequestKey, part: AnswerPart) {
        let answer = self
            .requests
            .get_mut(&key)
            .and_then(|slot| slot.answer.take());
        if let Some(answer) = answer {
            answer.send(part);
        }
    }

    fn replay(&mut self, key: RequestKey) {
        let Some(slot) = self.requests.get_mut(&key) else {
            return;
        };
        let (Some(answer), Some(stored)) = (slot.answer.take(), &slot.stored) else {
            return;
        };
        let (head, data) = stored.parts();
        answer.send(AnswerPart::Head(Box::new(head)));
        let attempt = AttemptId::default();
        let target = TargetName::new("");
        answer.send(AnswerPart::Chunk {
            attempt,
            target,
            index: 0,
            data,
        });
        answer.send(AnswerPart::Finished);
    }

    /// Logs an ended request and forgets it.
    fn measure(&mut self, key: RequestKey, sample: &RequestSample) {
        let Some(slot) = self.requests.remove(&key) else {
            return;
        };
        self.attempts.retain(|_, attempt| attempt.key != key);
        log::info!(
            "request {} tenant {} class {} outcome {}",
            slot.id,
            sample.tenant,
            sample.class,
            sample.outcome.as_str()
        );
    }

    fn probe(&mut self, target: TargetName, context: &mut Context<Self>) {
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let timeout = Duration::from_millis(self.settings.requests.probe_timeout_ms.as_ms());
        let actor = context.address();
        actix_rt::spawn(async move {
            let alive = management::probe(address, timeout).await;
            let event = RequestEvent::ProbeAnswered { target, alive };
            actor.do_send(TaskEvent(HostEvent::Request(event)));
        });
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
                Some(StoredAnswer::new(head, &slot.collected))
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

    fn ask_record(
        &mut self,
        key: RequestKey,
        row: &str,
        target: &TargetName,
        context: &mut Context<Self>,
    ) {
        let Some(address) = self.address_of(target) else {
            return;
        };
        let client = self.pools.client(address);
        let timeout = Duration::from_millis(self.settings.platform.table_timeout_ms.as_ms());
        let record_key = row.rsplit('/').next().unwrap_or(row).to_owned();
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

fn end_of(result: AttemptResult) -> AttemptEnd {
    match result {
        AttemptResult::Complete => AttemptEnd::Complete,
        AttemptResult::Refused {
            status,
            retry_after,
        } => AttemptEnd::Refused {
            status,
            retry_after: retry_after.map(ClockTime::from_secs),
        },
        AttemptResult::NotSent => AttemptEnd::Failed {
            reach: FailureReach::NotSent,
            broken: false,
        },
        AttemptResult::Broken => AttemptEnd::Failed {
            reach: FailureReach::MaybeRun,
            broken: true,
        },
        AttemptResult::Gone => AttemptEnd::Gone,
    }
}
