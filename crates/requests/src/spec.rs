//! What the shell knows of a request when it arrives, as data.

use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

/// A request as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSpec {
    /// Identifier shown to the caller.
    pub id: RequestId,
    /// Tenant.
    pub tenant: TenantName,
    /// Class.
    pub class: ClassName,
    /// What is asked for.
    pub work: WorkKind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Hash of the route and body.
    pub digest: BodyDigest,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Expected output length, tokens.
    pub output_tokens: u32,
    /// Point at which the caller gives up.
    pub deadline: ClockTime,
    /// Where a reconnecting caller continues.
    pub resume: Option<ResumePoint>,
}

/// Where a caller continues an answer that it has in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Attempt that produced the first part.
    pub attempt: AttemptId,
    /// Target that ran it.
    pub target: TargetName,
    /// Number of chunks that the caller has.
    pub received_chunks: u32,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// No target ran it.
    NotRun,
    /// A target may have run it.
    Unknown,
    /// It ran, and the caller has the whole answer.
    Completed,
}

impl RequestOutcome {
    /// Returns the text used in problem documents and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Completed => "completed",
        }
    }
}
