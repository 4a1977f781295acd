//! What is known of a call, and how an attempt to run it ended.

use crate::hashing::unit_hash;
use crate::rules::RouteRule;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::hash::Hash;
use std::sync::Arc;

/// Digest of path and body; the same call sent again has the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Digest of a call.
    pub fn of(path: &str, body: &[u8], prompt: &[PromptPart]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(path.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        for part in prompt {
            hasher.update(&part.id.to_le_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

/// One part of a prompt; requests that begin with the same parts share cached memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the content.
    pub id: u64,
    /// Size, tokens.
    pub tokens: u32,
}

/// Model and adapter that a call needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallNeed {
    /// Base model.
    pub model: ModelName,
    /// Adapter of that model.
    pub adapter: Option<AdapterName>,
}

impl CallNeed {
    /// Need for an adapter of a model.
    pub fn adapter(model: &ModelName, adapter: &AdapterName) -> Self {
        Self {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}

/// What is known of a call when it arrives.
#[derive(Clone, Debug)]
pub struct CallInfo {
    /// Identifier of the caller's attempt.
    pub id: Arc<str>,
    /// Route.
    pub route: RouteRule,
    /// Service, drawn by weight.
    pub service: ServiceName,
    /// Model and adapter, if it runs on engines.
    pub need: Option<CallNeed>,
    /// Prompt parts in order.
    pub prompt: Vec<PromptPart>,
    /// Prompt size, tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the answer has.
    pub output_tokens: u32,
    /// Point at which the caller or the route gives up.
    pub deadline: ClockTime,
    /// Point at which the caller gives up unless the answer has begun.
    pub start_deadline: ClockTime,
    /// Digest.
    pub digest: CallDigest,
}

impl CallInfo {
    /// Model that the call needs, if it runs on engines.
    pub fn model(&self) -> Option<&ModelName> {
        self.need.as_ref().map(|need| &need.model)
    }

    /// Adapter that the call needs.
    pub fn adapter(&self) -> Option<&AdapterName> {
        self.need.as_ref()?.adapter.as_ref()
    }

    /// Returns whether another call goes to the same service and needs the same model, or none.
    pub fn same_queue(&self, other: &Self) -> bool {
        self.service == other.service && self.model() == other.model()
    }

    /// Number between 0 and 1, both excluded, that depends on the call and on `salt`.
    pub fn random_unit<S: Hash>(&self, salt: &S) -> f64 {
        unit_hash(&(&self.id, salt))
    }

    /// Hash under which calls with a common prompt meet at the same target.
    ///
    /// The last shared part decides; its owner's other calls begin with it.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.prompt.len().saturating_sub(1).max(1);
        self.prompt.get(shared - 1).map(|part| part.id)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer came and was delivered, or is ready for delivery.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The target said that it did not run the call.
    NotRun {
        /// The target is full.
        full: bool,
        /// The target does not hold the model, or is another instance.
        misplaced: bool,
    },
    /// The target saw nothing of the call.
    Unsent,
    /// The call was sent and its fate is unknown.
    Lost {
        /// The connection was reset or closed by the target.
        broken: bool,
        /// Whether part of the answer has been delivered.
        started: bool,
    },
    /// The deadline passed.
    Expired,
}
