//! Work of calls in tokens, and how much of it an engine can carry.
//!
//! An engine is limited by its slots, by the memory for the tokens of the requests that it runs, and
//! by the rate at which it reads prompts. The number of copies of a model follows the resource that
//! its calls use most. Calls without token counts use slots only.

use crate::rules::EngineRule;
use crate::target_model::PREFILL_PER_MS;
use serde::{Deserialize, Deserializer, Serialize};
use std::ops::AddAssign;

/// Fraction of the slots of a model's engines that its requests are planned to use; the rest is for
/// a rise in demand.
pub const PLANNED_SLOTS: f64 = 0.3;
/// Fraction of the key-value memory of a model's engines that its requests are planned to use; the
/// rest holds cached prompts and the requests of other models. An engine without free memory
/// preempts requests in the middle of their streams.
pub const PLANNED_MEMORY: f64 = 0.4;
/// Fraction of the time of a model's engines that reading its prompts is planned to take; streams
/// pause while a prompt is read.
pub const PLANNED_READING: f64 = 0.3;
/// Tokens of the calls for a model. Calls without token counts add nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWork {
    /// Prompt and output tokens of the calls in progress, waiting ones included. Prompt parts that
    /// other calls share are left out, here and in `prompt_rate`.
    pub tokens: u32,
    /// Rate at which prompt tokens arrive, 1/s.
    pub prompt_rate: u32,
}

impl AddAssign for TokenWork {
    fn add_assign(&mut self, other: Self) {
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prompt_rate = self.prompt_rate.saturating_add(other.prompt_rate);
    }
}

/// Demand of a model for the resources of engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineDemand {
    /// Requests in progress.
    pub requests: f64,
    /// Tokens that these requests keep in memory.
    pub tokens: f64,
    /// Rate at which prompt tokens arrive, 1/s.
    pub prompt_rate: f64,
}

impl EngineDemand {
    /// Returns the demand in slots: the number of requests, or that of small requests which would
    /// need as many engines as these need for memory or reading.
    pub fn slots(&self, rule: &EngineRule) -> f64 {
        let slots = f64::from(rule.slots.max(1));
        let by_memory = self.tokens / (rule.kv_tokens.max(1) as f64 * PLANNED_MEMORY);
        let by_reading = self.prompt_rate / (PREFILL_PER_MS * 1_000.0 * PLANNED_READING);
        self.requests
            .max(by_memory.max(by_reading) * slots * PLANNED_SLOTS)
    }
}

/// Reads the tokens at the end of a message; `serde(deserialize_with)` takes it. In a message of an
/// earlier version they are missing, which the decoder reports as an early end.
///
/// # Errors
///
/// Never fails.
pub fn work_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<TokenWork>, D::Error> {
    Ok(Vec::deserialize(deserializer).unwrap_or_default())
}
