//! Events of the request reducer.

use crate::spec::RequestSpec;
use bytes::Bytes;
use crocusyard_base::prelude::*;

/// How far a failed attempt may have reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStatus {
    /// Not a byte of it was sent.
    NotSent,
    /// Bytes were sent; the target may have run it.
    MaybeSent,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// The answer is complete and has this many chunks.
    CompleteWith {
        /// Chunks of the whole answer.
        chunks: u32,
    },
    /// The target refused to run it, and said so; for a call that may not run twice this is no
    /// proof.
    Refused {
        /// HTTP status.
        status: u16,
        /// Wait that the target asked for.
        retry_after: Option<ClockTime>,
    },
    /// The connection could not be made, or broke.
    Failed {
        /// How far it may have reached.
        send_status: SendStatus,
        /// Whether the connection was reset or closed early, as when the target's process dies.
        connection_reset: bool,
    },
    /// The target no longer has the stream that was to be resumed.
    StreamGone,
}

/// What the table service said of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim was written.
    Granted,
    /// Another claim stands under the key and its answer is not recorded.
    Held {
        /// Its id.
        claim: ClaimId,
        /// Its digest.
        digest: BodyDigest,
        /// Target to which its holder meant to send the call.
        target: Option<TargetName>,
    },
    /// The answer is recorded; the shell holds it.
    Recorded {
        /// Digest of the recorded call.
        digest: BodyDigest,
    },
    /// Nothing stands under the key.
    Absent,
    /// The last claim under the key was released; nothing of its call was sent.
    Released {
        /// Version of the row.
        version: u64,
    },
    /// The call did not reach the table service.
    Failed,
    /// The table service's answer was lost.
    Unknown,
}

/// An event of the request reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// A request arrived.
    Arrived {
        /// Request.
        key: RequestKey,
        /// What it is.
        spec: Box<RequestSpec>,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// Request.
        key: RequestKey,
    },
    /// Bytes of an attempt were sent.
    AttemptSent {
        /// Attempt.
        attempt: AttemptId,
    },
    /// The head of an attempt's answer arrived.
    AttemptHead {
        /// Attempt.
        attempt: AttemptId,
    },
    /// A chunk of an attempt's answer arrived.
    AttemptChunk {
        /// Attempt.
        attempt: AttemptId,
        /// Position of the chunk in the whole answer, from 0.
        index: u32,
        /// Content.
        data: Bytes,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The table service answered a claim or the reading of one.
    ClaimReplied {
        /// Request.
        key: RequestKey,
        /// Answer.
        reply: ClaimReply,
    },
    /// The table service answered the recording of an answer.
    AnswerRecorded {
        /// Request.
        key: RequestKey,
        /// Whether the record is known to be written.
        stored: bool,
    },
    /// A target's own record was read.
    ExecutionChecked {
        /// Request.
        key: RequestKey,
        /// Whether the call ran there, if known; the shell holds its answer if it did.
        ran: Option<bool>,
    },
    /// A probe on a new connection ended.
    ProbeEnded {
        /// Target.
        target: TargetName,
        /// Whether the target answered.
        alive: bool,
    },
    /// Another host blames a digest for a target's crash.
    CrashReported {
        /// Digest.
        digest: BodyDigest,
        /// Target that crashed.
        target: TargetName,
    },
    /// A blamed digest completed on another host.
    CrashCleared {
        /// Digest.
        digest: BodyDigest,
    },
    /// Time passed, or a target's state changed.
    Tick,
}
