//! Plans which engines should hold which models.
//!
//! A model in demand gets enough copies to keep its engines only partly filled, so that a rise in
//! demand finds free slots while the next load is in progress. Copies beyond that number stay where
//! they are until another model needs their memory. Where all models in demand lack copies, a copy
//! moves from a model with a low load per copy to one with a much higher load per copy.
//!
//! While there is room, every model keeps a copy. When the models outnumber the places, they share
//! them over time: a model that calls wait for takes the place of one that has not been asked for,
//! then a place of a model with several copies, and then that of the model with the least demand
//! among those that have stayed for a while. An unload takes as long as the requests of the model,
//! and the place that it frees goes to the first model in line: for each missing copy one place is
//! freed at a time.

use crate::call::CallNeed;
use crate::demand::ModelDemand;
use crate::orders::OrderAction;
use crate::rules::{EngineRule, ModelRule};
use crate::targets::TargetHoldings;
use crate::work::PLANNED_SLOTS;
use crocusyard_base::prelude::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Rate above which an adapter counts as in use, 1/s; less used adapters take turns in one adapter
/// slot.
const MIN_ADAPTER_RATE: f64 = 0.3;
/// Memory kept free for further adapters on each engine, MB.
const ADAPTER_RESERVE_MB: f64 = 600.0;
/// Cost of unloading a copy that runs requests, ms; they have to end first.
const UNLOAD_COST_MS: f64 = 1_500.0;
/// Cost of unloading a copy that runs none, ms; the load is ordered in the next plan.
const IDLE_UNLOAD_COST_MS: f64 = 100.0;
/// Cost of a second copy in the same failure domain, ms.
const SAME_DOMAIN_COST_MS: f64 = 200.0;
/// Cost of each other model in demand on the same engine, ms; its requests share the engine's
/// batch.
const SHARED_ENGINE_COST_MS: f64 = 300.0;

/// Time without requests after which the only copy of a model may give way to a model that has no
/// copy and is asked for, in load times of the model that gives way.
const IDLE_LOADS: f64 = 1.0;
/// Time without requests after which it may give way to another copy of a model in demand, in load
/// times. Asking for the idle model again costs its callers a load.
const LONG_IDLE_LOADS: f64 = 5.0;
/// Time for which the only copy of a model in demand stays after its load, in load times, so that
/// models which share a place over time answer calls for longer than they load.
const MIN_STAY_LOADS: f64 = 4.0;
/// Time for which a copy stays after its load before it may give way to a copy of a busier model, in
/// load times.
const MIN_SERVICE_LOADS: f64 = 1.0;
/// Fraction of the planned load per copy up to which a model keeps a copy that it does not need, as
/// its demand may rise again.
const GIVE_AWAY_MARGIN: f64 = 0.75;
/// Ratio of the loads per copy from which a copy moves from one model in demand to another; the
/// demand has to change by the square of it before the copy moves back.
const MIN_LOAD_RATIO: f64 = 1.5;
/// Fraction of the slots of its engines that the requests of a model may use after it has given a copy
/// away; the engines have other models as well. A model whose copies are fuller loses as many calls
/// as another would gain.
const CARRIED_SLOTS: f64 = 0.5;
/// Standard deviations of a number of requests that count as chance when a copy moves from one model
/// in demand to another.
const CHANCE_DEVIATIONS: f64 = 0.5;

/// State of an engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Name of the engine in the target list.
    pub name: TargetName,
    /// Failure domain that the engine runs in.
    pub domain: DomainName,
    /// Models and adapters that the engine holds.
    pub holdings: TargetHoldings,
    /// Models that are not loaded but whose weights are in the engine's memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that are not loaded but whose weights are on the engine's disk.
    pub on_disk: BTreeSet<ModelName>,
    /// Model that the engine is loading, or may be loading by an unanswered order.
    pub loading_model: Option<ModelName>,
    /// Adapter that the engine may be loading by an unanswered order.
    pub loading_adapter: Option<CallNeed>,
    /// Whether the engine is unloading a model, so that its memory will be free soon.
    pub unloading: bool,
    /// Time for which the engine has held each model, as far as known; models that are not listed
    /// count as just loaded.
    pub held_for: BTreeMap<ModelName, ClockTime>,
    /// Adapters that have been loaded too recently to unload them.
    pub recent_adapters: BTreeSet<CallNeed>,
    /// Whether the engine can be given an order now.
    pub accepts_orders: bool,
}

