//! Messages between hosts, their postcard encoding and their authentication.
//!
//! A packet is one UDP datagram of at most [`PACKET_LIMIT`] bytes. It consists of a version byte,
//! the postcard encoding of a [`Packet`](packet::Packet), and a 16-byte keyed BLAKE3 hash. The hash
//! also covers the recipient's name, which is not sent, so a packet recorded on its way to one host
//! is refused by every other host. [`open`](packet::open) checks length, version, hash, encoding
//! and replay, in this order, and returns a typed error for each reason of refusal.
//!
//! Messages name hosts, failure domains and regions by [`NameId`](message::NameId), a 6-byte hash
//! of the name, because a name costs about 20 bytes. Load and demand identify targets and models by
//! their position in the catalogue and carry the catalogue's version; the receiver discards entries
//! of a version that it does not have. Leaving targets and crash reports carry the names of the
//! targets, since hosts with different catalogue versions must understand them too.
//!
//! This crate does not depend on routing; the core crate converts load deltas for it.

pub mod message;
pub mod packet;
pub mod replay;

/// Largest packet, bytes; fits an Ethernet frame of 1,500 bytes and leaves room for tunnel headers.
pub const PACKET_LIMIT: usize = 1200;
/// Size of the IPv4 and UDP headers, bytes; senders count them against their byte budget.
pub const DATAGRAM_OVERHEAD: usize = 28;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::message::{
        CrashReport, DemandChunk, DomainSummary, HostIntroduction, HostRecord, LeaseUpdate,
        LivenessState, MemberUpdate, ModelDemand, NameId, PresetReport, TargetDelta, TargetUpdate,
        WireMessage,
    };
    pub use crate::packet::{encoded_len, open, seal, KeyRing, OpenError, Packet, SealError};
    pub use crate::replay::ReplayTable;
    pub use crate::{DATAGRAM_OVERHEAD, PACKET_LIMIT};
}
