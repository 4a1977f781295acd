//! Identifiers of requests, attempts, claims and orders.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Request identifier as shown to the caller; taken from its header or made by the host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub Arc<str>);

/// Key of a request in progress inside one host; never reused while the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

macro_rules! wide_id {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        pub struct $name(pub u128);

        impl $name {
            /// Parses the 32 hexadecimal digits that `Display` writes.
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
    /// One attempt to run a request on one target; unique across hosts.
    AttemptId,
    /// One claim of an idempotency key by one host; unique across hosts.
    ClaimId,
    /// One order to an engine; unique across hosts.
    OrderId,
    /// First 16 bytes of the BLAKE3 hash of a request's route and body.
    BodyDigest,
}

/// Fencing number of a lease; it only rises.
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
