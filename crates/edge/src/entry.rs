//! Accepts connections and answers callers' requests.
//!
//! A request is registered with the reducer, which decides at each step whether to send it to a
//! target, refuse it or fail it.

use crate::attempt_log::{log_attempt_ended, log_attempt_sent};
use crate::body::AnswerBody;
use crate::body_reader::read_body;
use crate::caller_conns::{ConnEntry, ConnState, GuardedStream, TrackedBody};
use crate::clock;
use crate::control::{answer_control_request, empty_response};
use crate::decision_log;
use crate::exchange::{attempt, AttemptResult, CallerRequest};
use crate::refusals::{
    announce_close, close_unless_read, fail, log_unauthorized, refuse, refuse_body,
    refuse_for_memory, unavailable, STARTING_RETRY_S, STOPPING_RETRY_S,
};
use crate::shell::{EdgeShell, RequestStep};
use crate::stream;
use bytes::Bytes;
use crocusyard_adapter::headers::drop_connection_headers;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::set_stream_options;
use crocusyard_serving::prelude::*;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use rand::Rng;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::sync::Notify;

/// Idle timeout of callers' connections before the configuration is known.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Size of the read buffer of a connection, bytes; it bounds the head of a request, also before the
/// configuration is known.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// Time after the stop signal, or after its start, for which a connection without a request yet is
/// kept open.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);
/// Pause after a failed accept, since the process may have run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Kind of requests that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerRole {
    /// Callers' requests.
    Requests,
    /// Callers' requests for the addresses of hosts.
    Addresses,
    /// Requests of the platform and the operators: readiness and metrics.
    Operator,
}

/// Accepts connections until the process ends.
pub(crate) async fn accept(
    shell: Rc<EdgeShell>,
    listener: TcpListener,
    role: ListenerRole,
    stop: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let conns = shell.conns(role);
                if !conns.make_room().await {
                    shell.count_intake_refusal("no_connection_left");
                    continue;
                }
                let entry = conns.add();
                actix_rt::spawn(serve(shell.clone(), stream, entry, role, stop.clone()));
            }
            Err(error) => {
                warn!("a connection cannot be accepted: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it closes; when the host stops, only the request in progress is
/// finished.
async fn serve(
    shell: Rc<EdgeShell>,
    stream: TcpStream,
    entry: ConnEntry,
    role: ListenerRole,
    mut stop: watch::Receiver<bool>,
) {
    if let Err(error) = set_stream_options(&stream) {
        debug!("the socket options of a caller's connection cannot be set: {error}");
        return;
    }
    let idle_timeout = shell
        .serving
        .borrow()
        .rules()
        .map_or(INITIAL_IDLE_TIMEOUT, |rules| {
            Duration::from_millis(rules.limits.idle_timeout.as_ms())
        });
    let handler_shell = shell.clone();
    let first_request = Rc::new(Notify::new());
    let arrived = first_request.clone();
    let state = entry.state.clone();
    let service = service_fn(move |request| {
        arrived.notify_one();
        answer(handler_shell.clone(), state.clone(), request, role)
    });
    let stream = GuardedStream::new(stream, entry.state.clone());
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let stopping = async {
        // The sender lives as long as the process.
        let _ = stop.wait_for(|stop| *stop).await;
        // A caller that has just connected gets an answer, since its request is on the way.
        let _ = actix_rt::time::timeout(FIRST_REQUEST_TIME, first_request.notified()).await;
    };
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = entry.state.closed() => return,
        () = stopping => {
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                ended = conn.as_mut() => ended,
                () = entry.state.closed() => return,
            }
        }
    };
    if let Err(error) = ended {
        debug!("a caller's connection failed: {error}");
    }
}

async fn answer(
    shell: Rc<EdgeShell>,
    conn: Rc<ConnState>,
    request: Request<Incoming>,
    role: ListenerRole,
) -> Result<Response<TrackedBody>, AnswerAborted> {
    let in_progress = conn.begin_request();
    let held = in_progress.hold_head();
    let track = |body| TrackedBody::new(body, in_progress);
    if let Err(refusal) = held {
        return Ok(refuse_for_memory(&shell, refusal).map(track));
    }
    if role != ListenerRole::Requests {
        return Ok(answer_control_request(&shell, &request).map(track));
    }
    let mut response = answer_request(&shell, request).await?;
    if shell.is_stopping() {
        response = announce_close(response);
    }
    Ok(response.map(track))
}

