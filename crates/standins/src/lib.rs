//! Small stand-ins for model engines, plain services and the platform.
//!
//! Tests, the quickstart and the load tool run the entry hosts against these. Each stand-in is one
//! HTTP server on a loopback address. The `crocusyard_standin` program runs one stand-in in a
//! process of its own, and the `start` functions run one inside another program. Answers are
//! deterministic, so that a caller can check that it received the complete answer to its own
//! request.

pub mod answers;
pub mod engine;
pub mod faults;
pub mod packets;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod runs;
pub mod server;

/// The common names of this crate.
pub mod prelude {
    pub use crate::answers::{answer_token, answer_tokens};
    pub use crate::engine::{start_engine, EngineOptions, LoadableAdapter};
    pub use crate::faults::{FaultMode, FaultSettings};
    pub use crate::packets::{start_packet_relay, PacketRelay, RelayedHost};
    pub use crate::plain::{start_plain, PlainOptions};
    pub use crate::platform::{start_platform, PlatformOptions};
    pub use crate::relay::{start_relay, RelayMode, RelaySwitch};
    pub use crate::runs::print_runs;
    pub use crate::server::RunningServer;
}
