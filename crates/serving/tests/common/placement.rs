//! An emulated fleet of engines whose models are placed by the lease holder's planner.
//!
//! An engine reads prompts one after the other at a fixed rate and writes the answers of all its
//! requests in common steps. Requests that do not fit into its memory for tokens wait in its own
//! queue. Calls go to the engine with the fewest requests among those that hold the model.

use super::{engine_rule, model, ms, service};
use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time step of the emulation.
const STEP_MS: u64 = 50;
/// Interval between two plans.
const PLAN_MS: u64 = 100;
/// Age of the demand that the planner knows.
const REPORT_AGE_MS: u64 = 200;
/// Longest time that a call waits for an engine.
const PATIENCE_MS: u64 = 2_000;
/// Time within which the answer should begin.
const OBJECTIVE_MS: u64 = 800;
/// Prompt tokens that an engine reads per ms.
const READ_PER_MS: f64 = 38.7;
/// Largest fraction of its time that an engine reads prompts.
const MAX_READING: f64 = 0.7;
/// Time of a step that writes one token of each answer, ms.
const TOKEN_MS: f64 = 5.47;
/// Further time of a step for each request, ms.
const TOKEN_PER_REQUEST_MS: f64 = 0.1;
/// Times of a load from the weight store, from the disk and from the memory of an engine.
const LOAD_MS: [u64; 3] = [5_800, 1_200, 400];
/// Models whose weights an engine keeps in memory after their unload.
const KEPT_IN_MEMORY: usize = 1;
/// Window in which the loads from the weight store are limited.
const WINDOW_MS: u64 = 5_000;

/// Failure domains of the fleet.
const DOMAINS: usize = 5;

