//! Draws that depend only on what is drawn for, so that tests and repeated decisions agree.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Number between 0 and 1, both excluded, that depends on `key` alone.
pub(crate) fn unit_hash<K: Hash>(key: &K) -> f64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let bits = (hasher.finish() >> 32) as u32;
    (f64::from(bits) + 0.5) / (f64::from(u32::MAX) + 1.0)
}
