//! Effects of the host reducer.

use crocusyard_requests::prelude::*;

/// An effect of the host reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEffect {
    /// Effect of the request feature.
    Request(RequestEffect),
}