/// Load on the fleet.
pub struct FleetLoad {
    /// Number of models.
    pub models: usize,
    /// Calls per second for a model at a time, ms.
    pub rate: Box<dyn Fn(usize, u64) -> f64>,
    /// Prompt and output tokens of the calls for a model.
    pub tokens: Box<dyn Fn(usize) -> (u32, u32)>,
    /// Duration of the run, ms.
    pub run_ms: u64,
    /// Time before which calls are not counted, ms.
    pub warm_up_ms: u64,
    /// Whether hosts report the tokens of calls.
    pub with_tokens: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Size of the fleet.
#[derive(Clone, Copy)]
pub struct FleetSize {
    pub engines: usize,
    /// Models that fit into the memory of an engine.
    pub places: usize,
    /// Loads from the weight store per second.
    pub loads_per_s: f64,
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    pub calls: u32,
    /// Calls that found no copy of their model.
    pub absent: u32,
    /// Calls that found only full copies.
    pub full: u32,
    /// Calls whose answer began within the objective.
    pub in_time: u32,
}

impl CallCounts {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    pub by_model: BTreeMap<usize, CallCounts>,
    /// Loads from the weight store, from the disk and from the memory of engines.
    pub loads: [u32; 3],
    pub unloads: u32,
    /// Copies of each model at the end of each second.
    pub copies: Vec<Vec<usize>>,
    /// Mean over time of the number of requests at the engine with the most.
    pub busiest: f64,
    /// Smallest number of copies of any model at any time.
    pub fewest_copies: usize,
    /// Largest number of loads from the weight store in a window of 5 s.
    pub loads_in_window: usize,
    /// Copies that were unloaded within 20 s after their load.
    pub short_stays: u32,
}

impl FleetResult {
    pub fn total(&self) -> CallCounts {
        let mut sum = CallCounts::default();
        for counts in self.by_model.values() {
            sum.calls += counts.calls;
            sum.absent += counts.absent;
            sum.full += counts.full;
            sum.in_time += counts.in_time;
        }
        sum
    }
}

struct Request {
    model: usize,
    arrived: u64,
    sent: u64,
    prompt_left: f64,
    output_left: f64,
    tokens: u32,
    begun: bool,
}

struct Engine {
    /// What the engine itself reports.
    holdings: TargetHoldings,
    running: Vec<Request>,
    queue: VecDeque<Request>,
    /// Order in progress with the time of its end; an unload ends with the last request.
    order: Option<(OrderAction, u64)>,
    in_memory: Vec<ModelName>,
    on_disk: BTreeSet<ModelName>,
    loaded_at: BTreeMap<ModelName, u64>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

pub struct PlacementFleet {
    size: FleetSize,
    load: FleetLoad,
    rule: EngineRule,
    names: Vec<ModelName>,
    targets: Vec<TargetName>,
    engines: Vec<Engine>,
    tracker: OrderTracker,
    trend: DemandTrend,
    waiting: Vec<Request>,
    /// Rates of arrivals by model with a time constant of 1 s: calls and prompt tokens.
    rates: Vec<(f64, f64)>,
    run_ms: Vec<Option<f64>>,
    /// Demand with the time as of which it holds.
    reports: VecDeque<(u64, Vec<ModelDemand>)>,
    store_loads: VecDeque<u64>,
    seed: u64,
    result: FleetResult,
}

/// Names of the models in the order of their numbers.
fn model_name(index: usize) -> String {
    format!("m{index:03}")
}

fn target_name(index: usize) -> TargetName {
    TargetName::new(&format!("t{index:03}"))
}

/// Deterministic random number between 0 and 1.
fn draw(state: &mut u64) -> f64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    (*state >> 33) as f64 / (1_u64 << 31) as f64
}

/// Fraction of the calls that go to the model of each rank, by Zipf's law.
pub fn zipf(models: usize, exponent: f64) -> Vec<f64> {
    let weight = |rank: usize| 1.0 / (rank as f64).powf(exponent);
    let total: f64 = (1..=models).map(weight).sum();
    (1..=models).map(|rank| weight(rank) / total).collect()
}

impl PlacementFleet {
    /// Creates a fleet in which every model has a copy, and the first ones have the other places.
    pub fn new(size: FleetSize, load: FleetLoad) -> Self {
        let names: Vec<String> = (0..load.models).map(model_name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut rule = EngineRule {
            slots: 24,
            kv_tokens: 56_483,
            weights_mb: size.places as f64 * 60_000.0 + 5_000.0,
            adapter_slots: 4,
            loads_per_s: size.loads_per_s,
            ..engine_rule(&names)
        };
        for model in rule.models.values_mut() {
            model.load_time = ms(LOAD_MS[0]);
            model.disk_time = ms(LOAD_MS[1]);
            model.warm_time = ms(LOAD_MS[2]);
        }
        let names: Vec<ModelName> = names.iter().map(|name| model(name)).collect();
        let targets: Vec<TargetName> = (0..size.engines).map(target_name).collect();
        let mut tracker = OrderTracker::default();
        tracker.sync_engines(&targets.iter().map(|name| (name.clone(), 1)).collect());
        let places = size.engines * size.places;
        let engine = |number: usize| {
            let held = (number..places).step_by(size.engines);
            let models = held.map(|place| (names[place % load.models].clone(), BTreeSet::new()));
            Engine {
                holdings: TargetHoldings {
                    accepted_orders: 0,
                    models: models.collect(),
                },
                running: Vec::new(),
                queue: VecDeque::new(),
                order: None,
                in_memory: Vec::new(),
                on_disk: BTreeSet::new(),
                loaded_at: BTreeMap::new(),
            }
        };
        let engines: Vec<Engine> = (0..size.engines).map(engine).collect();
        for (target, engine) in targets.iter().zip(&engines) {
            tracker.receive_report(target, &report(engine), ms(0));
        }
        Self {
            rates: vec![(0.0, 0.0); load.models],
            run_ms: vec![None; load.models],
            seed: load.seed,
            size,
            load,
            rule,
            names,
            targets,
            engines,
            tracker,
            trend: DemandTrend::default(),
            waiting: Vec::new(),
            reports: VecDeque::new(),
            store_loads: VecDeque::new(),
            result: FleetResult {
                fewest_copies: usize::MAX,
                ..FleetResult::default()
            },
        }
    }

    pub fn run(mut self) -> FleetResult {
        let mut busiest = 0;
        let steps = self.load.run_ms / STEP_MS;
        for step in 0..steps {
            let now = step * STEP_MS;
            self.end_orders(now);
            self.receive_calls(now);
            self.send_calls(now);
            for engine in 0..self.engines.len() {
                self.run_engine(engine, now);
            }
            busiest += self.engines.iter().map(Engine::load).max().unwrap_or(0);
            if now % PLAN_MS == 0 {
                self.plan(now);
            }
            let copies: Vec<usize> = (0..self.load.models).map(|m| self.copies(m)).collect();
            let fewest = copies.iter().copied().min().unwrap_or(0);
            self.result.fewest_copies = self.result.fewest_copies.min(fewest);
            if now % 1_000 == 1_000 - STEP_MS {
                self.result.copies.push(copies);
            }
        }
        self.result.busiest = busiest as f64 / steps as f64;
        self.result
    }

    fn copies(&self, index: usize) -> usize {
        let holders = self.engines.iter();
        holders
            .filter(|engine| engine.holdings.models.contains_key(&self.names[index]))
            .count()
    }

    fn counts(&mut self, index: usize) -> &mut CallCounts {
        self.result.by_model.entry(index).or_default()
    }

    fn receive_calls(&mut self, now: u64) {
        let decay = (-(STEP_MS as f64) / 1_000.0).exp();
        for index in 0..self.load.models {
            let (prompt, output) = (self.load.tokens)(index);
            let mean = (self.load.rate)(index, now) * STEP_MS as f64 / 1_000.0;
            let arrivals = self.draw_count(mean);
            let (calls, tokens) = &mut self.rates[index];
            *calls = *calls * decay + f64::from(arrivals);
            *tokens = *tokens * decay + f64::from(arrivals) * f64::from(prompt);
            for _ in 0..arrivals {
                let size = 0.5 + draw(&mut self.seed);
                let request = Request {
                    model: index,
                    arrived: now,
                    sent: now,
                    prompt_left: f64::from(prompt) * size,
                    output_left: f64::from(output) * size,
                    tokens: (f64::from(prompt + output) * size) as u32,
                    begun: false,
                };
                if now >= self.load.warm_up_ms {
                    self.count_arrival(index);
                }
                self.waiting.push(request);
            }
        }
    }

    /// Draws the number of arrivals from the Poisson distribution with the given mean.
    fn draw_count(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let mut product = draw(&mut self.seed);
        let mut count = 0;
        while product > limit {
            product *= draw(&mut self.seed);
            count += 1;
        }
        count
    }

    fn count_arrival(&mut self, index: usize) {
        let slots = self.rule.slots as usize;
        let name = &self.names[index];
        let mut holders = self
            .engines
            .iter()
            .filter(|engine| engine.holdings.models.contains_key(name))
            .peekable();
        let absent = holders.peek().is_none();
        let full = !absent && holders.all(|engine| engine.load() >= slots);
        let counts = self.counts(index);
        counts.calls += 1;
        counts.absent += u32::from(absent);
        counts.full += u32::from(full);
    }

    fn send_calls(&mut self, now: u64) {
        let slots = self.rule.slots as usize;
        for mut request in std::mem::take(&mut self.waiting) {
            let name = &self.names[request.model];
            let best = self
                .engines
                .iter_mut()
                .filter(|engine| engine.holdings.models.contains_key(name))
                .filter(|engine| engine.load() < slots)
                .min_by_key(|engine| engine.load());
            if let Some(engine) = best {
                request.sent = now;
                engine.queue.push_back(request);
            } else if now - request.arrived < PATIENCE_MS {
                self.waiting.push(request);
            }
        }
    }

    fn run_engine(&mut self, number: usize, now: u64) {
        let engine = &mut self.engines[number];
        let mut used: u64 = engine.running.iter().map(|r| u64::from(r.tokens)).sum();
        while engine.running.len() < self.rule.slots as usize {
            let next = engine.queue.front().map(|r| u64::from(r.tokens));
            if next.is_none_or(|tokens| used + tokens > self.rule.kv_tokens) {
                break;
            }
            used += next.unwrap_or(0);
            engine.running.extend(engine.queue.pop_front());
        }
        let mut reading_ms = STEP_MS as f64 * MAX_READING;
        for request in &mut engine.running {
            let read = request.prompt_left.min(reading_ms * READ_PER_MS);
            request.prompt_left -= read;
            reading_ms -= read / READ_PER_MS;
        }
        let read_ms = STEP_MS as f64 * MAX_READING - reading_ms;
        let step_ms = TOKEN_MS + TOKEN_PER_REQUEST_MS * engine.running.len() as f64;
        let written = (STEP_MS as f64 - read_ms) / step_ms;
        let mut begun = Vec::new();
        let mut ended = Vec::new();
        engine.running.retain_mut(|request| {
            if request.prompt_left > 0.0 {
                return true;
            }
            if !request.begun {
                request.begun = true;
                begun.push((request.model, request.arrived));
            }
            request.output_left -= written;
            if request.output_left <= 0.0 {
                ended.push((request.model, now + STEP_MS - request.sent));
            }
            request.output_left > 0.0
        });
        for (index, arrived) in begun {
            let in_time = now + STEP_MS - arrived <= OBJECTIVE_MS;
            if arrived >= self.load.warm_up_ms && in_time {
                self.counts(index).in_time += 1;
            }
        }
        for (index, time) in ended {
            let mean = self.run_ms[index].unwrap_or(time as f64);
            self.run_ms[index] = Some(mean * 0.9 + time as f64 * 0.1);
        }
    }

    /// Demand as the hosts report it now.
    fn demand(&self) -> Vec<ModelDemand> {
        let mut counts = vec![(0_u32, 0_u32, 0_u32); self.load.models];
        let running = self
            .engines
            .iter()
            .flat_map(|engine| engine.running.iter().chain(&engine.queue));
        for request in running {
            counts[request.model].0 += 1;
            counts[request.model].2 += request.tokens;
        }
        for request in &self.waiting {
            counts[request.model].0 += 1;
            counts[request.model].1 += 1;
            counts[request.model].2 += request.tokens;
        }
        let demands = counts.iter().zip(&self.rates).enumerate();
        demands
            .filter(|(_, ((in_progress, ..), (rate, _)))| *in_progress > 0 || *rate > 0.02)
            .map(
                |(index, ((in_progress, waiting, tokens), rate))| ModelDemand {
                    service: service(),
                    need: CallNeed {
                        model: self.names[index].clone(),
                        adapter: None,
                    },
                    in_progress: *in_progress,
                    waiting: *waiting,
                    rate: rate.0,
                    run_ms: self.run_ms[index].map(|run| run as u32),
                    work: if self.load.with_tokens {
                        TokenWork {
                            tokens: *tokens,
                            prompt_rate: rate.1 as u32,
                        }
                    } else {
                        TokenWork::default()
                    },
                },
            )
            .collect()
    }

    fn plan(&mut self, now: u64) {
        let clock = ms(now);
        self.reports.push_back((now, self.demand()));
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| now - at >= REPORT_AGE_MS)
        {
            self.reports.pop_front();
        }
        let demand = self.reports[0].1.clone();
        for name in self.tracker.reports_due(clock) {
            let number = self.targets.iter().position(|target| *target == name);
            let report = report(&self.engines[number.expect("the engine is known")]);
            self.tracker.receive_report(&name, &report, clock);
        }
        self.trend.update(&demand, clock);
        let views = self.views(clock);
        let held = views
            .iter()
            .flat_map(|view| view.holdings.models.keys().cloned())
            .collect();
        self.trend.note_copies(&service(), &held, clock);
        let of_models = |time: &dyn Fn(&ModelName) -> ClockTime| {
            let models = self.names.iter();
            models.map(|model| (model.clone(), time(model))).collect()
        };
        let trend = &self.trend;
        let forecast = self.names.iter().map(|model| {
            let slots = trend.expected_slots(&service(), &self.rule, model, clock);
            (model.clone(), slots)
        });
        let input = PlanInput {
            rule: &self.rule,
            engines: views,
            demand: &demand,
            forecast: forecast.collect(),
            idle: of_models(&|model| trend.idle_time(&service(), model, clock)),
            missed_for: of_models(&|model| trend.missed_for(&service(), model, clock)),
            loads_left: self.tracker.loads_left(&service(), &self.rule, clock),
        };
        for (target, action) in plan_orders(&input) {
            self.give_order(&target, action, now);
        }
    }

