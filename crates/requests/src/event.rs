//! Events of the request reducer.

use crate::spec::RequestSpec;
use bytes::Bytes;
use crocusyard_base::prelude::*;

/// Whether any bytes of a failed attempt were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStatus {
    /// Not a single byte was sent, so the target has not run the attempt.
    NotSent,
    /// Bytes were or may have been sent, so the target may have run the attempt.
    MaybeSent,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete with the chunks that have arrived.
    Complete,
    /// The answer is complete and its number of chunks is known.
    CompleteWith {
        /// Number of chunks of the whole answer, with those before a resume.
        chunks: u32,
    },
    /// The target answered that it refuses the attempt.
    ///
    /// For a call that may not run twice, this does not prove that the target has not run it.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Time after which the target asked for a retry, if it did.
        retry_after: Option<ClockTime>,
    },
    /// The connection could not be opened, or was lost.
    Failed {
        /// Whether any bytes of the attempt were sent.
        send_status: SendStatus,
        /// Whether the connection was reset or closed early, as when the target's process crashes.
        connection_reset: bool,
    },
    /// The target no longer has the stream that was to be resumed.
    StreamGone,
}

/// Reply of the table service to the reading or writing of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim was written.
    Granted,
    /// The row holds a claim whose answer is not recorded.
    Held {
        /// Identifier of the claim in the row.
        claim: ClaimId,
        /// Digest of the call that the claim is for.
        digest: BodyDigest,
        /// Target that the claim names for its call, if it names one.
        target: Option<TargetName>,
    },
    /// The row holds a recorded answer, which the shell keeps for a replay.
    Recorded {
        /// Digest of the call that the answer belongs to.
        digest: BodyDigest,
    },
    /// There is no row for the key.
    Absent,
    /// The last claim in the row was released, because nothing of its call was sent.
    Released {
        /// Version of the released row.
        version: u64,
    },
    /// The read or write did not reach the table service and has not taken effect.
    Failed,
    /// The reply was lost, so a write may have taken effect or may still do so.
    Unknown,
}

/// Input of the request reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// A request arrived.
    Arrived {
        /// New key under which the shell keeps the request.
        key: RequestKey,
        /// Description of the request.
        spec: Box<RequestSpec>,
    },
    /// The caller closed its connection before its answer was complete.
    CallerDisconnected {
        /// Request of the caller.
        key: RequestKey,
    },
    /// The first bytes of an attempt are about to be sent.
    AttemptSent {
        /// Attempt whose bytes are sent.
        attempt: AttemptId,
    },
    /// The head of an attempt's answer arrived.
    AttemptHead {
        /// Attempt that the head belongs to.
        attempt: AttemptId,
    },
    /// A chunk of an attempt's answer arrived.
    AttemptChunk {
        /// Attempt that the chunk belongs to.
        attempt: AttemptId,
        /// Position of the chunk in the whole answer, from 0.
        index: u32,
        /// Content of the chunk.
        data: Bytes,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The table service replied to the reading or writing of a claim.
    ClaimReplied {
        /// Request that the claim belongs to.
        key: RequestKey,
        /// Reply of the table service.
        reply: ClaimReply,
    },
    /// The table service replied to the recording of an answer.
    AnswerRecorded {
        /// Request whose answer was to be recorded.
        key: RequestKey,
        /// Whether the answer is known to be recorded.
        stored: bool,
    },
    /// A target's execution record of a call was read, or could not be read.
    ExecutionChecked {
        /// Request whose call was looked up.
        key: RequestKey,
        /// Whether the record shows that the call ran, `None` if it could not be read. If it ran,
        /// the shell keeps its answer.
        ran: Option<bool>,
    },
    /// A probe of a target on a new connection ended.
    ProbeEnded {
        /// Target that was probed.
        target: TargetName,
        /// Whether the target answered.
        alive: bool,
    },
    /// Another host reports that a digest may have crashed a target.
    CrashReported {
        /// Digest of a request that ran on the target when it crashed.
        digest: BodyDigest,
        /// Target that crashed.
        target: TargetName,
    },
    /// A request with a suspected digest completed on another host.
    CrashCleared {
        /// Digest that is no longer suspected.
        digest: BodyDigest,
    },
    /// Time passed, or the state of a target changed.
    Tick,
}
