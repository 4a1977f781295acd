//! Performs the reducer's effects, and turns what the targets report into events.

use crate::actor::{AttemptSlot, HostActor};
use crate::answer::AnswerPart;
use crate::submit::RequestPayload;
use actix::{AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_logging::prelude::*;
use crocusyard_metrics::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_targets::management;
use crocusyard_targets::prelude::*;
use std::time::Duration;

/// Largest number of unread answer bytes; the request of a caller that reads more slowly is
/// dropped.
const MAX_UNREAD_BYTES: usize = 8 << 20;
/// Largest body that is collected for a record, bytes. A longer answer is not replayed.
const MAX_COLLECTED: usize = 4 << 20;
/// Timeout of a cancellation at the engine. Nothing waits for its end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// An event that a local task sends to the reducer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct TaskEvent(pub(crate) HostEvent);

impl Handler<TaskEvent> for HostActor {
    type Result = ();

    fn handle(&mut self, event: TaskEvent, context: &mut Self::Context) {
        self.apply_event(event.0, context);
    }
}

impl HostActor {
    /// Performs one effect.
    pub(crate) fn perform_effect(&mut self, effect: HostEffect, context: &mut Context<Self>) {
        match effect {
            HostEffect::Request(effect) => self.perform_request(effect, context),
            HostEffect::Preset(effect) => self.perform_preset(effect, context),
            HostEffect::Move(effect) => self.perform_move(effect, context),
            HostEffect::SendPacket {
                recipient,
                address,
                packet,
            } => {
                self.send_packet(&recipient, address, &packet);
            }
            HostEffect::CatalogInForce {
                version,
                preset,
                catalog,
            } => {
                log::info!("the catalogue of version {version} is in force with preset {preset}");
                self.publish_catalog(catalog);
            }
            HostEffect::StartDrain => self.request_drain(),
            HostEffect::PauseDetected(gap) => log::warn!("the process was paused for {gap}"),
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
                self.start_attempt(key, attempt, target, resume);
            }
            RequestEffect::CancelAttempt { attempt, target } => self.cancel(attempt, &target),
            RequestEffect::CloseAttempt { attempt, .. } => {
                self.pools.abort(attempt);
            }
            RequestEffect::DeliverHead { key, attempt } => self.deliver_head(key, attempt, context),
            RequestEffect::DeliverChunk {
                key,
                attempt,
                target,
                index,
                data,
            } => {
                self.record_token(key);
                let part = AnswerPart::Chunk {
                    attempt,
                    target,
                    index,
                    data,
                };
                self.send_part(key, part, context);
            }
            RequestEffect::Finish { key } => self.finish_answer(key, AnswerPart::Finished),
            RequestEffect::Refuse { key, refusal } => {
                self.finish_answer(key, AnswerPart::Refused(refusal));
            }
            RequestEffect::Replay { key } => self.replay_answer(key),
            RequestEffect::EmitSample { key, sample } => self.record_request(key, &sample),
            RequestEffect::Probe { target } => self.probe_target(target, context),
            RequestEffect::ClosePool { target } => {
                if let Some(address) = self.address_of(&target) {
                    self.pools.close(address);
                }
            }
            effect => self.perform_claim(effect, context),
        }
    }

    fn start_attempt(
        &mut self,
        key: RequestKey,
        attempt: AttemptId,
        target: TargetName,
        resume: Option<(AttemptId, u32)>,
    ) {
        let now = self.now();
        self.poll_schedule.record_used(now, &target);
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
                recorded: slot.collects_answer && slot.payload.record_key().is_some(),
            },
        };
        let slot = AttemptSlot {
            key,
            head: None,
            collected: Some(Vec::new()),
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
            // A lost cancellation only costs the engine some work; no answer depends on it.
            let _ = management::cancel_stream(&client, address, attempt, CANCEL_TIMEOUT).await;
        });
    }

    /// Turns an attempt's update into an event and applies it.
    pub(crate) fn apply_update(&mut self, update: AttemptUpdate, context: &mut Context<Self>) {
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
                let collects_answer = self
                    .requests
                    .get(&slot.key)
                    .is_some_and(|slot| slot.collects_answer);
                if collects_answer {
                    append_collected(&mut slot.collected, &data);
                }
                RequestEvent::AttemptChunk {
                    attempt,
                    index,
                    data,
                }
            }
            AttemptChange::Ended(result) => {
                self.pools.remove(attempt);
                RequestEvent::AttemptEnded {
                    attempt,
                    end: attempt_end(result),
                }
            }
        };
        self.apply_request_event(event, context);
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

    /// Records the time since the last token of a stream in the metrics.
    fn record_token(&mut self, key: RequestKey) {
        let now = self.now();
        let Some(slot) = self.requests.get_mut(&key) else {
            return;
        };
        if !matches!(slot.payload, RequestPayload::Completion { .. }) {
            return;
        }
        if let Some(last) = slot.last_token_at.replace(now) {
            self.metrics.record_token_gap(&slot.labels, now.since(last));
        }
    }

    /// Sends a part to the caller. A caller that has left or reads too slowly counts as
    /// disconnected.
    fn send_part(&mut self, key: RequestKey, part: AnswerPart, context: &mut Context<Self>) {
        let Some(slot) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(answer) = &slot.answer else { return };
        if answer
            .send(part)
            .is_some_and(|unread| unread <= MAX_UNREAD_BYTES)
        {
            return;
        }
        slot.answer = None;
        let event = HostEvent::Request(RequestEvent::CallerDisconnected { key });
        context.notify(TaskEvent(event));
    }

    /// Sends the last part of an answer and closes its channel.
    fn finish_answer(&mut self, key: RequestKey, part: AnswerPart) {
        let answer = self
            .requests
            .get_mut(&key)
            .and_then(|slot| slot.answer.take());
        if let Some(answer) = answer {
            answer.send(part);
        }
    }

    /// Sends the recorded answer of an earlier call as the answer to this one.
    fn replay_answer(&mut self, key: RequestKey) {
        let Some(slot) = self.requests.get_mut(&key) else {
            return;
        };
        let (Some(answer), Some(stored_answer)) = (slot.answer.take(), &slot.stored_answer) else {
            return;
        };
        let (head, data) = stored_answer.to_parts();
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

    /// Adds a request to the metrics and the log when its answer has ended, and removes it.
    ///
    /// A claimed call may continue without its caller; it is kept until its answer is recorded.
    fn record_request(&mut self, key: RequestKey, sample: &RequestSample) {
        let Some(slot) = self.requests.get(&key) else {
            return;
        };
        record_sample(&self.metrics, &slot.labels, sample);
        let step = if sample.code.is_some() {
            RequestStep::Refused
        } else {
            RequestStep::Ended
        };
        let fields = RequestFields {
            request_id: &slot.id,
            tenant: &sample.tenant,
            class: &sample.class,
            target: sample.target.as_ref(),
            outcome: Some(sample.outcome.as_str()),
        };
        log_request(log::Level::Info, module_path!(), step, &fields);
        if self.state.requests.is_in_progress(key) {
            self.detached_requests.insert(key);
        } else {
            self.remove_request(key);
        }
    }

    /// Removes the detached calls that have ended.
    pub(crate) fn remove_ended_detached(&mut self) {
        let requests = &self.state.requests;
        let is_ended = |key: &RequestKey| !requests.is_in_progress(*key);
        let ended: Vec<_> = self
            .detached_requests
            .iter()
            .copied()
            .filter(is_ended)
            .collect();
        for key in ended {
            self.detached_requests.remove(&key);
            self.remove_request(key);
        }
    }

    fn remove_request(&mut self, key: RequestKey) {
        self.requests.remove(&key);
        self.attempts.retain(|_, attempt| attempt.key != key);
    }

    fn probe_target(&mut self, target: TargetName, context: &mut Context<Self>) {
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let timeout = Duration::from_millis(self.settings.requests.probe_timeout_ms.as_ms());
        let actor = context.address();
        actix_rt::spawn(async move {
            let alive = management::probe(address, timeout).await;
            let event = RequestEvent::ProbeEnded { target, alive };
            actor.do_send(TaskEvent(HostEvent::Request(event)));
        });
    }
}

