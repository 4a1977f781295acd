//! The actix shell of one entry host: sockets, timers and the effects of the reducer.
//!
//! One actor owns the reducer's state. HTTP handlers parse what callers and operators send and talk
//! to the actor by messages; the actor performs the reducer's effects and feeds back what happens.
//! Nothing is decided here.

pub mod actor;
pub mod answer;
pub mod callers;
pub mod catalog_view;
mod claim_calls;
pub mod claims;
pub mod completion;
mod delivery;
pub mod effects;
mod intake;
mod polling;
pub mod problem;
pub mod resume;
pub mod serve;
pub mod submit;

/// The common names of this crate.
pub mod prelude {
    pub use crate::serve::{serve, start_host, HostError, HostHandle, HostKeys};
}