/// Input of [`plan_orders`] for one service.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// Sizes of the engines and models of the service.
    pub rule: &'a EngineRule,
    /// Engines of the service that are not leaving.
    pub engines: Vec<EngineView>,
    /// Demand for the models of the service, summed over all hosts.
    pub demand: &'a [ModelDemand],
    /// Slots that each model is expected to need when a load that begins now ends, see
    /// [`DemandTrend::expected_slots`](crate::trend::DemandTrend::expected_slots); the requests in
    /// progress count for models that are not listed.
    pub forecast: HashMap<ModelName, f64>,
    /// Time since the last request for each model; models that are not listed count as just used.
    pub idle: HashMap<ModelName, ClockTime>,
    /// Time for which each model without a copy has been in demand.
    pub missed_for: HashMap<ModelName, ClockTime>,
    /// Number of loads from the weight store that may begin now.
    pub loads_left: usize,
}

/// Copies that a model has and should have.
#[derive(Clone, Debug)]
struct CopyPlan<'a> {
    rule: &'a ModelRule,
    /// Slots that the model is expected to need.
    in_progress: f64,
    /// Requests that the model has in progress now.
    running: f64,
    /// Requests that arrive, 1/s.
    rate: f64,
    /// Copies that are held or being loaded, with the orders planned so far.
    copies: usize,
    /// Copies that are held; one that is being loaded serves no calls for seconds.
    held: usize,
    /// Copies that the model should have.
    wanted: usize,
    /// Copies that the model keeps although it should have fewer, as its demand may rise again.
    kept: usize,
    /// Load of a copy up to which it may take over the requests of another, slots.
    carried_load: f64,
    /// Time since the last request.
    idle: ClockTime,
    /// Time for which the model has been in demand without a copy.
    missed_for: ClockTime,
}

