//! The random number generator that pure logic gets as a parameter.

use rand::SeedableRng;

/// Seeded random number generator; the same seed gives the same numbers on every machine.
pub type SeededRng = rand_pcg::Pcg64Mcg;

/// Makes a random number generator from a seed.
pub fn seeded_rng(seed: u64) -> SeededRng {
    SeededRng::seed_from_u64(seed)
}
