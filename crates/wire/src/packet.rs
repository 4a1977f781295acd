//! Sealing and opening of packets.

use crate::message::WireMessage;
use crate::replay::{ReplayCheck, ReplayTable};
use crate::PACKET_LIMIT;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ensure, OptionExt, ResultExt, Snafu};

/// Version of the packet format; the first byte of every packet.
pub const PACKET_VERSION: u8 = 2;
/// Size of the keyed hash at the end of a packet, bytes.
pub const HASH_SIZE: usize = 16;

/// Secret keys shared by all hosts.
///
/// Packets are sealed with `current` and accepted under both keys. To change the key, first add the
/// new key as `previous` on all hosts, then swap the two keys on all hosts, then remove the old
/// one.
#[derive(Clone)]
pub struct KeyRing {
    /// Key for packets that this host sends, and for received ones.
    pub current: [u8; 32],
    /// Second key for received packets; `None` while the key is not being changed.
    pub previous: Option<[u8; 32]>,
}

/// Content of a packet: the sender's identity and its messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Name of the host that sealed the packet.
    pub sender: HostName,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Number of the packet; rises with every packet that the sender sends to any host.
    pub sequence: u64,
    /// Load of the sender, percent of its capacity.
    pub utilisation: u8,
    /// Messages to the recipient, in the order in which it handles them.
    pub messages: Vec<WireMessage>,
}

/// Why a packet could not be sealed.
#[derive(Debug, Snafu)]
pub enum SealError {
    /// Postcard cannot encode the content.
    #[snafu(display("packet cannot be encoded"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// The sealed packet is larger than [`PACKET_LIMIT`].
    #[snafu(display("packet of {size} bytes exceeds the limit of {PACKET_LIMIT} bytes"))]
    TooLarge {
        /// Size of the sealed packet, bytes.
        size: usize,
    },
}

/// Why a received packet was refused.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The packet is larger than [`PACKET_LIMIT`].
    #[snafu(display("packet of {size} bytes exceeds the limit of {PACKET_LIMIT} bytes"))]
    Oversized {
        /// Size of the packet, bytes.
        size: usize,
    },
    /// The packet is too short for version and hash.
    #[snafu(display("packet of {size} bytes is too short for version and hash"))]
    Truncated {
        /// Size of the packet, bytes.
        size: usize,
    },
    /// The packet has another format version than [`PACKET_VERSION`].
    #[snafu(display("packet version {version} is unknown, expected {PACKET_VERSION}"))]
    UnknownVersion {
        /// First byte of the packet.
        version: u8,
    },
    /// The packet was sealed with a key that is not accepted or for another recipient, or it was
    /// changed on its way.
    #[snafu(display("packet hash matches no accepted key for this recipient"))]
    HashMismatch,
    /// The hash matches, but the content is not an encoded [`Packet`].
    #[snafu(display("packet cannot be decoded"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// Bytes follow the last message.
    #[snafu(display("{size} bytes follow the last message of the packet"))]
    Trailing {
        /// Number of bytes after the last message.
        size: usize,
    },
    /// The sender has a higher incarnation since, or its window for this one was evicted from the
    /// [`ReplayTable`].
    #[snafu(display("incarnation {incarnation} of {sender} is no longer accepted"))]
    OldIncarnation {
        /// Sender that the packet names.
        sender: HostName,
        /// Incarnation of the sender in the packet.
        incarnation: u64,
    },
    /// The packet was accepted before, or is too old to tell whether it was.
    #[snafu(display("packet {sequence} of {sender} is a replay"))]
    Replayed {
        /// Sender that the packet names.
        sender: HostName,
        /// Sequence number of the packet.
        sequence: u64,
    },
}

/// Encodes a packet and appends the keyed hash for one recipient.
pub fn seal(keys: &KeyRing, recipient: &HostName, packet: &Packet) -> Result<Vec<u8>, SealError> {
    let mut bytes = vec![PACKET_VERSION];
    bytes = postcard::to_extend(packet, bytes).context(EncodeSnafu)?;
    let hash = keyed_hash(&keys.current, recipient, &bytes);
    bytes.extend_from_slice(&hash.as_bytes()[..HASH_SIZE]);
    let size = bytes.len();
    ensure!(size <= PACKET_LIMIT, TooLargeSnafu { size });
    Ok(bytes)
}

/// Authenticates and decodes a received packet, and refuses replays.
///
/// `recipient` is the name of the host that received the packet.
pub fn open(
    keys: &KeyRing,
    recipient: &HostName,
    replays: &mut ReplayTable,
    bytes: &[u8],
) -> Result<Packet, OpenError> {
    let size = bytes.len();
    ensure!(size <= PACKET_LIMIT, OversizedSnafu { size });
    ensure!(size > HASH_SIZE, TruncatedSnafu { size });
    let (hashed, received_hash) = bytes.split_at(size - HASH_SIZE);
    let (version, content) = hashed.split_first().context(TruncatedSnafu { size })?;
    let version = *version;
    ensure!(version == PACKET_VERSION, UnknownVersionSnafu { version });
    let accepted_keys = [Some(&keys.current), keys.previous.as_ref()];
    let authentic = accepted_keys
        .into_iter()
        .flatten()
        .any(|key| hash_matches(key, recipient, hashed, received_hash));
    ensure!(authentic, HashMismatchSnafu);
    let (packet, trailing) = postcard::take_from_bytes::<Packet>(content).context(DecodeSnafu)?;
    ensure!(
        trailing.is_empty(),
        TrailingSnafu {
            size: trailing.len()
        }
    );
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

/// Returns the encoded size of a message or packet in bytes, without version byte and hash.
pub fn encoded_len<T: Serialize>(value: &T) -> usize {
    // Encoding cannot fail for these types. The value for an error is larger than any packet, but
    // small enough that callers can add to it.
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 4)
}

fn keyed_hash(key: &[u8; 32], recipient: &HostName, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    let name = recipient.as_str().as_bytes();
    // The length separates the name from the bytes that follow.
    hasher.update(&(name.len() as u64).to_le_bytes());
    hasher.update(name);
    hasher.update(bytes);
    hasher.finalize()
}

fn hash_matches(key: &[u8; 32], recipient: &HostName, hashed: &[u8], received_hash: &[u8]) -> bool {
    // `blake3::Hash` is compared in constant time, but has 32 bytes. Both truncated hashes are
    // therefore hashed again, and the results compared.
    let expected = keyed_hash(key, recipient, hashed);
    blake3::hash(&expected.as_bytes()[..HASH_SIZE]) == blake3::hash(received_hash)
}
