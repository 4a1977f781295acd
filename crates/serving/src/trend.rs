//! Forecast of the demand for models.
//!
//! A load takes seconds, so copies are planned for the demand at its end. The rate of arrivals is
//! extrapolated by its slope, and a model that was busy a moment ago keeps its copies for a while.

use crate::demand::ModelDemand;
use crate::rules::EngineRule;
use crate::work::{EngineDemand, TokenWork};
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Time span over which the slope of a rate is measured.
const SLOPE_SPAN: ClockTime = ClockTime::from_ms(1_200);
/// Time by which a rate is extrapolated, s; about the time of a load from the weight store.
const LOOK_AHEAD_S: f64 = 4.0;
/// Largest ratio of an extrapolated rate to the present one; a higher slope may be chance, since
/// arrivals are random.
const GROWTH_LIMIT: f64 = 3.0;
/// Rate below which a slope is ignored as chance, 1/s.
const MIN_SLOPE_RATE: f64 = 2.0;
/// Time constant of the moving averages that the hosts report as rates, s.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Standard deviations of the difference of two rates that count as chance.
const CHANCE_DEVIATIONS: f64 = 1.5;
/// Time constant with which the peak of a model decays, ms.
const PEAK_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Rate of arrivals up to which a model without requests in progress counts as idle, 1/s; the rate
/// of a single request decays to it within a second.
const IDLE_RATE: f64 = 0.4;
/// Time between two updates after which what was known of the demand before counts no more.
const FOLLOW_GAP: ClockTime = ClockTime::from_secs(2);
/// Run time that is assumed for a request before any is known, s.
const DEFAULT_RUN_TIME_S: f64 = 1.0;
/// Upper limit on the mean run time, s; requests that wait at an engine make it seem longer.
const MAX_RUN_TIME_S: f64 = 3.0;

/// Recent demand for one model with all its adapters.
#[derive(Clone, Debug, Default)]
struct ModelTrend {
    /// Mean run time of its requests, s; `None` until a host has reported one.
    run_time: Option<f64>,
    /// Rates of arrivals within the slope span, 1/s, each with its time.
    samples: VecDeque<(ClockTime, f64)>,
    /// Requests in progress now, and the waiting ones as far as they count.
    in_progress: f64,
    /// Highest number of requests in progress, reached at `peak_at`.
    peak: f64,
    peak_at: ClockTime,
    /// Rate at which prompt tokens arrive, 1/s.
    prompt_rate: f64,
    /// Mean number of tokens of a request, as of the last time that any was in progress.
    request_tokens: f64,
}

impl ModelTrend {
    /// Returns the present rate of arrivals, 1/s.
    fn rate(&self) -> f64 {
        self.samples.back().map_or(0.0, |(_, rate)| *rate)
    }

    /// Returns the rate of arrivals that is expected at the end of a load that begins now, 1/s.
    fn expected_rate(&self) -> f64 {
        let rate = self.rate();
        let Some((first_at, first)) = self.samples.front() else {
            return rate;
        };
        let last_at = self.samples.back().map_or(*first_at, |(at, _)| *at);
        let span = last_at.since(*first_at).as_ms() as f64 / 1_000.0;
        if span <= 0.0 || rate < MIN_SLOPE_RATE {
            return rate;
        }
        let chance = CHANCE_DEVIATIONS * ((rate + first) / (2.0 * RATE_TIME_CONSTANT_S)).sqrt();
        let rise = rate - first;
        let slope = rise.signum() * (rise.abs() - chance).max(0.0) / span;
        (rate + slope * LOOK_AHEAD_S).clamp(0.0, rate * GROWTH_LIMIT)
    }

    /// Returns the waiting calls that count as demand for slots. Calls wait for up to seconds, and
    /// more of them than arrive during a run time do not need a slot at the same time.
    fn backlog(&self, sum: ModelSum, service_mean: Option<f64>) -> f64 {
        let run_time = self.run_time.or(service_mean);
        let arriving = sum.rate * run_time.unwrap_or(DEFAULT_RUN_TIME_S);
        let running = sum.in_progress - sum.waiting;
        if running > 0.0 {
            sum.waiting.min(running.max(arriving))
        } else {
            // The model has no copy, and the calls tell how many callers miss it.
            sum.waiting
        }
    }

    /// Returns what is left of the peak after its decay.
    fn decayed_peak(&self, now: ClockTime) -> f64 {
        let age = now.since(self.peak_at).as_ms() as f64;
        self.peak * (-age / PEAK_TIME_CONSTANT_MS).exp()
    }
}

/// Present demand for a model with all its adapters.
#[derive(Clone, Copy, Debug, Default)]
struct ModelSum {
    in_progress: f64,
    waiting: f64,
    rate: f64,
    /// Rate of the requests whose run time is known, 1/s.
    timed_rate: f64,
    /// Sum of the run times, each multiplied by its rate.
    weighted_ms: f64,
    work: TokenWork,
}

/// Trends of the demand for all models.
#[derive(Clone, Debug, Default)]
pub struct DemandTrend {
    models: HashMap<(ServiceName, ModelName), ModelTrend>,
    /// Mean run times of all models of a service, s.
    run_times: HashMap<ServiceName, f64>,
    /// When each model was last seen in demand.
    asked_at: HashMap<(ServiceName, ModelName), ClockTime>,
    /// Since when each model without a copy has been in demand.
    missed_since: HashMap<(ServiceName, ModelName), ClockTime>,
    /// Times of the first and of the last update without a long gap between updates.
    followed: Option<(ClockTime, ClockTime)>,
}

