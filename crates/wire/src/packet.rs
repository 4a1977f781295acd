//! Sealing and opening of packets.

use crate::message::WireMessage;
use crate::replay::{ReplayCheck, ReplayTable};
use crate::PACKET_LIMIT;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Format version in the first byte of a packet.
pub const PACKET_VERSION: u8 = 2;
/// Bytes of the keyed hash at the end of a packet.
pub const HASH_SIZE: usize = 16;

/// Secret keys shared by all hosts.
///
/// To rotate, first add the new key as `previous` on all hosts, then exchange the two, then drop
/// the old one. Packets are sealed with `current` and accepted under both.
#[derive(Clone)]
pub struct KeyRing {
    /// Key that seals.
    pub current: [u8; 32],
    /// Second key that is accepted.
    pub previous: Option<[u8; 32]>,
}

/// Content of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub sender: HostName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the packet; rises with every packet of the sender to any host.
    pub sequence: u64,
    /// Load of the sender, percent of what it can take.
    pub utilisation: u8,
    /// Messages.
    pub messages: Vec<WireMessage>,
}

/// Why a packet could not be sealed.
#[derive(Debug, Snafu)]
pub enum SealError {
    /// Postcard refused the messages.
    #[snafu(display("packet cannot be encoded"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// The packet is larger than [`PACKET_LIMIT`].
    #[snafu(display("packet of {size} bytes exceeds the limit of {PACKET_LIMIT}"))]
    TooLarge {
        /// Bytes.
        size: usize,
    },
}

/// Why a received packet was refused.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// Larger than [`PACKET_LIMIT`].
    #[snafu(display("packet of {size} bytes exceeds the limit of {PACKET_LIMIT}"))]
    Oversized {
        /// Bytes.
        size: usize,
    },
    /// Too short for version and hash.
    #[snafu(display("packet of {size} bytes is truncated"))]
    Truncated {
        /// Bytes.
        size: usize,
    },
    /// Unknown format version.
    #[snafu(display("unknown packet version {version}"))]
    UnknownVersion {
        /// Version byte.
        version: u8,
    },
    /// The hash fits no accepted key and this recipient.
    #[snafu(display("packet hash does not match"))]
    HashMismatch,
    /// The hash matches, but the content is not a packet of this version.
    #[snafu(display("packet cannot be decoded"))]
    Decode {
        /// Cause.
        source: postcard::Error,
    },
    /// Bytes follow the last message.
    #[snafu(display("{size} bytes follow the last message"))]
    Trailing {
        /// Bytes.
        size: usize,
    },
    /// The sender has a higher incarnation since.
    #[snafu(display("incarnation {incarnation} of {sender} is over"))]
    OldIncarnation {
        /// Sender.
        sender: HostName,
        /// Incarnation of the packet.
        incarnation: u64,
    },
    /// The packet was received before or is too old to tell.
    #[snafu(display("packet {sequence} of {sender} is a replay"))]
    Replayed {
        /// Sender.
        sender: HostName,
        /// Sequence number of the packet.
        sequence: u64,
    },
}

/// Encodes and authenticates a packet for one recipient.
pub fn seal(keys: &KeyRing, recipient: &HostName, packet: &Packet) -> Result<Vec<u8>, SealError> {
    let mut bytes = vec![PACKET_VERSION];
    bytes = postcard::to_extend(packet, bytes).context(EncodeSnafu)?;
    let hash = keyed_hash(&keys.current, recipient, &bytes);
    bytes.extend_from_slice(&hash.as_bytes()[..HASH_SIZE]);
    let size = bytes.len();
    ensure!(size <= PACKET_LIMIT, TooLargeSnafu { size });
    Ok(bytes)
}

/// Authenticates and decodes a packet, and refuses replays.
pub fn open(
    keys: &KeyRing,
    recipient: &HostName,
    replays: &mut ReplayTable,
    bytes: &[u8],
) -> Result<Packet, OpenError> {
    let size = bytes.len();
    ensure!(size <= PACKET_LIMIT, OversizedSnafu { size });
    ensure!(size > HASH_SIZE, TruncatedSnafu { size });
    let (signed, received) = bytes.split_at(size - HASH_SIZE);
    let (version, content) = signed.split_first().context(TruncatedSnafu { size })?;
    let version = *version;
    ensure!(version == PACKET_VERSION, UnknownVersionSnafu { version });
    let accepted = [Some(&keys.current), keys.previous.as_ref()];
    let authentic = accepted
        .into_iter()
        .flatten()
        .any(|key| hash_matches(key, recipient, signed, received));
    ensure!(authentic, HashMismatchSnafu);
    let (packet, rest) = postcard::take_from_bytes::<Packet>(content).context(DecodeSnafu)?;
    ensure!(rest.is_empty(), TrailingSnafu { size: rest.len() });
    match replays.admit(&packet.sender, packet.incarnation, packet.sequence) {
        ReplayCheck::Fresh => Ok(packet),
        ReplayCheck::OldIncarnation => OldIncarnationSnafu {
            sender: packet.sender,
            incarnation: packet.incarnation,
        }
        .fail(),
        ReplayCheck::OldSequence => ReplayedSnafu {
            sender: packet.sender,
            sequence: packet.sequence,
        }
        .fail(),
    }
}

/// Returns the encoded bytes of a message or packet without version byte and hash.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    // Counting cannot fail for these types; an error counts as too large for any packet.
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 4)
}

fn keyed_hash(key: &[u8; 32], recipient: &HostName, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    let name = recipient.as_str().as_bytes();
    hasher.update(&(name.len() as u64).to_le_bytes());
    hasher.update(name);
    hasher.update(bytes);
    hasher.finalize()
}

fn hash_matches(key: &[u8; 32], recipient: &HostName, signed: &[u8], received: &[u8]) -> bool {
    // Both hashes are hashed again before they are compared, so that the comparison of
    // `blake3::Hash`, which takes constant time, applies to the truncated hash.
    let expected = keyed_hash(key, recipient, signed);
    blake3::hash(&expected.as_bytes()[..HASH_SIZE]) == blake3::hash(received)
}