impl CopyPlan<'_> {
    /// Returns the demand per copy; the constant keeps it finite for a model without copies.
    fn demand_per_copy(&self) -> f64 {
        self.demand() / (self.copies as f64 + 0.1)
    }

    fn demand(&self) -> f64 {
        self.in_progress + self.rate
    }

    /// Returns the urgency of a further copy: the demand per copy, which counts more the longer
    /// the model has had no copy, so that rarely used models get their turn.
    fn urgency(&self) -> f64 {
        let load_ms = self.rule.load_time.as_ms().max(1) as f64;
        self.demand_per_copy() * (1.0 + self.missed_for.as_ms() as f64 / load_ms)
    }

    /// Returns the expected cost of unloading a copy, ms.
    fn unload_cost(&self) -> f64 {
        let running = self.running / self.copies.max(1) as f64;
        IDLE_UNLOAD_COST_MS.max(UNLOAD_COST_MS * running.min(1.0))
    }

    /// Returns whether calls ask for the model and no engine holds or loads it.
    fn is_missed(&self) -> bool {
        self.copies == 0 && self.demand() > 0.0
    }

    /// Returns whether nobody has asked for the model for a number of its load times.
    fn is_idle(&self, loads: f64) -> bool {
        self.idle > ClockTime::ZERO && self.idle >= self.rule.load_time.scale(loads)
    }

    /// Returns whether the model has more copies than it should have, also if its demand rises a
    /// little.
    fn is_spare(&self) -> bool {
        self.copies > self.kept
    }

    /// Returns whether the model, with one copy less, has a much lower load per copy than `claimant`,
    /// even if part of the difference is chance.
    fn can_spare_for(&self, claimant: &CopyPlan<'_>) -> bool {
        let chance = |requests: f64| CHANCE_DEVIATIONS * requests.sqrt();
        let left = (self.copies - 1).max(1) as f64;
        let own_load = (self.in_progress + chance(self.in_progress)) / left;
        let needed = claimant.in_progress - chance(claimant.in_progress);
        let claimed_load = needed / claimant.copies.max(1) as f64;
        own_load <= self.carried_load && own_load * MIN_LOAD_RATIO <= claimed_load
    }

    /// Returns whether a copy of this model that an engine has held for `held_for` may give way to
    /// `claimant`.
    fn yields_to(&self, claimant: &CopyPlan<'_>, held_for: ClockTime) -> bool {
        if self.is_spare() && self.held > 1 {
            return true;
        }
        let has_served = held_for >= self.rule.load_time.scale(MIN_SERVICE_LOADS);
        if self.held > 1 && has_served && self.can_spare_for(claimant) {
            return true;
        }
        if self.copies == 1 && self.is_idle(LONG_IDLE_LOADS) && claimant.demand() > 0.0 {
            return true;
        }
        let has_stayed = held_for >= self.rule.load_time.scale(MIN_STAY_LOADS);
        claimant.is_missed() && (self.held > 1 || self.is_idle(IDLE_LOADS) || has_stayed)
    }

    /// Returns the sort key by which copies give way: spare ones, those that run nothing first,
    /// then those of models that nobody asks for, the longest idle first, then those of models with
    /// several copies.
    fn yield_rank(&self) -> (u8, f64) {
        if self.is_spare() {
            return (0, self.unload_cost() + self.demand_per_copy());
        }
        if self.copies == 1 && self.is_idle(IDLE_LOADS) {
            return (1, -(self.idle.as_ms() as f64));
        }
        (if self.copies > 1 { 2 } else { 3 }, self.demand_per_copy())
    }
}

/// Plans the orders to give now, the most urgent first and at most one for each engine.
pub fn plan_orders(input: &PlanInput<'_>) -> Vec<(TargetName, OrderAction)> {
    let mut plans = plan_copies(input);
    let mut ordered: BTreeSet<TargetName> = BTreeSet::new();
    let mut loads_left = input.loads_left;
    let mut places_coming = input.engines.iter().filter(|e| e.unloading).count();
    let mut orders = Vec::new();
    while let Some(model) = next_model(&plans) {
        let choice = best_engine(input, &plans, &model, &ordered);
        let Some((name, action)) = choice else {
            skip_model(&mut plans, &model);
            continue;
        };
        let is_load = matches!(action, OrderAction::LoadModel(_));
        if is_load && loads_left == 0 {
            break;
        }
        if is_load {
            loads_left -= 1;
        }
        if let OrderAction::UnloadModel(victim) = &action {
            if places_coming > 0 {
                // The model gets the place that an earlier unload frees.
                places_coming -= 1;
                count_copy(&mut plans, &model);
                continue;
            }
            if let Some(plan) = plans.get_mut(victim) {
                plan.copies -= 1;
                plan.held = plan.held.saturating_sub(1);
                // It does not take the place of another model in the same plan.
                plan.wanted = plan.wanted.min(plan.copies);
            }
        }
        count_copy(&mut plans, &model);
        ordered.insert(name.clone());
        orders.push((name, action));
    }
    orders
}

/// Counts a copy that a model gets by the orders planned so far or by an earlier unload.
fn count_copy(plans: &mut BTreeMap<ModelName, CopyPlan<'_>>, model: &ModelName) {
    if let Some(plan) = plans.get_mut(model) {
        plan.copies += 1;
    }
}

/// Leaves a model out of the rest of the planning, since no engine can load it now.
fn skip_model(plans: &mut BTreeMap<ModelName, CopyPlan<'_>>, model: &ModelName) {
    if let Some(plan) = plans.get_mut(model) {
        plan.wanted = plan.copies;
    }
}

