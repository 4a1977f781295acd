//! Experiments that compare one decision with its baselines on identical seeded input.

pub mod addresses;
pub mod admission;
pub mod deployment;
pub mod engine;
pub mod policy;
pub mod routing;
pub mod routing_run;
pub mod table;
