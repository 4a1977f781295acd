//! Claims of idempotency keys in the table service, and the answers recorded under them.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::http::StatusCode;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_border::engine::CallRecord;
use crocusyard_requests::prelude::*;
use crocusyard_targets::prelude::ResponseHead;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An answer that is kept for repeats of its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body in Base64.
    pub body: String,
}

/// Row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Claim id.
    pub claim: String,
    /// Digest of the call.
    pub digest: String,
    /// Target that the call is sent to.
    pub target: String,
    /// Whether the claim was given up and nothing of the call was sent.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
    /// Recorded answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
}

impl StoredAnswer {
    /// Keeps the answer of an attempt.
    pub fn new(head: &ResponseHead, body: &[u8]) -> Self {
        let headers = head
            .headers
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
        Self {
            status: head.status.as_u16(),
            headers: headers.collect(),
            body: STANDARD.encode(body),
        }
    }

    /// Keeps the answer from a target's own record.
    pub fn from_record(record: &CallRecord) -> Self {
        Self {
            status: record.status,
            headers: vec![("content-type".to_owned(), record.content_type.clone())],
            body: STANDARD.encode(&record.body),
        }
    }

    /// Returns the head and the body.
    pub fn to_parts(&self) -> (ResponseHead, Bytes) {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = STANDARD.decode(&self.body).unwrap_or_default();
        (ResponseHead { status, headers }, Bytes::from(body))
    }
}

impl ClaimRow {
    /// Reads a row; `None` if it is malformed.
    pub fn parse(row: &TableRow) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Returns the row's value.
    pub fn encode(&self) -> Arc<str> {
        Arc::from(serde_json::to_string(self).unwrap_or_default())
    }

    /// Turns the row of a version into an answer for the reducer.
    pub fn to_reply(&self, version: u64) -> ClaimReply {
        if self.released {
            return ClaimReply::Released { version };
        }
        let digest = BodyDigest::parse(&self.digest).unwrap_or_default();
        if self.answer.is_some() {
            return ClaimReply::Recorded { digest };
        }
        ClaimReply::Held {
            claim: ClaimId::parse(&self.claim).unwrap_or_default(),
            digest,
            target: Some(TargetName::new(&self.target)),
        }
    }
}
