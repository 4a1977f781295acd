//! One attempt of a request at one target.

use crate::clock;
use crate::shell::EdgeShell;
use bytes::Bytes;
use crocusyard_adapter::headers::attempt_headers;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::*;
use crocusyard_serving::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, CONTENT_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Time that is kept back from a target's deadline, so that its own 504 arrives in time.
const DEADLINE_MARGIN: ClockTime = ClockTime::from_ms(10);
/// Attempt of an idempotent call that is given up, in latency aims; then another target is tried.
const SILENCE_AIMS: f64 = 4.0;
/// Shortest time after which such an attempt is given up.
const SILENCE_MIN: ClockTime = ClockTime::from_ms(300);

/// A caller's request, read whole.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) call: Rc<CallInfo>,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// A whole answer.
    Whole { head: Response<()>, body: Bytes },
    /// The head of a stream.
    Stream {
        answer: Response<Incoming>,
        conn: PooledConn,
    },
    /// Another outcome.
    Ended(AttemptOutcome),
}

/// Sends a request to a target and reads its answer, or the head of a stream.
pub(crate) async fn attempt(
    shell: &EdgeShell,
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
) -> AttemptResult {
    let call = &request.call;
    let left = call.deadline.since(clock::now());
    let silence = silence_limit(call, left);
    let exchange = exchange(shell, request, plan, last_event, silence);
    let limit = Duration::from_millis(silence.as_ms());
    match actix_rt::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) if silence < left => AttemptResult::Ended(lost(false)),
        Err(_) => AttemptResult::Ended(AttemptOutcome::Expired),
    }
}

/// Time after which an attempt without an answer is given up.
fn silence_limit(call: &CallInfo, left: ClockTime) -> ClockTime {
    if call.route.kind == CallKind::Idempotent && call.route.max_attempts > 1 {
        let limit = call
            .route
            .latency_objective
            .scale(SILENCE_AIMS)
            .max(SILENCE_MIN);
        limit.min(left)
    } else {
        left
    }
}

async fn exchange(
    shell: &EdgeShell,
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    silence: ClockTime,
) -> AttemptResult {
    let (answer, mut conn) = match send(shell, request, plan, last_event, silence).await {
        Ok(sent) => sent,
        Err(outcome) => return AttemptResult::Ended(outcome),
    };
    let status = answer.status();
    let headers = answer.headers();
    if let Some(load) = read_load(headers) {
        let target = plan.target.clone();
        shell.dispatch(ServingEvent::Load { target, load });
    }
    if says_leaving(headers) {
        conn.close_after_answer();
    }
    let mark = read_answer_seal(headers, &request.call.id);
    if !mark.matches_request || headers.contains_key(CONTENT_ENCODING) {
        return AttemptResult::Ended(lost(false));
    }
    if is_not_run(status.as_u16(), headers) {
        let outcome = AttemptOutcome::NotRun {
            full: status != StatusCode::MISDIRECTED_REQUEST,
            misplaced: status == StatusCode::MISDIRECTED_REQUEST,
        };
        if read_body(answer.into_body()).await.is_ok() {
            conn.release().await;
        }
        return AttemptResult::Ended(outcome);
    }
    if status.is_success() && !mark.sealed {
        return AttemptResult::Ended(lost(false));
    }
    let is_stream = matches!(request.call.route.kind, CallKind::Stream { .. });
    if is_stream && status.is_success() {
        return AttemptResult::Stream { answer, conn };
    }
    let (parts, body) = answer.into_parts();
    match read_body(body).await {
        Ok(body) => {
            conn.release().await;
            AttemptResult::Whole {
                head: Response::from_parts(parts, ()),
                body,
            }
        }
        Err(_) => AttemptResult::Ended(lost(true)),
    }
}

fn lost(broken: bool) -> AttemptOutcome {
    AttemptOutcome::Lost {
        broken,
        started: false,
    }
}

fn says_leaving(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Sends a request; a kept connection that closed before it was written is replaced once.
async fn send(
    shell: &EdgeShell,
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    silence: ClockTime,
) -> Result<(Response<Incoming>, PooledConn), AttemptOutcome> {
    let mut conn = shell
        .pool
        .acquire(plan.address)
        .await
        .map_err(|_| AttemptOutcome::Unsent)?;
    loop {
        let reused = conn.reused;
        let wire = wire_request(request, plan, last_event, silence);
        match conn.send(wire).await {
            Ok(answer) => return Ok((answer, conn)),
            Err(error) if error.is_unsent() && reused => {
                conn = shell
                    .pool
                    .open(plan.address)
                    .await
                    .map_err(|_| AttemptOutcome::Unsent)?;
            }
            Err(error) if error.is_unsent() => return Err(AttemptOutcome::Unsent),
            Err(SendError::Lost { malformed, .. }) => return Err(lost(!malformed)),
            Err(_) => return Err(AttemptOutcome::Unsent),
        }
    }
}

fn wire_request(
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    silence: ClockTime,
) -> Request<Full<Bytes>> {
    let call = &request.call;
    let left = call.deadline.since(clock::now()).min(silence);
    let left = left.since(DEADLINE_MARGIN).max(ClockTime::from_ms(1));
    let mut wire = Request::new(Full::new(request.body.clone()));
    *wire.method_mut() = request.method.clone();
    *wire.uri_mut() = request.uri.clone();
    *wire.headers_mut() = attempt_headers(&request.headers, call, &plan.target, left, last_event);
    wire
}
