//! Experiments that compare one decision of a host with simpler baselines.
//!
//! All policies of a comparison run on the same seeded input, so that their results differ only by
//! the decision.

pub mod addresses;
pub mod admission;
pub mod deployment;
pub mod engine;
pub mod policy;
pub mod routing;
pub mod routing_run;
pub mod table;
