//! Simulated demand of a day, and the run of one placement policy over that day.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_placement::prelude::*;
use rand::Rng;

/// Length of a step, seconds.
pub const STEP_SECS: f64 = 300.0;
/// Steps in a day.
pub const STEPS: usize = 288;

/// Size and load limits of a deployment.
pub struct Deployment {
    /// Name as printed.
    pub name: &'static str,
    /// Number of models.
    pub models: usize,
    /// Number of accelerators.
    pub targets: usize,
    /// Model loads that may start per second.
    pub loads_per_second: f64,
    /// Model loads that may be in progress at the same time.
    pub loads_at_once: f64,
}

/// Deployments that are compared.
pub const DEPLOYMENTS: [Deployment; 3] = [
    Deployment {
        name: "Burgos",
        models: 30,
        targets: 18,
        loads_per_second: 2.5,
        loads_at_once: 15.0,
    },
    Deployment {
        name: "Moldes del Plata",
        models: 15,
        targets: 12,
        loads_per_second: 2.0,
        loads_at_once: 9.0,
    },
    Deployment {
        name: "scaled",
        models: 190,
        targets: 140,
        loads_per_second: 2.5,
        loads_at_once: 15.0,
    },
];

/// A placement policy.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Copies in proportion to the mean load of the day, never changed.
    Static,
    /// Loads on demand that evict the least recently used copies.
    Lru,
    /// Copies in proportion to the present load, whatever the moves.
    Greedy,
    /// The planner of this crate.
    Planner,
}

impl Policy {
    /// Returns the name as printed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Static => "static mean demand",
            Self::Lru => "LRU on demand",
            Self::Greedy => "greedy without move cost",
            Self::Planner => "planner",
        }
    }
}

/// Result of the run of one policy over a day.
pub struct RunResult {
    /// Share of the load that was served within the time limits.
    pub share: f64,
    /// Number of loads and unloads.
    pub moves: usize,
}

/// Returns the load of each model in each step of a day, accelerators.
pub fn demand(input: &PlanInput, seed: u64, day: u64) -> Vec<Vec<f64>> {
    let mut rng = seeded_rng(seed * 1_000 + day);
    let peak_load = 0.6 * input.targets.len() as f64;
    let weights: Vec<f64> = (0..input.models.len())
        .map(|index| 1.0 / (1.0 + index as f64 * 0.5))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut steps = vec![vec![0.0; input.models.len()]; STEPS];
    for (model, weight) in weights.iter().enumerate() {
        let is_small = input.models[model].bytes < 24 << 30;
        let peak_hour = if is_small { 9.5 } else { 20.0 };
        for (step, loads) in steps.iter_mut().enumerate() {
            let hours_from_peak = (step as f64 * STEP_SECS / 3600.0 - peak_hour) / 2.0;
            let peak = (-hours_from_peak * hours_from_peak).exp();
            loads[model] = peak_load * weight / total * (0.25 + 1.25 * peak);
        }
        for _ in 0..2 {
            let start = rng.random_range(0..STEPS);
            let length = rng.random_range(6..18);
            let factor = if rng.random_bool(0.7) { 10.0 } else { 0.1 };
            let end = (start + length).min(STEPS);
            for (index, loads) in steps[start..end].iter_mut().enumerate() {
                // A shift of demand takes three steps, a quarter of an hour.
                loads[model] *= 1.0 + (factor - 1.0) * ((index + 1) as f64 / 3.0).min(1.0);
            }
        }
    }
    steps
}

/// Returns the models and accelerators of a deployment, without load.
pub fn build_input(deployment: &Deployment, seed: u64, move_cost: f64) -> PlanInput {
    let mut rng = seeded_rng(seed);
    let models = (0..deployment.models)
        .map(|index| {
            let gib: u64 = if rng.random_bool(0.6) {
                rng.random_range(8..20)
            } else {
                rng.random_range(28..56)
            };
            PlanModel {
                name: format!("m{index}").as_str().into(),
                bytes: gib << 30,
                load_ms: 400 * gib,
                load: 0.0,
                mean_load: 0.0,
                profile: [0.0; PROFILE_SLOTS],
                min_copies: 0,
            }
        })
        .collect();
    let targets: Vec<PlanTarget> = (0..deployment.targets)
        .map(|index| PlanTarget {
            name: format!("t{index}").as_str().into(),
            domain: index % 3,
            capacity: 80 << 30,
            drained: false,
        })
        .collect();
    PlanInput {
        models,
        adapters: Vec::new(),
        current_models: vec![Vec::new(); targets.len()],
        current_adapters: vec![Vec::new(); targets.len()],
        targets,
        preset: PlanPreset {
            attainment_weight: 1.0,
            move_cost,
            first_token_ms: 1_700,
            loads_per_plan: (deployment.loads_per_second * STEP_SECS) as usize,
        },
    }
}