    fn views(&self, now: ClockTime) -> Vec<EngineView> {
        let orders = &self.tracker;
        let views = self.targets.iter().enumerate().map(|(number, name)| {
            let engine = &self.engines[number];
            EngineView {
                domain: DomainName::new(&format!("d{}", number % DOMAINS)),
                holdings: orders.holdings(name).cloned().unwrap_or_default(),
                in_memory: engine.in_memory.iter().cloned().collect(),
                on_disk: engine.on_disk.clone(),
                loading_model: orders.loading_model(name).cloned(),
                unloading: orders.is_unloading(name),
                held_for: orders.held_for(name, now),
                accepts_orders: orders.accepts_orders(name, now),
                ..super::engine_view(name.as_str(), &[])
            }
        });
        views.collect()
    }

    /// Carries out an order; the answer arrives at once.
    fn give_order(&mut self, target: &TargetName, action: OrderAction, now: u64) {
        let clock = ms(now);
        let begun = self.tracker.begin(&service(), target, &action, clock);
        let number = self.targets.iter().position(|name| name == target);
        let engine = &mut self.engines[number.expect("the engine is known")];
        assert_eq!(begun, Some(engine.holdings.accepted_orders));
        assert!(engine.order.is_none(), "a second order to {target}");
        let done_at = match &action {
            OrderAction::LoadModel(name) => {
                let used = engine.holdings.models.len();
                assert!(used < self.size.places, "engine {target} is overfilled");
                let source = if engine.in_memory.contains(name) {
                    2
                } else {
                    usize::from(engine.on_disk.contains(name))
                };
                self.result.loads[source] += 1;
                if source == 0 {
                    self.store_loads.push_back(now);
                    self.store_loads.retain(|at| now - at < WINDOW_MS);
                    let count = self.store_loads.len();
                    self.result.loads_in_window = self.result.loads_in_window.max(count);
                }
                now + LOAD_MS[source]
            }
            OrderAction::UnloadModel(name) => {
                self.result.unloads += 1;
                let loaded_at = engine.loaded_at.remove(name);
                let is_short = loaded_at.is_some_and(|at| now - at < 20_000);
                self.result.short_stays += u32::from(is_short);
                engine.holdings.models.remove(name);
                now + 2 * STEP_MS
            }
            _ => now,
        };
        engine.holdings.accepted_orders += 1;
        engine.order = Some((action.clone(), done_at));
        let answer = OrderAnswer::Accepted;
        let warm = ms(LOAD_MS[2]);
        self.tracker
            .receive_answer(target, &action, answer, warm, clock);
    }

