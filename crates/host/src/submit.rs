//! Messages with which the handlers for callers submit and cancel requests.

use crate::answer::AnswerSender;
use actix::Message;
use actix_web::http::header::HeaderMap;
use actix_web::http::Method;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;
use std::sync::Arc;

/// Content that is sent to a target for a request.
#[derive(Clone, Debug)]
pub enum RequestPayload {
    /// A completion at a model engine.
    Completion {
        /// Path of the call at the engine.
        path: &'static str,
        /// Body of the call, which asks for a stream.
        body: Bytes,
        /// Hashes of the prompt's blocks, separated by commas.
        blocks: Arc<str>,
        /// Priority of the request's class.
        priority: u8,
    },
    /// A call to a plain service.
    Plain {
        /// HTTP method of the call.
        method: Method,
        /// Path and query below the service.
        path: Arc<str>,
        /// Headers that are forwarded to the target.
        headers: Arc<HeaderMap>,
        /// Body of the call, forwarded unchanged.
        body: Bytes,
    },
}

impl RequestPayload {
    /// Returns the idempotency key under which a target records the call; `None` if there is none.
    pub(crate) fn record_key(&self) -> Option<String> {
        match self {
            Self::Plain { headers, .. } => {
                let key = headers.get("idempotency-key")?;
                Some(key.to_str().ok()?.to_owned())
            }
            Self::Completion { .. } => None,
        }
    }
}

/// Submits a request to the actor. The `deadline` in its spec is the time left from now, because
/// only the actor has the host's clock.
#[derive(Debug, Message)]
#[rtype(result = "RequestKey")]
pub struct SubmitRequest {
    /// The request as the reducer sees it.
    pub spec: RequestSpec,
    /// Content that is sent to a target.
    pub payload: RequestPayload,
    /// Channel to the caller's handler.
    pub answer: AnswerSender,
}

/// Tells the actor that the caller of a request closed its connection.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct CallerDisconnected {
    /// Key of the request in the reducer.
    pub key: RequestKey,
}
