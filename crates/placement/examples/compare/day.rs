//! Demand of a day, and the run of one policy over it.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_placement::prelude::*;
use rand::Rng;

/// Length of a step, seconds, and steps in a day.
pub const STEP_SECS: f64 = 300.0;
pub const STEPS: usize = 288;

/// Sizes of a deployment.
pub struct Deployment {
    pub name: &'static str,
    pub models: usize,
    pub targets: usize,
    pub loads_per_second: f64,
    pub loads_at_once: f64,
}

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

/// A way of placing models.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Static,
    Lru,
    Greedy,
    Planner,
}

impl Policy {
    pub fn name(self) -> &'static str {
        match self {
            Self::Static => "static mean demand",
            Self::Lru => "LRU on demand",
            Self::Greedy => "greedy without move cost",
            Self::Planner => "planner",
        }
    }
}

/// What a run measured.
pub struct RunResult {
    /// Share of the load served within the limits.
    pub share: f64,
    /// Loads and unloads.
    pub moves: usize,
}

/// Load of each model in each step of a day, accelerators.
pub fn demand(input: &PlanInput, seed: u64, day: u64) -> Vec<Vec<f64>> {
    let mut rng = seeded_rng(seed * 1_000 + day);
    let peak_load = 0.6 * input.targets.len() as f64;
    let weights: Vec<f64> = (0..input.models.len())
        .map(|index| 1.0 / (1.0 + index as f64 * 0.5))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut steps = vec![vec![0.0; input.models.len()]; STEPS];
    for (model, weight) in weights.iter().enumerate() {
        let small = input.models[model].bytes < 24 << 30;
        let hour = if small { 9.5 } else { 20.0 };
        for (step, loads) in steps.iter_mut().enumerate() {
            let away = (step as f64 * STEP_SECS / 3600.0 - hour) / 2.0;
            let bump = (-away * away).exp();
            loads[model] = peak_load * weight / total * (0.25 + 1.25 * bump);
        }
        for _ in 0..2 {
            let start = rng.random_range(0..STEPS);
            let length = rng.random_range(6..18);
            let factor = if rng.random_bool(0.7) { 10.0 } else { 0.1 };
            let end = (start + length).min(STEPS);
            for (at, loads) in steps[start..end].iter_mut().enumerate() {
                // A shift takes three steps, thus a quarter of an hour.
                loads[model] *= 1.0 + (factor - 1.0) * ((at + 1) as f64 / 3.0).min(1.0);
            }
        }
    }
    steps
}

/// Makes the models and accelerators of a deployment.
pub fn build(deployment: &Deployment, seed: u64, move_cost: f64) -> PlanInput {
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

/// Runs a policy over a day after a day of learning.
pub fn run(deployment: &Deployment, policy: Policy, seed: u64, move_cost: f64) -> RunResult {
    let mut input = build(deployment, seed, move_cost);
    let learnt = demand(&input, seed, 0);
    let mut forecast = DemandForecast::new(input.models.len());
    for (step, loads) in learnt.iter().enumerate() {
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
    let mut used = vec![0_u64; input.models.len()];
    let (mut served, mut asked, mut moves) = (0.0, 0.0, 0);
    for (step, loads) in today.iter().enumerate() {
        let known = if policy == Policy::Lru || step == 0 {
            loads
        } else {
            &today[step - 1]
        };
        set_loads(&mut input, policy, &forecast, step, known);
        for (model, &load) in loads.iter().enumerate() {
            if load > 0.0 {
                used[model] = step as u64 * 1_000 + (load * 100.0).min(999.0) as u64;
            }
        }
        let next = match policy {
            Policy::Static => input.current_models.clone(),
            Policy::Lru => plan_lru(&input, &used),
            Policy::Greedy => plan_greedy(&input),
            Policy::Planner => plan(&input).resident,
        };
        let (loaded, count) = change(&input, &next);
        let part = loading_part(deployment, &input, &loaded);
        let kept = kept_copies(&input.current_models, &next);
        served += part * attained_load(&kept, loads).total
            + (1.0 - part) * attained_load(&next, loads).total;
        asked += loads.iter().sum::<f64>();
        moves += count;
        input.current_models = next;
        observe(&mut forecast, step, loads);
    }
    RunResult {
        share: served / asked,
        moves,
    }
}

fn observe(forecast: &mut DemandForecast, step: usize, loads: &[f64]) {
    let time = ClockTime::from_secs(step as u64 * STEP_SECS as u64);
    for (model, &load) in loads.iter().enumerate() {
        forecast.observe(model, time, load);
    }
}

fn set_loads(
    input: &mut PlanInput,
    policy: Policy,
    forecast: &DemandForecast,
    step: usize,
    known: &[f64],
) {
    let time = ClockTime::from_secs(step as u64 * STEP_SECS as u64);
    let ahead = ClockTime::from_secs(1_800);
    for (model, &load) in known.iter().enumerate() {
        input.models[model].load = match policy {
            Policy::Planner => forecast.expected_load(model, load, time, ahead),
            _ => load,
        };
        input.models[model].profile = forecast.profile(model);
    }
}

/// Returns the models that are loaded, and the number of loads and unloads.
fn change(input: &PlanInput, next: &[Vec<usize>]) -> (Vec<usize>, usize) {
    let mut loaded = Vec::new();
    let mut unloads = 0;
    for (before, after) in input.current_models.iter().zip(next) {
        loaded.extend(after.iter().filter(|model| !before.contains(model)));
        unloads += before.iter().filter(|model| !after.contains(model)).count();
    }
    let count = loaded.len() + unloads;
    (loaded, count)
}

fn kept_copies(before: &[Vec<usize>], after: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| {
            let kept = before.iter().filter(|model| after.contains(model));
            kept.copied().collect()
        })
        .collect()
}

/// Returns the mean part of the step for which a new copy is still loading.
fn loading_part(deployment: &Deployment, input: &PlanInput, loaded: &[usize]) -> f64 {
    if loaded.is_empty() {
        return 0.0;
    }
    let work: u64 = loaded
        .iter()
        .map(|&model| input.models[model].load_ms)
        .sum();
    let count = loaded.len() as f64;
    let mean = work as f64 / count / 1_000.0;
    let queue = (count / deployment.loads_per_second).max(count * mean / deployment.loads_at_once);
    ((mean + queue / 2.0) / STEP_SECS).min(1.0)
}
