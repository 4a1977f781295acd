//! Carries out one attempt of a request at one target.

use crate::clock;
use crate::notices::{apply_notice, AnsweringTarget};
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

/// Time by which the deadline given to a target is shorter than the one of the request, so that the
/// target's own 504 arrives in time.
const DEADLINE_MARGIN: ClockTime = ClockTime::from_ms(10);
/// Time after which an unanswered attempt of an idempotent call is given up, in latency objectives;
/// then another target is tried.
const ANSWER_TIMEOUT_OBJECTIVES: f64 = 4.0;
/// Shortest time after which an unanswered attempt of an idempotent call is given up.
const MIN_ANSWER_TIMEOUT: ClockTime = ClockTime::from_ms(300);

/// A caller's request with its complete body.
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) call: Rc<CallInfo>,
}

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The target sent a complete answer.
    Complete { head: Response<()>, body: Bytes },
    /// The target began a stream; its body has not been read.
    Stream {
        answer: Response<Incoming>,
        conn: PooledConn,
    },
    /// The attempt ended without an answer for the caller.
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
    let time_left = call.deadline.since(clock::now());
    let answer_timeout = answer_timeout_for(call, time_left);
    let exchange = exchange(shell, request, plan, last_event, answer_timeout);
    let limit = Duration::from_millis(answer_timeout.as_ms());
    match actix_rt::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) if answer_timeout < time_left => AttemptResult::Ended(lost(false)),
        Err(_) => AttemptResult::Ended(AttemptOutcome::Expired),
    }
}

/// Returns the time after which an unanswered attempt is given up. `time_left` is the time until
/// the deadline of the request.
fn answer_timeout_for(call: &CallInfo, time_left: ClockTime) -> ClockTime {
    if call.route.kind == CallKind::Idempotent && call.route.max_attempts > 1 {
        let limit = call
            .route
            .latency_objective
            .scale(ANSWER_TIMEOUT_OBJECTIVES)
            .max(MIN_ANSWER_TIMEOUT);
        limit.min(time_left)
    } else {
        time_left
    }
}

/// Sends the request and classifies the answer.
async fn exchange(
    shell: &EdgeShell,
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    answer_timeout: ClockTime,
) -> AttemptResult {
    let (answer, mut conn) = match send(shell, request, plan, last_event, answer_timeout).await {
        Ok(sent) => sent,
        Err(outcome) => return AttemptResult::Ended(outcome),
    };
    let status = answer.status();
    let headers = answer.headers();
    let seal = read_answer_seal(headers, &request.call.id);
    let target = AnsweringTarget {
        name: &plan.target,
        incarnation: plan.incarnation,
    };
    apply_notice(
        shell,
        target,
        status.as_u16(),
        headers,
        seal.matches_request,
    );
    if let Some(load) = read_load(headers) {
        let target = plan.target.clone();
        shell.dispatch(ServingEvent::Load { target, load });
    }
    if closes_connection(headers) {
        conn.close_after_answer();
    }
    if !seal.matches_request || headers.contains_key(CONTENT_ENCODING) {
        return AttemptResult::Ended(lost(false));
    }
    if is_not_run(status.as_u16(), headers) {
        let outcome = AttemptOutcome::NotRun {
            full: status != StatusCode::MISDIRECTED_REQUEST,
            misplaced: status == StatusCode::MISDIRECTED_REQUEST,
        };
        if conn.read_body(answer.into_body()).await.is_ok() {
            conn.release().await;
        }
        return AttemptResult::Ended(outcome);
    }
    if status.is_success() && !seal.sealed {
        return AttemptResult::Ended(lost(false));
    }
    let is_stream = matches!(request.call.route.kind, CallKind::Stream { .. });
    if is_stream && status.is_success() {
        return AttemptResult::Stream { answer, conn };
    }
    let (parts, body) = answer.into_parts();
    match conn.read_body(body).await {
        Ok(body) => {
            conn.release().await;
            AttemptResult::Complete {
                head: Response::from_parts(parts, ()),
                body,
            }
        }
        Err(SendError::NoRoom) => AttemptResult::Ended(AttemptOutcome::Dropped),
        Err(error) => AttemptResult::Ended(lost(!error.is_malformed())),
    }
}

/// Outcome of an attempt of which nothing reached the target.
fn unsent(error: &SendError) -> AttemptOutcome {
    match error {
        SendError::NoSlot { .. } => AttemptOutcome::NoSlot,
        _ => AttemptOutcome::Unsent,
    }
}

/// Outcome of an attempt that may have been run and got no valid answer.
fn lost(broken: bool) -> AttemptOutcome {
    AttemptOutcome::Lost {
        broken,
        started: false,
    }
}

/// Returns whether the target closes the connection after this answer.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Sends a request. If a reused connection closed before the request was written, a new one is
/// opened, once.
async fn send(
    shell: &EdgeShell,
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    answer_timeout: ClockTime,
) -> Result<(Response<Incoming>, PooledConn), AttemptOutcome> {
    let mut conn = shell
        .pool
        .acquire(plan.address)
        .await
        .map_err(|error| unsent(&error))?;
    loop {
        // The target may have left while the connection was opened.
        if !shell.serving.borrow().targets.takes_calls(&plan.target) {
            return Err(AttemptOutcome::Unsent);
        }
        let reused = conn.reused;
        let has_tenants = shell.serving.borrow().has_tenants();
        let outgoing = attempt_request(request, plan, last_event, answer_timeout, has_tenants);
        match conn.send(outgoing).await {
            Ok(answer) => return Ok((answer, conn)),
            Err(error) if error.is_unsent() && reused => {
                conn = shell
                    .pool
                    .open(plan.address)
                    .await
                    .map_err(|error| unsent(&error))?;
            }
            Err(error) if error.is_unsent() => return Err(unsent(&error)),
            Err(error) => return Err(lost(!error.is_malformed())),
        }
    }
}

/// Builds the request of an attempt, with the deadline that the target gets.
fn attempt_request(
    request: &CallerRequest,
    plan: &AttemptPlan,
    last_event: Option<u64>,
    answer_timeout: ClockTime,
    has_tenants: bool,
) -> Request<Full<Bytes>> {
    let call = &request.call;
    let time_left = call.deadline.since(clock::now()).min(answer_timeout);
    let time_left = time_left.since(DEADLINE_MARGIN).max(ClockTime::from_ms(1));
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = attempt_headers(
        &request.headers,
        call,
        plan,
        time_left,
        last_event,
        has_tenants,
    );
    outgoing
}