/// Appends a chunk to the body that is collected for a record. A body that grows too large is
/// dropped, because a partial body must never be replayed as the complete answer.
fn append_collected(collected: &mut Option<Vec<u8>>, data: &[u8]) {
    match collected {
        Some(body) if body.len() + data.len() <= MAX_COLLECTED => body.extend_from_slice(data),
        _ => *collected = None,
    }
}

fn record_sample(metrics: &MetricSet, labels: &RequestLabels, sample: &RequestSample) {
    metrics.record_queue_time(labels, sample.queue_time);
    if let Some(first) = sample.time_to_first_chunk {
        metrics.record_first_token(labels, first);
    }
    for attempt in 0..sample.attempts {
        // `record_retry` counts the retry as an attempt as well.
        match attempt {
            0 => metrics.record_attempt(),
            _ => metrics.record_retry(),
        }
    }
    if let Some(code) = sample.code {
        metrics.record_refusal(code.as_str());
    }
    let outcome = match sample.outcome {
        RequestOutcome::Completed => OutcomeLabel::Completed,
        RequestOutcome::NotRun => OutcomeLabel::NotRun,
        RequestOutcome::Unknown => OutcomeLabel::Unknown,
    };
    metrics.record_end(labels, outcome, sample.total_time);
}

fn attempt_end(result: AttemptResult) -> AttemptEnd {
    match result {
        AttemptResult::Complete { chunks } => AttemptEnd::CompleteWith { chunks },
        AttemptResult::Refused {
            status,
            retry_after,
        } => AttemptEnd::Refused {
            status,
            retry_after: retry_after.map(ClockTime::from_secs),
        },
        AttemptResult::NotSent => AttemptEnd::Failed {
            send_status: SendStatus::NotSent,
            connection_reset: false,
        },
        AttemptResult::Unreached => AttemptEnd::Failed {
            send_status: SendStatus::MaybeSent,
            connection_reset: false,
        },
        AttemptResult::Broken => AttemptEnd::Failed {
            send_status: SendStatus::MaybeSent,
            connection_reset: true,
        },
        AttemptResult::Gone => AttemptEnd::StreamGone,
    }
}
