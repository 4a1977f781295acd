//! Answers that the host gives in the place of a target: refusals and failures.

use crate::attempt_log::add_tenant;
use crate::body::AnswerBody;
use crate::body_reader::BodyRefusal;
use crate::clock;
use crate::control::empty_response;
use crate::decision_log;
use crate::entry::{AnswerAborted, OpenRequest};
use crate::shell::EdgeShell;
use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::IntakeRefusal;
use crocusyard_serving::prelude::*;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// `Retry-After` of answers to requests for whose bodies there is no memory, s.
const NO_MEMORY_RETRY_S: &str = "1";
/// `Retry-After` of answers while no configuration is known, s.
pub(crate) const STARTING_RETRY_S: &str = "0.5";
/// `Retry-After` of answers while the host stops, s; the other hosts take the work at once.
pub(crate) const STOPPING_RETRY_S: &str = "0.05";

/// Announces in an answer that the connection closes after it, so that the caller does not send its
/// next request there.
pub(crate) fn announce_close(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Announces the end of the connection unless the whole body of the request has been read: hyper
/// closes a connection on which a part of a body is left.
pub(crate) fn close_unless_read(
    response: Response<AnswerBody>,
    body: &Incoming,
) -> Response<AnswerBody> {
    if body.is_end_stream() {
        response
    } else {
        announce_close(response)
    }
}

/// Answers a request whose head or body the memory budget refuses. The rest of the body is not read,
/// so that the connection is closed.
pub(crate) fn refuse_for_memory(shell: &EdgeShell, refusal: IntakeRefusal) -> Response<AnswerBody> {
    shell.count_intake_refusal(refusal.label());
    announce_close(if refusal == IntakeRefusal::TooSlow {
        empty_response(StatusCode::REQUEST_TIMEOUT)
    } else {
        unavailable(NO_MEMORY_RETRY_S)
    })
}

/// Answers a request whose body was not read. It was not sent to any target.
pub(crate) fn refuse_body(
    shell: &EdgeShell,
    refusal: BodyRefusal,
) -> Result<Response<AnswerBody>, AnswerAborted> {
    match refusal {
        BodyRefusal::Broken => Err(AnswerAborted),
        BodyRefusal::TooLarge => {
            shell.count_intake_refusal("body_too_large");
            let response = empty_response(StatusCode::PAYLOAD_TOO_LARGE);
            Ok(announce_close(response))
        }
        BodyRefusal::Budget(refusal) => Ok(refuse_for_memory(shell, refusal)),
    }
}

/// Counts and logs a request that its key does not admit.
pub(crate) fn log_unauthorized(
    shell: &EdgeShell,
    rules: &RuleSet,
    route: &RouteRule,
    id: &str,
    fault: KeyFault,
) {
    shell.metrics.tenants.count_unauthorized(fault);
    let rules_age = shell.serving.borrow().rules_age(clock::now());
    decision_log::log_decision(
        id,
        "unauthorized",
        json!({
            "reason": fault.label(),
            "route": route.name.as_str(),
            "version": rules.version,
            "version_age_ms": rules_age.as_ms(),
        }),
    );
}

/// Makes a 503 answer that asks the caller to try again; the request was not run.
pub(crate) fn unavailable(retry_after_s: &'static str) -> Response<AnswerBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after_s = HeaderValue::from_static(retry_after_s);
    response.headers_mut().insert(RETRY_AFTER, retry_after_s);
    response
}

/// Answers a request that the reducer refused; it was not run.
pub(crate) fn refuse(open: &OpenRequest, refusal: &RequestRefusal) -> Response<AnswerBody> {
    let retry_after_s = refusal.retry_after.as_ms() as f64 / 1_000.0;
    let call = &open.request.call;
    open.count("refused");
    open.shell
        .metrics
        .count_refusal(&call.route.name, refusal.reason);
    open.shell
        .metrics
        .tenants
        .count_refused(call, refusal.reason);
    let mut inputs = json!({
        "reason": format!("{:?}", refusal.reason),
        "retry_after_s": retry_after_s,
        "route": call.route.name.as_str(),
        "model": call.model().map(ModelName::as_str),
        "age_ms": clock::now().since(open.arrived).as_ms(),
    });
    add_tenant(&mut inputs, open);
    if let Some(quota) = refusal.quota {
        inputs["cost"] = json!(call.cost);
        inputs["credit"] = json!(quota.credit.round());
        inputs["figures_age_ms"] = json!(quota.oldest_figure.as_ms());
    }
    decision_log::log_decision(&call.id, "refused", inputs);
    let status = match refusal.reason {
        RefusalReason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyRevoked => StatusCode::UNAUTHORIZED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = empty_response(status);
    // The caller of a revoked key gains nothing by trying again.
    if refusal.reason != RefusalReason::KeyRevoked {
        if let Ok(value) = HeaderValue::from_str(&format!("{retry_after_s:.2}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Answers a request that may have been run and got no answer.
pub(crate) fn fail(open: &OpenRequest, expired: bool) -> Response<AnswerBody> {
    let status = if expired {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    open.count("failed");
    decision_log::log_decision(
        &open.request.call.id,
        "failed",
        json!({"status": status.as_u16(), "route": open.request.call.route.name.as_str()}),
    );
    empty_response(status)
}