/// Error that makes hyper close the connection without an answer.
#[derive(Debug)]
pub(crate) struct AnswerAborted;

impl std::fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection was closed without an answer")
    }
}

impl std::error::Error for AnswerAborted {}

/// Releases a request when it is dropped: its caller has left or its answer is complete.
pub(crate) struct RequestGuard {
    shell: Rc<EdgeShell>,
    key: RequestKey,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shell.release_request(self.key);
    }
}

/// A caller's request in progress.
pub(crate) struct OpenRequest {
    pub(crate) request: CallerRequest,
    /// Steps that the reducer decides for the request.
    pub(crate) steps: UnboundedReceiver<RequestStep>,
    pub(crate) key: RequestKey,
    pub(crate) arrived: ClockTime,
    pub(crate) shell: Rc<EdgeShell>,
    pub(crate) _guard: RequestGuard,
}

/// Reads a caller's request, matches it to a route and runs it.
async fn answer_request(
    shell: &Rc<EdgeShell>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, AnswerAborted> {
    let arrived = clock::now();
    shell.record_turn(arrived);
    let (parts, body) = request.into_parts();
    let refuse_unread = |response| Ok(close_unless_read(response, &body));
    if shell.may_lack_revocations() {
        return refuse_unread(unavailable(STARTING_RETRY_S));
    }
    let rules = shell.serving.borrow().rules().cloned();
    let Some(rules) = rules else {
        return refuse_unread(unavailable(STARTING_RETRY_S));
    };
    let host = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let path = parts.uri.path();
    if head_bytes(&parts) > rules.limits.head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return refuse_unread(empty_response(status));
    }
    let headers = read_call(&parts.headers);
    let Some(route) = rules.find_route(host, path).cloned() else {
        decision_log::log_decision(
            &headers.id,
            "no_route",
            json!({"path": decision_log::shorten(path), "version": rules.version}),
        );
        return refuse_unread(empty_response(StatusCode::NOT_FOUND));
    };
    let identity = match rules.identify(&route, read_key(&parts.headers)) {
        Ok(identity) => identity,
        Err(fault) => {
            log_unauthorized(shell, &rules, &route, &headers.id, fault);
            return refuse_unread(empty_response(StatusCode::UNAUTHORIZED));
        }
    };
    let body = match read_body(&shell.intake, body, rules.limits.body_bytes).await {
        Ok(body) => body,
        Err(refusal) => return refuse_body(shell, refusal),
    };
    let timeout = call_timeout(&headers, &route);
    if shell.refuses_new(&route, timeout) {
        decision_log::log_decision(&headers.id, "refused", json!({"reason": "Stopping"}));
        // The other hosts take work at once.
        return Ok(unavailable(STOPPING_RETRY_S));
    }
    let call = call_info(shell, &headers, route, identity, path, &body, arrived);
    let call = Rc::new(call);
    shell.metrics.tenants.count_requested(&call);
    let (key, steps) = shell.register_request();
    let open = OpenRequest {
        request: CallerRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            call: call.clone(),
        },
        steps,
        key,
        arrived,
        shell: shell.clone(),
        _guard: RequestGuard {
            shell: shell.clone(),
            key,
        },
    };
    shell.dispatch(ServingEvent::CallArrived { key, call });
    run_request(open).await
}

/// Returns the size of a head, apart from the separators.
fn head_bytes(parts: &Parts) -> usize {
    let headers = parts.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    headers + parts.uri.path().len() + parts.uri.query().map_or(0, str::len)
}

/// Returns the time until the caller stops waiting or the timeout of the route ends.
fn call_timeout(headers: &CallHeaders, route: &RouteRule) -> ClockTime {
    headers.timeout.unwrap_or(route.timeout).min(route.timeout)
}

