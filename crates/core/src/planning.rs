//! Connects demand, the planner and the moves.
//!
//! Only the holder of the region's lease plans. It adds up the demand that all hosts report, plans
//! at intervals and after changes, and passes the plan to the move feature. The forecast takes the
//! time of day from the monotonic clock: only the period of 24 hours matters, not its phase.

use crate::body::PresetBody;
use crate::effect::HostEffect;
use crate::event::HostEvent;
use crate::features::leaving::is_leaving;
use crate::features::reduce as reduce_host;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_moves::prelude::{LeaseState, MoveEvent, ResidencyPlan};
use crocusyard_placement::prelude::*;
use crocusyard_routing::prelude::CopyState;
use crocusyard_wire::prelude::ModelDemand;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two plans, unless a change makes a plan due earlier.
const PLAN_INTERVAL: ClockTime = ClockTime::from_secs(10);
/// Time ahead for which demand is forecast. It covers the next plan and the loads that it starts.
const FORECAST_HORIZON: ClockTime = ClockTime::from_secs(300);
/// Time after taking the lease in which a plan waits for the load reports of all engines.
///
/// Reports are polled at least once a second, so an engine that is silent for this long is down.
const REPORT_WAIT: ClockTime = ClockTime::from_secs(15);
/// Limit of the time to the first token that plans aim at, milliseconds.
const FIRST_TOKEN_LIMIT_MS: u64 = 1700;
/// Prefill rate from which the cost of a request is computed, tokens a second; the same as is
/// assumed for an engine that has not reported one.
const PREFILL_RATE: f64 = 20_000.0;
/// Decode rate of one stream from which the cost of a request is computed, tokens a second; the
/// same as is assumed for an engine that has not reported one.
const DECODE_RATE: f64 = 50.0;
/// Weight of the newest request in the mean cost of a request.
const COST_WEIGHT: f64 = 0.02;
/// Interval over which demand is counted, seconds.
const DEMAND_SECONDS: f64 = 60.0;

/// Forecast and newest plan of this host.
#[derive(Clone, Debug)]
pub(crate) struct PlanningState {
    forecast: DemandForecast,
    /// Present load by model position, in accelerators that it keeps fully busy.
    loads: Vec<f64>,
    /// Mean time that one request keeps a stream of an engine busy, seconds.
    request_cost: f64,
    /// Time of the last plan.
    planned_at: Option<ClockTime>,
    /// Whether a plan is due before its interval is over.
    plan_requested: bool,
    /// Newest plan; `None` if there is none for the catalogue in force.
    plan: Option<Arc<ResidencyPlan>>,
}

impl Default for PlanningState {
    fn default() -> Self {
        Self {
            forecast: DemandForecast::new(0),
            loads: Vec::new(),
            request_cost: 1.0,
            planned_at: None,
            plan_requested: true,
            plan: None,
        }
    }
}

impl PlanningState {
    /// Makes a plan due at the next check, whatever the time of the last one.
    pub(crate) fn request_plan(&mut self) {
        self.plan_requested = true;
    }

    /// Discards the forecast and the plan, because another catalogue is in force.
    pub(crate) fn reset(&mut self, catalog: &CatalogSpec) {
        self.forecast = DemandForecast::new(catalog.models.len());
        self.loads = vec![0.0; catalog.models.len()];
        self.plan = None;
        self.plan_requested = true;
    }

    /// Updates the mean cost of a request with the numbers of tokens of one request.
    pub(crate) fn record_request_cost(&mut self, input: u32, output: u32) {
        let cost = f64::from(input) / PREFILL_RATE + f64::from(output) / DECODE_RATE;
        self.request_cost += COST_WEIGHT * (cost - self.request_cost);
    }
}

/// Shares the demand that this host received with other hosts, once in each counting interval.
pub(crate) fn share_demand(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    if !state.own_demand.rotate(now) {
        return;
    }
    let demand = state.own_demand.per_minute();
    let demand = demand
        .into_iter()
        .map(|(model, per_minute)| ModelDemand { model, per_minute });
    let event = MembershipEvent::OwnDemand {
        catalog: state.catalog.version,
        demand: demand.collect(),
    };
    reduce_host(state, now, HostEvent::Membership(event), out);
    update_forecast(state, now);
}

/// Adds up the demand of all hosts, for the forecast and for the number of entry hosts that address
/// answers list for each model.
fn update_forecast(state: &mut HostState, now: ClockTime) {
    let mut total = state.own_demand.per_minute();
    state.peer_demand.add_to(&mut total);
    let catalog = state.catalog.catalog.clone();
    let concurrency = mean_concurrency(&catalog);
    for (index, model) in catalog.models.iter().enumerate() {
        let position = u16::try_from(index).unwrap_or(u16::MAX);
        let rate = f64::from(total.get(&position).copied().unwrap_or(0)) / DEMAND_SECONDS;
        let load = rate * state.planning.request_cost / concurrency;
        state.planning.forecast.observe(index, now, load);
        state.planning.loads[index] = load;
        state.entry_directory.set_demand(model.name.as_str(), rate);
    }
}

