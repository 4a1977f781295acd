//! What a call meets at an engine: when its first event is expected, how long its longest pause will
//! be, and what it costs the streams that run there.
//!
//! An engine decodes one token of each running request per step. A step takes longer with more
//! requests, and while prompts are prefilled, which is done in chunks between the steps. Waiting for
//! a slot, a prompt of its own and those of others delay a stream's first event; prompts that come
//! later cause its pauses.
//!
//! The figures of an engine are learned for each service, from the first events and the gaps of the
//! host's own streams; the defaults hold until then.

use crocusyard_base::prelude::*;

/// Duration of a decode step of an engine without other requests, ms.
const STEP_MS: f64 = 5.47;
/// Increase of that duration for each request in the batch, ms.
const STEP_PER_REQUEST_MS: f64 = 0.1;
/// Prompt tokens that are prefilled per ms; the configuration does not state it.
pub(crate) const PREFILL_PER_MS: f64 = 38.7;
/// Steps from one event of a stream to the next.
const STEPS_PER_EVENT: f64 = 8.0;
/// Tokens of a prompt that are prefilled with one step.
const CHUNK_TOKENS: f64 = 256.0;
/// Weight of an observation in the learned figures.
const LEARNING_WEIGHT: f64 = 0.02;
/// Bounds of the learned factors; observations beyond them are cut to them.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Tokens of a call in progress that are assumed before any call has been sent.
const DEFAULT_CALL_TOKENS: f64 = 900.0;
/// Uncertainty of an expected time, as a fraction of its objective.
const UNCERTAINTY: f64 = 0.2;
/// Fraction of an engine's KV memory from which requests may be preempted: what the other hosts
/// have in progress there is known with a delay.
const KV_FULL_FRACTION: f64 = 0.9;
/// Uncertainty of the KV memory in use, as a fraction of all of it.
const KV_UNCERTAINTY: f64 = 0.05;
/// Weight of a stream of another call that is expected to be late. What runs at an engine is known
/// late; with a weight of 1, hosts with the same old loads sent long prompts to the same engines.
const HARM_WEIGHT: f64 = 0.05;
/// Longest pause that the streams at an engine may have, where the call's own route has no objective.
const DEFAULT_PAUSE_OBJECTIVE: ClockTime = ClockTime::from_ms(200);

/// Figures of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct EngineFigures {
    /// Capacity of the KV memory, tokens; 0 if it is not known.
    pub kv_tokens: f64,
    /// Time to a first event, as a multiple of the expected one.
    start_factor: f64,
    /// Time between two events, as a multiple of the expected one.
    gap_factor: f64,
    /// Average tokens of a call, prompt and answer.
    call_tokens: f64,
}

impl Default for EngineFigures {
    fn default() -> Self {
        Self {
            kv_tokens: 0.0,
            start_factor: 1.0,
            gap_factor: 1.0,
            call_tokens: DEFAULT_CALL_TOKENS,
        }
    }
}

/// Load of an engine at the time of a choice, as known to one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Requests in progress, of all hosts.
    pub requests: f64,
    /// Prompt tokens that are expected to be ahead of a new call's.
    pub prompt_tokens: f64,
    /// Requests in progress of this host.
    pub own_requests: f64,
    /// Tokens of those, prompt and answer.
    pub own_tokens: f64,
    /// How long work takes, as a multiple of the usual time.
    pub pace: f64,
}

/// What a call needs of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineDemand {
    /// Size of the part of the prompt that has to be prefilled, tokens.
    pub prompt_tokens: f64,
    /// Size of prompt and answer, tokens.
    pub tokens: f64,
    /// Time within which the first event should come.
    pub start_objective: ClockTime,
    /// Longest pause that is on time; `None` if any is.
    pub pause_objective: Option<ClockTime>,
}

impl EngineFigures {
    /// Expected time from the send of a call to its first event, ms.
    pub fn time_to_first_event(&self, load: &EngineLoad, prompt_tokens: f64) -> f64 {
        let prefill = (load.prompt_tokens + prompt_tokens) / PREFILL_PER_MS;
        let steps = STEPS_PER_EVENT + prompt_tokens / CHUNK_TOKENS;
        load.pace * self.start_factor * (prefill + steps * step_ms(load.requests))
    }

