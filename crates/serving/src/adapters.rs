//! Decides on which engine an adapter is loaded and which adapter is unloaded to make room for it.
//!
//! An adapter that calls wait for is loaded on one engine at once ([`next_adapter_step`]). Further
//! copies follow the demand as the copies of models do ([`plan_adapters`]).

use crate::call::CallNeed;
use crate::copies::{used_memory_mb, EngineView};
use crate::demand::ModelDemand;
use crate::orders::OrderAction;
use crate::rules::EngineRule;
use crate::work::PLANNED_SLOTS;
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Copies that an adapter in use should have while adapter slots are free, so that its calls have
/// another engine when one fails or is full.
const SPREAD_COPIES: usize = 2;
/// Use from which an adapter gets further copies: requests that arrive per second, plus requests in
/// progress.
const MIN_USE: f64 = 0.5;
/// Ratio of the uses per copy from which a copy of one adapter gives way to a further copy of
/// another.
const MIN_USE_RATIO: f64 = 2.0;
/// Adapter slots that further copies leave free on each engine for adapters that calls wait for.
const FREE_SLOTS: usize = 1;
/// Largest number of orders for further copies in one plan. Each one is reported to all hosts, and
/// several plans are made per second.
const MAX_ORDERS: usize = 2;

/// Use of each adapter: requests that arrive per second, plus requests in progress.
pub type AdapterRates = HashMap<CallNeed, f64>;

/// Next step towards an adapter that calls wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// This engine already holds the adapter.
    Held(TargetName),
    /// Give this order to this engine: it loads the adapter or makes room for it.
    Order(TargetName, OrderAction),
    /// Give no order now: the adapter is already being loaded, or no engine that holds the model
    /// can be given a useful order.
    Wait,
}

/// Returns the next step towards having an adapter on one of the engines that hold its model.
///
/// The adapter goes to the engine with the fewest adapters and, among equals, the lowest load. If
/// all adapter slots are taken, the adapter with the least use per copy is unloaded first. `load` returns the number
/// of requests in progress on an engine.
pub fn next_adapter_step(
    rule: &EngineRule,
    engines: &[EngineView],
    rates: &AdapterRates,
    need: &CallNeed,
    load: impl Fn(&TargetName) -> u32,
) -> AdapterStep {
    let Some(adapter) = &need.adapter else {
        return AdapterStep::Wait;
    };
    let holders: Vec<&EngineView> = engines
        .iter()
        .filter(|engine| engine.holdings.models.contains_key(&need.model))
        .collect();
    let held = holders
        .iter()
        .find(|engine| engine.holdings.models[&need.model].contains(adapter));
    if let Some(engine) = held {
        return AdapterStep::Held(engine.name.clone());
    }
    if holders
        .iter()
        .any(|engine| engine.loading_adapter.as_ref() == Some(need))
    {
        return AdapterStep::Wait;
    }
    let available = holders.iter().filter(|engine| engine.accepts_orders);
    let with_free_slot = available
        .clone()
        .filter(|engine| has_room(rule, engine, &need.model, 0))
        .min_by_key(|engine| (adapter_count(engine), load(&engine.name)));
    if let Some(engine) = with_free_slot {
        let action = OrderAction::LoadAdapter(need.model.clone(), adapter.clone());
        return AdapterStep::Order(engine.name.clone(), action);
    }
    let copies = adapter_copies(engines);
    available
        .filter_map(|engine| {
            let (model, victim, rate) = least_used(engine, rates, &copies)?;
            Some((engine, model, victim, rate))
        })
        .min_by(|a, b| a.3.total_cmp(&b.3))
        .map_or(AdapterStep::Wait, |(engine, model, victim, _)| {
            AdapterStep::Order(
                engine.name.clone(),
                OrderAction::UnloadAdapter(model, victim),
            )
        })
}

/// Returns whether an engine has the memory for an adapter of a model, and more than `kept_free` free
/// adapter slots.
fn has_room(rule: &EngineRule, engine: &EngineView, model: &ModelName, kept_free: usize) -> bool {
    let adapter_mb = rule.models.get(model).map_or(0.0, |model| model.adapter_mb);
    adapter_count(engine) + kept_free < rule.adapter_slots
        && used_memory_mb(rule, engine) + adapter_mb <= rule.weights_mb
}

