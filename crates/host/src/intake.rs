//! Reading of request headers (tenant, class, identifiers and deadline) and request bodies.

use crate::callers::CallerState;
use crate::catalog_view::CatalogView;
use crate::problem::CallerProblem;
use actix_web::error::PayloadError;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use actix_web::web::Payload;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_intake::prelude::*;
use crocusyard_metrics::prelude::MetricSet;
use crocusyard_settings::prelude::TenantSource;
use futures_util::StreamExt;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Longest wait of a body for room in the memory budget, far longer than evicted bodies take to be released.
const ROOM_TIMEOUT: ClockTime = ClockTime::from_secs(3);
/// Interval at which a body that makes no progress is checked. An evicted one is released within it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Wait after which a request for whose body there was no memory may be repeated.
const NO_MEMORY_RETRY: ClockTime = ClockTime::from_secs(1);

/// Longest deadline that a caller may set.
const MAX_DEADLINE: ClockTime = ClockTime::from_secs(3600);
/// Name of the header that carries an idempotency key.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest request id or idempotency key, bytes.
const MAX_ID_BYTES: usize = 128;
/// Headers that are not forwarded, because they concern one connection only or the host sets them.
const DROPPED_HEADERS: [&str; 11] = [
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

/// Returns the tenant that the request names, or whose API key it carries.
pub(crate) fn find_tenant(
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
            "the request identifies no known tenant",
        )
    })
}

/// Returns the class that the request names, or else the class that is served first.
pub(crate) fn find_class<'a>(
    view: &'a CatalogView,
    headers: &HeaderMap,
) -> Result<&'a ClassSpec, CallerProblem> {
    view.class(header(headers, "x-request-class"))
        .ok_or_else(|| {
            CallerProblem::refused(
                StatusCode::BAD_REQUEST,
                "unknown_class",
                "the request's class is not in the catalogue",
            )
        })
}

/// Returns the request id that the caller set, or a new random one.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<RequestId, CallerProblem> {
    let Some(value) = headers.get("x-request-id") else {
        return Ok(RequestId(Arc::from(format!("{:032x}", random_id()))));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_ID_BYTES => {
            Ok(RequestId(Arc::from(text)))
        }
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_header",
            "X-Request-Id must be 1 to 128 printable characters",
        )),
    }
}

/// Returns the idempotency key that the caller set.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, CallerProblem> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_ID_BYTES && is_plain_key(text) => {
            Ok(Some(Arc::from(text)))
        }
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_header",
            "Idempotency-Key must be 1 to 128 letters, digits, '-', '_', '.' or ':'",
        )),
    }
}

/// Returns the idempotency key that is sent to a target.
///
/// Tenants choose their keys independently and a target cannot tell tenants apart. The key
/// therefore contains the tenant's name, so that one tenant's record never answers another tenant's
/// call.
pub(crate) fn target_idempotency_key(tenant: &TenantName, key: &str) -> HeaderValue {
    // The key is a path segment of `/records/{key}`. Names contain no '~' and keys no '@'.
    let tenant = tenant.as_str().replace('/', "~");
    HeaderValue::try_from(format!("{tenant}@{key}"))
        .expect("tenant names and idempotency keys are plain ASCII")
}

/// Returns whether a key has only plain characters, because it becomes part of row keys and paths.
fn is_plain_key(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte))
}

/// Returns the time from now to the deadline that the caller set, or the default of the route or
/// class.
pub(crate) fn parse_deadline(
    headers: &HeaderMap,
    default_ms: u64,
) -> Result<ClockTime, CallerProblem> {
    let Some(value) = headers.get("x-request-deadline-ms") else {
        return Ok(ClockTime::from_ms(default_ms));
    };
    let timeout = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(ClockTime::from_ms);
    timeout
        .filter(|timeout| *timeout > ClockTime::ZERO && *timeout <= MAX_DEADLINE)
        .ok_or_else(|| {
            CallerProblem::refused(
                StatusCode::BAD_REQUEST,
                "bad_header",
                format!(
                    "X-Request-Deadline-Ms must be 1 to {}",
                    MAX_DEADLINE.as_ms()
                ),
            )
        })
}

/// Returns the headers that are forwarded between a caller and a target.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| !DROPPED_HEADERS.contains(&name.as_str());
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the value of a header; `None` if it is absent or not text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the digest of a call. The length of each part is hashed as well, so that different parts
/// with the same joined bytes have different digests.
pub(crate) fn call_digest(parts: &[&[u8]]) -> BodyDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    BodyDigest(u128::from_le_bytes(
        hash.as_bytes()[..16]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes"),
    ))
}

/// Returns a random id, drawn from the randomly seeded hashers of the standard library.
fn random_id() -> u128 {
    use std::hash::{BuildHasher, RandomState};
    let high = RandomState::new().hash_one(0_u64);
    let low = RandomState::new().hash_one(1_u64);
    (u128::from(high) << 64) | u128::from(low)
}

