//! HTTP handlers for callers: completions, the model list and calls to plain services.

use crate::actor::HostActor;
use crate::answer::answer_channel;
use crate::catalog_view::SharedCatalog;
use crate::completion::CompletionRequest;
use crate::delivery::{forward_answer, join_answer, stopping, stream_answer, CallerAnswer};
use crate::intake::{
    call_digest, find_class, find_tenant, forwarded_headers, header, hold_bytes, idempotency_key,
    parse_deadline, read_body, request_id, target_idempotency_key, BodyLimits, CallerIntake,
    IDEMPOTENCY_KEY,
};
use crate::problem::CallerProblem;
use crate::resume::ResumeKey;
use crate::submit::{RequestPayload, SubmitRequest};
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use crocusyard_settings::prelude::TenantSource;
use std::sync::Arc;
use std::time::Duration;

/// State shared by the handlers for callers.
#[derive(Clone)]
pub struct CallerState {
    /// Address of the actor that runs the host's reducer.
    pub actor: Addr<HostActor>,
    /// Catalogue in force, as published by the actor.
    pub catalog: SharedCatalog,
    /// Key that signs the resume tokens in event ids.
    pub resume_key: ResumeKey,
    /// Source of the tenant of a request: a header or an API key.
    pub tenant_from: TenantSource,
    /// Interval between keep-alive comments on an idle stream.
    pub keepalive_interval: Duration,
    /// Limits on reading a request body.
    pub(crate) body_limits: BodyLimits,
    /// Memory for bodies and answers.
    pub(crate) intake: CallerIntake,
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat_completion(
    state: web::Data<CallerState>,
    request: HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse, CallerProblem> {
    complete(&state, &request, body, "/v1/chat/completions").await
}

/// Handles `POST /v1/completions`.
pub async fn text_completion(
    state: web::Data<CallerState>,
    request: HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse, CallerProblem> {
    complete(&state, &request, body, "/v1/completions").await
}

/// Handles `GET /v1/models`.
pub async fn list_models(
    state: web::Data<CallerState>,
    request: HttpRequest,
) -> Result<HttpResponse, CallerProblem> {
    let view = state.catalog.current();
    find_tenant(&state, &view, request.headers())?;
    let models = view
        .catalog
        .models
        .iter()
        .map(|model| model.name.to_string());
    let adapters = view
        .catalog
        .adapters
        .iter()
        .map(|adapter| adapter.name.to_string());
    let data: Vec<_> = models
        .chain(adapters)
        .map(|id| {
            serde_json::json!({
                "id": id, "object": "model", "created": 0, "owned_by": "crocusyard",
            })
        })
        .collect();
    Ok(HttpResponse::Ok().json(serde_json::json!({"object": "list", "data": data})))
}

async fn complete(
    state: &CallerState,
    request: &HttpRequest,
    body: web::Payload,
    path: &'static str,
) -> Result<HttpResponse, CallerProblem> {
    let view = state.catalog.current();
    let tenant = find_tenant(state, &view, request.headers())?;
    let body = read_body(body, request.headers(), state.body_limits, &state.intake).await?;
    let mut completion = CompletionRequest::parse(&body)?;
    drop(body);
    completion.body = hold_bytes(&state.intake, completion.body)?;
    let work = view
        .work_kind(&completion.model)
        .ok_or_else(|| unknown_model(&completion.model))?;
    let class = find_class(&view, request.headers())?;
    let id = request_id(request.headers())?;
    let resume = match header(request.headers(), "last-event-id") {
        None => None,
        Some(token) => Some(
            state
                .resume_key
                .parse_token(&tenant, token)
                .ok_or_else(bad_resume_token)?,
        ),
    };
    let spec = RequestSpec {
        id: id.clone(),
        tenant: tenant.clone(),
        class: class.name.clone(),
        work: work.clone(),
        idempotent: true,
        idempotency_key: None,
        digest: call_digest(&[path.as_bytes(), &completion.body]),
        prefix: completion.prefix_hashes.clone(),
        input_tokens: completion.input_tokens,
        output_tokens: completion.output_tokens,
        deadline: parse_deadline(request.headers(), class.deadline_ms)?,
        resume,
    };
    let blocks: Vec<_> = completion
        .prefix_hashes
        .iter()
        .map(ToString::to_string)
        .collect();
    let payload = RequestPayload::Completion {
        path,
        body: completion.body,
        blocks: Arc::from(blocks.join(",")),
        priority: class.priority,
    };
    let answer = submit(state, spec, payload).await?;
    if completion.stream {
        stream_answer(state, answer, id, tenant).await
    } else {
        join_answer(answer, id).await
    }
}

/// Handles calls to plain services, below `/services/{service}/`.
pub async fn plain_call(
    state: web::Data<CallerState>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
) -> Result<HttpResponse, CallerProblem> {
    let view = state.catalog.current();
    let tenant = find_tenant(&state, &view, request.headers())?;
    let (name, rest) = path.into_inner();
    let service = view.service(&name).ok_or_else(|| unknown_service(&name))?;
    let service_path = format!("/{rest}");
    let route = view
        .route(service, request.method().as_str(), &service_path)
        .ok_or_else(|| no_route(&name, &service_path))?;
    let limit = usize::try_from(route.body_bytes).unwrap_or(usize::MAX);
    let limits = BodyLimits {
        max_bytes: limit.min(state.body_limits.max_bytes),
        ..state.body_limits
    };
    let body = read_body(body, request.headers(), limits, &state.intake).await?;
    let id = request_id(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let target_path = format!("{service_path}{query}");
    let mut headers = forwarded_headers(request.headers());
    if let Some(key) = &key {
        headers.insert(IDEMPOTENCY_KEY, target_idempotency_key(&tenant, key));
    }
    let spec = RequestSpec {
        id: id.clone(),
        tenant,
        class: route.class.clone(),
        work: WorkKind::Service {
            service: service.name.clone(),
        },
        idempotent: route.idempotent,
        idempotency_key: key,
        digest: call_digest(&[
            name.as_bytes(),
            request.method().as_str().as_bytes(),
            target_path.as_bytes(),
            &body,
        ]),
        prefix: Vec::new(),
        input_tokens: 0,
        output_tokens: 0,
        deadline: parse_deadline(request.headers(), route.deadline_ms)?,
        resume: None,
    };
    let payload = RequestPayload::Plain {
        method: request.method().clone(),
        path: Arc::from(target_path),
        headers: Arc::new(headers),
        body,
    };
    let answer = submit(&state, spec, payload).await?;
    forward_answer(answer, id).await
}

async fn submit(
    state: &CallerState,
    spec: RequestSpec,
    payload: RequestPayload,
) -> Result<CallerAnswer, CallerProblem> {
    let (sender, receiver) = answer_channel(&state.intake.budget);
    let request = SubmitRequest {
        spec,
        payload,
        answer: sender,
    };
    let key = state.actor.send(request).await.map_err(|_| stopping())?;
    Ok(CallerAnswer {
        key,
        actor: state.actor.clone(),
        parts: receiver,
        ended: false,
    })
}

fn unknown_model(name: &str) -> CallerProblem {
    let detail = format!("model {name:?} is not deployed");
    CallerProblem::refused(StatusCode::NOT_FOUND, "unknown_model", detail)
}

fn unknown_service(name: &str) -> CallerProblem {
    let detail = format!("service {name:?} is not deployed");
    CallerProblem::refused(StatusCode::NOT_FOUND, "unknown_service", detail)
}

fn no_route(service: &str, path: &str) -> CallerProblem {
    let detail = format!("service {service:?} has no route for {path:?}");
    CallerProblem::refused(StatusCode::NOT_FOUND, "no_route", detail)
}

fn bad_resume_token() -> CallerProblem {
    CallerProblem::refused(
        StatusCode::BAD_REQUEST,
        "bad_resume_token",
        "Last-Event-ID is not an event id that was given to this tenant",
    )
}
