//! Description of a request, as the shell passes it to the reducer, and its possible outcomes.

use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// A request as it arrived from its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// Identifier shown to the caller and in logs.
    pub id: RequestId,
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Request class, which sets the priority and the queue limit.
    pub class: ClassName,
    /// Model and adapter, or plain service, that the request asks for.
    pub work: WorkKind,
    /// Whether targets may run the request more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<Arc<str>>,
    /// Hash of the route and the body; equal for repeats of a request.
    pub digest: BodyDigest,
    /// Hashes of the prompt's blocks, for routing to targets that have them cached.
    pub prefix: Vec<u64>,
    /// Input length in tokens.
    pub input_tokens: u32,
    /// Expected output length in tokens.
    pub output_tokens: u32,
    /// Time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// Position to continue from, if a caller that lost its connection resumes a stream.
    pub resume: Option<ResumePoint>,
}

/// Position from which a caller resumes an answer of which it has a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Attempt that started the answer.
    pub attempt: AttemptId,
    /// Target that runs the attempt.
    pub target: TargetName,
    /// Number of chunks that the caller has received.
    pub received_chunks: u32,
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// No target has run the request.
    NotRun,
    /// A target may have run the request.
    Unknown,
    /// The request ran, and the caller has the whole answer.
    Completed,
}

impl RequestOutcome {
    /// Returns the name used in problem documents and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Completed => "completed",
        }
    }
}
