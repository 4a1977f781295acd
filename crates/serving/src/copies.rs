//! Which model copies should be on which engines.
//!
//! Every model keeps one copy. A model in demand gets as many as keep its engines partly filled,
//! so that a rise finds room while the next load is under way. Copies beyond that stay where they
//! are until another model needs their memory.

use crate::call::CallNeed;
use crate::demand::ModelDemand;
use crate::orders::OrderAction;
use crate::rules::{EngineRule, ModelRule};
use crate::targets::TargetHoldings;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Share of its engines' slots that a model's requests take; the rest is room for a rise.
const FILL_AIM: f64 = 0.3;
/// Rate from which an adapter counts as in use, 1/s; rarer ones take turns in one place.
const ADAPTER_RATE: f64 = 0.3;
/// Memory kept for adapters on each engine, MB, besides those that are held.
const ADAPTER_RESERVE_MB: f64 = 600.0;
/// Cost of unloading another model first, ms; its requests have to end.
const UNLOAD_COST_MS: f64 = 1_500.0;
/// Cost of a second copy in the same failure domain, ms.
const SAME_DOMAIN_COST_MS: f64 = 200.0;
/// Cost of each other model in demand on the engine, ms; engines share their batch.
const SHARED_COST_MS: f64 = 300.0;

/// An engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Name.
    pub name: TargetName,
    /// Failure domain.
    pub domain: DomainName,
    /// What it holds.
    pub holdings: TargetHoldings,
    /// Models whose weights are in its memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights are on its disk.
    pub on_disk: BTreeSet<ModelName>,
    /// Model that it loads now, or may be loading.
    pub loading_model: Option<ModelName>,
    /// Adapter that it may be loading.
    pub loading_adapter: Option<CallNeed>,
    /// Adapters that stay because they have just been loaded.
    pub recent_adapters: BTreeSet<CallNeed>,
    /// Whether it can be given an order now.
    pub accepts_orders: bool,
}

/// Input of the planner, for one service.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// What its engines are.
    pub rule: &'a EngineRule,
    /// Engines that take work.
    pub engines: Vec<EngineView>,
    /// Demand of all hosts.
    pub demand: &'a [ModelDemand],
    /// Requests that models will have in progress when a load that begins now ends.
    pub forecast: HashMap<ModelName, f64>,
    /// Loads that may begin now.
    pub loads_left: usize,
}

#[derive(Clone, Debug)]
struct ModelNeed<'a> {
    rule: &'a ModelRule,
    in_progress: f64,
    rate: f64,
    copies: usize,
    wanted: usize,
}

impl ModelNeed<'_> {
    fn pressure(&self) -> f64 {
        (self.in_progress + self.rate) / (self.copies as f64 + 0.1)
    }
}

/// Orders to give now, the most urgent first; at most one for each engine.
pub fn plan_orders(input: &PlanInput<'_>) -> Vec<(TargetName, OrderAction)> {
    let mut needs = model_needs(input);
    let mut used: BTreeSet<TargetName> = BTreeSet::new();
    let mut loads_left = input.loads_left;
    let mut orders = Vec::new();
    while let Some(model) = most_pressing(&needs) {
        let choice = best_engine(input, &needs, &model, &used);
        let Some((name, action)) = choice else {
            give_up_on(&mut needs, &model);
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
            if let Some(need) = needs.get_mut(victim) {
                need.copies -= 1;
            }
        }
        if let Some(need) = needs.get_mut(&model) {
            need.copies += 1;
        }
        used.insert(name.clone());
        orders.push((name, action));
    }
    orders
}

