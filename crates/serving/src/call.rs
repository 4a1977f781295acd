//! Properties of a call, and how an attempt to run it ended.

use crate::hashing::unit_hash;
use crate::rules::RouteRule;
use crate::tenants::{KeyDigest, TenantRule};
use crocusyard_base::prelude::*;
use crocusyard_crashes::prelude::CrashCause;
use serde::{Deserialize, Serialize};
use std::hash::Hash;
use std::rc::Rc;
use std::sync::Arc;

/// Largest number of prompt parts of a call that are suspected of crashing targets.
const MAX_SUSPECT_PARTS: usize = 32;

/// Digest of a call's path, body and prompt; a call that is sent again has the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Computes the digest of a call.
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

/// One part of a prompt; requests whose prompts begin with the same parts share cached memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Size of the part, tokens.
    pub tokens: u32,
}

/// Model and adapter that a call needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallNeed {
    /// Base model that the call runs on.
    pub model: ModelName,
    /// Adapter of that model, if the call needs one.
    pub adapter: Option<AdapterName>,
}

impl CallNeed {
    /// Returns the need of a call for an adapter of a model.
    pub fn adapter(model: &ModelName, adapter: &AdapterName) -> Self {
        Self {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}

/// Properties of a call that are known when it arrives.
#[derive(Clone, Debug)]
pub struct CallInfo {
    /// Identifier that the caller gave to the request; empty if it gave none.
    pub id: Arc<str>,
    /// Route that matched the call.
    pub route: RouteRule,
    /// Service that handles the call, drawn by weight from those of the route.
    pub service: ServiceName,
    /// Model and adapter that the call needs; `None` for a plain call, which runs on no engine.
    pub need: Option<CallNeed>,
    /// Parts of the prompt in their order.
    pub prompt: Vec<PromptPart>,
    /// Size of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Largest size of the answer, tokens.
    pub output_tokens: u32,
    /// Time at which the caller stops waiting or the timeout of the route ends.
    pub deadline: ClockTime,
    /// Time at which the caller stops waiting unless the answer has begun.
    pub start_deadline: ClockTime,
    /// Digest by which crash reports identify the call.
    pub digest: CallDigest,
    /// Digest of the known key that the caller sent; `None` if it sent none, or if the configuration
    /// has no tenants.
    pub key: Option<KeyDigest>,
    /// Tenant of the key, if there is one.
    pub tenant: Option<Rc<TenantRule>>,
    /// Cost of the call in the unit of its tenant; 1 without a tenant.
    pub cost: u64,
}

impl CallInfo {
    /// Returns the model that the call needs, if it runs on engines.
    pub fn model(&self) -> Option<&ModelName> {
        self.need.as_ref().map(|need| &need.model)
    }

    /// Returns the adapter that the call needs, if any.
    pub fn adapter(&self) -> Option<&AdapterName> {
        self.need.as_ref()?.adapter.as_ref()
    }

    /// Returns the priority of the call's tenant; 0 is the most urgent. Calls on anonymous routes are
    /// the least urgent, since anyone may send them.
    pub fn tenant_priority(&self) -> u8 {
        self.tenant
            .as_ref()
            .map_or(u8::MAX, |tenant| tenant.priority)
    }

    /// Returns the tokens of the prompt that no other call shares. The parts before the last are
    /// mostly cached by the engine that calls with the same prompt prefer.
    pub fn own_prompt_tokens(&self) -> u32 {
        let shared = self.part_tokens(self.prompt.len().saturating_sub(1));
        self.prompt_tokens.saturating_sub(shared)
    }

    /// Returns the size of the first `count` parts of the prompt, tokens.
    fn part_tokens(&self, count: usize) -> u32 {
        let parts = self.prompt.iter().take(count);
        parts.fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Returns what the call contains that may crash targets: itself, and the parts that other calls
    /// may share. The last part belongs to the call or its session.
    pub fn crash_causes(&self) -> Vec<CrashCause> {
        let shared = self.prompt.len().saturating_sub(1).min(MAX_SUSPECT_PARTS);
        let parts = self.prompt[..shared].iter();
        std::iter::once(CrashCause::Call(self.digest.0))
            .chain(parts.map(|part| CrashCause::Part(part.id)))
            .collect()
    }

    /// Returns whether another call waits for the same targets: for the same model of the same
    /// service, or for the same plain service.
    pub fn same_queue(&self, other: &Self) -> bool {
        self.service == other.service && self.model() == other.model()
    }

    /// Returns a number between 0 and 1, both excluded, that depends only on the call and on
    /// `salt`.
    pub fn random_unit<S: Hash>(&self, salt: &S) -> f64 {
        unit_hash(&(&self.id, salt))
    }

    /// Returns the size of the parts of the prompt that the prompts of other calls may share, tokens:
    /// those up to the part by which calls prefer targets.
    pub fn shared_tokens(&self) -> u32 {
        self.part_tokens(self.prompt.len().saturating_sub(1).max(1))
    }

    /// Returns the key by which calls with a common prompt prefer the same target, or `None`
    /// without a prompt.
    ///
    /// The key is the identifier of the last part that the prompts of other calls may share. This
    /// is the part before the last, since the last part is new in each call. If there is only one
    /// part, that part is used.
    pub fn affinity(&self) -> Option<u64> {
        let shared = self.prompt.len().saturating_sub(1).max(1);
        self.prompt.get(shared - 1).map(|part| part.id)
    }
}

/// End of an attempt to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer arrived and has been delivered or is ready for delivery.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The target answered that it has not run the call.
    NotRun {
        /// The target is full.
        full: bool,
        /// The target does not hold the model or is not the expected instance.
        misplaced: bool,
    },
    /// No part of the call reached the target.
    Unsent,
    /// This host has no connection left for the call; no part of it reached the target.
    NoSlot,
    /// The target ran the call, and this host had no memory for the answer.
    Dropped,
    /// The call was sent, and whether it ran is unknown.
    Lost {
        /// The target reset or closed the connection.
        broken: bool,
        /// Whether part of the answer has been delivered.
        started: bool,
    },
    /// The deadline of the call passed before its answer was complete.
    Expired,
}
