//! Hashes used in place of random numbers, so that repeated decisions and tests give the same
//! result.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Maps `key` to a number between 0 and 1, both excluded, evenly distributed over different keys.
pub(crate) fn unit_hash<K: Hash>(key: &K) -> f64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let bits = (hasher.finish() >> 32) as u32;
    (f64::from(bits) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

/// Returns a number that identifies `key` within this process.
pub(crate) fn name_hash<K: Hash>(key: &K) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}