/// Limits on reading a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest size of the body, bytes.
    pub(crate) max_bytes: usize,
    /// Longest wait for the next part of the body.
    pub(crate) part_timeout: Duration,
}

/// The memory budget for bodies and answers, and the report of what it refuses.
#[derive(Clone)]
pub(crate) struct CallerIntake {
    pub(crate) budget: IntakeBudget,
    metrics: Arc<MetricSet>,
    refusals: Arc<Mutex<RefusalTally>>,
}

impl CallerIntake {
    pub(crate) fn new(budget: IntakeBudget, metrics: Arc<MetricSet>) -> Self {
        Self {
            budget,
            metrics,
            refusals: Arc::default(),
        }
    }

    /// Counts a refused body, and writes a line about such refusals once a second at most.
    fn report(&self, problem: CallerProblem) -> CallerProblem {
        self.metrics.record_refusal(problem.code);
        let due = {
            let tally = self.refusals.lock();
            let mut tally = tally.unwrap_or_else(PoisonError::into_inner);
            tally.count(problem.code);
            tally.take_due(intake_time())
        };
        if let Some(counts) = due {
            let held = self.budget.counts().held_bytes;
            log::warn!("bodies were refused: {counts:?}; {held} bytes are buffered");
        }
        problem
    }
}

/// Returns the time since the first call of this function, which is all that the budget needs.
fn intake_time() -> ClockTime {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    ClockTime::from_ms(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Reads a request body within limits of size, time and memory. `headers` are those of the request,
/// which may announce the length.
pub(crate) async fn read_body(
    payload: Payload,
    headers: &HeaderMap,
    limits: BodyLimits,
    intake: &CallerIntake,
) -> Result<Bytes, CallerProblem> {
    let announced = header(headers, "content-length").and_then(|text| text.parse().ok());
    let announced = announced.unwrap_or(0);
    let read = if announced > limits.max_bytes {
        Err(body_too_large(limits.max_bytes))
    } else {
        read_parts(payload, announced, limits, &intake.budget).await
    };
    read.map_err(|problem| intake.report(problem))
}

async fn read_parts(
    mut payload: Payload,
    announced: usize,
    limits: BodyLimits,
    budget: &IntakeBudget,
) -> Result<Bytes, CallerProblem> {
    let kind = IntakeUse::Incoming;
    let open = |now| BodyIntake::open(budget, kind, announced, now);
    let mut wait = RoomWait::new(ROOM_TIMEOUT);
    let opened = wait.retry(intake_time, open).await;
    let mut body = opened.map_err(budget_problem)?;
    let mut last_part = intake_time();
    loop {
        let part = match actix_rt::time::timeout(CHECK_INTERVAL, payload.next()).await {
            Err(_) => {
                body.check(intake_time()).map_err(budget_problem)?;
                let limit_ms = u64::try_from(limits.part_timeout.as_millis()).unwrap_or(u64::MAX);
                if intake_time().since(last_part).as_ms() >= limit_ms {
                    return Err(body_too_slow());
                }
                continue;
            }
            Ok(None) => return body.finish().map_err(budget_problem),
            Ok(Some(Err(error))) => return Err(body_unreadable(&error)),
            Ok(Some(Ok(part))) => part,
        };
        last_part = intake_time();
        if body.len() + part.len() > limits.max_bytes {
            return Err(body_too_large(limits.max_bytes));
        }
        let pushed = wait.retry(intake_time, |now| body.push(&part, now)).await;
        pushed.map_err(budget_problem)?;
    }
}

/// Charges bytes that were made from a body, and joins them with their charge.
pub(crate) fn hold_bytes(intake: &CallerIntake, bytes: Bytes) -> Result<Bytes, CallerProblem> {
    let now = intake_time();
    let mut guard = intake.budget.open(IntakeUse::Held, now);
    match guard.charge(bytes.len(), now) {
        Ok(()) => Ok(guard.attach(bytes)),
        Err(refusal) => Err(intake.report(budget_problem(refusal))),
    }
}

fn budget_problem(refusal: IntakeRefusal) -> CallerProblem {
    if refusal == IntakeRefusal::TooSlow {
        return body_too_slow();
    }
    let detail = "the host has no memory left for the body";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let problem = CallerProblem::refused(status, "no_memory", detail);
    CallerProblem {
        retry_after: Some(NO_MEMORY_RETRY),
        ..problem
    }
}

fn body_too_slow() -> CallerProblem {
    let detail = "a part of the body did not arrive in time";
    CallerProblem::refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow", detail)
}

fn body_unreadable(error: &PayloadError) -> CallerProblem {
    let detail = format!("the body cannot be read: {error}");
    CallerProblem::refused(StatusCode::BAD_REQUEST, "bad_request", detail)
}

fn body_too_large(limit: usize) -> CallerProblem {
    let detail = format!("the body is larger than {limit} bytes");
    CallerProblem::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
}
