//! Answers requests to the host itself: readiness, addresses of entry hosts, and metrics.

use crate::body::AnswerBody;
use crate::clock;
use crate::shell::EdgeShell;
use crocusyard_adapter::endpoints::MAX_ADDRESSES;
use crocusyard_adapter::prelude::*;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use log::warn;
use rand::Rng;
use std::rc::Rc;

/// Longest time for which callers may keep an address answer, s; after it they no longer use a host
/// that has died.
const ADDRESS_TTL_S: f64 = 2.0;

/// Path at which the metrics are scraped.
const METRICS_PATH: &str = "/metrics";

/// Answers a request to the host itself.
pub(crate) fn answer_control_request(
    shell: &Rc<EdgeShell>,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    match find_endpoint(path) {
        Some(ControlEndpoint::Ready) => empty_response(ready_status(shell)),
        Some(ControlEndpoint::Addresses) => addresses(shell),
        None if path == METRICS_PATH => metrics(shell),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn metrics(shell: &EdgeShell) -> Response<AnswerBody> {
    let waiting = shell.serving.borrow().waiting_count();
    let opened_count = shell.pool.opened_count();
    let (suspected, blamed) = {
        let serving = shell.serving.borrow();
        (serving.suspect_count(), serving.blamed_count())
    };
    shell.metrics.set_causes(suspected, blamed);
    let usage = shell.serving.borrow_mut().limits.usage(clock::now());
    shell.metrics.tenants.set_usage(&usage);
    let held_bytes = shell.intake.counts().held_bytes;
    let connections = shell.caller_conns.count();
    shell.metrics.set_intake(held_bytes, connections);
    let text = shell
        .metrics
        .text(shell.request_count(), waiting, opened_count);
    Response::new(AnswerBody::full(text))
}

/// Returns 200 if this host takes requests, otherwise 503.
fn ready_status(shell: &EdgeShell) -> StatusCode {
    if shell.is_stopping() || !shell.serving.borrow().is_ready() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

/// Answers with addresses of live entry hosts, chosen at random.
fn addresses(shell: &EdgeShell) -> Response<AnswerBody> {
    let salt = shell.rng.borrow_mut().random::<u64>();
    let hosts = shell.hosts.borrow();
    let hosts = hosts.entry_addresses(MAX_ADDRESSES, salt, clock::now());
    let ttl_s = ADDRESS_TTL_S.min(shell.settings.address_ttl_s);
    match write_addresses(hosts, ttl_s) {
        Ok(body) => {
            let mut response = Response::new(AnswerBody::full(body));
            let json = hyper::header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            warn!("the address answer cannot be serialized: {error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Creates an answer without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::full(""));
    *response.status_mut() = status;
    response
}
