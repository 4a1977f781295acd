//! An attempt: sends one request to one target and reports the answer chunk by chunk.

use crate::pool::UpdateSender;
use awc::error::{PayloadError, SendRequestError};
use awc::http::{header::HeaderMap, Method, StatusCode};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use crocusyard_base::http_status::is_final_status;
use crocusyard_base::prelude::*;
use crocusyard_transport::prelude::*;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Data of the event that marks the end of a stream.
const STREAM_END: &str = "[DONE]";
/// Time within which an answer must end after the event that marks the end of its stream; the last
/// bytes usually arrive together with that event.
const TRAILING_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest event of a stream, bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Request that an attempt sends.
#[derive(Clone, Debug)]
pub enum PlanKind {
    /// A completion, which the engine answers by a stream of events.
    Completion {
        /// Path of the engine's route for chat or for text completions.
        path: &'static str,
        /// Request body, in JSON, which asks for a stream.
        body: Bytes,
        /// Hashes of the blocks of the prompt, separated by commas.
        blocks: Arc<str>,
        /// Priority; the engine runs requests with a lower number first.
        priority: u8,
    },
    /// The rest of a stream that the engine has kept since its connection broke.
    Resume {
        /// Attempt that started the stream; its id is the name of the stream.
        stream: AttemptId,
        /// Position of the first chunk to send.
        from: u32,
    },
    /// A call to a plain service, whose answer is passed through.
    Plain {
        /// HTTP method of the call.
        method: Method,
        /// Path and query of the call.
        path: Arc<str>,
        /// Headers of the caller's request that are passed on.
        headers: Arc<HeaderMap>,
        /// Request body, as the caller sent it.
        body: Bytes,
        /// Whether the answer is recorded to be replayed when the call is repeated; a 503 then counts
        /// as a refusal and is not passed on.
        recorded: bool,
    },
}

/// An attempt to start.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Target that the request is sent to.
    pub target: TargetName,
    /// Request to send.
    pub kind: PlanKind,
}

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as the target sent them.
    pub headers: HeaderMap,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer is complete.
    Complete {
        /// Number of chunks of the whole answer, including those sent before a resume.
        chunks: u32,
    },
    /// The target refused the request.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// `Retry-After` header of the refusal, seconds; `None` if it is missing or not a number.
        retry_after: Option<u64>,
    },
    /// The connection was refused; nothing was sent.
    NotSent,
    /// The target could not be reached; this does not prove that nothing was sent.
    Unreached,
    /// The connection broke after bytes were sent, or the answer ended too early.
    Broken,
    /// The engine no longer has the stream to resume.
    Gone,
}

impl AttemptResult {
    /// Returns the result of an attempt whose request could not be sent or got no answer.
    pub fn from_send_error(error: &SendRequestError) -> Self {
        if proves_unsent(error) {
            Self::NotSent
        } else if suggests_unreachable(error) {
            Self::Unreached
        } else {
            Self::Broken
        }
    }
}

/// Progress of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptChange {
    /// The connection was established, so bytes may have been sent. Reported only with the answer or
    /// an error; until then an attempt counts as sent.
    Sent,
    /// The head of the answer arrived.
    Head(Box<ResponseHead>),
    /// A chunk of the answer arrived.
    Chunk {
        /// Position of the chunk in the whole answer, from 0.
        index: u32,
        /// Data of the stream event, or bytes of a plain answer.
        data: Bytes,
    },
    /// The attempt ended; no further update follows.
    Ended(AttemptResult),
}

/// A step of an attempt, as reported to the request reducer.
#[derive(Clone, Debug)]
pub struct AttemptUpdate {
    /// Attempt that the update is about.
    pub attempt: AttemptId,
    /// Progress of the attempt.
    pub change: AttemptChange,
}

