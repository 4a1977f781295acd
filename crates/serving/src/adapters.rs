//! On which engine an adapter is loaded, and which adapter makes room for it.

use crate::call::CallNeed;
use crate::copies::EngineView;
use crate::demand::ModelDemand;
use crate::orders::OrderAction;
use crate::rules::EngineRule;
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Use of each adapter: arrivals a second and requests in progress.
pub type AdapterRates = HashMap<CallNeed, f64>;

/// Step for an adapter that is waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// An engine holds it.
    Held(TargetName),
    /// Give this order first.
    Order(TargetName, OrderAction),
    /// No engine that holds the model can be given an order now.
    Wait,
}

/// Decides what brings an adapter closer to being held.
///
/// `load` gives the requests in progress on an engine.
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
    let free = holders.iter().filter(|engine| engine.accepts_orders);
    let roomy = free
        .clone()
        .filter(|engine| adapter_count(engine) < rule.adapter_slots)
        .min_by_key(|engine| (adapter_count(engine), load(&engine.name)));
    if let Some(engine) = roomy {
        let action = OrderAction::LoadAdapter(need.model.clone(), adapter.clone());
        return AdapterStep::Order(engine.name.clone(), action);
    }
    free.filter_map(|engine| {
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

/// Adapters on an engine.
pub fn adapter_count(engine: &EngineView) -> usize {
    engine.holdings.models.values().map(BTreeSet::len).sum()
}

/// Use of each adapter, from the demand of all hosts.
pub fn adapter_rates(demand: &[ModelDemand]) -> AdapterRates {
    demand
        .iter()
        .map(|demand| {
            // A request in progress weighs as much as one that arrives each second.
            let rate = demand.rate + f64::from(demand.in_progress);
            (demand.need.clone(), rate)
        })
        .collect()
}

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
