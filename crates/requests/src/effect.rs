//! Effects of the request reducer.

use crate::spec::RequestOutcome;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use std::sync::Arc;

/// Reason of a refusal, with a stable code for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalCode {
    /// Too many requests of the tenant are in progress.
    TenantLimit,
    /// The queue of the request's class is full.
    QueueFull,
    /// The deadline cannot be met or has passed.
    Deadline,
    /// No target can serve the request.
    Unavailable,
    /// The retry budget is spent.
    RetryBudget,
    /// The claim of the call could not be read or written in time.
    ClaimUnavailable,
    /// The idempotency key was used with another body.
    KeyConflict,
    /// A call with the same idempotency key may be running or may have run.
    InDoubt,
    /// The request is suspected of crashing targets.
    CrashSuspect,
    /// A target refused the request.
    TargetRefused,
    /// The target's answer was lost, or broke off and could not be resumed.
    AnswerLost,
}

impl RefusalCode {
    /// Returns the code used in problem documents, logs and metrics.
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

/// A refusal or a failure, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Whether a target may have run the request.
    pub outcome: RequestOutcome,
    /// Time after which a retry may succeed, `None` if a retry does not help.
    pub retry_after: Option<ClockTime>,
}

/// Measured times and counts of one ended request, for the metrics and the log.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSample {
    /// Tenant that sent the request.
    pub tenant: TenantName,
    /// Class of the request.
    pub class: ClassName,
    /// Last target that an attempt was sent to, `None` if there was no attempt.
    pub target: Option<TargetName>,
    /// Outcome as reported to the caller.
    pub outcome: RequestOutcome,
    /// Reason of the refusal, `None` if the request was not refused.
    pub code: Option<RefusalCode>,
    /// Time from arrival to leaving the queue.
    pub queue_time: ClockTime,
    /// Time from arrival to the first chunk, `None` if no chunk arrived.
    pub time_to_first_chunk: Option<ClockTime>,
    /// Time from the first to the last chunk.
    pub stream_time: ClockTime,
    /// Time from arrival to the end.
    pub total_time: ClockTime,
    /// Number of chunks of the answer that have arrived in order.
    pub chunks: u32,
    /// Number of attempts, without resumes.
    pub attempts: u32,
}