/// Returns the mean concurrency limit of the engines; 1 if there are none.
fn mean_concurrency(catalog: &CatalogSpec) -> f64 {
    let engines = catalog
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Engine);
    let limits: Vec<f64> = engines
        .map(|target| f64::from(target.concurrency))
        .collect();
    if limits.is_empty() {
        return 1.0;
    }
    limits.iter().sum::<f64>() / limits.len() as f64
}

/// Plans if this host holds the lease and a plan is due.
pub(crate) fn plan_if_due(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    if state.moves.active_lease(now).is_none() {
        return;
    }
    let due = state
        .planning
        .planned_at
        .is_none_or(|last| now.since(last) >= PLAN_INTERVAL);
    if !due && !state.planning.plan_requested {
        return;
    }
    let Some(input) = plan_input(state, now) else {
        return;
    };
    state.planning.planned_at = Some(now);
    state.planning.plan_requested = false;
    let plan = Arc::new(residency_of(&input, &plan(&input)));
    if state.planning.plan.as_ref() == Some(&plan) {
        return;
    }
    state.planning.plan = Some(plan.clone());
    reduce_host(
        state,
        now,
        HostEvent::Move(MoveEvent::PlanChanged(plan)),
        out,
    );
}

/// Returns when this host took the lease; `None` if it does not hold it.
fn lease_acquired_at(state: &HostState) -> Option<ClockTime> {
    match state.moves.lease() {
        LeaseState::Held { acquired_at, .. } => Some(*acquired_at),
        _ => None,
    }
}

/// Builds the planner's input for the region; `None` while load reports of engines are awaited.
///
/// Right after the lease is taken, the plan waits for the report of every engine, since resident
/// copies that are not known yet would be planned again elsewhere. An engine that stays silent for
/// longer counts as an engine without copies: its copies may be gone, and other engines have to
/// replace them. It is also planned as drained.
fn plan_input(state: &HostState, now: ClockTime) -> Option<PlanInput> {
    let catalog = &state.catalog.catalog;
    let region = catalog
        .regions
        .iter()
        .find(|region| region.name == state.identity.region)?;
    let preset = catalog
        .presets
        .iter()
        .find(|spec| Some(&spec.name) == state.catalog.preset.as_ref())?;
    let engines: Vec<&TargetSpec> = catalog
        .targets
        .iter()
        .filter(|spec| spec.kind == TargetKind::Engine && region.domains.contains(&spec.domain))
        .collect();
    let models = model_positions(catalog);
    let adapters: BTreeMap<&str, usize> = catalog
        .adapters
        .iter()
        .zip(0..)
        .map(|(adapter, index)| (adapter.name.as_str(), index))
        .collect();
    let mut input = PlanInput {
        models: plan_models(state, catalog, preset, now),
        adapters: plan_adapters(catalog, &models),
        targets: Vec::new(),
        current_models: Vec::new(),
        current_adapters: Vec::new(),
        preset: plan_preset(preset, region),
    };
    let awaits_reports =
        lease_acquired_at(state).is_none_or(|since| now.since(since) < REPORT_WAIT);
    for spec in engines {
        let report = state.routes.report_of(&spec.name);
        let report = report.filter(|_| state.moves.is_reporting(&spec.name));
        if report.is_none() && awaits_reports {
            return None;
        }
        let copies = report.map_or(&[][..], |report| &report.copies);
        let remaining = copies
            .iter()
            .filter(|copy| copy.state != CopyState::Unloading);
        let names: Vec<&str> = remaining.map(|copy| &*copy.name).collect();
        input.current_models.push(
            names
                .iter()
                .filter_map(|name| models.get(name).copied())
                .collect(),
        );
        input.current_adapters.push(
            names
                .iter()
                .filter_map(|name| adapters.get(name).copied())
                .collect(),
        );
        input.targets.push(PlanTarget {
            name: spec.name.clone(),
            domain: region
                .domains
                .iter()
                .position(|domain| *domain == spec.domain)?,
            capacity: report.map_or(spec.memory_bytes, |report| {
                spec.memory_bytes.min(report.memory_bytes)
            }),
            drained: report.is_none_or(|report| report.leaving) || is_leaving(state, &spec.name),
        });
    }
    Some(input)
}

/// Lists the models of the catalogue for the planner, with their expected load.
fn plan_models(
    state: &HostState,
    catalog: &CatalogSpec,
    preset: &PresetSpec,
    now: ClockTime,
) -> Vec<PlanModel> {
    let forecast = &state.planning.forecast;
    let models = catalog.models.iter().enumerate();
    models
        .map(|(index, spec)| PlanModel {
            name: spec.name.clone(),
            bytes: spec.memory_bytes,
            load_ms: spec.load_ms,
            load: forecast.expected_load(index, state.planning.loads[index], now, FORECAST_HORIZON),
            mean_load: forecast.mean_load(index),
            profile: forecast.profile(index),
            min_copies: min_copies(preset, &spec.name),
        })
        .collect()
}

