//! Experiments that compare one decision with its baselines on identical seeded input.