/// Output of the request reducer, to be performed by the shell or by another feature of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEffect {
    /// Send a request to a target.
    Dispatch {
        /// Request to send.
        key: RequestKey,
        /// Identifier of the new attempt.
        attempt: AttemptId,
        /// Target to send the request to.
        target: TargetName,
        /// To resume a stream: the attempt that started it, and the index of the first chunk to
        /// send.
        resume: Option<(AttemptId, u32)>,
    },
    /// Cancel an attempt at its target and drop its connection.
    ///
    /// For an engine's stream, `attempt` is the attempt that started the stream. A connection that
    /// resumed the stream is closed by a separate `CloseAttempt`.
    CancelAttempt {
        /// Attempt to cancel.
        attempt: AttemptId,
        /// Target that runs the attempt.
        target: TargetName,
    },
    /// Close the connection of an attempt without cancelling the work at the target.
    CloseAttempt {
        /// Attempt whose connection is closed.
        attempt: AttemptId,
        /// Target at the other end of the connection.
        target: TargetName,
    },
    /// Pass the head of an attempt's answer to the caller.
    ///
    /// The head is passed right before the first chunk or the end of the answer, because a request
    /// can be restarted on another target only while its caller has received nothing.
    DeliverHead {
        /// Request of the caller.
        key: RequestKey,
        /// Attempt whose head is passed.
        attempt: AttemptId,
    },
    /// Pass a chunk of the answer to the caller.
    DeliverChunk {
        /// Request of the caller.
        key: RequestKey,
        /// Attempt that started the answer, for the resume token; a resume does not change it.
        attempt: AttemptId,
        /// Target that runs the attempt, for the resume token.
        target: TargetName,
        /// Position of the chunk in the whole answer, from 0.
        index: u32,
        /// Content of the chunk.
        data: Bytes,
    },
    /// Close the answer to the caller, which has received all of it.
    Finish {
        /// Request of the caller.
        key: RequestKey,
    },
    /// Report a refusal, or the loss of the answer, to the caller.
    Refuse {
        /// Request of the caller.
        key: RequestKey,
        /// Refusal to report.
        refusal: RequestRefusal,
    },
    /// Write a claim, if the row is absent or has the given version.
    ///
    /// The write is conditional on what was read, so that it has no effect if it arrives after the
    /// release of the claim.
    WriteClaim {
        /// Request that the claim is for.
        key: RequestKey,
        /// Key of the claim's row.
        row: Arc<str>,
        /// Identifier of the claim.
        claim: ClaimId,
        /// Digest of the call.
        digest: BodyDigest,
        /// Target that the call will be sent to.
        target: TargetName,
        /// Version of the released row that the claim replaces; `None` if there is no row.
        replaced_version: Option<u64>,
    },
    /// Change the target that a granted claim names, before the call is sent to the new target.
    RetargetClaim {
        /// Request that the claim is for.
        key: RequestKey,
        /// Key of the claim's row.
        row: Arc<str>,
        /// Identifier of the claim.
        claim: ClaimId,
        /// Target that the call will be sent to.
        target: TargetName,
    },
    /// Read the row of a claim.
    ReadClaim {
        /// Request that needs the claim.
        key: RequestKey,
        /// Key of the claim's row.
        row: Arc<str>,
    },
    /// Record an answer under its claim.
    RecordAnswer {
        /// Request whose answer is recorded.
        key: RequestKey,
        /// Key of the claim's row.
        row: Arc<str>,
        /// Identifier of the claim.
        claim: ClaimId,
        /// Attempt whose answer the shell collected; `None` for the answer from the target's
        /// execution record.
        attempt: Option<AttemptId>,
    },
    /// Release the claim of a call of which nothing was sent, unless the row holds another claim.
    ///
    /// The row is marked as released, or created as released if there is none. It is never deleted,
    /// so that its existence and its version refuse a write of the claim that arrives later.
    ReleaseClaim {
        /// Request that the claim was for.
        key: RequestKey,
        /// Key of the claim's row.
        row: Arc<str>,
        /// Identifier of the claim.
        claim: ClaimId,
    },
    /// Read from a target's execution record whether the target ran a call.
    CheckExecution {
        /// Request of the call.
        key: RequestKey,
        /// Key of the row of the call's claim.
        row: Arc<str>,
        /// Target whose record is read.
        target: TargetName,
    },
    /// Give the caller the answer that the shell read from the claim or the execution record.
    Replay {
        /// Request of the caller.
        key: RequestKey,
    },
    /// Probe a target on a new connection.
    Probe {
        /// Target to probe.
        target: TargetName,
    },
    /// Close all pooled connections to a target.
    ClosePool {
        /// Target whose connections are closed.
        target: TargetName,
    },
    /// Report that requests wait for a model that no usable target has loaded.
    ReportMissingModel {
        /// Model to load.
        model: ModelName,
        /// Number of requests that wait for the model.
        waiting: u32,
    },
    /// Report to the other hosts that a digest may have crashed a target.
    ReportCrash {
        /// Digest of a request that ran on the target when it crashed.
        digest: BodyDigest,
        /// Target that crashed.
        target: TargetName,
    },
    /// Report to the other hosts that a request with a suspected digest has completed.
    ReportCrashCleared {
        /// Digest that is no longer suspected.
        digest: BodyDigest,
    },
    /// Add an ended request to the metrics and the log.
    EmitSample {
        /// Request that ended.
        key: RequestKey,
        /// Measured times and counts of the request.
        sample: Box<RequestSample>,
    },
}
