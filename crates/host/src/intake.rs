//! What the headers of a request say: tenant, class, identifiers and deadline.

use crate::callers::CallerState;
use crate::catalog_view::CatalogView;
use crate::problem::CallerProblem;
use actix_web::error::PayloadError;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_settings::prelude::TenantSource;
use futures_util::StreamExt;
use std::sync::Arc;
use std::time::Duration;

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: ClockTime = ClockTime::from_secs(3600);
/// Header of idempotency keys.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Longest request id and idempotency key, bytes.
const MAX_ID_BYTES: usize = 128;
/// Headers of a call that concern one connection only, or that the host sets itself.
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
            "no known tenant",
        )
    })
}

pub(crate) fn find_class<'a>(
    view: &'a CatalogView,
    headers: &HeaderMap,
) -> Result<&'a ClassSpec, CallerProblem> {
    view.class(header(headers, "x-request-class"))
        .ok_or_else(|| {
            CallerProblem::refused(StatusCode::BAD_REQUEST, "unknown_class", "no such class")
        })
}

/// Returns the caller's request id, or makes one.
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

/// Returns the idempotency key that a target sees.
///
/// Tenants choose their keys independently and a target cannot tell them apart, so the tenant
/// stands in the key: one tenant's record must never settle another tenant's call.
pub(crate) fn target_idempotency_key(tenant: &TenantName, key: &str) -> HeaderValue {
    // The key is a path segment of `/records/{key}`. Names contain no '~' and keys no '@'.
    let tenant = tenant.as_str().replace('/', "~");
    HeaderValue::try_from(format!("{tenant}@{key}")).expect("names and keys are plain ASCII")
}

/// Keys become parts of row keys and paths, so only plain characters are taken.
fn is_plain_key(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte))
}

pub(crate) fn deadline(headers: &HeaderMap, default_ms: u64) -> Result<ClockTime, CallerProblem> {
    let Some(value) = headers.get("x-request-deadline-ms") else {
        return Ok(ClockTime::from_ms(default_ms));
    };
    let span = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(ClockTime::from_ms);
    span.filter(|span| *span > ClockTime::ZERO && *span <= MAX_DEADLINE)
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

pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| !DROPPED_HEADERS.contains(&name.as_str());
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn call_digest(parts: &[&[u8]]) -> BodyDigest {
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
fn random_id() -> u128 {
    use std::hash::{BuildHasher, RandomState};
    let high = RandomState::new().hash_one(0_u64);
    let low = RandomState::new().hash_one(1_u64);
    (u128::from(high) << 64) | u128::from(low)
}

/// Limits on reading a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest body, bytes.
    pub(crate) max_bytes: usize,
    /// Longest wait for the next part.
    pub(crate) part_timeout: Duration,
}

/// Reads a request body within limits of size and time.
pub(crate) async fn read_body(
    mut payload: Payload,
    limits: BodyLimits,
) -> Result<Bytes, CallerProblem> {
    let mut body = BytesMut::new();
    loop {
        let part = match actix_rt::time::timeout(limits.part_timeout, payload.next()).await {
            Err(_) => return Err(body_too_slow()),
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(Err(error))) => return Err(body_broken(&error)),
            Ok(Some(Ok(part))) => part,
        };
        if body.len() + part.len() > limits.max_bytes {
            return Err(body_too_large(limits.max_bytes));
        }
        body.extend_from_slice(&part);
    }
}

fn body_too_slow() -> CallerProblem {
    let detail = "the body did not arrive in time";
    CallerProblem::refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow", detail)
}

fn body_broken(error: &PayloadError) -> CallerProblem {
    let detail = format!("the body cannot be read: {error}");
    CallerProblem::refused(StatusCode::BAD_REQUEST, "bad_request", detail)
}

fn body_too_large(limit: usize) -> CallerProblem {
    let detail = format!("the body is larger than {limit} bytes");
    CallerProblem::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", detail)
}