/// An adapter that should have further copies.
struct AdapterPlan<'a> {
    need: &'a CallNeed,
    adapter: &'a AdapterName,
    /// Use per copy.
    use_per_copy: f64,
    copies: usize,
    /// Copies that the demand calls for.
    wanted: usize,
    /// Engines that hold the model and not the adapter.
    candidates: Vec<&'a EngineView>,
}

/// Plans orders for further copies of adapters in demand, at most one for each engine.
///
/// `forecast` has the slots that each model is expected to need; an adapter needs its part of them.
/// The first copy of an adapter is left to [`next_adapter_step`].
pub fn plan_adapters(
    rule: &EngineRule,
    engines: &[EngineView],
    demand: &[ModelDemand],
    forecast: &HashMap<ModelName, f64>,
) -> Vec<(TargetName, OrderAction)> {
    let rates = adapter_rates(demand);
    let mut plans = lacking_adapters(rule, engines, &rates, forecast);
    plans.sort_by(|a, b| b.use_per_copy.total_cmp(&a.use_per_copy));
    let copies = adapter_copies(engines);
    let mut ordered: HashSet<&TargetName> = HashSet::new();
    let mut orders = Vec::new();
    for plan in &plans {
        if orders.len() >= MAX_ORDERS {
            break;
        }
        let order = next_copy(rule, plan, &rates, &copies, &ordered);
        if let Some((engine, action)) = order {
            ordered.insert(&engine.name);
            orders.push((engine.name.clone(), action));
        }
    }
    orders
}

/// Returns the adapters in use that have a copy and should have more.
fn lacking_adapters<'a>(
    rule: &EngineRule,
    engines: &'a [EngineView],
    rates: &'a AdapterRates,
    forecast: &HashMap<ModelName, f64>,
) -> Vec<AdapterPlan<'a>> {
    let mut model_rates: HashMap<&ModelName, f64> = HashMap::new();
    for (need, rate) in rates {
        *model_rates.entry(&need.model).or_default() += rate;
    }
    let mut holders: HashMap<&ModelName, Vec<&EngineView>> = HashMap::new();
    for engine in engines {
        for model in engine.holdings.models.keys() {
            holders.entry(model).or_default().push(engine);
        }
    }
    let planned_load = f64::from(rule.slots.max(1)) * PLANNED_SLOTS;
    let mut plans = Vec::new();
    for (need, rate) in rates {
        let (Some(adapter), Some(of_model)) = (&need.adapter, holders.get(&need.model)) else {
            continue;
        };
        let candidates: Vec<&EngineView> = of_model
            .iter()
            .copied()
            .filter(|engine| !holds(engine, need, adapter))
            .collect();
        let copies = of_model.len() - candidates.len();
        let part = rate / model_rates[&need.model].max(f64::MIN_POSITIVE);
        let slots = part * forecast.get(&need.model).copied().unwrap_or(*rate);
        let wanted = (slots / planned_load).ceil() as usize;
        let wanted = wanted.clamp(1, of_model.len());
        let lacks = copies < wanted.max(SPREAD_COPIES) && !candidates.is_empty();
        if copies > 0 && lacks && *rate >= MIN_USE {
            plans.push(AdapterPlan {
                need,
                adapter,
                use_per_copy: rate / copies as f64,
                copies,
                wanted,
                candidates,
            });
        }
    }
    plans
}

/// Returns whether an engine holds an adapter, or may be loading it by an unanswered order.
fn holds(engine: &EngineView, need: &CallNeed, adapter: &AdapterName) -> bool {
    let held = engine.holdings.models.get(&need.model);
    held.is_some_and(|held| held.contains(adapter)) || engine.loading_adapter.as_ref() == Some(need)
}

