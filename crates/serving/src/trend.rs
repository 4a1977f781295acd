//! Where the demand for models is going.
//!
//! A load takes seconds, so copies are planned for the demand at its end: the rate is extended by
//! its slope, and a model that was busy a moment ago keeps its copies for a while.

use crate::demand::ModelDemand;
use crocusyard_base::prelude::*;
use std::collections::{HashMap, VecDeque};

/// Span over which the slope of a rate is taken.
const SLOPE_SPAN: ClockTime = ClockTime::from_ms(1_200);
/// Time by which a rate is extended; about a load from the weight store.
const LOOK_AHEAD_S: f64 = 4.0;
/// Most that an extended rate exceeds the present one, as a factor; arrivals are random.
const GROWTH_LIMIT: f64 = 3.0;
/// Rate below which a slope is taken for chance, 1/s.
const SLOPE_RATE: f64 = 2.0;
/// Time constant with which the peak of a model is forgotten, ms.
const PEAK_TIME_MS: f64 = 4_000.0;
/// Run time of a request before any is known, s.
const RUN_TIME_S: f64 = 1.0;
/// Longest mean run time that is believed, s; waiting requests stretch it.
const RUN_TIME_LIMIT_S: f64 = 3.0;

#[derive(Clone, Debug, Default)]
struct ModelTrend {
    /// Mean run time of its requests, s, as far as hosts told it.
    run_time: Option<f64>,
    samples: VecDeque<(ClockTime, f64)>,
    in_progress: f64,
    peak: f64,
    peak_at: ClockTime,
}

impl ModelTrend {
    fn rate(&self) -> f64 {
        self.samples.back().map_or(0.0, |(_, rate)| *rate)
    }

    /// Rate at the end of a load that begins now.
    fn coming_rate(&self) -> f64 {
        let rate = self.rate();
        let Some((first_at, first)) = self.samples.front() else {
            return rate;
        };
        let last_at = self.samples.back().map_or(*first_at, |(at, _)| *at);
        let span = last_at.since(*first_at).as_ms() as f64 / 1_000.0;
        if span <= 0.0 || rate < SLOPE_RATE {
            return rate;
        }
        let slope = (rate - first) / span;
        (rate + slope * LOOK_AHEAD_S).clamp(0.0, rate * GROWTH_LIMIT)
    }

    fn kept_peak(&self, now: ClockTime) -> f64 {
        let age = now.since(self.peak_at).as_ms() as f64;
        self.peak * (-age / PEAK_TIME_MS).exp()
    }
}

/// Demand for a model with all its adapters.
#[derive(Clone, Copy, Debug, Default)]
struct ModelSum {
    in_progress: f64,
    rate: f64,
    /// Rate of those whose run time is known.
    timed_rate: f64,
    /// Sum of run times, each times its rate.
    rated_ms: f64,
}

/// Trends of all models.
#[derive(Clone, Debug, Default)]
pub struct DemandTrend {
    models: HashMap<(ServiceName, ModelName), ModelTrend>,
    run_times: HashMap<ServiceName, f64>,
}

impl DemandTrend {
    /// Takes the demand of all hosts.
    pub fn update(&mut self, demands: &[ModelDemand], now: ClockTime) {
        let mut sums: HashMap<(ServiceName, ModelName), ModelSum> = HashMap::new();
        let mut services: HashMap<ServiceName, (f64, f64)> = HashMap::new();
        for demand in demands {
            let key = (demand.service.clone(), demand.need.model.clone());
            let sum = sums.entry(key).or_default();
            sum.in_progress += f64::from(demand.in_progress);
            sum.rate += demand.rate;
            if let Some(run_ms) = demand.run_ms {
                sum.timed_rate += demand.rate;
                sum.rated_ms += demand.rate * f64::from(run_ms);
            }
            let service = services.entry(demand.service.clone()).or_default();
            service.0 += f64::from(demand.in_progress.saturating_sub(demand.waiting));
            service.1 += demand.rate;
        }
        for (service, (running, rate)) in services {
            let run_time = if rate > 0.0 {
                running / rate
            } else {
                RUN_TIME_S
            };
            self.run_times
                .insert(service, run_time.min(RUN_TIME_LIMIT_S));
        }
        for key in sums.keys() {
            self.models.entry(key.clone()).or_default();
        }
        for (key, trend) in &mut self.models {
            let sum = sums.get(key).copied().unwrap_or_default();
            if sum.timed_rate > 0.0 {
                let run_time = sum.rated_ms / sum.timed_rate / 1_000.0;
                trend.run_time = Some(run_time.min(RUN_TIME_LIMIT_S));
            }
            trend.in_progress = sum.in_progress;
            trend.samples.push_back((now, sum.rate));
            while trend
                .samples
                .front()
                .is_some_and(|(at, _)| now.since(*at) > SLOPE_SPAN)
            {
                trend.samples.pop_front();
            }
            if sum.in_progress >= trend.kept_peak(now) {
                trend.peak = sum.in_progress;
                trend.peak_at = now;
            }
        }
        self.models
            .retain(|_, trend| trend.rate() > 0.0 || trend.kept_peak(now) > 0.1);
    }

    /// Requests that a model will have in progress when a load that begins now ends.
    pub fn forecast(&self, service: &ServiceName, model: &ModelName, now: ClockTime) -> f64 {
        let key = (service.clone(), model.clone());
        let Some(trend) = self.models.get(&key) else {
            return 0.0;
        };
        // Models differ in speed by a factor of ten; the service's mean is for those that have not
        // answered yet.
        let mean = self.run_times.get(service).copied();
        let run_time = trend.run_time.or(mean).unwrap_or(RUN_TIME_S);
        let coming = trend.coming_rate() * run_time;
        coming.max(trend.in_progress).max(trend.kept_peak(now))
    }
}
