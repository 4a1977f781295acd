//! The random generator that logic crates are given.

use rand::SeedableRng;

/// Seeded generator; the same seed gives the same decisions on every machine.
pub type SeededRng = rand_pcg::Pcg64Mcg;

/// Makes a generator from a seed.
pub fn seeded_rng(seed: u64) -> SeededRng {
    SeededRng::seed_from_u64(seed)
}
