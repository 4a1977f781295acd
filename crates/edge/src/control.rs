//! Answers to the platform's readiness question and to the address question.

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

/// Time for which callers may keep an address answer, s; a host that died is out after it.
const ADDRESS_TTL_S: f64 = 2.0;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers a call to the host itself.
pub(crate) fn answer_call(
    shell: &Rc<EdgeShell>,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    match find_endpoint(path) {
        Some(ControlEndpoint::Ready) => plain(ready_status(shell)),
        Some(ControlEndpoint::Addresses) => addresses(shell),
        None if path == METRICS_PATH => metrics(shell),
        None => plain(StatusCode::NOT_FOUND),
    }
}

fn metrics(shell: &EdgeShell) -> Response<AnswerBody> {
    let waiting = shell.serving.borrow().waiting_count();
    let opened = shell.pool.opened_count();
    let text = shell.metrics.text(shell.request_count(), waiting, opened);
    Response::new(AnswerBody::whole(text))
}

fn ready_status(shell: &EdgeShell) -> StatusCode {
    if shell.is_stopping() || !shell.serving.borrow().is_ready() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

fn addresses(shell: &EdgeShell) -> Response<AnswerBody> {
    let salt = shell.rng.borrow_mut().random::<u64>();
    let hosts = shell.hosts.borrow();
    let hosts = hosts.entry_addresses(MAX_ADDRESSES, salt, clock::now());
    let ttl_s = ADDRESS_TTL_S.min(shell.settings.address_ttl_s);
    match write_addresses(hosts, ttl_s) {
        Ok(body) => {
            let mut response = Response::new(AnswerBody::whole(body));
            let json = hyper::header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            warn!("address answer cannot be written: {error}");
            plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Makes an answer without a body.
pub(crate) fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(""));
    *response.status_mut() = status;
    response
}
