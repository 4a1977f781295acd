//! Life cycle of a request: attempts, retries, resumed streams, idempotency claims and
//! crash-causing requests.
//!
//! [`reduce`](reduce::reduce) takes one event and appends effects. Bodies of requests and heads of
//! answers stay in the shell under the request's key and the attempt's id; only chunks pass through
//! here, because the reducer decides which chunk is delivered.

mod arrival;
mod attempts;
mod blame;
mod budget;
mod claims;
mod dispatch;
pub mod effect;
mod ending;
pub mod event;
mod probe;
mod recover;
pub mod reduce;
mod settle;
pub mod spec;
pub mod state;
mod timers;

/// The common names of this crate.
pub mod prelude {
    pub use crate::effect::{RefusalCode, RequestEffect, RequestRefusal, RequestSample};
    pub use crate::event::{AttemptEnd, ClaimReply, RequestEvent, SendStatus};
    pub use crate::reduce::{reduce, RequestContext};
    pub use crate::spec::{RequestOutcome, RequestSpec, ResumePoint};
    pub use crate::state::{RequestLimits, RequestSettings, RequestState};
}
