//! Demand for models and adapters.
//!
//! Each host counts its own; the lease holder adds up what the hosts told last.

use crate::call::CallNeed;
use crate::peer_reports::PeerReports;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Age at which what a host told is dropped.
const TOLD_DEMAND_TIME: ClockTime = ClockTime::from_secs(3);
/// Pause between sums; hosts tell their demand less often.
const SUM_PAUSE: ClockTime = ClockTime::from_ms(200);
/// Span over which arrivals are averaged, ms.
const RATE_SPAN_MS: f64 = 1_000.0;
/// Rate below which a need without requests in progress is forgotten, 1/s.
const RATE_FLOOR: f64 = 0.02;

/// Demand for one need at one host, or at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Service.
    pub service: ServiceName,
    /// Model and adapter.
    pub need: CallNeed,
    /// Requests in progress, including those that wait.
    pub in_progress: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that arrive, 1/s.
    pub rate: f64,
    /// Mean time from a send to its end, ms, if one has ended.
    pub run_ms: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct NeedCount {
    in_progress: u32,
    waiting: u32,
    rate: f64,
    rated_at: ClockTime,
}

impl NeedCount {
    fn rate_at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.rated_at).as_ms() as f64;
        self.rate * (-age / RATE_SPAN_MS).exp()
    }
}

/// Counts of one host.
#[derive(Clone, Debug, Default)]
pub struct DemandCounter {
    counts: HashMap<(ServiceName, CallNeed), NeedCount>,
}

impl DemandCounter {
    /// Counts a request that arrives.
    pub fn count_arrival(&mut self, service: &ServiceName, need: &CallNeed, now: ClockTime) {
        let key = (service.clone(), need.clone());
        let count = self.counts.entry(key).or_default();
        count.rate = count.rate_at(now) + 1_000.0 / RATE_SPAN_MS;
        count.rated_at = now;
        count.in_progress += 1;
    }

    /// Counts a request that has ended.
    pub fn count_end(&mut self, service: &ServiceName, need: &CallNeed) {
        let key = (service.clone(), need.clone());
        if let Some(count) = self.counts.get_mut(&key) {
            count.in_progress = count.in_progress.saturating_sub(1);
        }
    }

    /// Sets the number of waiting requests, for all needs at once.
    pub fn set_waiting(&mut self, waiting: &HashMap<(ServiceName, CallNeed), u32>) {
        for (key, count) in &mut self.counts {
            count.waiting = waiting.get(key).copied().unwrap_or(0);
        }
    }

    /// What the lease holder is told.
    pub fn report(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.counts
            .retain(|_, count| count.in_progress > 0 || count.rate_at(now) > RATE_FLOOR);
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
            })
            .collect();
        demands.sort_by(|a, b| (&a.service, &a.need).cmp(&(&b.service, &b.need)));
        demands
    }
}

/// Mean run time of two parts of a demand, by their rates; a part without one says nothing.
fn mean_run(sum: &ModelDemand, part: &ModelDemand) -> Option<u32> {
    let (Some(first), Some(second)) = (sum.run_ms, part.run_ms) else {
        return sum.run_ms.or(part.run_ms);
    };
    let rates = (sum.rate + part.rate).max(f64::MIN_POSITIVE);
    let mean = (f64::from(first) * sum.rate + f64::from(second) * part.rate) / rates;
    Some(mean as u32)
}

/// Demand of all hosts, at the lease holder.
#[derive(Clone, Debug, Default)]
pub struct DemandTotals {
    told: PeerReports<Vec<ModelDemand>>,
    sums: Vec<ModelDemand>,
    summed_at: Option<ClockTime>,
}

impl DemandTotals {
    /// Takes what a host told.
    pub fn update(&mut self, host: &HostName, demands: Vec<ModelDemand>, now: ClockTime) {
        self.told.update(host, demands, now);
    }

    /// Sums by need over the hosts that told lately; at most one sum pause old.
    pub fn total(&mut self, now: ClockTime) -> &[ModelDemand] {
        let due = self.summed_at.is_none_or(|at| now.since(at) >= SUM_PAUSE);
        if due {
            self.summed_at = Some(now);
            self.sums = self.sum(now);
        }
        &self.sums
    }

    fn sum(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        self.told.drop_silent(TOLD_DEMAND_TIME, now);
        let mut sums: HashMap<(ServiceName, CallNeed), ModelDemand> = HashMap::new();
        for demand in self.told.iter().flatten() {
            let key = (demand.service.clone(), demand.need.clone());
            let sum = sums.entry(key).or_insert_with(|| ModelDemand {
                in_progress: 0,
                waiting: 0,
                rate: 0.0,
                run_ms: None,
                ..demand.clone()
            });
            sum.run_ms = mean_run(sum, demand);
            sum.in_progress += demand.in_progress;
            sum.waiting += demand.waiting;
            sum.rate += demand.rate;
        }
        let mut demands: Vec<ModelDemand> = sums.into_values().collect();
        demands.sort_by(|a, b| (&a.service, &a.need).cmp(&(&b.service, &b.need)));
        demands
    }
}