/// Runs an attempt to its end and reports each step.
pub(crate) async fn run_attempt(
    client: Client,
    address: SocketAddr,
    plan: AttemptPlan,
    updates: UpdateSender,
) {
    let attempt = plan.attempt;
    let report = move |change| {
        // The receiver is dropped only when the process stops.
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
    if !is_final_status(response.status().as_u16()) {
        return report(AttemptChange::Ended(AttemptResult::Broken));
    }
    let result = read_answer(&mut response, &plan.kind, &report).await;
    report(AttemptChange::Ended(result));
    let is_stream = !matches!(plan.kind, PlanKind::Plain { .. });
    // A plain answer has been read to its end already; the HTTP library panics if it is read again.
    if is_stream && matches!(result, AttemptResult::Complete { .. }) {
        read_trailing(response).await;
    }
}

/// Reads the bytes that follow the event that marks the end of a stream, because a connection goes
/// back to the pool only after its answer was read to the end.
async fn read_trailing(mut response: TargetResponse) {
    let trailing = async { while let Some(Ok(_)) = response.next().await {} };
    // The connection is dropped if the target does not end the answer in time.
    let _ = actix_rt::time::timeout(TRAILING_TIMEOUT, trailing).await;
}

/// Reports the answer to a request of a kind, and returns how the attempt ended.
async fn read_answer(
    response: &mut TargetResponse,
    kind: &PlanKind,
    report: &impl Fn(AttemptChange),
) -> AttemptResult {
    match kind {
        PlanKind::Plain { recorded, .. } => pass_through(response, *recorded, report).await,
        PlanKind::Resume { from, .. } => read_stream(response, *from, report).await,
        PlanKind::Completion { .. } => read_stream(response, 0, report).await,
    }
}

/// Answer of an engine or a plain service.
type TargetResponse = ClientResponse;

/// Sends the request of a plan and waits for the head of the answer.
async fn send(
    client: &Client,
    address: SocketAddr,
    plan: &AttemptPlan,
) -> Result<TargetResponse, SendRequestError> {
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

/// Returns the result for an answer that refuses the request.
fn refusal(response: &TargetResponse) -> AttemptResult {
    let retry_after = response.headers().get("retry-after");
    AttemptResult::Refused {
        status: response.status().as_u16(),
        retry_after: retry_after.and_then(|value| value.to_str().ok()?.parse().ok()),
    }
}

/// Reports the answer of a plain service unchanged.
async fn pass_through(
    response: &mut TargetResponse,
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

/// Reports the events of an engine's stream, of which the first has the position `first`.
async fn read_stream(
    response: &mut TargetResponse,
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
    let mut length = EventLength::default();
    let pieces = response.map(move |piece| match piece {
        Ok(piece) if length.add(&piece) > MAX_EVENT_BYTES => Err(PayloadError::Overflow),
        piece => piece,
    });
    let mut events = pieces.eventsource();
    let mut next = first;
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return AttemptResult::Broken;
        };
        if event.data == STREAM_END {
            return AttemptResult::Complete { chunks: next };
        }
        // Engines that do not number their events send them in order, without gaps.
        let index = event.id.parse().unwrap_or(next);
        next = index + 1;
        report(AttemptChange::Chunk {
            index,
            data: Bytes::from(event.data),
        });
    }
    AttemptResult::Broken
}

/// Length of the event of a stream that has not ended yet.
#[derive(Default)]
struct EventLength {
    bytes: usize,
    /// Whether the last byte ended a line.
    ended_line: bool,
}

impl EventLength {
    /// Adds received bytes; returns the length of the event that they leave incomplete.
    fn add(&mut self, piece: &[u8]) -> usize {
        for byte in piece {
            self.bytes += 1;
            match byte {
                b'\r' => {}
                b'\n' => {
                    // An empty line ends an event.
                    if self.ended_line {
                        self.bytes = 0;
                    }
                    self.ended_line = true;
                }
                _ => self.ended_line = false,
            }
        }
        self.bytes
    }
}
