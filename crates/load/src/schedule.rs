//! Plans every call of a run from its seed.
//!
//! Arrivals of a varying rate are made by thinning: candidates arrive at the highest rate, and each
//! is kept with the ratio of the rate at its time to the highest one.

use crate::plan::{ArrivalShape, LoadPlan};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::Rng;
use std::sync::Arc;

/// Rate in a burst and between bursts, relative to the mean rate.
const BURST_RATES: (f64, f64) = (3.0, 0.5);
/// Mean length of a burst and of the time between two, milliseconds. With [`BURST_RATES`] they keep
/// the mean rate: (3 * 1000 + 0.5 * 4000) / 5000 = 1.
const BURST_MS: (f64, f64) = (1000.0, 4000.0);
/// Rate by night, relative to the mean rate of a day.
const NIGHT_RATE: f64 = 0.3;
/// Middle of the morning and evening peaks as parts of the day: 9:00 and 19:30.
const PEAKS: (f64, f64) = (0.375, 0.8125);
/// Standard deviation of both peaks as a part of the day, about two hours.
const PEAK_WIDTH: f64 = 0.08;
/// Height of both peaks; with the night rate, the mean over the day is 1.
const PEAK_RATE: f64 = 1.75;
/// Factor by which the demand for the shifted group rises.
const SHIFT_FACTOR: f64 = 10.0;
/// Length of large answers, relative to small ones.
const LARGE_FACTOR: u32 = 4;
/// Share of large chats outside of the shape `day`.
const LARGE_SHARE: f64 = 0.2;
/// Prompt length of small and large chats, words of eight bytes.
const PROMPT_WORDS: (usize, usize) = (16, 256);

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallKind {
    /// A streamed chat.
    Chat {
        /// Model or adapter.
        model: Arc<str>,
        /// Prompt, different for each call.
        prompt: String,
        /// Answer length, tokens.
        tokens: u32,
        /// Request class.
        class: &'static str,
    },
    /// A read from a plain service.
    Get {
        /// Service.
        service: Arc<str>,
        /// Path below the service, with its first slash.
        path: String,
        /// Query.
        query: String,
    },
    /// A keyed call to a plain service that may run only once.
    Post {
        /// Service.
        service: Arc<str>,
        /// Path below the service, with its first slash.
        path: String,
        /// Body.
        body: String,
        /// Idempotency key.
        key: String,
    },
}

impl CallKind {
    /// Returns the label under which the call is counted.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Chat { class, .. } => class,
            Self::Get { .. } => "plain get",
            Self::Post { .. } => "plain post",
        }
    }
}

/// A call and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Time since the start of the run.
    pub at: ClockTime,
    /// Position in the run.
    pub index: usize,
    /// Tenant.
    pub tenant: Arc<str>,
    /// Content.
    pub kind: CallKind,
}

/// Plans all calls of a run. The same plan gives the same calls.
pub fn plan_calls(plan: &LoadPlan) -> Vec<PlannedCall> {
    let mut random = seeded_rng(plan.seed);
    let popularity = PopularNames::new(plan);
    let times = arrival_times(plan, popularity.shifted, &mut random);
    times
        .into_iter()
        .enumerate()
        .map(|(index, at)| popularity.plan_call(plan, index, at, &mut random))
        .collect()
}

/// Rate over time, relative to the mean rate.
enum RateCurve {
    Flat,
    /// Ends of the alternating phases, milliseconds; the first phase lies between bursts.
    Phases(Vec<f64>),
    Day,
    /// Rate in the second half.
    Step(f64),
}

impl RateCurve {
    fn new(plan: &LoadPlan, shift_share: f64, random: &mut SeededRng) -> Self {
        match plan.shape {
            ArrivalShape::Constant | ArrivalShape::Poisson => Self::Flat,
            ArrivalShape::Bursty => Self::Phases(burst_phases(plan.span.as_ms() as f64, random)),
            ArrivalShape::Day => Self::Day,
            ArrivalShape::Shift => Self::Step(1.0 + shift_share * (SHIFT_FACTOR - 1.0)),
        }
    }

