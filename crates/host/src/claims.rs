//! Claims of idempotency keys, as rows of the table service, and the answers recorded in them.

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

/// A recorded answer, which is replayed when the same call is made again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Names and values of the answer's headers; values that are not text are left out.
    pub headers: Vec<(String, String)>,
    /// Body of the answer, encoded in Base64.
    pub body: String,
}

/// JSON value of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Id of the claim that holds the idempotency key.
    pub claim: String,
    /// Digest of the call, which shows whether the key is used for another call.
    pub digest: String,
    /// Target that the call is sent to; empty if the claim was released.
    pub target: String,
    /// Whether the claim was released. Nothing of the call was sent in that case.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
    /// Recorded answer; `None` until the call has completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
}

impl StoredAnswer {
    /// Builds a record from the answer of an attempt.
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

    /// Builds a record from the one that a target keeps of the call.
    pub fn from_record(record: &CallRecord) -> Self {
        Self {
            status: record.status,
            headers: vec![("content-type".to_owned(), record.content_type.clone())],
            body: STANDARD.encode(&record.body),
        }
    }

    /// Decodes the head and the body of the answer.
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
    /// Parses a row's value; returns `None` if it is malformed.
    pub fn parse(row: &TableRow) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// Encodes the row's value as JSON.
    pub fn encode(&self) -> Arc<str> {
        Arc::from(serde_json::to_string(self).unwrap_or_default())
    }

    /// Returns the reply for the reducer; `version` is the row's version in the table.
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