/// Demand for a model with all its adapters.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSum {
    in_progress: f64,
    rate: f64,
    /// Number of adapters in use.
    adapters: usize,
}

/// Compares the copies that each model has with those that its demand calls for.
fn plan_copies<'a>(input: &PlanInput<'a>) -> BTreeMap<ModelName, CopyPlan<'a>> {
    let mut sums: HashMap<&ModelName, DemandSum> = HashMap::new();
    for demand in input.demand {
        let sum = sums.entry(&demand.need.model).or_default();
        sum.in_progress += f64::from(demand.in_progress);
        sum.rate += demand.rate;
        if demand.need.adapter.is_some() && demand.rate > MIN_ADAPTER_RATE {
            sum.adapters += 1;
        }
    }
    let slots = f64::from(input.rule.slots.max(1));
    let most = input.engines.len().max(1);
    input
        .rule
        .models
        .values()
        .map(|rule| {
            let holds = |engine: &&EngineView| engine.holdings.models.contains_key(&rule.name);
            let held = input.engines.iter().filter(holds).count();
            let loads = |engine: &&EngineView| {
                engine.loading_model.as_ref() == Some(&rule.name) && !holds(engine)
            };
            let copies = held + input.engines.iter().filter(loads).count();
            let sum = sums.get(&rule.name).copied().unwrap_or_default();
            let in_progress = input
                .forecast
                .get(&rule.name)
                .copied()
                .unwrap_or(sum.in_progress);
            let by_load = |load: f64| (in_progress / load).ceil() as usize;
            let by_adapters = sum.adapters.div_ceil(input.rule.adapter_slots.max(1));
            let copies_for = |load| by_load(load).max(by_adapters).clamp(1, most);
            let planned_load = slots * PLANNED_SLOTS;
            let plan = CopyPlan {
                rule,
                in_progress,
                running: sum.in_progress,
                rate: sum.rate,
                copies,
                held,
                wanted: copies_for(planned_load),
                kept: copies_for(planned_load * GIVE_AWAY_MARGIN),
                carried_load: slots * CARRIED_SLOTS,
                idle: input.idle.get(&rule.name).copied().unwrap_or_default(),
                missed_for: input
                    .missed_for
                    .get(&rule.name)
                    .copied()
                    .unwrap_or_default(),
            };
            (rule.name.clone(), plan)
        })
        .collect()
}

/// Returns the model to which a further copy is most urgent among those that lack copies.
fn next_model(plans: &BTreeMap<ModelName, CopyPlan<'_>>) -> Option<ModelName> {
    plans
        .iter()
        .filter(|(_, plan)| plan.copies < plan.wanted)
        .max_by(|(_, a), (_, b)| a.urgency().total_cmp(&b.urgency()))
        .map(|(name, _)| name.clone())
}

/// Returns the engine that can load a model at the lowest cost, with the order to give it. An
/// engine with free memory comes first, then the one with the copy that gives way most easily.
fn best_engine(
    input: &PlanInput<'_>,
    plans: &BTreeMap<ModelName, CopyPlan<'_>>,
    model: &ModelName,
    ordered: &BTreeSet<TargetName>,
) -> Option<(TargetName, OrderAction)> {
    let claimant = plans.get(model)?;
    let mut best: Option<((u8, f64), &EngineView, OrderAction)> = None;
    for engine in &input.engines {
        let held = engine.holdings.models.contains_key(model);
        if held
            || !engine.accepts_orders
            || engine.loading_model.is_some()
            || ordered.contains(&engine.name)
        {
            continue;
        }
        let Some(action) = next_action(input.rule, engine, plans, claimant) else {
            continue;
        };
        let cost = engine_cost(input, engine, plans, claimant.rule, &action);
        let rank = match &action {
            OrderAction::UnloadModel(victim) => match plans.get(victim).map(CopyPlan::yield_rank) {
                // Spare copies cost only the time of their unload.
                Some((0, _)) | None => (0, cost),
                Some(rank) => rank,
            },
            _ => (0, cost),
        };
        let is_lower = |lowest: (u8, f64)| compare_ranks(rank, lowest) == Ordering::Less;
        if best.as_ref().is_none_or(|(lowest, ..)| is_lower(*lowest)) {
            best = Some((rank, engine, action));
        }
    }
    best.map(|(_, engine, action)| (engine.name.clone(), action))
}