/// Runs a policy over a day, after the forecast has observed the day before.
pub fn run_day(deployment: &Deployment, policy: Policy, seed: u64, move_cost: f64) -> RunResult {
    let mut input = build_input(deployment, seed, move_cost);
    let yesterday = demand(&input, seed, 0);
    let mut forecast = DemandForecast::new(input.models.len());
    for (step, loads) in yesterday.iter().enumerate() {
        observe(&mut forecast, step, loads);
    }
    for (model, spec) in input.models.iter_mut().enumerate() {
        spec.mean_load = forecast.mean_load(model);
        spec.profile = forecast.profile(model);
        spec.load = spec.mean_load;
    }
    input.current_models = match policy {
        Policy::Planner => plan(&input).resident,
        _ => plan_static(&input),
    };
    let today = demand(&input, seed, 1);
    let mut last_used = vec![0_u64; input.models.len()];
    let (mut attained, mut requested, mut moves) = (0.0, 0.0, 0);
    for (step, loads) in today.iter().enumerate() {
        let observed_loads = if policy == Policy::Lru || step == 0 {
            loads
        } else {
            &today[step - 1]
        };
        set_loads(&mut input, policy, &forecast, step, observed_loads);
        for (model, &load) in loads.iter().enumerate() {
            if load > 0.0 {
                last_used[model] = step as u64 * 1_000 + (load * 100.0).min(999.0) as u64;
            }
        }
        let next = match policy {
            Policy::Static => input.current_models.clone(),
            Policy::Lru => plan_lru(&input, &last_used),
            Policy::Greedy => plan_greedy(&input),
            Policy::Planner => plan(&input).resident,
        };
        let (loaded, move_count) = count_moves(&input, &next);
        let loading_fraction = loading_fraction_of_step(deployment, &input, &loaded);
        let kept = kept_copies(&input.current_models, &next);
        attained += loading_fraction * attained_load(&kept, loads).total
            + (1.0 - loading_fraction) * attained_load(&next, loads).total;
        requested += loads.iter().sum::<f64>();
        moves += move_count;
        input.current_models = next;
        observe(&mut forecast, step, loads);
    }
    RunResult {
        share: attained / requested,
        moves,
    }
}

/// Adds the loads of a step to the forecast.
fn observe(forecast: &mut DemandForecast, step: usize, loads: &[f64]) {
    let time = ClockTime::from_secs(step as u64 * STEP_SECS as u64);
    for (model, &load) in loads.iter().enumerate() {
        forecast.observe(model, time, load);
    }
}

/// Sets the loads that the policy plans for: those observed, or their forecast for the planner.
fn set_loads(
    input: &mut PlanInput,
    policy: Policy,
    forecast: &DemandForecast,
    step: usize,
    observed_loads: &[f64],
) {
    let time = ClockTime::from_secs(step as u64 * STEP_SECS as u64);
    let ahead = ClockTime::from_secs(1_800);
    for (model, &load) in observed_loads.iter().enumerate() {
        input.models[model].load = match policy {
            Policy::Planner => forecast.expected_load(model, load, time, ahead),
            _ => load,
        };
        input.models[model].profile = forecast.profile(model);
    }
}

/// Returns the models that are loaded, and the number of loads and unloads.
fn count_moves(input: &PlanInput, next: &[Vec<usize>]) -> (Vec<usize>, usize) {
    let mut loaded = Vec::new();
    let mut unloads = 0;
    for (before, after) in input.current_models.iter().zip(next) {
        loaded.extend(after.iter().filter(|model| !before.contains(model)));
        unloads += before.iter().filter(|model| !after.contains(model)).count();
    }
    let move_count = loaded.len() + unloads;
    (loaded, move_count)
}

/// Returns the copies that exist both before and after a change.
fn kept_copies(before: &[Vec<usize>], after: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| {
            let kept = before.iter().filter(|model| after.contains(model));
            kept.copied().collect()
        })
        .collect()
}

/// Returns the mean fraction of the step for which a new copy is still loading.
fn loading_fraction_of_step(deployment: &Deployment, input: &PlanInput, loaded: &[usize]) -> f64 {
    if loaded.is_empty() {
        return 0.0;
    }
    let work_ms: u64 = loaded
        .iter()
        .map(|&model| input.models[model].load_ms)
        .sum();
    let load_count = loaded.len() as f64;
    let mean_secs = work_ms as f64 / load_count / 1_000.0;
    let queue_secs = (load_count / deployment.loads_per_second)
        .max(load_count * mean_secs / deployment.loads_at_once);
    ((mean_secs + queue_secs / 2.0) / STEP_SECS).min(1.0)
}
