//! Queries to the route table and the resulting choices.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Model or service that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Completion by a model.
    Model {
        /// Base model that runs the completion.
        model: ModelName,
        /// Adapter applied to the base model, if the caller asked for one.
        adapter: Option<AdapterName>,
    },
    /// Call to a service that is not a model.
    Service {
        /// Name of the called service.
        service: ServiceName,
    },
}

/// Query for a target of one attempt.
#[derive(Clone, Debug)]
pub struct RouteQuery<'a> {
    /// Model or service that the request asks for.
    pub work: &'a WorkKind,
    /// Hashes of the prompt's blocks; each hash also covers all blocks before its own.
    pub prefix_blocks: &'a [u64],
    /// Input length, in tokens.
    pub input_tokens: u32,
    /// Expected output length, in tokens.
    pub output_tokens: u32,
    /// Targets that the request has already tried; they are not chosen again.
    pub tried: &'a [TargetName],
    /// Failure domain to avoid if another domain has a usable target.
    pub avoid_domain: Option<&'a DomainName>,
}

/// Result of a [`RouteQuery`].
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// The attempt should be sent to this target.
    Target {
        /// Name of the chosen target.
        target: TargetName,
        /// Estimated time to the first token or byte.
        estimate: ClockTime,
    },
    /// Usable targets hold the model or service, but all are at their concurrency limit.
    ///
    /// The caller should query again when a request ends.
    Busy {
        /// Estimated wait: the smallest time to the first token or byte over these targets.
        estimate: ClockTime,
    },
    /// No usable target holds the model, apart from tried ones, so it must be loaded first.
    NotResident,
    /// No usable target offers the service, or no usable engine could load the model.
    Unavailable,
}
