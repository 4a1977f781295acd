//! Load pattern: models outnumber the places in the memory of the engines.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Engines of the emulated fleet.
const ENGINES: usize = 8;
/// Models that fit into the memory of one engine of [`engine_rule`].
const PLACES: usize = 3;
/// Time step of the emulation.
const STEP_MS: u64 = 100;
/// Emulated time.
const RUN_MS: u64 = 120_000;
/// Emulated time that is not counted, in which the first placement changes to the demand.
const WARM_UP_MS: u64 = 20_000;
/// Time to load a model.
const LOAD_MS: u64 = 1_200;
/// Time that an unload takes, since requests of the model have to end.
const UNLOAD_MS: u64 = 600;
/// Longest time that a caller waits.
const PATIENCE_MS: u64 = 4_800;
/// Requests of all models, 1/s.
const RATE: f64 = 30.0;

/// Which planner the emulated fleet uses.
#[derive(Clone, Copy, PartialEq)]
enum Planner {
    /// The planner of the lease holder.
    Shared,
    /// The same without the times that models have been idle or held: each keeps its last copy.
    Pinned,
}

/// An order that an emulated engine is carrying out.
#[derive(Clone)]
struct RunningOrder {
    engine: usize,
    action: OrderAction,
    done_at: u64,
}

/// Result of an emulated run.
#[derive(Debug, Default)]
struct FleetResult {
    asked: BTreeMap<usize, u32>,
    served: BTreeMap<usize, u32>,
    loads: u32,
}

impl FleetResult {
    fn share_served(&self) -> f64 {
        let served: u32 = self.served.values().sum();
        let asked: u32 = self.asked.values().sum();
        f64::from(served) / f64::from(asked.max(1))
    }

    /// Models that were asked for at least four times and never served.
    fn starved(&self) -> usize {
        let asked = self.asked.iter().filter(|(_, count)| **count >= 4);
        asked
            .filter(|(model, _)| !self.served.contains_key(model))
            .count()
    }
}

fn name(index: usize) -> String {
    format!("m{index:03}")
}

/// Deterministic random number between 0 and 1.
fn draw(state: &mut u64) -> f64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    (*state >> 33) as f64 / (1_u64 << 31) as f64
}

/// Model that a request asks for at a time: Zipf over a list that shifts every 20 s.
fn draw_model(models: usize, now_ms: u64, state: &mut u64) -> usize {
    let total: f64 = (1..=models).map(|rank| 1.0 / rank as f64).sum();
    let mut point = draw(state) * total;
    let mut rank = 0;
    while rank + 1 < models && point >= 1.0 / (rank + 1) as f64 {
        point -= 1.0 / (rank + 1) as f64;
        rank += 1;
    }
    let shift = (now_ms / 20_000) as usize * 7;
    (rank + shift) % models
}

/// An emulated fleet in which a request takes no time once its model is held; only places are
/// scarce.
struct EmulatedFleet {
    models: usize,
    planner: Planner,
    rule: EngineRule,
    views: Vec<EngineView>,
    orders: Vec<RunningOrder>,
    held_since: HashMap<(usize, ModelName), u64>,
    loads_at: Vec<u64>,
    trend: DemandTrend,
    /// Models that requests wait for, with the times of their arrivals.
    waiting: Vec<(usize, u64)>,
    /// Models of the requests that arrived within the last second.
    arrivals: Vec<(usize, u64)>,
    seed: u64,
    result: FleetResult,
}

impl EmulatedFleet {
    fn new(models: usize, planner: Planner) -> Self {
        let names: Vec<String> = (0..models).map(name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut rule = EngineRule {
            loads_per_s: 4.0,
            slots: 64,
            ..engine_rule(&names)
        };
        for model in rule.models.values_mut() {
            model.load_time = ms(LOAD_MS);
        }
        let view = |engine: usize| {
            let first = engine * PLACES;
            let held: Vec<(&str, &[&str])> = names[first..first + PLACES]
                .iter()
                .map(|name| (*name, &[] as &[&str]))
                .collect();
            engine_view(&format!("t{engine}"), &held)
        };
        Self {
            models,
            planner,
            views: (0..ENGINES).map(view).collect(),
            rule,
            orders: Vec::new(),
            held_since: HashMap::new(),
            loads_at: Vec::new(),
            trend: DemandTrend::default(),
            waiting: Vec::new(),
            arrivals: Vec::new(),
            seed: 7,
            result: FleetResult::default(),
        }
    }

    fn run(mut self) -> FleetResult {
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            self.end_orders(now);
            self.receive_requests(now);
            self.serve_requests(now);
            self.give_orders(now);
        }
        self.result
    }

