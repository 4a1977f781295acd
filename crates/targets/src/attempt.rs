//! One attempt: sends a request to a target and reports its answer part by part.

use crate::pool::UpdateSender;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{header::HeaderMap, Method, StatusCode};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";

/// What an attempt sends.
#[derive(Clone, Debug)]
pub enum PlanKind {
    /// A completion; the engine's answer is a stream of events.
    Completion {
        /// Path, which tells chats from plain completions.
        path: &'static str,
        /// Body, which asks for a stream.
        body: Bytes,
        /// Hashes of the prompt's blocks, comma-separated.
        blocks: Arc<str>,
        /// Priority; lower runs first.
        priority: u8,
    },
    /// The rest of a stream that the engine kept.
    Resume {
        /// Attempt that started the stream.
        stream: AttemptId,
        /// First chunk wanted.
        from: u32,
    },
    /// A call to a plain service.
    Plain {
        /// Method.
        method: Method,
        /// Path and query.
        path: Arc<str>,
        /// Headers that are passed on.
        headers: Arc<HeaderMap>,
        /// Body.
        body: Bytes,
    },
}

/// An attempt that is to be made.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Attempt.
    pub attempt: AttemptId,
    /// Target.
    pub target: TargetName,
    /// What is sent.
    pub kind: PlanKind,
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer is complete and has this many chunks.
    Complete {
        /// Chunks of the whole answer.
        chunks: u32,
    },
    /// The target refused with a status.
    Refused {
        /// HTTP status.
        status: u16,
        /// `Retry-After` of the answer, seconds.
        retry_after: Option<u64>,
    },
    /// The connection could not be made; nothing was sent.
    NotSent,
    /// The connection broke after bytes were sent.
    Broken,
    /// The engine no longer has the stream.
    Gone,
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum AttemptChange {
    /// The first bytes are about to be sent.
    Sent,
    /// The head of the answer arrived.
    Head(Box<ResponseHead>),
    /// A chunk of the answer arrived.
    Chunk {
        /// Position in the whole answer.
        index: u32,
        /// Content.
        data: Bytes,
    },
    /// The attempt ended.
    Ended(AttemptResult),
}

/// A report of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptUpdate {
    /// Attempt.
    pub attempt: AttemptId,
    /// What happened.
    pub change: AttemptChange,
}

/// Runs an attempt to its end and reports every step.
pub(crate) async fn run_attempt(
    client: Client,
    address: SocketAddr,
    plan: AttemptPlan,
    updates: UpdateSender,
) {
    let attempt = plan.attempt;
    let report = move |change| {
        // The receiver is gone only when the process stops.
        let _ = updates.send(AttemptUpdate { attempt, change });
    };
    report(AttemptChange::Sent);
    let first = match &plan.kind {
        PlanKind::Resume { from, .. } => *from,
        _ => 0,
    };
    let is_plain = matches!(plan.kind, PlanKind::Plain { .. });
    let result = match send(&client, address, &plan).await {
        Err(error) => failed_send(&error),
        Ok(response) if is_plain => pass_through(response, &report).await,
        Ok(response) => read_stream(response, first, &report).await,
    };
    report(AttemptChange::Ended(result));
}

type EngineResponse = ClientResponse;

async fn send(
    client: &Client,
    address: SocketAddr,
    plan: &AttemptPlan,
) -> Result<EngineResponse, SendRequestError> {
    match &plan.kind {
        PlanKind::Completion {
            path,
            body,
            blocks,
            priority,
        } => {
            client
                .post(format!("http://{address}{path}"))
                .insert_header(("content-type", "application/json"))
                .insert_header(("x-attempt-id", plan.attempt.to_string()))
                .insert_header(("x-prefix-blocks", blocks.to_string()))
                .insert_header(("x-priority", priority.to_string()))
                .send_body(body.clone())
                .await
        }
        PlanKind::Resume { stream, from } => {
            client
                .get(format!("http://{address}/v1/streams/{stream}?from={from}"))
                .send()
                .await
        }
        PlanKind::Plain {
            method,
            path,
            headers,
            body,
        } => {
            let request = client.request(method.clone(), format!("http://{address}{path}"));
            with_headers(request, headers).send_body(body.clone()).await
        }
    }
}

fn with_headers(mut request: ClientRequest, headers: &HeaderMap) -> ClientRequest {
    for (name, value) in headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    request
}

/// Only errors from before a connection stood prove that nothing was sent.
///
/// awc reports a connection that closes before the head of the answer as `Disconnected`, although
/// the request was sent.
fn failed_send(error: &SendRequestError) -> AttemptResult {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptResult::Broken,
        SendRequestError::Url(_) | SendRequestError::Connect(_) => AttemptResult::NotSent,
        _ => AttemptResult::Broken,
    }
}

async fn pass_through(
    mut response: EngineResponse,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    let head = ResponseHead {
        status: response.status(),
        headers: response.headers().clone(),
    };
    report(AttemptChange::Head(Box::new(head)));
    let mut index = 0;
    while let Some(part) = response.next().await {
        let Ok(data) = part else {
            return AttemptResult::Broken;
        };
        report(AttemptChange::Chunk { index, data });
        index += 1;
    }
    AttemptResult::Complete { chunks: index }
}

async fn read_stream(
    response: EngineResponse,
    first: u32,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::GONE => return AttemptResult::Gone,
        status => {
            let retry_after = response
                .headers()
                .get("retry-after")
                .and_then(|value| value.to_str().ok()?.parse().ok());
            return AttemptResult::Refused {
                status: status.as_u16(),
                retry_after,
            };
        }
    }
    let head = ResponseHead {
        status: response.status(),
        headers: response.headers().clone(),
    };
    report(AttemptChange::Head(Box::new(head)));
    let mut events = response.eventsource();
    let mut next = first;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return AttemptResult::Broken;
        };
        if event.data == STREAM_END {
            return AttemptResult::Complete { chunks: next };
        }
        // Engines that do not number their events send them in order.
        let index = event.id.parse().unwrap_or(next);
        next = index + 1;
        report(AttemptChange::Chunk {
            index,
            data: Bytes::from(event.data),
        });
    }
    AttemptResult::Broken
}
