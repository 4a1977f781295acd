//! Questions to the route table and their answers.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// A completion.
    Model {
        /// Base model.
        model: ModelName,
        /// Adapter, if the caller addressed one.
        adapter: Option<AdapterName>,
    },
    /// A call to a plain service.
    Service {
        /// Service.
        service: ServiceName,
    },
}

/// A question to the route table.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// What is asked for.
    pub work: &'a WorkKind,
    /// Hashes of the prompt's blocks, each covering all blocks before it.
    pub prefix_blocks: &'a [u64],
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Expected output length, tokens.
    pub output_tokens: u32,
    /// Targets that this request has tried.
    pub tried: &'a [TargetName],
    /// Failure domain to leave if there is a choice.
    pub avoid_domain: Option<&'a DomainName>,
}

/// Answer of the route table.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// Use this target.
    Target {
        /// Target.
        target: TargetName,
        /// Estimated time to the first token or byte.
        estimate: ClockTime,
    },
    /// Copies are resident, but every usable target is at its limit; ask again when one ends.
    Busy {
        /// Estimated time until one is free.
        estimate: ClockTime,
    },
    /// No usable target holds the model; it has to be loaded.
    NotResident,
    /// There is no usable target at all.
    Unavailable,
}