/// Cost of loading a model on an engine, ms.
fn engine_cost(
    input: &PlanInput<'_>,
    engine: &EngineView,
    plans: &BTreeMap<ModelName, CopyPlan<'_>>,
    rule: &ModelRule,
    action: &OrderAction,
) -> f64 {
    let load_time = if engine.in_memory.contains(&rule.name) {
        rule.warm_time
    } else if engine.on_disk.contains(&rule.name) {
        rule.disk_time
    } else {
        rule.load_time
    };
    let mut cost = load_time.as_ms() as f64;
    if let OrderAction::UnloadModel(victim) = action {
        cost += plans
            .get(victim)
            .map_or(UNLOAD_COST_MS, CopyPlan::unload_cost);
    }
    let same_domain = input.engines.iter().any(|other| {
        other.domain == engine.domain && other.holdings.models.contains_key(&rule.name)
    });
    if same_domain {
        cost += SAME_DOMAIN_COST_MS;
    }
    let shared = engine
        .holdings
        .models
        .keys()
        .filter(|held| plans.get(*held).is_some_and(|plan| plan.in_progress > 1.0))
        .count();
    cost + shared as f64 * SHARED_ENGINE_COST_MS
}

/// Returns the order to load a model if it fits, or else the order to unload a model that gives way
/// to it. Returns `None` if the memory of such models is not enough.
fn next_action(
    rule: &EngineRule,
    engine: &EngineView,
    plans: &BTreeMap<ModelName, CopyPlan<'_>>,
    claimant: &CopyPlan<'_>,
) -> Option<OrderAction> {
    let free_mb = rule.weights_mb - ADAPTER_RESERVE_MB - used_memory_mb(rule, engine);
    let needed_mb = claimant.rule.weights_mb;
    if free_mb >= needed_mb {
        return Some(OrderAction::LoadModel(claimant.rule.name.clone()));
    }
    let yielding: Vec<&CopyPlan<'_>> = engine
        .holdings
        .models
        .keys()
        .filter_map(|held| plans.get(held))
        .filter(|plan| {
            let held_for = engine.held_for.get(&plan.rule.name);
            plan.yields_to(claimant, held_for.copied().unwrap_or_default())
        })
        .collect();
    let yielding_mb: f64 = yielding.iter().map(|plan| plan.rule.weights_mb).sum();
    if free_mb + yielding_mb < needed_mb {
        return None;
    }
    let victim = first_to_yield(yielding)?;
    Some(OrderAction::UnloadModel(victim.rule.name.clone()))
}

fn first_to_yield<'a>(yielding: Vec<&'a CopyPlan<'a>>) -> Option<&'a CopyPlan<'a>> {
    yielding
        .into_iter()
        .min_by(|a, b| compare_ranks(a.yield_rank(), b.yield_rank()))
}

fn compare_ranks(a: (u8, f64), b: (u8, f64)) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// Returns the memory of the models and adapters that an engine holds or is loading, MB.
pub fn used_memory_mb(rule: &EngineRule, engine: &EngineView) -> f64 {
    let size = |name: &ModelName| {
        rule.models
            .get(name)
            .map_or(rule.weights_mb, |m| m.weights_mb)
    };
    let models: f64 = engine.holdings.models.keys().map(size).sum();
    let adapters: f64 = engine
        .holdings
        .models
        .iter()
        .map(|(name, held)| {
            let each = rule.models.get(name).map_or(0.0, |model| model.adapter_mb);
            each * held.len() as f64
        })
        .sum();
    let loading = engine
        .loading_model
        .as_ref()
        .filter(|name| !engine.holdings.models.contains_key(*name))
        .map_or(0.0, size);
    models + adapters + loading
}
