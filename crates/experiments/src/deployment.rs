//! Simulated deployments and their seeded arrivals.

use crate::engine::Micros;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Copies of models on one target.
const MODELS_PER_TARGET: usize = 4;
/// Prompt families of one model; prompts of a family share their first blocks.
const PROMPT_FAMILIES: usize = 24;
/// Prompt tokens in one cache block.
pub const BLOCK_TOKENS: u32 = 64;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Name, as it is printed in reports.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines.
    pub targets: usize,
    /// Number of models.
    pub models: usize,
    /// Number of adapters, distributed evenly over the models.
    pub adapters: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Simulated time, seconds.
    pub seconds: u64,
}

/// The two present deployments, and one of a tenth of the planned size.
pub const SIZES: [DeploymentSize; 3] = [
    DeploymentSize {
        name: "burgos",
        hosts: 9,
        targets: 18,
        models: 30,
        adapters: 110,
        domains: 3,
        seconds: 120,
    },
    DeploymentSize {
        name: "moldes",
        hosts: 9,
        targets: 12,
        models: 15,
        adapters: 75,
        domains: 3,
        seconds: 120,
    },
    DeploymentSize {
        name: "tenth",
        hosts: 36,
        targets: 140,
        models: 190,
        adapters: 700,
        domains: 10,
        seconds: 40,
    },
];

/// Arrival of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Simulated time of the arrival.
    pub at: Micros,
    /// Number of the entry host that receives the request.
    pub host: usize,
    /// Number of the requested model.
    pub model: usize,
    /// Requested model and adapter, as routing takes them.
    pub work: WorkKind,
    /// Requested adapter; `None` for the base model.
    pub adapter: Option<Arc<str>>,
    /// Hashes of the prompt's blocks.
    pub prefix: Arc<[u64]>,
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Output length, tokens.
    pub output_tokens: u32,
}

/// A deployment and the requests that arrive at it.
#[derive(Debug)]
pub struct Workload {
    /// Size of the deployment.
    pub size: DeploymentSize,
    /// Models that are resident on each target.
    pub placement: Vec<Vec<usize>>,
    /// Targets that hold a copy of each model.
    pub holders: Vec<Vec<usize>>,
    /// Prefill rate of each target, tokens a second.
    pub prefill_rates: Vec<f64>,
    /// Arrivals in the order of time.
    pub arrivals: Vec<Arrival>,
}

/// Generates a workload whose prompts would need this share of all prefill capacity without
/// caching.
pub fn workload_of(size: DeploymentSize, seed: u64, utilisation: f64) -> Workload {
    let mut rng = seeded_rng(seed);
    let popularity: Vec<f64> = (0..size.models)
        .map(|model| 1.0 / (model as f64 + 3.0).powf(0.8))
        .collect();
    let (placement, holders) = place_models(&size, &popularity);
    let prefill_rates: Vec<f64> = (0..size.targets)
        .map(|_| rng.random_range(7_000.0..9_000.0))
        .collect();
    let mean_tokens = 12.0 * f64::from(BLOCK_TOKENS);
    let rate = prefill_rates.iter().sum::<f64>() * utilisation / mean_tokens;
    let total: f64 = popularity.iter().sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        // Demand rises and falls by a third, so that queues form and empty.
        let demand_factor = 1.0 + 0.33 * (at / 20.0 * std::f64::consts::TAU).sin();
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / (rate * demand_factor);
        if at >= size.seconds as f64 {
            break;
        }
        let mut draw = rng.random_range(0.0..total);
        let model = popularity
            .iter()
            .position(|weight| {
                draw -= weight;
                draw < 0.0
            })
            .unwrap_or(0);
        arrivals.push(random_arrival(&size, &mut rng, (at * 1e6) as Micros, model));
    }
    Workload {
        size,
        placement,
        holders,
        prefill_rates,
        arrivals,
    }
}

/// Draws an arrival for a model. Its prompt starts with blocks that a family of prompts shares.
fn random_arrival(size: &DeploymentSize, rng: &mut impl Rng, at: Micros, model: usize) -> Arrival {
    let adapters_of_model = size.adapters / size.models;
    let adapter: Option<Arc<str>> = (rng.random_bool(0.6) && adapters_of_model > 0).then(|| {
        let number = rng.random_range(0..adapters_of_model);
        Arc::from(format!("adapter-{model}-{number}"))
    });
    // The square makes the first families more frequent.
    let family = (rng.random::<f64>().powi(2) * PROMPT_FAMILIES as f64) as u64;
    let shared = 4 + family % 12;
    let own = rng.random_range(1..5_u64);
    let blocks: Vec<u64> = (0..shared + own)
        .map(|block| {
            if block < shared {
                (model as u64) << 32 | family << 16 | block
            } else {
                rng.random()
            }
        })
        .collect();
    Arrival {
        at,
        host: rng.random_range(0..size.hosts),
        model,
        work: WorkKind::Model {
            model: model_name(model).as_str().into(),
            adapter: adapter.as_deref().map(Into::into),
        },
        adapter,
        input_tokens: blocks.len() as u32 * BLOCK_TOKENS,
        prefix: blocks.into(),
        output_tokens: rng.random_range(10..130),
    }
}

/// Returns the name of a model.
pub fn model_name(model: usize) -> String {
    format!("model-{model}")
}

/// Distributes copies of the models over the targets; returns the models of each target and the
/// targets of each model.
///
/// Every model has one copy. Each further copy goes to the model with the most demand for each
/// copy.
fn place_models(size: &DeploymentSize, popularity: &[f64]) -> (Vec<Vec<usize>>, Vec<Vec<usize>>) {
    let copy_count = size.targets * MODELS_PER_TARGET;
    let mut copies = vec![1_usize; size.models];
    for _ in size.models..copy_count {
        let most_demanded = (0..size.models)
            .filter(|&model| copies[model] < size.targets)
            .max_by(|&left, &right| {
                let demand = |model: usize| popularity[model] / copies[model] as f64;
                demand(left).total_cmp(&demand(right))
            });
        if let Some(model) = most_demanded {
            copies[model] += 1;
        }
    }
    let mut placement = vec![Vec::new(); size.targets];
    let mut demand = vec![0.0; size.targets];
    let mut holders = vec![Vec::new(); size.models];
    for model in 0..size.models {
        for _ in 0..copies[model] {
            let target = (0..size.targets)
                .filter(|&target| !holders[model].contains(&target))
                .min_by(|&left, &right| f64::total_cmp(&demand[left], &demand[right]));
            if let Some(target) = target {
                placement[target].push(model);
                holders[model].push(target);
                demand[target] += popularity[model] / copies[model] as f64;
            }
        }
    }
    (placement, holders)
}
