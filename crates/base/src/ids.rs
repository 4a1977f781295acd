//! Identifiers of requests, attempts, claims, orders and bodies, and fencing numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Identifier of a request for the caller and for logs; taken from a header of the request, or made
/// by the host if there is none.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

/// Key of a request within the process of one host; never reused while the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// Defines identifiers of 128 bits that are displayed as 32 hexadecimal digits.
macro_rules! wide_id {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u128);

        impl $name {
            /// Parses the 32 hexadecimal digits that `Display` writes; `None` if the text is not a
            /// number of 32 digits.
            pub fn parse(text: &str) -> Option<Self> {
                if text.len() != 32 {
                    return None;
                }
                u128::from_str_radix(text, 16).ok().map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }
    )*};
}

wide_id! {
    /// Identifier of an attempt to run a request on a target; unique across hosts.
    AttemptId,
    /// Identifier of a host's claim to an idempotency key; unique across hosts.
    ClaimId,
    /// Identifier of an order to an engine; unique across hosts.
    OrderId,
    /// First 16 bytes of the BLAKE3 hash of a request's route and body; equal for repeats of
    /// a request.
    BodyDigest,
}

/// First four bytes of a hash of names, used as a key in messages between hosts.
pub fn short_key(names: &[&str]) -> u32 {
    let hash = blake3::hash(names.join("\0").as_bytes());
    let bytes = hash.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Fencing number of a lease; it only rises, so that orders of a former lease holder can be refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
