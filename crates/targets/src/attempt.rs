//! One attempt: sends a request to a target and reports its answer part by part.

use crate::pool::UpdateSender;
use awc::error::SendRequestError;
use awc::http::{header::HeaderMap, Method, StatusCode};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_transport::prelude::*;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";
/// Time in which the answer must end after its end mark; the last bytes usually come with the mark.
const REST_TIMEOUT: Duration = Duration::from_millis(500);

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
        /// Whether the answer is recorded for repeats; a 503 then counts as a refusal and is not
        /// passed on.
        recorded: bool,
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
    /// The connection was refused; nothing was sent.
    NotSent,
    /// The target could not be reached, which is no proof that nothing was sent.
    Unreached,
    /// The connection broke after bytes were sent.
    Broken,
    /// The engine no longer has the stream.
    Gone,
}

impl AttemptResult {
    /// Returns how an attempt ended whose send failed.
    pub fn from_send_error(error: &SendRequestError) -> Self {
        if proves_unsent(error) {
            Self::NotSent
        } else if suggests_unconnected(error) {
            Self::Unreached
        } else {
            Self::Broken
        }
    }
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum AttemptChange {
    /// A connection stood, so bytes were sent. It is known only once the answer or an error is
    /// there; until then an attempt counts as sent.
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
    let mut response = match send(&client, address, &plan).await {
        Ok(response) => response,
        Err(error) => {
            let result = AttemptResult::from_send_error(&error);
            if result != AttemptResult::NotSent {
                report(AttemptChange::Sent);
            }
            return report(AttemptChange::Ended(result));
        }
    };
    report(AttemptChange::Sent);
    let result = read_answer(&mut response, &plan.kind, &report).await;
    report(AttemptChange::Ended(result));
    let is_stream = !matches!(plan.kind, PlanKind::Plain { .. });
    // A plain answer was read to its end already; the HTTP library panics if it is read further.
    if is_stream && matches!(result, AttemptResult::Complete { .. }) {
        read_rest(response).await;
    }
}

/// Reads what follows the end mark of a stream. Only a connection whose answer was read to its end
/// goes back to the pool.
async fn read_rest(mut response: EngineResponse) {
    let rest = async { while let Some(Ok(_)) = response.next().await {} };
    // A target that keeps the answer open after its end mark loses the connection.
    let _ = actix_rt::time::timeout(REST_TIMEOUT, rest).await;
}

async fn read_answer(
    response: &mut EngineResponse,
    kind: &PlanKind,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    match kind {
        PlanKind::Plain { recorded, .. } => pass_through(response, *recorded, report).await,
        PlanKind::Resume { from, .. } => read_stream(response, *from, report).await,
        PlanKind::Completion { .. } => read_stream(response, 0, report).await,
    }
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
            ..
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

fn refusal(response: &EngineResponse) -> AttemptResult {
    let retry_after = response.headers().get("retry-after");
    AttemptResult::Refused {
        status: response.status().as_u16(),
        retry_after: retry_after.and_then(|value| value.to_str().ok()?.parse().ok()),
    }
}

async fn pass_through(
    response: &mut EngineResponse,
    recorded: bool,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    if recorded && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return refusal(response);
    }
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
    response: &mut EngineResponse,
    first: u32,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::GONE => return AttemptResult::Gone,
        _ => return refusal(response),
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
