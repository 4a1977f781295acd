//! A parsed request on its way to the actor.

use crate::answer::AnswerSender;
use actix::Message;
use actix_web::http::header::HeaderMap;
use actix_web::http::Method;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;
use std::sync::Arc;

/// What is sent to a target for a request.
#[derive(Clone, Debug)]
pub enum RequestPayload {
    /// A completion.
    Completion {
        /// Path at the engine.
        path: &'static str,
        /// Body, which asks for a stream.
        body: Bytes,
        /// Hashes of the prompt's blocks, comma-separated.
        blocks: Arc<str>,
        /// Priority of the class.
        priority: u8,
    },
    /// A call to a plain service.
    Plain {
        /// Method.
        method: Method,
        /// Path and query below the service.
        path: Arc<str>,
        /// Headers that are passed on.
        headers: Arc<HeaderMap>,
        /// Body.
        body: Bytes,
    },
}

impl RequestPayload {
    /// Returns the key under which a target keeps its record of the call.
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

/// A request for the actor. Its `deadline` is a span from now, since only the actor has the clock.
#[derive(Debug, Message)]
#[rtype(result = "RequestKey")]
pub struct SubmitRequest {
    /// What the reducer needs to know.
    pub spec: RequestSpec,
    /// What is sent to a target.
    pub payload: RequestPayload,
    /// Where the answer goes.
    pub answer: AnswerSender,
}

/// The caller of a request closed its connection.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct CallerDisconnected {
    /// Request.
    pub key: RequestKey,
}
