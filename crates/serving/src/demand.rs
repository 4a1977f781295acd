//! Demand for models and adapters.
//!
//! Each host counts the requests that it gets; the lease holder adds up the last reports of all
//! hosts.

use crate::call::{CallInfo, CallNeed};
use crate::peer_reports::PeerReports;
use crate::work::TokenWork;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Age at which the report of a host is dropped.
const REPORT_LIFETIME: ClockTime = ClockTime::from_secs(3);
/// Shortest interval between two computations of the totals; hosts report their demand less often.
const TOTAL_INTERVAL: ClockTime = ClockTime::from_ms(200);
/// Time constant of the moving average of arrivals, ms.
const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Rate below which a model or adapter without requests in progress is dropped, 1/s.
const MIN_RATE: f64 = 0.02;

/// Demand for one model with one adapter or none, at one host or summed over hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Service that the calls go to.
    pub service: ServiceName,
    /// Model and adapter that the calls need.
    pub need: CallNeed,
    /// Number of requests in progress, waiting ones included.
    pub in_progress: u32,
    /// Number of requests that wait for a target.
    pub waiting: u32,
    /// Rate at which requests arrive, 1/s.
    pub rate: f64,
    /// Mean time from a send to its answer, ms; `None` if no request has been answered yet.
    pub run_ms: Option<u32>,
    /// Tokens of the calls. It is sent beside the demands, not in them: hosts of an earlier version
    /// could not tell the next demand from it.
    #[serde(skip)]
    pub work: TokenWork,
}

/// Counts for one model and adapter at one host.
#[derive(Clone, Debug, Default)]
struct NeedCount {
    in_progress: u32,
    waiting: u32,
    rate: f64,
    /// Prompt and output tokens of the requests in progress.
    tokens: u64,
    /// Rate at which prompt tokens arrive, 1/s.
    prompt_rate: f64,
    /// Time of the last arrival, as of which the rates hold.
    rated_at: ClockTime,
}

impl NeedCount {
    /// Returns the rate of arrivals, which decays exponentially without further ones, 1/s.
    fn rate_at(&self, now: ClockTime) -> f64 {
        self.rate * self.decay(now)
    }

    /// Returns the rate at which prompt tokens arrive, which decays in the same way, 1/s.
    fn prompt_rate_at(&self, now: ClockTime) -> f64 {
        self.prompt_rate * self.decay(now)
    }

    /// Returns the factor by which the rates have decayed since the last arrival.
    fn decay(&self, now: ClockTime) -> f64 {
        let age = now.since(self.rated_at).as_ms() as f64;
        (-age / RATE_TIME_CONSTANT_MS).exp()
    }
}

/// Counts the demand at one host.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    counts: HashMap<(ServiceName, CallNeed), NeedCount>,
}

impl DemandCounter {
    /// Counts a call that arrives. A call that needs no model is not counted.
    pub fn count_arrival(&mut self, call: &CallInfo, now: ClockTime) {
        let Some(need) = &call.need else {
            return;
        };
        let key = (call.service.clone(), need.clone());
        let count = self.counts.entry(key).or_default();
        let prompt = f64::from(call.own_prompt_tokens());
        count.rate = count.rate_at(now) + 1_000.0 / RATE_TIME_CONSTANT_MS;
        count.prompt_rate = count.prompt_rate_at(now) + prompt * 1_000.0 / RATE_TIME_CONSTANT_MS;
        count.rated_at = now;
        count.in_progress += 1;
        count.tokens += tokens_of(call);
    }

    /// Counts the end of a call.
    pub fn count_end(&mut self, call: &CallInfo) {
        let Some(need) = &call.need else {
            return;
        };
        let key = (call.service.clone(), need.clone());
        if let Some(count) = self.counts.get_mut(&key) {
            count.in_progress = count.in_progress.saturating_sub(1);
            count.tokens = count.tokens.saturating_sub(tokens_of(call));
        }
    }

