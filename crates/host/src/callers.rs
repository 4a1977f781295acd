//! HTTP handlers for callers.

use crate::actor::HostActor;
use crate::answer::{answer_channel, AnswerPart, AnswerReceiver};
use crate::catalog_view::{CatalogView, SharedCatalog};
use crate::completion::{CompletionRequest, JoinedAnswer};
use crate::problem::CallerProblem;
use crate::resume::ResumeKey;
use crate::submit::{CallerLeft, RequestPayload, SubmitRequest};
use actix::Addr;
use actix_web::http::header::{HeaderMap, HeaderName};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use crocusyard_settings::prelude::TenantSource;
use std::sync::Arc;
use std::time::Duration;

/// Longest deadline that a caller may ask for.
const DEADLINE_MAX: ClockTime = ClockTime::from_secs(3600);
/// Longest request id and idempotency key, bytes.
const ID_MAX_BYTES: usize = 128;
/// Headers of a call that concern one connection only, or that the host sets itself.
const HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
];

/// What the handlers share.
#[derive(Clone)]
pub struct CallerState {
    /// Actor of the host.
    pub actor: Addr<HostActor>,
    /// Catalogue in force.
    pub catalog: SharedCatalog,
    /// Key of resume tokens.
    pub resume: ResumeKey,
    /// How tenants are found.
    pub tenant_from: TenantSource,
    /// Time between two comments on a silent stream.
    pub keepalive: Duration,
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat_completion(
    state: web::Data<CallerState>,
    request: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, CallerProblem> {
    complete(&state, &request, &body, "/v1/chat/completions").await
}

/// Handles `POST /v1/completions`.
pub async fn text_completion(
    state: web::Data<CallerState>,
    request: HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, CallerProblem> {
    complete(&state, &request, &body, "/v1/completions").await
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
    body: &Bytes,
    path: &'static str,
) -> Result<HttpResponse, CallerProblem> {
    let view = state.catalog.current();
    let tenant = find_tenant(state, &view, request.headers())?;
    let completion = CompletionRequest::parse(body)?;
    let work = view
        .work(&completion.model)
        .ok_or_else(|| unknown_model(&completion.model))?;
    let class = find_class(&view, request.headers())?;
    let id = request_id(request.headers())?;
    let resume = match header(request.headers(), "last-event-id") {
        None => None,
        Some(token) => Some(state.resume.read(&tenant, token).ok_or_else(bad_token)?),
    };
    let spec = RequestSpec {
        id: id.clone(),
        tenant: tenant.clone(),
        class: class.name.clone(),
        work: work.clone(),
        idempotent: true,
        idempotency_key: None,
        digest: digest_of(&[path.as_bytes(), &completion.body]),
        prefix: completion.prefix.clone(),
        input_tokens: completion.input_tokens,
        output_tokens: completion.output_tokens,
        deadline: deadline(request.headers(), class.deadline_ms)?,
        resume,
    };
    let blocks: Vec<_> = completion.prefix.iter().map(ToString::to_string).collect();
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

/// Handles calls below `/services/{service}/`.
pub async fn plain_call(
    state: web::Data<CallerState>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
) -> Result<HttpResponse, CallerProblem> {
    let view = state.catalog.current();
    let tenant = find_tenant(&state, &view, request.headers())?;
    let (name, rest) = path.into_inner();
    let service = view.service(&name).ok_or_else(|| unknown_service(&name))?;
    let below = format!("/{rest}");
    let route = view
        .route(service, request.method().as_str(), &below)
        .ok_or_else(|| no_route(&name, &below))?;
    if body.len() as u64 > route.body_bytes {
        return Err(body_too_large(route.body_bytes));
    }
    let id = request_id(request.headers())?;
    let key = idempotency_key(request.headers())?;
    let query = request
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let target_path = format!("{below}{query}");
    let spec = RequestSpec {
        id: id.clone(),
        tenant,
        class: route.class.clone(),
        work: WorkKind::Service {
            service: service.name.clone(),
        },
        idempotent: route.idempotent,
        idempotency_key: key,
        digest: digest_of(&[
            name.as_bytes(),
            request.method().as_str().as_bytes(),
            target_path.as_bytes(),
            &body,
        ]),
        prefix: Vec::new(),
        input_tokens: 0,
        output_tokens: 0,
        deadline: deadline(request.headers(), route.deadline_ms)?,
        resume: None,
    };
    let payload = RequestPayload::Plain {
        method: request.method().clone(),
        path: Arc::from(target_path),
        headers: Arc::new(passed_headers(request.headers())),
        body,
    };
    let answer = submit(&state, spec, payload).await?;
    pass_answer(answer, id).await
}

/// An answer on its way to a caller; dropping it before its end tells the actor.
struct CallerAnswer {
    key: RequestKey,
    actor: Addr<HostActor>,
    parts: AnswerReceiver,
    ended: bool,
}

impl CallerAnswer {
    async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.next().await;
        self.ended = matches!(
            part,
            None | Some(AnswerPart::Finished | AnswerPart::Refused(_))
        );
        part
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        if !self.ended {
            self.actor.do_send(CallerLeft { key: self.key });
        }
    }
}

async fn submit(
    state: &CallerState,
    spec: RequestSpec,
    payload: RequestPayload,
) -> Result<CallerAnswer, CallerProblem> {
    let (sender, receiver) = answer_channel();
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

/// Waits for the whole answer and gives it as one document.
async fn join_answer(
    mut answer: CallerAnswer,
    id: RequestId,
) -> Result<HttpResponse, CallerProblem> {
    let mut joined = JoinedAnswer::default();
    loop {
        match answer.next().await {
            Some(AnswerPart::Head(_)) => {}
            Some(AnswerPart::Chunk { data, .. }) => {
                if !joined.add(&data) {
                    return Err(malformed_answer(&id));
                }
            }
            Some(AnswerPart::Finished) => break,
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            None => return Err(stopping()),
        }
    }
    Ok(HttpResponse::Ok()
        .insert_header(("x-request-id", id.to_string()))
        .json(joined.into_json()))
}

/// Waits for the first chunk, so that an early refusal has its own status, and streams the rest.
async fn stream_answer(
    state: &CallerState,
    mut answer: CallerAnswer,
    id: RequestId,
    tenant: TenantName,
) -> Result<HttpResponse, CallerProblem> {
    let first = loop {
        match answer.next().await {
            Some(AnswerPart::Head(_)) => {}
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            Some(part) => break part,
            None => return Err(stopping()),
        }
    };
    let stream = EventStream {
        answer,
        id: id.clone(),
        tenant,
        resume: state.resume.clone(),
        keepalive: state.keepalive,
        pending: Some(first),
    };
    let body = futures_util::stream::unfold(stream, |mut stream| async move {
        let part = stream.next_event().await?;
        Some((Ok::<_, std::io::Error>(part), stream))
    });
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-cache"))
        .insert_header(("x-request-id", id.to_string()))
        .streaming(body))
}

struct EventStream {
    answer: CallerAnswer,
    id: RequestId,
    tenant: TenantName,
    resume: ResumeKey,
    keepalive: Duration,
    pending: Option<AnswerPart>,
}

impl EventStream {
    async fn next_event(&mut self) -> Option<Bytes> {
        if self.answer.ended && self.pending.is_none() {
            return None;
        }
        let part = match self.pending.take() {
            Some(part) => part,
            None => {
                match actix_rt::time::timeout(self.keepalive, self.answer.next()).await {
                    // A comment shows both ends that a quiet connection is alive.
                    Err(_) => return Some(Bytes::from_static(b": keep-alive\n\n")),
                    Ok(part) => part?,
                }
            }
        };
        Some(self.encode(part))
    }

    fn encode(&self, part: AnswerPart) -> Bytes {
        match part {
            AnswerPart::Head(_) => Bytes::new(),
            AnswerPart::Chunk {
                attempt,
                target,
                index,
                data,
            } => {
                let token = self.resume.token(&self.tenant, attempt, &target, index);
                let mut event = Vec::with_capacity(token.len() + data.len() + 14);
                event.extend_from_slice(b"id: ");
                event.extend_from_slice(token.as_bytes());
                event.extend_from_slice(b"\ndata: ");
                event.extend_from_slice(&data);
                event.extend_from_slice(b"\n\n");
                Bytes::from(event)
            }
            AnswerPart::Finished => Bytes::from_static(b"data: [DONE]\n\n"),
            AnswerPart::Refused(refusal) => {
                let problem = CallerProblem::from_refusal(&refusal, &self.id);
                let error = serde_json::json!({
                    "error": {
                        "message": problem.detail,
                        "type": "crocusyard",
                        "code": problem.code,
                        "outcome": problem.outcome.as_str(),
                        "request_id": self.id.to_string(),
                    }
                });
                Bytes::from(format!("data: {error}\n\n"))
            }
        }
    }
}

/// Waits for the head of a plain answer and passes the rest through.
async fn pass_answer(
    mut answer: CallerAnswer,
    id: RequestId,
) -> Result<HttpResponse, CallerProblem> {
    let head = loop {
        match answer.next().await {
            Some(AnswerPart::Head(head)) => break head,
            Some(AnswerPart::Refused(refusal)) => {
                return Err(CallerProblem::from_refusal(&refusal, &id));
            }
            Some(_) => {}
            None => return Err(stopping()),
        }
    };
    let mut response = HttpResponse::build(head.status);
    for (name, value) in passed_headers(&head.headers) {
        response.append_header((name, value));
    }
    response.insert_header(("x-request-id", id.to_string()));
    let body = futures_util::stream::unfold(answer, |mut answer| async move {
        if answer.ended {
            return None;
        }
        match answer.next().await {
            Some(AnswerPart::Chunk { data, .. }) => Some((Ok(data), answer)),
            Some(AnswerPart::Finished) => None,
            // An error ends the connection without the last chunk, so that the caller can tell a
            // partial answer from a whole one.
            _ => Some((Err(std::io::Error::other("answer broke off")), answer)),
        }
    });
    Ok(response.streaming(body))
}

fn find_tenant(
    state: &CallerState,
    view: &CatalogView,
    headers: &HeaderMap,
) -> Result<TenantName, CallerProblem> {
    let tenant = match state.tenant_from {
        TenantSource::Header => header(headers, "x-tenant").and_then(|name| view.tenant(name)),
        TenantSource::Key => header(headers, "authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .and_then(|key| view.tenant_of_key(key)),
    };
    tenant.cloned().ok_or_else(|| {
        CallerProblem::refused(
            StatusCode::UNAUTHORIZED,
            "unknown_tenant",
            "no known tenant",
        )
    })
}

fn find_class<'a>(
    view: &'a CatalogView,
    headers: &HeaderMap,
) -> Result<&'a ClassSpec, CallerProblem> {
    view.class(header(headers, "x-request-class"))
        .ok_or_else(|| {
            CallerProblem::refused(StatusCode::BAD_REQUEST, "unknown_class", "no such class")
        })
}

/// Returns the caller's request id, or makes one.
fn request_id(headers: &HeaderMap) -> Result<RequestId, CallerProblem> {
    let Some(value) = headers.get("x-request-id") else {
        return Ok(RequestId(Arc::from(format!("{:032x}", rand_id()))));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= ID_MAX_BYTES => {
            Ok(RequestId(Arc::from(text)))
        }
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_header",
            "X-Request-Id must be 1 to 128 printable characters",
        )),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, CallerProblem> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= ID_MAX_BYTES && is_key(text) => {
            Ok(Some(Arc::from(text)))
        }
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_header",
            "Idempotency-Key must be 1 to 128 letters, digits, '-', '_', '.' or ':'",
        )),
    }
}

