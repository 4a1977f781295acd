//! Messages between hosts, their postcard encoding and their authentication.
//!
//! A packet is one UDP datagram of at most [`PACKET_LIMIT`] bytes: a version byte, the postcard
//! encoding of sender, incarnation, sequence and messages, and a 16-byte keyed BLAKE3 hash. The
//! hash also covers the recipient's name, which is not sent, so a packet recorded on its way to one
//! host is refused by every other host. [`open`](packet::open) checks, in this order, length,
//! version, hash, encoding and replay, and reports each refusal as a typed error.
//!
//! Messages name hosts, failure domains and regions by [`NameId`](message::NameId), a 6-byte hash
//! of the name, because a name costs about 20 bytes. Load and demand name targets and models by
//! their position in the catalogue and carry the catalogue's version; the receiver discards entries
//! of a version that it does not have. Leaving targets and crash digests carry names, since they
//! must be understood while versions differ.
//!
//! This crate knows nothing of routing; the core crate converts load deltas.

pub mod message;
pub mod packet;
pub mod replay;

/// Largest packet in bytes; fits an Ethernet frame of 1,500 bytes with room for tunnels.
pub const PACKET_LIMIT: usize = 1200;
/// Bytes of IPv4 and UDP headers that a budget adds to each packet.
pub const DATAGRAM_OVERHEAD: usize = 28;

/// The common names of this crate.
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
