//! The process of an entry host on the users' platform.
//!
//! [`run::run_edge`] starts it. [`shell`] owns all state, feeds events to the reducer and carries
//! out its effects. Most other modules each communicate with one kind of peer: callers, targets,
//! engines, the store or other hosts.
//!
//! This is the shell behind `crocusyard entry`: it drives the reducer of `crates/serving` and
//! speaks the protocol of the users' platform, which `platform/` implements. The shell behind
//! `crocusyard serve`, which has an HTTP interface, catalogue and presets of its own, is
//! `crates/host`.

mod attempt_log;
mod body;
mod body_reader;
mod caller_conns;
mod clock;
mod compression;
mod control;
mod crash_history;
mod crash_log;
mod decision_log;
mod entry;
mod exchange;
mod follow;
mod former_state;
mod gossip;
mod intake_log;
mod lease_keeper;
mod message;
mod metrics;
mod moves;
mod notices;
mod own_row;
mod refusals;
pub mod run;
mod shell;
mod store_calls;
mod stream;
mod target_list;
mod tenant_metrics;

/// Items that users of this crate usually need.
pub mod prelude {
    pub use crate::run::{run_edge, EdgeError};
}