    fn highest(&self) -> f64 {
        match self {
            Self::Flat => 1.0,
            Self::Phases(_) => BURST_RATES.0,
            Self::Day => NIGHT_RATE + 2.0 * PEAK_RATE,
            Self::Step(rate) => *rate,
        }
    }

    /// Returns the rate at a time, given also as a part of the span.
    fn at(&self, ms: f64, part: f64) -> f64 {
        match self {
            Self::Phases(ends) => {
                let is_burst = ends.partition_point(|end| *end <= ms) % 2 == 1;
                if is_burst {
                    BURST_RATES.0
                } else {
                    BURST_RATES.1
                }
            }
            Self::Day => NIGHT_RATE + peak(part, PEAKS.0) + peak(part, PEAKS.1),
            Self::Step(rate) if part >= 0.5 => *rate,
            Self::Flat | Self::Step(_) => 1.0,
        }
    }
}

fn burst_phases(span: f64, random: &mut SeededRng) -> Vec<f64> {
    let mut ends = Vec::new();
    let mut end = 0.0;
    while end < span {
        let mean = if ends.len() % 2 == 0 {
            BURST_MS.1
        } else {
            BURST_MS.0
        };
        end += exponential(mean, random);
        ends.push(end);
    }
    ends
}

fn peak(part: f64, middle: f64) -> f64 {
    let distance = (part - middle) / PEAK_WIDTH;
    PEAK_RATE * (-0.5 * distance * distance).exp()
}

fn exponential(mean: f64, random: &mut SeededRng) -> f64 {
    let uniform: f64 = random.random();
    -mean * (1.0 - uniform).ln()
}

fn arrival_times(plan: &LoadPlan, shift_share: f64, random: &mut SeededRng) -> Vec<ClockTime> {
    let span = plan.span.as_ms() as f64;
    let curve = RateCurve::new(plan, shift_share, random);
    let mean_gap = 1000.0 / (plan.rate * curve.highest());
    let mut times = Vec::new();
    let mut ms = 0.0;
    while times.len() < plan.max_calls {
        ms += if plan.shape == ArrivalShape::Constant {
            mean_gap
        } else {
            exponential(mean_gap, random)
        };
        if ms >= span {
            break;
        }
        let ratio = curve.at(ms, ms / span) / curve.highest();
        if ratio >= 1.0 || random.random::<f64>() < ratio {
            times.push(ClockTime::from_ms(ms as u64));
        }
    }
    times
}

/// Names with their shares of the calls.
struct PopularNames {
    models: Vec<Arc<str>>,
    before: Option<WeightedIndex<f64>>,
    /// Shares of the models once the demand has shifted.
    after: Option<WeightedIndex<f64>>,
    /// Share of the group that shifts in all calls, before the shift.
    shifted: f64,
    services: Vec<Arc<str>>,
    service_shares: Option<WeightedIndex<f64>>,
    tenants: Vec<Arc<str>>,
    tenant_shares: Option<WeightedIndex<f64>>,
}

impl PopularNames {
    fn new(plan: &LoadPlan) -> Self {
        let weights = zipf_weights(plan.models.len(), plan.skew);
        // The least popular third shifts: what was cold becomes hot.
        let first = plan.models.len() - plan.models.len().div_ceil(3);
        let raised = weights
            .iter()
            .enumerate()
            .map(|(rank, weight)| weight * if rank >= first { SHIFT_FACTOR } else { 1.0 });
        let group: f64 = weights[first..].iter().sum();
        let whole: f64 = weights.iter().sum();
        let chats = plan.mix.chat / (plan.mix.chat + plan.mix.get + plan.mix.post);
        Self {
            after: WeightedIndex::new(raised).ok(),
            before: WeightedIndex::new(&weights).ok(),
            shifted: if whole > 0.0 {
                chats * group / whole
            } else {
                0.0
            },
            models: shared_names(&plan.models),
            services: shared_names(&plan.services),
            service_shares: zipf(plan.services.len(), plan.skew),
            tenants: shared_names(&plan.tenants),
            tenant_shares: zipf(plan.tenants.len(), plan.skew),
        }
    }

