//! Effects of the request reducer.

use crate::spec::RequestOutcome;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// Stable code of a refusal, as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCode {
    /// Too many requests of the tenant are in progress.
    TenantLimit,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met or has passed.
    Deadline,
    /// No target can serve the request.
    Unavailable,
    /// The retry budget is spent.
    RetryBudget,
    /// The table service cannot take a claim.
    ClaimUnavailable,
    /// The key was used with another body.
    KeyConflict,
    /// A call with the key may be running or may have run.
    InDoubt,
    /// The request is suspected of crashing targets.
    CrashSuspect,
    /// The target refused the request.
    TargetRefused,
    /// The target's answer broke off and could not be resumed.
    AnswerLost,
}

impl RefusalCode {
    /// Returns the text used in problem documents, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TenantLimit => "tenant_limit",
            Self::QueueFull => "queue_full",
            Self::Deadline => "deadline",
            Self::Unavailable => "unavailable",
            Self::RetryBudget => "retry_budget",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyConflict => "key_conflict",
            Self::InDoubt => "in_doubt",
            Self::CrashSuspect => "crash_suspect",
            Self::TargetRefused => "target_refused",
            Self::AnswerLost => "answer_lost",
        }
    }
}

/// A refusal or a failure, as told to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Code.
    pub code: RefusalCode,
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Wait after which a retry can help.
    pub retry_after: Option<ClockTime>,
}

/// Times of an ended request, for the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSample {
    /// Tenant.
    pub tenant: TenantName,
    /// Class.
    pub class: ClassName,
    /// Last target.
    pub target: Option<TargetName>,
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Refusal code, if refused.
    pub code: Option<RefusalCode>,
    /// Time in the queue.
    pub queue_time: ClockTime,
    /// Time to the first chunk.
    pub time_to_first_chunk: Option<ClockTime>,
    /// Time from the first to the last chunk.
    pub stream_time: ClockTime,
    /// Whole time.
    pub total_time: ClockTime,
    /// Chunks delivered.
    pub chunks: u32,
    /// Attempts.
    pub attempts: u32,
}

/// An effect of the request reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEffect {
    /// Send a request to a target.
    Dispatch {
        /// Request.
        key: RequestKey,
        /// Attempt.
        attempt: AttemptId,
        /// Target.
        target: TargetName,
        /// Attempt whose stream is to be continued there, and the first chunk wanted.
        resume: Option<(AttemptId, u32)>,
    },
    /// Stop an attempt at the target and forget its connection.
    ///
    /// For an engine's stream this is the attempt that started it; a connection that resumed it is
    /// closed by a `CloseAttempt` of its own.
    CancelAttempt {
        /// Attempt.
        attempt: AttemptId,
        /// Target.
        target: TargetName,
    },
    /// Close the connection of an attempt, but let the target go on with the work.
    CloseAttempt {
        /// Attempt.
        attempt: AttemptId,
        /// Target.
        target: TargetName,
    },
    /// Pass the head of an attempt's answer to the caller.
    ///
    /// It comes right before the first chunk or the end, because a request can be restarted on
    /// another target only while its caller has nothing.
    DeliverHead {
        /// Request.
        key: RequestKey,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Pass a chunk to the caller.
    DeliverChunk {
        /// Request.
        key: RequestKey,
        /// Attempt that started the answer, for the resume token; a resume does not change it.
        attempt: AttemptId,
        /// Target, for the resume token.
        target: TargetName,
        /// Position in the whole answer.
        index: u32,
        /// Content.
        data: Bytes,
    },
    /// Close the caller's answer; it is whole.
    Finish {
        /// Request.
        key: RequestKey,
    },
    /// Tell the caller of a refusal or a broken answer.
    Refuse {
        /// Request.
        key: RequestKey,
        /// Refusal.
        refusal: RequestRefusal,
    },
    /// Write a claim, if none stands under the key.
    ///
    /// The write is conditional on what was read, so that it has no effect if it arrives after the
    /// claim's release.
    WriteClaim {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
        /// Claim.
        claim: ClaimId,
        /// Digest of the call.
        digest: BodyDigest,
        /// Target that the call will be sent to.
        target: TargetName,
        /// Version of the released row that the claim replaces; `None` if there is no row.
        replaced_version: Option<u64>,
    },
    /// Name another target in a claim that stands, before the call is sent there.
    RetargetClaim {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
        /// Claim.
        claim: ClaimId,
        /// Target that the call will be sent to.
        target: TargetName,
    },
    /// Read the claim under a key.
    ReadClaim {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
    },
    /// Record the answer of an attempt under its claim.
    RecordAnswer {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
        /// Claim.
        claim: ClaimId,
        /// Attempt whose answer the shell collected; `None` for an answer read from the target.
        attempt: Option<AttemptId>,
    },
    /// Free the key of a call that was truly not sent, unless another claim stands in the row.
    ///
    /// The row is marked as released, or written so if there is none. It is never deleted: its
    /// presence and its version refuse a write of the claim that arrives later.
    ReleaseClaim {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
        /// Claim.
        claim: ClaimId,
    },
    /// Read whether a target ran the call.
    CheckExecution {
        /// Request.
        key: RequestKey,
        /// Row key.
        row: Arc<str>,
        /// Target.
        target: TargetName,
    },
    /// Give the caller the answer that the shell read from the claim or from the target's record.
    Replay {
        /// Request.
        key: RequestKey,
    },
    /// Probe a target on a new connection.
    Probe {
        /// Target.
        target: TargetName,
    },
    /// Close all pooled connections to a target.
    ClosePool {
        /// Target.
        target: TargetName,
    },
    /// Ask for a model to be loaded, since requests wait for it.
    DemandModel {
        /// Model.
        model: ModelName,
        /// Requests waiting.
        waiting: u32,
    },
    /// Tell the other hosts that a digest is blamed for a crash.
    ReportCrash {
        /// Digest.
        digest: BodyDigest,
        /// Target that crashed.
        target: TargetName,
    },
    /// Tell the other hosts that a blamed digest has completed.
    ReportCrashCleared {
        /// Digest.
        digest: BodyDigest,
    },
    /// Add an ended request to the metrics and the log.
    EmitSample {
        /// Request.
        key: RequestKey,
        /// Figures.
        sample: Box<RequestSample>,
    },
}
