//! Life cycle of a request: attempts, retries, resumed streams, idempotency claims and crash
//! suspects (requests that may have crashed a target).
//!
//! [`reduce`](reduce::reduce) applies one event to the state and appends the effects that the shell
//! (the code that does the I/O) has to perform. The shell keeps the body of each request under its
//! [`RequestKey`](crocusyard_base::prelude::RequestKey) and the head of each answer under its
//! [`AttemptId`](crocusyard_base::prelude::AttemptId). Only chunks of answers pass through the
//! reducer, because it decides which of them are delivered.
//!
//! An answer is the response that a target gives to a request. An attempt is one dispatch of a
//! request to a target. A call is a request that targets may not run more than once. A claim is a
//! row of the table service that reserves a caller's idempotency key, so that a call with this key
//! runs at most once.

mod arrival;
mod attempts;
mod claims;
mod crash_suspects;
mod dispatch;
pub mod effect;
pub mod event;
mod outcome;
mod probe;
mod records;
mod recovery;
pub mod reduce;
mod retry;
pub mod spec;
pub mod state;
mod timers;

/// Common types and functions of this crate.
pub mod prelude {
    pub use crate::effect::{RefusalCode, RequestEffect, RequestRefusal, RequestSample};
    pub use crate::event::{AttemptEnd, ClaimReply, RequestEvent, SendStatus};
    pub use crate::reduce::{reduce, RequestContext};
    pub use crate::spec::{RequestOutcome, RequestSpec, ResumePoint};
    pub use crate::state::{RequestLimits, RequestSettings, RequestState};
}