    fn plan_call(
        &self,
        plan: &LoadPlan,
        index: usize,
        at: ClockTime,
        random: &mut SeededRng,
    ) -> PlannedCall {
        let part = at.as_ms() as f64 / plan.span.as_ms() as f64;
        let tenant = pick(&self.tenants, self.tenant_shares.as_ref(), random);
        let is_shifted = plan.shape == ArrivalShape::Shift && part >= 0.5;
        // Only chats for the group increase, so the share of chats rises with them.
        let growth = self.shifted * (SHIFT_FACTOR - 1.0);
        let total = plan.mix.chat + plan.mix.get + plan.mix.post;
        let chat = plan.mix.chat + if is_shifted { growth * total } else { 0.0 };
        let choice = random.random::<f64>() * (chat + plan.mix.get + plan.mix.post);
        let kind = if choice < chat {
            self.plan_chat(plan, (index, part, is_shifted), random)
        } else {
            let service = pick(&self.services, self.service_shares.as_ref(), random);
            let item: u32 = random.random_range(0..10_000);
            if choice < chat + plan.mix.get {
                CallKind::Get {
                    service,
                    path: format!("/items/{item}"),
                    query: format!("call={index}"),
                }
            } else {
                CallKind::Post {
                    service,
                    path: "/orders".to_owned(),
                    body: format!("{{\"item\":{item},\"call\":{index}}}"),
                    key: format!("load-{}-{index}", plan.seed),
                }
            }
        };
        PlannedCall {
            at,
            index,
            tenant,
            kind,
        }
    }

    fn plan_chat(
        &self,
        plan: &LoadPlan,
        (index, part, is_shifted): (usize, f64, bool),
        random: &mut SeededRng,
    ) -> CallKind {
        let shares = if is_shifted {
            &self.after
        } else {
            &self.before
        };
        let model = pick(&self.models, shares.as_ref(), random);
        let large = match plan.shape {
            ArrivalShape::Day => large_share(part),
            _ => LARGE_SHARE,
        };
        let is_large = random.random::<f64>() < large;
        let (words, tokens) = if is_large {
            (PROMPT_WORDS.1, plan.tokens.saturating_mul(LARGE_FACTOR))
        } else {
            (PROMPT_WORDS.0, plan.tokens)
        };
        let mut prompt = format!("call {} {index}:", plan.seed);
        for _ in 0..words {
            prompt.push_str(&format!(" {:07x}", random.random::<u32>() >> 4));
        }
        let is_batch = random.random::<f64>() < plan.batch_share;
        CallKind::Chat {
            model,
            prompt,
            tokens,
            class: if is_batch { "batch" } else { "interactive" },
        }
    }
}

/// Returns the share of large chats at a part of the day: few in the morning, most in the evening.
fn large_share(part: f64) -> f64 {
    let rates = (peak(part, PEAKS.0), peak(part, PEAKS.1));
    (NIGHT_RATE * LARGE_SHARE + rates.1 * 0.9) / (NIGHT_RATE + rates.0 + rates.1)
}

fn zipf_weights(count: usize, skew: f64) -> Vec<f64> {
    (1..=count).map(|rank| (rank as f64).powf(-skew)).collect()
}

fn zipf(count: usize, skew: f64) -> Option<WeightedIndex<f64>> {
    WeightedIndex::new(zipf_weights(count, skew)).ok()
}

fn shared_names(names: &[String]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(name.as_str())).collect()
}

fn pick(
    names: &[Arc<str>],
    shares: Option<&WeightedIndex<f64>>,
    random: &mut SeededRng,
) -> Arc<str> {
    let index = shares.map_or(0, |shares| shares.sample(random));
    names.get(index).cloned().unwrap_or_else(|| Arc::from(""))
}