/// Keys become parts of row keys and paths, so only plain characters are taken.
fn is_key(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte))
}

fn deadline(headers: &HeaderMap, default_ms: u64) -> Result<ClockTime, CallerProblem> {
    let Some(value) = headers.get("x-request-deadline-ms") else {
        return Ok(ClockTime::from_ms(default_ms));
    };
    let span = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(ClockTime::from_ms);
    span.filter(|span| *span > ClockTime::ZERO && *span <= DEADLINE_MAX)
        .ok_or_else(|| {
            CallerProblem::refused(
                StatusCode::BAD_REQUEST,
                "bad_header",
                format!(
                    "X-Request-Deadline-Ms must be 1 to {}",
                    DEADLINE_MAX.as_ms()
                ),
            )
        })
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let is_passed = |name: &HeaderName| !HOP_HEADERS.contains(&name.as_str());
    headers
        .iter()
        .filter(|(name, _)| is_passed(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn digest_of(parts: &[&[u8]]) -> BodyDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    BodyDigest(u128::from_le_bytes(
        hash.as_bytes()[..16].try_into().expect("hash has 32 bytes"),
    ))
}

/// Returns a random identifier from the standard library's seeded hasher keys.
fn rand_id() -> u128 {
    use std::hash::{BuildHasher, RandomState};
    let high = RandomState::new().hash_one(0_u64);
    let low = RandomState::new().hash_one(1_u64);
    (u128::from(high) << 64) | u128::from(low)
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

fn bad_token() -> CallerProblem {
    CallerProblem::refused(
        StatusCode::BAD_REQUEST,
        "bad_resume_token",
        "Last-Event-ID is not an event id of this tenant",
    )
}

fn body_too_large(limit: u64) -> CallerProblem {
    let detail = format!("the body is larger than {limit} bytes");
    CallerProblem::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
}

fn malformed_answer(id: &RequestId) -> CallerProblem {
    CallerProblem {
        status: StatusCode::BAD_GATEWAY,
        code: "malformed_answer",
        outcome: RequestOutcome::Unknown,
        detail: "the target's answer is malformed".to_owned(),
        retry_after: None,
        request: Some(id.clone()),
    }
}

fn stopping() -> CallerProblem {
    CallerProblem {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "stopping",
        outcome: RequestOutcome::Unknown,
        detail: "the host is stopping".to_owned(),
        retry_after: Some(ClockTime::from_secs(1)),
        request: None,
    }
}