    fn end_orders(&mut self, now: u64) {
        for engine in &mut self.engines {
            let Some((action, done_at)) = engine.order.take() else {
                continue;
            };
            let still_runs = |name: &ModelName| {
                let mut requests = engine.running.iter().chain(&engine.queue);
                requests.any(|request| self.names[request.model] == *name)
            };
            let waits = matches!(&action, OrderAction::UnloadModel(name) if still_runs(name));
            if now < done_at || waits {
                engine.order = Some((action, done_at));
                continue;
            }
            match action {
                OrderAction::LoadModel(name) => {
                    engine.in_memory.retain(|kept| *kept != name);
                    engine.on_disk.remove(&name);
                    engine.loaded_at.insert(name.clone(), now);
                    engine.holdings.models.insert(name, BTreeSet::new());
                }
                OrderAction::UnloadModel(name) => {
                    engine.in_memory.push(name);
                    if engine.in_memory.len() > KEPT_IN_MEMORY {
                        let oldest = engine.in_memory.remove(0);
                        engine.on_disk.insert(oldest);
                    }
                }
                _ => {}
            }
        }
    }
}

fn report(engine: &Engine) -> EngineReport {
    EngineReport {
        incarnation: Some(1),
        holdings: engine.holdings.clone(),
        busy: engine.order.is_some(),
    }
}
