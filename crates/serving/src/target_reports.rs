//! What hosts report to each other about targets, with their heartbeats: failures, and for targets
//! that report their pace, the prompts sent there and the loads that they reported.
//!
//! A report covers the time since the previous one of the same host, so that a lost one costs what
//! happened in one interval.

use crate::failures::FailureReport;
use crate::targets::TargetKey;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of prompt tokens in one unit of a report.
const PROMPT_UNIT: u32 = 32;
/// Time after which a prompt counts half in the rate of prompts.
const RATE_HALF_LIFE: ClockTime = ClockTime::from_ms(1_500);

/// Prompts that a host has sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// The target.
    pub target: TargetKey,
    /// Size of the prompts, in units of 32 tokens.
    pub units: u16,
}

impl PromptReport {
    /// Makes a report about prompts with `tokens` tokens, of which it counts the last unit in full.
    pub fn new(target: TargetKey, tokens: u32) -> Self {
        let units = u16::try_from(tokens.div_ceil(PROMPT_UNIT)).unwrap_or(u16::MAX);
        Self { target, units }
    }

    /// Returns the size of the prompts, tokens.
    pub fn tokens(&self) -> u32 {
        u32::from(self.units) * PROMPT_UNIT
    }
}

/// Load that a target reported to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The target.
    pub target: TargetKey,
    /// Number of running requests.
    pub running: u16,
    /// Number of requests in the target's own queue.
    pub waiting: u16,
    /// Pace, percent.
    pub pace: u32,
    /// Time since the answer that carried it, ms.
    pub age_ms: u16,
}

/// Reports of one host about targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReports {
    /// Calls at targets that fail some of them.
    pub failures: Vec<FailureReport>,
    /// Prompts that were sent.
    pub prompts: Vec<PromptReport>,
    /// Loads that targets reported.
    pub loads: Vec<LoadReport>,
}

impl TargetReports {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.failures.is_empty() && self.prompts.is_empty() && self.loads.is_empty()
    }
}

/// Rate of prompt tokens, which fades when no more are reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptRate {
    tokens: f64,
    at: ClockTime,
}

impl PromptRate {
    pub(crate) fn add(&mut self, tokens: u32, now: ClockTime) {
        self.tokens = self.tokens_left(now) + f64::from(tokens);
        self.at = now;
    }

    /// Returns the tokens per ms.
    pub(crate) fn per_ms(&self, now: ClockTime) -> f64 {
        self.tokens_left(now) * std::f64::consts::LN_2 / RATE_HALF_LIFE.as_ms() as f64
    }

    fn tokens_left(&self, now: ClockTime) -> f64 {
        self.tokens * now.since(self.at).decay_factor(RATE_HALF_LIFE)
    }
}