fn give_up_on(needs: &mut BTreeMap<ModelName, ModelNeed<'_>>, model: &ModelName) {
    if let Some(need) = needs.get_mut(model) {
        need.wanted = need.copies;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandSum {
    in_progress: f64,
    rate: f64,
    /// Adapters in use.
    adapters: usize,
}

fn model_needs<'a>(input: &PlanInput<'a>) -> BTreeMap<ModelName, ModelNeed<'a>> {
    let mut sums: HashMap<&ModelName, DemandSum> = HashMap::new();
    for demand in input.demand {
        let sum = sums.entry(&demand.need.model).or_default();
        sum.in_progress += f64::from(demand.in_progress);
        sum.rate += demand.rate;
        if demand.need.adapter.is_some() && demand.rate > ADAPTER_RATE {
            sum.adapters += 1;
        }
    }
    let slots = f64::from(input.rule.slots.max(1));
    input
        .rule
        .models
        .values()
        .map(|rule| {
            let copies = input
                .engines
                .iter()
                .filter(|engine| {
                    engine.holdings.models.contains_key(&rule.name)
                        || engine.loading_model.as_ref() == Some(&rule.name)
                })
                .count();
            let sum = sums.get(&rule.name).copied().unwrap_or_default();
            let in_progress = input
                .forecast
                .get(&rule.name)
                .copied()
                .unwrap_or(sum.in_progress);
            let by_load = (in_progress / (slots * FILL_AIM)).ceil() as usize;
            let by_adapters = sum.adapters.div_ceil(input.rule.adapter_slots.max(1));
            let wanted = by_load.max(by_adapters);
            let need = ModelNeed {
                rule,
                in_progress,
                rate: sum.rate,
                copies,
                wanted: wanted.clamp(1, input.engines.len().max(1)),
            };
            (rule.name.clone(), need)
        })
        .collect()
}

/// Model that lacks copies most.
fn most_pressing(needs: &BTreeMap<ModelName, ModelNeed<'_>>) -> Option<ModelName> {
    needs
        .iter()
        .filter(|(_, need)| need.copies < need.wanted)
        .max_by(|(_, a), (_, b)| a.pressure().total_cmp(&b.pressure()))
        .map(|(name, _)| name.clone())
}

fn best_engine(
    input: &PlanInput<'_>,
    needs: &BTreeMap<ModelName, ModelNeed<'_>>,
    model: &ModelName,
    used: &BTreeSet<TargetName>,
) -> Option<(TargetName, OrderAction)> {
    let rule = needs.get(model)?.rule;
    let mut best: Option<(f64, &EngineView, OrderAction)> = None;
    for engine in &input.engines {
        let held = engine.holdings.models.contains_key(model);
        if held
            || !engine.accepts_orders
            || engine.loading_model.is_some()
            || used.contains(&engine.name)
        {
            continue;
        }
        let Some(action) = next_action(input.rule, engine, needs, rule) else {
            continue;
        };
        let cost = engine_cost(input, engine, needs, rule, &action);
        if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
            best = Some((cost, engine, action));
        }
    }
    best.map(|(_, engine, action)| (engine.name.clone(), action))
}

fn engine_cost(
    input: &PlanInput<'_>,
    engine: &EngineView,
    needs: &BTreeMap<ModelName, ModelNeed<'_>>,
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
    if matches!(action, OrderAction::UnloadModel(_)) {
        cost += UNLOAD_COST_MS;
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
        .filter(|held| needs.get(*held).is_some_and(|need| need.in_progress > 1.0))
        .count();
    cost + shared as f64 * SHARED_COST_MS
}

/// Loads a model if it fits, or unloads one that has copies to spare.
fn next_action(
    rule: &EngineRule,
    engine: &EngineView,
    needs: &BTreeMap<ModelName, ModelNeed<'_>>,
    model: &ModelRule,
) -> Option<OrderAction> {
    let free_mb = rule.weights_mb - ADAPTER_RESERVE_MB - used_memory_mb(rule, engine);
    if free_mb >= model.weights_mb {
        return Some(OrderAction::LoadModel(model.name.clone()));
    }
    let mut spare: Vec<(&ModelName, &ModelNeed<'_>)> = engine
        .holdings
        .models
        .keys()
        .filter_map(|held| needs.get_key_value(held))
        .filter(|(_, need)| need.copies > need.wanted)
        .collect();
    spare.sort_by(|(_, a), (_, b)| a.pressure().total_cmp(&b.pressure()));
    let freed: f64 = spare.iter().map(|(_, need)| need.rule.weights_mb).sum();
    if free_mb + freed < model.weights_mb {
        return None;
    }
    let (victim, _) = spare.first()?;
    Some(OrderAction::UnloadModel((*victim).clone()))
}

/// Memory of the models and adapters that an engine holds or loads, MB.
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
