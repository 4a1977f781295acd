//! Delivery of answers to callers: as one document, as a stream of events, or forwarded unchanged.

use crate::actor::HostActor;
use crate::answer::{AnswerPart, AnswerReceiver};
use crate::callers::CallerState;
use crate::completion::JoinedAnswer;
use crate::intake::forwarded_headers;
use crate::problem::CallerProblem;
use crate::resume::ResumeKey;
use crate::submit::CallerDisconnected;
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;
use std::time::Duration;

/// An answer that is being delivered. Dropping it early tells the actor that the caller
/// disconnected.
pub(crate) struct CallerAnswer {
    pub(crate) key: RequestKey,
    pub(crate) actor: Addr<HostActor>,
    pub(crate) parts: AnswerReceiver,
    /// Whether the last part has been received.
    pub(crate) ended: bool,
}

impl CallerAnswer {
    async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.next().await;
        self.ended = matches!(
            part,
            None | Some(AnswerPart::Finished | AnswerPart::Refused(_))
        );
        part
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        if !self.ended {
            self.actor.do_send(CallerDisconnected { key: self.key });
        }
    }
}

/// Waits for the complete answer and returns it as one JSON document.
pub(crate) async fn join_answer(
    mut answer: CallerAnswer,
    id: RequestId,
) -> Result<HttpResponse, CallerProblem> {
    let mut joined = JoinedAnswer::default();
    loop {
        match answer.next().await {
            Some(AnswerPart::Head(_)) => {}
            Some(AnswerPart::Chunk { data, .. }) => {
                if !joined.add_chunk(&data) {
                    return Err(malformed_answer(&id));
                }
            }
            Some(AnswerPart::Finished) => break,
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            None => return Err(stopping()),
        }
    }
    Ok(HttpResponse::Ok()
        .insert_header(("x-request-id", id.to_string()))
        .json(joined.into_json()))
}

/// Waits for the first chunk, so that an early refusal gets its own HTTP status, then streams the
/// answer as server-sent events.
pub(crate) async fn stream_answer(
    state: &CallerState,
    mut answer: CallerAnswer,
    id: RequestId,
    tenant: TenantName,
) -> Result<HttpResponse, CallerProblem> {
    let first = loop {
        match answer.next().await {
            Some(AnswerPart::Head(_)) => {}
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            Some(part) => break part,
            None => return Err(stopping()),
        }
    };
    let stream = EventStream {
        answer,
        id: id.clone(),
        tenant,
        resume_key: state.resume_key.clone(),
        keepalive_interval: state.keepalive_interval,
        pending_part: Some(first),
    };
    let body = futures_util::stream::unfold(stream, |mut stream| async move {
        let part = stream.next_event().await?;
        Some((Ok::<_, std::io::Error>(part), stream))
    });
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-cache"))
        .insert_header(("x-request-id", id.to_string()))
        .streaming(body))
}

/// The server-sent events of one answer.
struct EventStream {
    answer: CallerAnswer,
    id: RequestId,
    tenant: TenantName,
    resume_key: ResumeKey,
    keepalive_interval: Duration,
    /// First part, which was received before the stream began.
    pending_part: Option<AnswerPart>,
}

impl EventStream {
    async fn next_event(&mut self) -> Option<Bytes> {
        if self.answer.ended && self.pending_part.is_none() {
            return None;
        }
        let part = match self.pending_part.take() {
            Some(part) => part,
            None => {
                match actix_rt::time::timeout(self.keepalive_interval, self.answer.next()).await {
                    // A comment shows both ends that an idle connection is alive.
                    Err(_) => return Some(Bytes::from_static(b": keep-alive\n\n")),
                    Ok(part) => part?,
                }
            }
        };
        Some(self.encode(part))
    }

    fn encode(&self, part: AnswerPart) -> Bytes {
        match part {
            AnswerPart::Head(_) => Bytes::new(),
            AnswerPart::Chunk {
                attempt,
                target,
                index,
                data,
            } => {
                let token = self
                    .resume_key
                    .make_token(&self.tenant, attempt, &target, index);
                let mut event = Vec::with_capacity(token.len() + data.len() + 14);
                event.extend_from_slice(b"id: ");
                event.extend_from_slice(token.as_bytes());
                event.extend_from_slice(b"\ndata: ");
                event.extend_from_slice(&data);
                event.extend_from_slice(b"\n\n");
                Bytes::from(event)
            }
            AnswerPart::Finished => Bytes::from_static(b"data: [DONE]\n\n"),
            AnswerPart::Refused(refusal) => {
                let problem = CallerProblem::from_refusal(&refusal, &self.id);
                let error = serde_json::json!({
                    "error": {
                        "message": problem.detail,
                        "type": "crocusyard",
                        "code": problem.code,
                        "outcome": problem.outcome.as_str(),
                        "request_id": self.id.to_string(),
                    }
                });
                Bytes::from(format!("data: {error}\n\n"))
            }
        }
    }
}

/// Waits for the head of a plain answer and forwards the rest unchanged.
pub(crate) async fn forward_answer(
    mut answer: CallerAnswer,
    id: RequestId,
) -> Result<HttpResponse, CallerProblem> {
    let head = loop {
        match answer.next().await {
            Some(AnswerPart::Head(head)) => break head,
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            Some(_) => {}
            None => return Err(stopping()),
        }
    };
    let mut response = HttpResponse::build(head.status);
    for (name, value) in forwarded_headers(&head.headers) {
        response.append_header((name, value));
    }
    response.insert_header(("x-request-id", id.to_string()));
    let body = futures_util::stream::unfold(answer, |mut answer| async move {
        if answer.ended {
            return None;
        }
        match answer.next().await {
            Some(AnswerPart::Chunk { data, .. }) => Some((Ok(data), answer)),
            Some(AnswerPart::Finished) => None,
            // An error closes the connection without the last chunk, so that the caller can tell a
            // partial answer from a complete one.
            _ => Some((
                Err(std::io::Error::other(
                    "the target's answer ended before it was complete",
                )),
                answer,
            )),
        }
    });
    Ok(response.streaming(body))
}

fn malformed_answer(id: &RequestId) -> CallerProblem {
    CallerProblem {
        status: StatusCode::BAD_GATEWAY,
        code: "malformed_answer",
        outcome: RequestOutcome::Unknown,
        detail: "the target's answer is malformed: a chunk is not JSON".to_owned(),
        retry_after: None,
        request_id: Some(id.clone()),
    }
}

pub(crate) fn stopping() -> CallerProblem {
    CallerProblem {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "stopping",
        outcome: RequestOutcome::Unknown,
        detail: "the host is stopping".to_owned(),
        retry_after: Some(ClockTime::from_secs(1)),
        request_id: None,
    }
}