impl DemandTrend {
    /// Updates the trends with the present demand of all hosts.
    pub fn update(&mut self, demands: &[ModelDemand], now: ClockTime) {
        let mut sums: HashMap<(ServiceName, ModelName), ModelSum> = HashMap::new();
        let mut services: HashMap<ServiceName, (f64, f64)> = HashMap::new();
        for demand in demands {
            let key = (demand.service.clone(), demand.need.model.clone());
            let sum = sums.entry(key).or_default();
            sum.in_progress += f64::from(demand.in_progress);
            sum.waiting += f64::from(demand.waiting);
            sum.rate += demand.rate;
            sum.work += demand.work;
            if let Some(run_ms) = demand.run_ms {
                sum.timed_rate += demand.rate;
                sum.weighted_ms += demand.rate * f64::from(run_ms);
            }
            let service = services.entry(demand.service.clone()).or_default();
            service.0 += f64::from(demand.in_progress.saturating_sub(demand.waiting));
            service.1 += demand.rate;
        }
        for (service, (running, rate)) in services {
            let run_time = if rate > 0.0 {
                running / rate
            } else {
                DEFAULT_RUN_TIME_S
            };
            self.run_times.insert(service, run_time.min(MAX_RUN_TIME_S));
        }
        self.follow(now);
        for (key, sum) in &sums {
            self.models.entry(key.clone()).or_default();
            if sum.in_progress > 0.0 || sum.rate > IDLE_RATE {
                self.asked_at.insert(key.clone(), now);
            }
        }
        for (key, trend) in &mut self.models {
            let service_mean = self.run_times.get(&key.0).copied();
            let sum = sums.get(key).copied().unwrap_or_default();
            if sum.timed_rate > 0.0 {
                let run_time = sum.weighted_ms / sum.timed_rate / 1_000.0;
                trend.run_time = Some(run_time.min(MAX_RUN_TIME_S));
            }
            trend.in_progress = sum.in_progress - sum.waiting + trend.backlog(sum, service_mean);
            trend.prompt_rate = f64::from(sum.work.prompt_rate);
            if sum.in_progress > 0.0 {
                trend.request_tokens = f64::from(sum.work.tokens) / sum.in_progress;
            }
            trend.samples.push_back((now, sum.rate));
            while trend
                .samples
                .front()
                .is_some_and(|(at, _)| now.since(*at) > SLOPE_SPAN)
            {
                trend.samples.pop_front();
            }
            if trend.in_progress >= trend.decayed_peak(now) {
                trend.peak = trend.in_progress;
                trend.peak_at = now;
            }
        }
        self.models
            .retain(|_, trend| trend.rate() > 0.0 || trend.decayed_peak(now) > 0.1);
    }

    /// Returns the time since a model was last asked for, as far as this host has followed the
    /// demand.
    pub fn idle_time(&self, service: &ServiceName, model: &ModelName, now: ClockTime) -> ClockTime {
        let asked_at = self.asked_at.get(&(service.clone(), model.clone()));
        let started = self.followed.map(|(from, _)| from);
        now.since(asked_at.copied().or(started).unwrap_or(now))
    }

    /// Records which models of a service have a copy.
    pub fn note_copies(
        &mut self,
        service: &ServiceName,
        held: &BTreeSet<ModelName>,
        now: ClockTime,
    ) {
        for key in self.models.keys().filter(|(owner, _)| owner == service) {
            if held.contains(&key.1) {
                self.missed_since.remove(key);
            } else {
                self.missed_since.entry(key.clone()).or_insert(now);
            }
        }
    }

    /// Returns for how long a model has been in demand without a copy.
    pub fn missed_for(
        &self,
        service: &ServiceName,
        model: &ModelName,
        now: ClockTime,
    ) -> ClockTime {
        let since = self.missed_since.get(&(service.clone(), model.clone()));
        since.map_or(ClockTime::ZERO, |since| now.since(*since))
    }

    /// Records an update. A host that has not held the lease for a while knows nothing of the
    /// demand meanwhile, and no model counts as idle then.
    fn follow(&mut self, now: ClockTime) {
        let from = match self.followed {
            Some((from, last)) if now.since(last) < FOLLOW_GAP => from,
            _ => {
                self.asked_at.clear();
                self.missed_since.clear();
                now
            }
        };
        self.followed = Some((from, now));
    }

    /// Returns the number of requests that a model is expected to have in progress when a load that
    /// begins now ends.
    pub fn forecast(&self, service: &ServiceName, model: &ModelName, now: ClockTime) -> f64 {
        let key = (service.clone(), model.clone());
        let Some(trend) = self.models.get(&key) else {
            return 0.0;
        };
        // Models differ in speed by a factor of ten; the mean of the service is used only for
        // models that have not answered a request yet.
        let service_mean = self.run_times.get(service).copied();
        let run_time = trend
            .run_time
            .or(service_mean)
            .unwrap_or(DEFAULT_RUN_TIME_S);
        let expected = trend.expected_rate() * run_time;
        expected.max(trend.in_progress).max(trend.decayed_peak(now))
    }

    /// Returns the slots that a model is expected to need when a load that begins now ends, where
    /// requests with many tokens need more than one each.
    pub fn expected_slots(
        &self,
        service: &ServiceName,
        rule: &EngineRule,
        model: &ModelName,
        now: ClockTime,
    ) -> f64 {
        let requests = self.forecast(service, model, now);
        let Some(trend) = self.models.get(&(service.clone(), model.clone())) else {
            return requests;
        };
        let growth = trend.expected_rate() / trend.rate().max(f64::MIN_POSITIVE);
        let demand = EngineDemand {
            requests,
            tokens: requests * trend.request_tokens,
            prompt_rate: trend.prompt_rate * growth.max(1.0),
        };
        demand.slots(rule)
    }
}