    fn end_orders(&mut self, now: u64) {
        let (done, running) = self
            .orders
            .drain(..)
            .partition(|order| order.done_at <= now);
        self.orders = running;
        let done: Vec<RunningOrder> = done;
        for order in done {
            let view = &mut self.views[order.engine];
            view.accepts_orders = true;
            view.unloading = false;
            if let OrderAction::LoadModel(model) = order.action {
                view.loading_model = None;
                view.holdings.models.insert(model.clone(), BTreeSet::new());
                self.held_since.insert((order.engine, model), now);
            }
        }
    }

    fn receive_requests(&mut self, now: u64) {
        let mut due = RATE * STEP_MS as f64 / 1_000.0;
        while due >= 1.0 || draw(&mut self.seed) < due {
            due -= 1.0;
            let model = draw_model(self.models, now, &mut self.seed);
            self.waiting.push((model, now));
            self.arrivals.push((model, now));
            if now >= WARM_UP_MS {
                *self.result.asked.entry(model).or_default() += 1;
            }
        }
        self.arrivals.retain(|(_, at)| now - at < 1_000);
    }

    fn serve_requests(&mut self, now: u64) {
        let held = self.held_models();
        let served = &mut self.result.served;
        self.waiting.retain(|(index, at)| {
            let is_held = held.contains(&model(&name(*index)));
            if is_held && *at >= WARM_UP_MS {
                *served.entry(*index).or_default() += 1;
            }
            !is_held && now - at < PATIENCE_MS
        });
    }

    fn held_models(&self) -> BTreeSet<ModelName> {
        let held = self
            .views
            .iter()
            .flat_map(|view| view.holdings.models.keys());
        held.cloned().collect()
    }

    fn demand(&self) -> Vec<ModelDemand> {
        let mut counts: BTreeMap<usize, (u32, f64)> = BTreeMap::new();
        for (index, _) in &self.waiting {
            counts.entry(*index).or_default().0 += 1;
        }
        for (index, _) in &self.arrivals {
            counts.entry(*index).or_default().1 += 1.0;
        }
        let demand = |(index, (waiting, rate)): (usize, (u32, f64))| ModelDemand {
            service: service(),
            need: CallNeed {
                model: model(&name(index)),
                adapter: None,
            },
            in_progress: waiting,
            waiting,
            rate,
            run_ms: Some(100),
            work: TokenWork::default(),
        };
        counts.into_iter().map(demand).collect()
    }

    /// Tells the planner for how long each engine has held its models.
    fn note_held_times(&mut self, now: u64) {
        for (engine, view) in self.views.iter_mut().enumerate() {
            let since = |model: &ModelName| self.held_since.get(&(engine, model.clone()));
            let held = view.holdings.models.keys();
            view.held_for = held
                .map(|model| (model.clone(), ms(now - since(model).copied().unwrap_or(0))))
                .collect();
        }
    }

    fn give_orders(&mut self, now: u64) {
        let demand = self.demand();
        let clock = ms(now);
        self.trend.update(&demand, clock);
        self.trend
            .note_copies(&service(), &self.held_models(), clock);
        self.loads_at.retain(|at| now - at < 5_000);
        let shared = self.planner == Planner::Shared;
        if shared {
            self.note_held_times(now);
        }
        let models = || self.rule.models.keys().filter(|_| shared);
        let plan = plan_orders(&PlanInput {
            rule: &self.rule,
            engines: self.views.clone(),
            demand: &demand,
            forecast: self
                .rule
                .models
                .keys()
                .map(|model| (model.clone(), self.trend.forecast(&service(), model, clock)))
                .collect(),
            idle: models()
                .map(|model| {
                    (
                        model.clone(),
                        self.trend.idle_time(&service(), model, clock),
                    )
                })
                .collect(),
            missed_for: models()
                .map(|model| {
                    (
                        model.clone(),
                        self.trend.missed_for(&service(), model, clock),
                    )
                })
                .collect(),
            loads_left: 20 - self.loads_at.len(),
        });
        for (target, action) in plan {
            self.begin_order(&target, action, now);
        }
    }

    fn begin_order(&mut self, target: &TargetName, action: OrderAction, now: u64) {
        let engine = self.views.iter().position(|view| view.name == *target);
        let engine = engine.expect("the plan names an engine of the fleet");
        let view = &mut self.views[engine];
        view.accepts_orders = false;
        let time = match &action {
            OrderAction::LoadModel(model) => {
                self.loads_at.push(now);
                self.result.loads += 1;
                view.loading_model = Some(model.clone());
                LOAD_MS
            }
            OrderAction::UnloadModel(model) => {
                view.holdings.models.remove(model);
                view.unloading = true;
                UNLOAD_MS
            }
            _ => 0,
        };
        let used = view.holdings.models.len() + usize::from(view.loading_model.is_some());
        assert!(used <= PLACES, "engine {target} is overfilled");
        self.orders.push(RunningOrder {
            engine,
            action,
            done_at: now + time,
        });
    }
}