/// Returns the order that leads to a further copy of an adapter: the load on an engine with a free
/// adapter slot, or else the unload of an adapter with a much lower use per copy.
fn next_copy<'a>(
    rule: &EngineRule,
    plan: &AdapterPlan<'a>,
    rates: &AdapterRates,
    copies: &HashMap<CallNeed, usize>,
    ordered: &HashSet<&TargetName>,
) -> Option<(&'a EngineView, OrderAction)> {
    let model = &plan.need.model;
    let available = plan
        .candidates
        .iter()
        .copied()
        .filter(|engine| engine.accepts_orders && !ordered.contains(&engine.name));
    let needs_copy = plan.copies < plan.wanted;
    // A copy that the demand calls for may take the last free slot.
    let kept_free = if needs_copy { 0 } else { FREE_SLOTS };
    let with_room = available
        .clone()
        .filter(|engine| has_room(rule, engine, model, kept_free))
        .min_by_key(|engine| adapter_count(engine));
    if let Some(engine) = with_room {
        let action = OrderAction::LoadAdapter(model.clone(), plan.adapter.clone());
        return Some((engine, action));
    }
    if !needs_copy {
        return None;
    }
    let spare = available.filter_map(|engine| {
        let (need, own_use) = held_adapters(engine)
            .map(|need| {
                let own_use = use_per_copy(&need, rates, copies);
                (need, own_use)
            })
            // The last copy of an adapter in use stays.
            .filter(|(need, own_use)| *own_use == 0.0 || copies.get(need).is_some_and(|n| *n > 1))
            .filter(|(need, _)| !engine.recent_adapters.contains(need))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((engine, need, own_use))
    });
    let (engine, victim, own_use) = spare.min_by(|a, b| a.2.total_cmp(&b.2))?;
    // After the move, the claimant has one copy more, and the other adapter one less.
    let left = copies.get(&victim).map_or(1, |n| (n - 1).max(1)) as f64;
    let lost_use = own_use * copies.get(&victim).copied().unwrap_or(1) as f64 / left;
    if lost_use * MIN_USE_RATIO > plan.use_per_copy {
        return None;
    }
    let action = OrderAction::UnloadAdapter(victim.model, victim.adapter?);
    Some((engine, action))
}

/// Returns the use of an adapter for each of its copies.
fn use_per_copy(need: &CallNeed, rates: &AdapterRates, copies: &HashMap<CallNeed, usize>) -> f64 {
    let copies = copies.get(need).copied().unwrap_or(1).max(1);
    rates.get(need).copied().unwrap_or(0.0) / copies as f64
}

/// Returns the number of engines that hold each adapter.
fn adapter_copies(engines: &[EngineView]) -> HashMap<CallNeed, usize> {
    let mut copies = HashMap::new();
    for need in engines.iter().flat_map(held_adapters) {
        *copies.entry(need).or_default() += 1;
    }
    copies
}

/// Returns the adapters that an engine holds.
fn held_adapters(engine: &EngineView) -> impl Iterator<Item = CallNeed> + '_ {
    let models = engine.holdings.models.iter();
    models.flat_map(|(model, held)| held.iter().map(move |name| CallNeed::adapter(model, name)))
}

/// Returns the number of adapters that an engine holds.
pub fn adapter_count(engine: &EngineView) -> usize {
    engine.holdings.models.values().map(BTreeSet::len).sum()
}

/// Computes the use of each adapter from the demand of all hosts.
pub fn adapter_rates(demand: &[ModelDemand]) -> AdapterRates {
    demand
        .iter()
        .map(|demand| {
            // A request in progress counts as much as one request that arrives per second.
            let rate = demand.rate + f64::from(demand.in_progress);
            (demand.need.clone(), rate)
        })
        .collect()
}

/// Returns the adapter of an engine with the least use per copy, with its model and that use, leaving
/// out adapters that have just been loaded.
fn least_used(
    engine: &EngineView,
    rates: &AdapterRates,
    copies: &HashMap<CallNeed, usize>,
) -> Option<(ModelName, AdapterName, f64)> {
    engine
        .holdings
        .models
        .iter()
        .flat_map(|(model, held)| held.iter().map(move |adapter| (model, adapter)))
        .map(|(model, adapter)| {
            let need = CallNeed::adapter(model, adapter);
            let rate = use_per_copy(&need, rates, copies);
            (need, model.clone(), adapter.clone(), rate)
        })
        .filter(|(need, ..)| !engine.recent_adapters.contains(need))
        .map(|(_, model, adapter, rate)| (model, adapter, rate))
        .min_by(|a, b| a.2.total_cmp(&b.2))
}