    /// Expected longest pause of a stream while this many prompt tokens are prefilled beside it, ms.
    pub fn longest_pause(&self, load: &EngineLoad, prompt_tokens: f64) -> f64 {
        let steps = STEPS_PER_EVENT * step_ms(load.requests + 1.0) * self.gap_factor;
        load.pace * (steps + prompt_tokens / PREFILL_PER_MS)
    }

    /// Number of streams that are expected to be late because a call is sent to an engine: the call's
    /// own, and with a low weight those of others.
    pub fn expected_lateness(&self, load: &EngineLoad, demand: &EngineDemand) -> f64 {
        let start = self.time_to_first_event(load, demand.prompt_tokens);
        let mut late = late_fraction(start / objective_ms(demand.start_objective));
        let before = self.longest_pause(load, load.prompt_tokens);
        let after = self.longest_pause(load, load.prompt_tokens + demand.prompt_tokens);
        if let Some(objective) = demand.pause_objective {
            late += late_fraction(before / objective_ms(objective));
        }
        let objective = demand.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE);
        let objective = objective_ms(objective.min(DEFAULT_PAUSE_OBJECTIVE));
        let harmed = late_fraction(after / objective) - late_fraction(before / objective);
        late + HARM_WEIGHT * load.requests * harmed + self.preemptions(load, demand.tokens)
    }

    /// Expected number of requests that are preempted because a call is sent to an engine.
    fn preemptions(&self, load: &EngineLoad, tokens: f64) -> f64 {
        if self.kv_tokens <= 0.0 {
            return 0.0;
        }
        let others = (load.requests - load.own_requests).max(0.0) * self.call_tokens;
        let used = (load.own_tokens + others + tokens) / self.kv_tokens;
        logistic((used - KV_FULL_FRACTION) / KV_UNCERTAINTY)
    }

    /// Returns whether the prompts that this host has sent to an engine, and that are not prefilled
    /// yet, leave no room for a further one: together they would cause pauses of the streams there
    /// that are too long. A prompt alone is always let in.
    pub fn exceeds_prefill_limit(
        &self,
        load: &EngineLoad,
        own_prefilling: f64,
        demand: &EngineDemand,
    ) -> bool {
        let objective = demand.pause_objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE);
        own_prefilling > 0.0
            && self.longest_pause(load, own_prefilling + demand.prompt_tokens)
                > objective_ms(objective.min(DEFAULT_PAUSE_OBJECTIVE))
    }

    /// Records the tokens of a call that is sent.
    pub fn record_call(&mut self, tokens: f64) {
        self.call_tokens += (tokens - self.call_tokens) * LEARNING_WEIGHT;
    }

    /// Records the time from a send to the first event, and the time that was expected.
    pub fn record_start(&mut self, took_ms: f64, expected_ms: f64) {
        let observed = self.start_factor * took_ms / expected_ms.max(1.0);
        learn(&mut self.start_factor, observed);
    }

    /// Records the average time between the events of a stream at an engine with this load.
    pub fn record_gap(&mut self, gap_ms: f64, load: &EngineLoad) {
        let usual = load.pace * STEPS_PER_EVENT * step_ms(load.requests);
        learn(&mut self.gap_factor, gap_ms / usual);
    }
}

/// Moves a learned factor towards an observed one.
fn learn(factor: &mut f64, observed: f64) {
    let (least, most) = FACTOR_BOUNDS;
    *factor += (observed.clamp(least, most) - *factor) * LEARNING_WEIGHT;
}

/// Duration of a decode step with a number of requests, at the usual pace, ms.
fn step_ms(requests: f64) -> f64 {
    STEP_MS + STEP_PER_REQUEST_MS * requests
}

fn objective_ms(objective: ClockTime) -> f64 {
    objective.as_ms().max(1) as f64
}

/// Probability that something is late whose expected time is this multiple of its objective.
fn late_fraction(quotient: f64) -> f64 {
    logistic((quotient - 1.0) / UNCERTAINTY)
}

fn logistic(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}