/// Collects the properties of a call from its headers, route and body.
fn call_info(
    shell: &EdgeShell,
    headers: &CallHeaders,
    route: RouteRule,
    identity: Option<CallerIdentity>,
    path: &str,
    body: &Bytes,
    arrived: ClockTime,
) -> CallInfo {
    let timeout = call_timeout(headers, &route);
    let (key, tenant) = identity
        .map(|identity| (identity.key, identity.tenant))
        .unzip();
    CallInfo {
        id: headers.id.as_str().into(),
        service: draw_service(shell, &route),
        need: headers.need.clone(),
        prompt: headers.prompt.clone(),
        prompt_tokens: headers.prompt_tokens,
        output_tokens: headers.output_tokens,
        deadline: arrived + timeout,
        start_deadline: arrived + timeout.min(route.start_timeout),
        digest: CallDigest::of(path, body, &headers.prompt),
        key,
        cost: tenant.as_ref().map_or(1, |tenant: &Rc<TenantRule>| {
            tenant.cost(headers.stated_tokens)
        }),
        tenant,
        route,
    }
}

/// Draws a service of a route at random, by weight.
fn draw_service(shell: &EdgeShell, route: &RouteRule) -> ServiceName {
    let total: f64 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut point = shell.rng.borrow_mut().random::<f64>() * total;
    for (name, weight) in &route.services {
        point -= weight;
        if point < 0.0 {
            return name.clone();
        }
    }
    route
        .services
        .last()
        .map_or_else(|| ServiceName::new(""), |(name, _)| name.clone())
}

/// Follows the reducer's steps until the request is answered, refused or failed.
async fn run_request(mut open: OpenRequest) -> Result<Response<AnswerBody>, AnswerAborted> {
    let mut next = open.steps.recv().await;
    loop {
        let plan = match next {
            None => return Err(AnswerAborted),
            Some(RequestStep::Send(plan)) => plan,
            Some(RequestStep::Refuse(refusal)) => return Ok(refuse(&open, &refusal)),
            Some(RequestStep::Fail { expired }) => return Ok(fail(&open, expired)),
        };
        log_attempt_sent(&open, &plan);
        let result = tokio::select! {
            biased;
            result = attempt(&open.shell, &open.request, &plan, None) => result,
            // A step before the end of the attempt ends the request.
            step = open.steps.recv() => {
                next = step;
                continue;
            }
        };
        match result {
            AttemptResult::Complete { head, body } => {
                let status = head.status().as_u16();
                open.end_attempt(AttemptOutcome::Answered { status });
                match open.steps.try_recv() {
                    // The target failed the request; another one may still answer it.
                    Ok(RequestStep::Send(plan)) => next = Some(RequestStep::Send(plan)),
                    Ok(_) | Err(_) => return Ok(deliver(&open, head, AnswerBody::full(body))),
                }
            }
            AttemptResult::Stream { answer, conn } => {
                return stream::deliver_stream(open, plan, answer, conn).await;
            }
            AttemptResult::Ended(outcome) => {
                log_attempt_ended(&open, &plan, outcome);
                open.end_attempt(outcome);
                next = open.steps.recv().await;
            }
        }
    }
}

impl OpenRequest {
    /// Counts the request in the metrics.
    pub(crate) fn count(&self, outcome: &'static str) {
        let elapsed = clock::now().since(self.arrived);
        let metrics = &self.shell.metrics;
        metrics.count_request(&self.request.call, outcome, elapsed);
    }

    /// Reports the end of an attempt to the reducer.
    pub(crate) fn end_attempt(&self, outcome: AttemptOutcome) {
        let key = self.key;
        self.shell
            .dispatch(ServingEvent::AttemptEnded { key, outcome });
    }
}

/// Turns the head of a target's answer into the answer to the caller, and counts the request.
pub(crate) fn deliver(
    open: &OpenRequest,
    head: Response<()>,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let (mut parts, ()) = head.into_parts();
    drop_connection_headers(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts.version = hyper::Version::HTTP_11;
    let status = parts.status.as_u16();
    open.count(if status < 400 {
        "answered"
    } else {
        "answered_with_failure"
    });
    if status >= 400 {
        decision_log::log_decision(
            &open.request.call.id,
            "passed_on",
            json!({"status": status}),
        );
    }
    Response::from_parts(parts, body)
}
