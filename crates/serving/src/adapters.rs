//! Decides on which engine an adapter is loaded and which adapter is unloaded to make room for it.

use crate::call::CallNeed;
use crate::copies::EngineView;
use crate::demand::ModelDemand;
use crate::orders::OrderAction;
use crate::rules::EngineRule;
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

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
/// all adapter slots are taken, the least used adapter is unloaded first. `load` returns the number
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
        .filter(|engine| adapter_count(engine) < rule.adapter_slots)
        .min_by_key(|engine| (adapter_count(engine), load(&engine.name)));
    if let Some(engine) = with_free_slot {
        let action = OrderAction::LoadAdapter(need.model.clone(), adapter.clone());
        return AdapterStep::Order(engine.name.clone(), action);
    }
    available
        .filter_map(|engine| {
            let (model, victim, rate) = least_used(engine, rates)?;
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

/// Returns the least used adapter of an engine with its model and its use, leaving out adapters
/// that have just been loaded.
fn least_used(engine: &EngineView, rates: &AdapterRates) -> Option<(ModelName, AdapterName, f64)> {
    engine
        .holdings
        .models
        .iter()
        .flat_map(|(model, held)| held.iter().map(move |adapter| (model, adapter)))
        .map(|(model, adapter)| {
            let need = CallNeed::adapter(model, adapter);
            let rate = rates.get(&need).copied().unwrap_or(0.0);
            (need, model.clone(), adapter.clone(), rate)
        })
        .filter(|(need, ..)| !engine.recent_adapters.contains(need))
        .map(|(_, model, adapter, rate)| (model, adapter, rate))
        .min_by(|a, b| a.2.total_cmp(&b.2))
}