fn run_fleet(models: usize, planner: Planner) -> FleetResult {
    EmulatedFleet::new(models, planner).run()
}

/// Share of the requests that a planner which knows the demand of each 20 s could serve: those for
/// the models that are asked for most in that time.
fn offline_bound(models: usize) -> f64 {
    let places = ENGINES * PLACES;
    let weight = |rank: usize| 1.0 / (rank + 1) as f64;
    let total: f64 = (0..models).map(weight).sum();
    (0..places.min(models)).map(weight).sum::<f64>() / total
}

/// Guards against models without a copy that are never served because models that nobody asks for
/// keep their places: 1.5 times as many models as places, and a list of favourites that shifts.
#[test]
fn slightly_too_many_models_share_their_places() {
    let models = ENGINES * PLACES * 3 / 2;
    let shared = run_fleet(models, Planner::Shared);
    let pinned = run_fleet(models, Planner::Pinned);
    println!(
        "1.5: shared {:.3} ({} loads), pinned {:.3} ({} loads), offline without waits {:.3}",
        shared.share_served(),
        shared.loads,
        pinned.share_served(),
        pinned.loads,
        offline_bound(models)
    );
    assert!(shared.share_served() > 0.95, "{shared:?}");
    assert_eq!(shared.starved(), 0, "{shared:?}");
    assert!(shared.share_served() > pinned.share_served());
}

/// Guards against the same with four times as many models as places.
#[test]
fn four_times_as_many_models_share_their_places() {
    let models = ENGINES * PLACES * 4;
    let shared = run_fleet(models, Planner::Shared);
    let pinned = run_fleet(models, Planner::Pinned);
    println!(
        "4: shared {:.3} ({} loads, {} starved), pinned {:.3} ({} starved), offline {:.3}",
        shared.share_served(),
        shared.loads,
        shared.starved(),
        pinned.share_served(),
        pinned.starved(),
        offline_bound(models)
    );
    assert!(shared.share_served() > offline_bound(models), "{shared:?}");
    assert_eq!(shared.starved(), 0, "{shared:?}");
}

/// Guards against the same with ten times as many models as places.
#[test]
fn ten_times_as_many_models_share_their_places() {
    let models = ENGINES * PLACES * 10;
    let shared = run_fleet(models, Planner::Shared);
    let pinned = run_fleet(models, Planner::Pinned);
    println!(
        "10: shared {:.3} ({} loads, {} starved), pinned {:.3} ({} starved), offline {:.3}",
        shared.share_served(),
        shared.loads,
        shared.starved(),
        pinned.share_served(),
        pinned.starved(),
        offline_bound(models)
    );
    assert!(
        shared.share_served() > 0.9 * offline_bound(models),
        "{shared:?}"
    );
    assert!(shared.starved() * 10 <= shared.asked.len(), "{shared:?}");
}

/// Plans for two full engines of which `idle` says how long their models have not been asked for.
fn plan_for_full(
    wanted: &[(&str, f64)],
    idle: &[(&str, u64)],
    change: impl FnMut(&mut EngineView),
) -> Vec<(TargetName, OrderAction)> {
    let rule = engine_rule(&["a", "b", "c", "d", "e", "f", "g"]);
    let mut engines = vec![
        engine_view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]),
        engine_view("t2", &[("d", &[]), ("e", &[]), ("f", &[])]),
    ];
    engines.iter_mut().for_each(change);
    plan_orders(&PlanInput {
        rule: &rule,
        engines,
        demand: &[],
        forecast: wanted
            .iter()
            .map(|(name, count)| (model(name), *count))
            .collect(),
        idle: idle
            .iter()
            .map(|(name, time)| (model(name), ms(*time)))
            .collect(),
        missed_for: HashMap::new(),
        loads_left: 10,
    })
}

/// Guards against an idle model that keeps its place while calls wait for one without a copy.
#[test]
fn longest_idle_model_gives_way_to_a_missed_one() {
    let idle = [("b", 6_000), ("e", 9_000)];
    let orders = plan_for_full(&[("g", 1.0)], &idle, |_| {});
    let unload = OrderAction::UnloadModel(model("e"));
    assert_eq!(orders, [(TargetName::new("t2"), unload)]);
}