/// Returns the number of copies of a model that the preset keeps resident; 0 if it sets none.
fn min_copies(preset: &PresetSpec, model: &ModelName) -> u32 {
    preset
        .copies
        .iter()
        .find(|copy| copy.model == *model)
        .map_or(0, |copy| copy.min)
}

/// Numbers the models of the catalogue in their order.
fn model_positions(catalog: &CatalogSpec) -> BTreeMap<&str, usize> {
    let models = catalog.models.iter().zip(0..);
    models
        .map(|(model, index)| (model.name.as_str(), index))
        .collect()
}

/// Lists the adapters whose base model is in the catalogue for the planner.
fn plan_adapters(catalog: &CatalogSpec, models: &BTreeMap<&str, usize>) -> Vec<PlanAdapter> {
    let adapters = catalog.adapters.iter().filter_map(|spec| {
        Some(PlanAdapter {
            name: spec.name.clone(),
            model: *models.get(spec.model.as_str())?,
            bytes: spec.memory_bytes,
            load: 0.0,
        })
    });
    adapters.collect()
}

/// Builds the planner's settings from the preset and from the load limits of the region.
fn plan_preset(preset: &PresetSpec, region: &RegionSpec) -> PlanPreset {
    let loads = region.weight_loads_per_second * (PLAN_INTERVAL.as_ms() as f64 / 1000.0);
    PlanPreset {
        attainment_weight: preset.attainment_weight,
        move_cost: preset.move_cost,
        first_token_ms: FIRST_TOKEN_LIMIT_MS,
        loads_per_plan: (loads as usize).max(1),
    }
}

/// Converts a plan by index into a plan by name.
fn residency_of(input: &PlanInput, plan: &PlacementPlan) -> ResidencyPlan {
    let model_name = |index: &usize| -> Arc<str> { Arc::from(input.models[*index].name.as_str()) };
    let adapter_name =
        |index: &usize| -> Arc<str> { Arc::from(input.adapters[*index].name.as_str()) };
    let resident = input.targets.iter().enumerate().map(|(index, target)| {
        let models = plan.resident[index].iter().map(model_name);
        let adapters = plan.adapters[index].iter().map(adapter_name);
        (target.name.clone(), models.chain(adapters).collect())
    });
    let drained = input.targets.iter().filter(|target| target.drained);
    let models = plan.on_demand.iter().map(model_name);
    // Adapters without a place in the plan are loaded on demand, which takes milliseconds. They
    // must not keep their models from being unloaded where models are loaded on demand.
    let placed: BTreeSet<usize> = plan.adapters.iter().flatten().copied().collect();
    let unplaced = (0..input.adapters.len()).filter(|index| !placed.contains(index));
    let adapters = unplaced.map(|index| adapter_name(&index));
    ResidencyPlan {
        resident: resident.collect(),
        on_demand: models.chain(adapters).collect(),
        drained: drained.map(|target| target.name.clone()).collect(),
    }
}

/// Checks that the preset of a body keeps every model reachable in every region.
///
/// # Errors
///
/// Returns a message for the operator if the preset is not declared, or if its engines cannot serve
/// every model of a region.
pub fn check_preset(body: &PresetBody) -> Result<(), String> {
    let Some(preset) = body.preset() else {
        return Err(format!("there is no preset {}", body.in_force));
    };
    let catalog = &body.catalog;
    for region in &catalog.regions {
        let input = empty_input(catalog, preset, region);
        if input.targets.is_empty() {
            continue;
        }
        if let Err(reason) = check_feasible(&input) {
            return Err(format!(
                "preset {} in region {}: {reason}",
                preset.name, region.name
            ));
        }
    }
    Ok(())
}

/// Builds the planner's input for a region in which nothing is loaded and no load is expected.
fn empty_input(catalog: &CatalogSpec, preset: &PresetSpec, region: &RegionSpec) -> PlanInput {
    let engines = catalog
        .targets
        .iter()
        .filter(|spec| spec.kind == TargetKind::Engine && region.domains.contains(&spec.domain));
    let models = model_positions(catalog);
    let adapters = plan_adapters(catalog, &models);
    let targets: Vec<PlanTarget> = engines
        .map(|spec| PlanTarget {
            name: spec.name.clone(),
            domain: 0,
            capacity: spec.memory_bytes,
            drained: preset.drained.contains(&spec.name),
        })
        .collect();
    let models = catalog.models.iter().map(|spec| PlanModel {
        name: spec.name.clone(),
        bytes: spec.memory_bytes,
        load_ms: spec.load_ms,
        load: 0.0,
        mean_load: 0.0,
        profile: [0.0; PROFILE_SLOTS],
        min_copies: min_copies(preset, &spec.name),
    });
    PlanInput {
        models: models.collect(),
        adapters,
        current_models: vec![Vec::new(); targets.len()],
        current_adapters: vec![Vec::new(); targets.len()],
        targets,
        preset: plan_preset(preset, region),
    }
}
