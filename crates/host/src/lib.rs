//! The actix shell of one entry host: sockets, timers and the effects of the reducer.
//!
//! One actor owns the reducer's state. HTTP handlers parse the requests of callers and operators
//! and send them to the actor as messages. The actor performs the reducer's effects and returns the
//! results to the reducer as events. All decisions are made in the reducer, none in this crate.
//!
//! This is the shell behind `crocusyard serve`: it drives the reducer of `crates/core` and offers
//! the product's own HTTP interface, with its catalogue and presets. The shell behind `crocusyard
//! entry`, for hosts on the users' platform, is `crates/edge`.

pub mod actor;
mod addresses;
pub mod answer;
pub mod callers;
pub mod catalog_view;
mod claim_calls;
pub mod claims;
pub mod completion;
mod delivery;
pub mod effects;
mod feature_settings;
mod gauges;
mod gossip;
mod intake;
mod move_calls;
mod operators;
mod polling;
mod preset_calls;
pub mod problem;
pub mod resume;
pub mod serve;
mod status;
pub mod submit;

/// The common names of this crate.
pub mod prelude {
    pub use crate::serve::{serve, start_host, HostError, HostHandle, HostKeys};
}