/// Guards against a load for each gap in the demand for a rare model.
#[test]
fn model_that_was_asked_for_a_moment_ago_keeps_its_place() {
    let orders = plan_for_full(&[("g", 1.0)], &[("b", 4_000)], |_| {});
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against further places that are freed while the first unload still runs.
#[test]
fn one_place_is_freed_for_one_model() {
    let idle = [("b", 6_000), ("e", 9_000)];
    let orders = plan_for_full(&[("g", 1.0)], &idle, |view| {
        if view.name == TargetName::new("t2") {
            view.holdings.models.remove(&model("e"));
            view.unloading = true;
            view.accepts_orders = false;
        }
    });
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against a model that is never served since all models with a place are in demand too.
#[test]
fn models_in_demand_take_turns_when_they_have_stayed() {
    let wanted = [
        ("a", 2.0),
        ("b", 3.0),
        ("c", 1.5),
        ("d", 2.0),
        ("e", 1.2),
        ("f", 2.0),
        ("g", 1.0),
    ];
    let hold = |view: &mut EngineView, held_ms| {
        let held = view.holdings.models.keys().cloned();
        view.held_for = held.map(|model| (model, ms(held_ms))).collect();
    };
    let orders = plan_for_full(&wanted, &[], |view| hold(view, 19_000));
    assert!(orders.is_empty(), "{orders:?}");
    let orders = plan_for_full(&wanted, &[], |view| hold(view, 20_000));
    let unload = OrderAction::UnloadModel(model("e"));
    assert_eq!(orders, [(TargetName::new("t2"), unload)]);
}

/// Guards against idle models that keep places which a model in demand needs for more copies.
#[test]
fn long_idle_model_gives_way_to_a_copy_of_a_busy_one() {
    let orders = plan_for_full(&[("a", 20.0)], &[("e", 24_000)], |_| {});
    assert!(orders.is_empty(), "{orders:?}");
    let orders = plan_for_full(&[("a", 20.0)], &[("e", 25_000)], |_| {});
    let unload = OrderAction::UnloadModel(model("e"));
    assert_eq!(orders, [(TargetName::new("t2"), unload)]);
}

/// Guards against copies that come one after the other when demand moves to another model: an
/// unload takes as long as the longest request of the model that gives way.
#[test]
fn places_for_all_missing_copies_are_freed_at_once() {
    let rule = engine_rule(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let mut engines = vec![
        engine_view("t1", &[("a", &[]), ("b", &[]), ("c", &[])]),
        engine_view("t2", &[("d", &[]), ("e", &[])]),
        engine_view("t3", &[("b", &[]), ("f", &[]), ("g", &[])]),
        engine_view("t4", &[("b", &[]), ("h", &[])]),
    ];
    engines[1].unloading = true;
    engines[1].accepts_orders = false;
    let orders = plan_orders(&PlanInput {
        rule: &rule,
        engines,
        demand: &[],
        forecast: HashMap::from([(model("a"), 4.0 * f64::from(SLOTS))]),
        idle: HashMap::new(),
        missed_for: HashMap::new(),
        loads_left: 10,
    });
    let load = (TargetName::new("t4"), OrderAction::LoadModel(model("a")));
    let unload = (TargetName::new("t3"), OrderAction::UnloadModel(model("b")));
    assert_eq!(orders, [load, unload]);
}

/// Guards against waiting for the requests of one model where a copy of another model that nobody
/// uses could go at once.
#[test]
fn spare_copy_without_requests_goes_first() {
    let rule = engine_rule(&["a", "b", "c", "d", "e", "f"]);
    let engines = vec![
        engine_view("t1", &[("b", &[]), ("d", &[]), ("e", &[])]),
        engine_view("t2", &[("c", &[]), ("f", &[]), ("b", &[])]),
        engine_view("t3", &[("c", &[]), ("b", &[]), ("f", &[])]),
    ];
    let running = ModelDemand {
        service: service(),
        need: CallNeed {
            model: model("b"),
            adapter: None,
        },
        in_progress: 6,
        waiting: 0,
        rate: 0.0,
        run_ms: None,
        work: TokenWork::default(),
    };
    let orders = plan_orders(&PlanInput {
        rule: &rule,
        engines,
        demand: &[running],
        forecast: HashMap::from([(model("a"), 2.0), (model("b"), 0.0)]),
        idle: HashMap::new(),
        missed_for: HashMap::new(),
        loads_left: 10,
    });
    let unload = (TargetName::new("t2"), OrderAction::UnloadModel(model("c")));
    assert_eq!(orders, [unload]);
}