    /// Replaces the numbers of waiting requests of all models and adapters.
    pub fn set_waiting(&mut self, waiting: &HashMap<(ServiceName, CallNeed), u32>) {
        for (key, count) in &mut self.counts {
            count.waiting = waiting.get(key).copied().unwrap_or(0);
        }
    }

    /// Returns the report to the lease holder, sorted by service, model and adapter.
    pub fn report(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.counts
            .retain(|_, count| count.in_progress > 0 || count.rate_at(now) > MIN_RATE);
        let mut demands: Vec<ModelDemand> = self
            .counts
            .iter()
            .map(|((service, need), count)| ModelDemand {
                service: service.clone(),
                need: need.clone(),
                in_progress: count.in_progress,
                waiting: count.waiting,
                rate: count.rate_at(now),
                run_ms: None,
                work: TokenWork {
                    tokens: u32::try_from(count.tokens).unwrap_or(u32::MAX),
                    prompt_rate: count.prompt_rate_at(now) as u32,
                },
            })
            .collect();
        demands.sort_by(|a, b| (&a.service, &a.need).cmp(&(&b.service, &b.need)));
        demands
    }
}

/// Returns the tokens that a call takes in the memory of an engine, apart from prompt parts that
/// other calls share.
fn tokens_of(call: &CallInfo) -> u64 {
    u64::from(call.own_prompt_tokens()) + u64::from(call.output_tokens)
}

/// Returns the mean run time of two demands, weighted by their rates; a demand without a run time
/// does not count.
fn mean_run_time(sum: &ModelDemand, other: &ModelDemand) -> Option<u32> {
    let (Some(first), Some(second)) = (sum.run_ms, other.run_ms) else {
        return sum.run_ms.or(other.run_ms);
    };
    let rates = (sum.rate + other.rate).max(f64::MIN_POSITIVE);
    let mean = (f64::from(first) * sum.rate + f64::from(second) * other.rate) / rates;
    Some(mean as u32)
}

/// Demand of all hosts, summed by the lease holder.
#[derive(Clone, Debug, Default)]
pub struct DemandTotals {
    reports: PeerReports<Vec<ModelDemand>>,
    totals: Vec<ModelDemand>,
    totals_at: Option<ClockTime>,
}

impl DemandTotals {
    /// Replaces the demand that a host reported.
    pub fn update(&mut self, host: &HostName, demands: Vec<ModelDemand>, now: ClockTime) {
        self.reports.update(host, demands, now);
    }

    /// Returns the demand by model and adapter, summed over the recent reports of all hosts.
    ///
    /// The totals are computed again only after `TOTAL_INTERVAL`.
    pub fn total(&mut self, now: ClockTime) -> &[ModelDemand] {
        let due = self
            .totals_at
            .is_none_or(|at| now.since(at) >= TOTAL_INTERVAL);
        if due {
            self.totals_at = Some(now);
            self.totals = self.compute_totals(now);
        }
        &self.totals
    }

    fn compute_totals(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.reports.drop_silent(REPORT_LIFETIME, now);
        let mut totals: HashMap<(ServiceName, CallNeed), ModelDemand> = HashMap::new();
        for demand in self.reports.iter().flatten() {
            let key = (demand.service.clone(), demand.need.clone());
            let sum = totals.entry(key).or_insert_with(|| ModelDemand {
                in_progress: 0,
                waiting: 0,
                rate: 0.0,
                run_ms: None,
                work: TokenWork::default(),
                ..demand.clone()
            });
            sum.run_ms = mean_run_time(sum, demand);
            sum.in_progress += demand.in_progress;
            sum.waiting += demand.waiting;
            sum.rate += demand.rate;
            sum.work += demand.work;
        }
        let mut demands: Vec<ModelDemand> = totals.into_values().collect();
        demands.sort_by(|a, b| (&a.service, &a.need).cmp(&(&b.service, &b.need)));
        demands
    }
}
