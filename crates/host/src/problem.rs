//! Refusals of requests, answered as problem documents (RFC 9457).

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, ResponseError};
use crocusyard_base::prelude::*;
use crocusyard_border::callers::{OutcomeName, ProblemDocument};
use crocusyard_requests::prelude::*;
use std::fmt;

/// Media type of problem documents.
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Codes of refusals that leave a part of the body unread. The connection is closed, since reading the
/// rest would take memory for nothing.
const UNREAD_BODY_CODES: [&str; 3] = ["body_too_large", "body_too_slow", "no_memory"];

/// A refusal that is answered to a caller or operator.
#[derive(Clone, Debug)]
pub struct CallerProblem {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Stable code by which programs tell refusals apart.
    pub code: &'static str,
    /// Whether the refused request has run, as far as the host knows.
    pub outcome: RequestOutcome,
    /// Description of the refusal for people.
    pub detail: String,
    /// Wait after which a retry may succeed; `None` if the answer suggests no retry.
    pub retry_after: Option<ClockTime>,
    /// Request id; `None` if the refusal came before the request had one.
    pub request_id: Option<RequestId>,
}

impl CallerProblem {
    /// Creates the refusal of a request that was not queued and thus has not run.
    pub fn refused(status: StatusCode, code: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            code,
            outcome: RequestOutcome::NotRun,
            detail: detail.into(),
            retry_after: None,
            request_id: None,
        }
    }

    /// Converts a refusal of the reducer into one for the caller.
    pub fn from_refusal(refusal: &RequestRefusal, request_id: &RequestId) -> Self {
        Self {
            status: refusal_status(refusal),
            code: refusal.code.as_str(),
            outcome: refusal.outcome,
            detail: refusal_detail(refusal.code).to_owned(),
            retry_after: refusal.retry_after,
            request_id: Some(request_id.clone()),
        }
    }

    /// Builds the problem document.
    pub fn to_document(&self) -> ProblemDocument {
        ProblemDocument {
            type_: format!("urn:crocusyard:problem:{}", self.code),
            title: self.status.canonical_reason().unwrap_or("Error").to_owned(),
            status: self.status.as_u16(),
            detail: Some(self.detail.clone()),
            code: self.code.to_owned(),
            outcome: outcome_name(self.outcome),
            request_id: self.request_id.as_ref().map(ToString::to_string),
            retry_after_ms: self.retry_after.map(ClockTime::as_ms),
        }
    }
}

fn outcome_name(outcome: RequestOutcome) -> OutcomeName {
    match outcome {
        RequestOutcome::NotRun => OutcomeName::NotRun,
        RequestOutcome::Unknown => OutcomeName::Unknown,
        RequestOutcome::Completed => OutcomeName::Completed,
    }
}

fn refusal_status(refusal: &RequestRefusal) -> StatusCode {
    match refusal.code {
        RefusalCode::TenantLimit | RefusalCode::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::Unavailable | RefusalCode::RetryBudget | RefusalCode::ClaimUnavailable => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        RefusalCode::KeyConflict | RefusalCode::InDoubt => StatusCode::CONFLICT,
        RefusalCode::CrashSuspect => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::TargetRefused | RefusalCode::AnswerLost => StatusCode::BAD_GATEWAY,
    }
}

fn refusal_detail(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::TenantLimit => "too many requests of the tenant are in progress",
        RefusalCode::QueueFull => "the queue of the class is full",
        RefusalCode::Deadline => "the deadline cannot be met",
        RefusalCode::Unavailable => "no target can serve the request now",
        RefusalCode::RetryBudget => "the request failed and the retry budget is used up",
        RefusalCode::ClaimUnavailable => "the idempotency key cannot be claimed now",
        RefusalCode::KeyConflict => "the idempotency key was used with another request",
        RefusalCode::InDoubt => "a call with this idempotency key may have run",
        RefusalCode::CrashSuspect => "the request is suspected of crashing targets",
        RefusalCode::TargetRefused => "the target refused the request",
        RefusalCode::AnswerLost => "the answer ended early and could not be resumed",
    }
}

impl fmt::Display for CallerProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl ResponseError for CallerProblem {
    fn status_code(&self) -> StatusCode {
        self.status
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        response.content_type(PROBLEM_CONTENT_TYPE);
        if UNREAD_BODY_CODES.contains(&self.code) {
            response.force_close();
        }
        if let Some(wait) = self.retry_after {
            // The header has whole seconds. Rounding up prevents retries before the wait is over.
            response.insert_header(("retry-after", wait.as_ms().div_ceil(1000).to_string()));
        }
        if let Some(request_id) = &self.request_id {
            response.insert_header(("x-request-id", request_id.to_string()));
        }
        response.json(self.to_document())
    }
}
