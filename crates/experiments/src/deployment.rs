//! Deployments and seeded arrivals.

use crate::engine::Micros;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::sync::Arc;

/// Models on one target.
const MODELS_PER_TARGET: usize = 4;
/// Prompt families of one model; prompts of a family share their first blocks.
const FAMILIES: usize = 24;
/// Tokens of one block.
pub const BLOCK_TOKENS: u32 = 64;

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Name.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Engines.
    pub targets: usize,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Failure domains.
    pub domains: usize,
    /// Simulated time, seconds.
    pub seconds: u64,
}

/// The two present deployments, and a tenth of the planned one.
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

/// One arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Entry host.
    pub host: usize,
    /// Model.
    pub model: usize,
    /// What is asked for.
    pub work: WorkKind,
    /// Adapter.
    pub adapter: Option<Arc<str>>,
    /// Hashes of the prompt's blocks.
    pub prefix: Arc<[u64]>,
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Output length, tokens.
    pub output_tokens: u32,
}

/// A deployment and what arrives at it.
#[derive(Debug)]
pub struct Workload {
    /// Size.
    pub size: DeploymentSize,
    /// Models of each target.
    pub placement: Vec<Vec<usize>>,
    /// Targets of each model.
    pub holders: Vec<Vec<usize>>,
    /// Prefill rate of each target.
    pub rates: Vec<f64>,
    /// Arrivals in order.
    pub arrivals: Vec<Arrival>,
}

/// Makes a workload whose prompts need this share of all prefill capacity without caching.
pub fn workload_of(size: DeploymentSize, seed: u64, utilisation: f64) -> Workload {
    let mut rng = seeded_rng(seed);
    let popularity: Vec<f64> = (0..size.models)
        .map(|model| 1.0 / (model as f64 + 3.0).powf(0.8))
        .collect();
    let (placement, holders) = place_models(&size, &popularity);
    let rates: Vec<f64> = (0..size.targets)
        .map(|_| rng.random_range(7_000.0..9_000.0))
        .collect();
    let mean_tokens = 12.0 * f64::from(BLOCK_TOKENS);
    let rate = rates.iter().sum::<f64>() * utilisation / mean_tokens;
    let total: f64 = popularity.iter().sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        // Demand swells and ebbs by a third, so that queues form and empty.
        let swell = 1.0 + 0.33 * (at / 20.0 * std::f64::consts::TAU).sin();
        at += -rng.random_range(f64::EPSILON..1.0_f64).ln() / (rate * swell);
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
        arrivals.push(arrival_of(&size, &mut rng, (at * 1e6) as Micros, model));
    }
    Workload {
        size,
        placement,
        holders,
        rates,
        arrivals,
    }
}

fn arrival_of(size: &DeploymentSize, rng: &mut impl Rng, at: Micros, model: usize) -> Arrival {
    let adapters_of_model = size.adapters / size.models;
    let adapter: Option<Arc<str>> = (rng.random_bool(0.6) && adapters_of_model > 0).then(|| {
        let number = rng.random_range(0..adapters_of_model);
        Arc::from(format!("adapter-{model}-{number}"))
    });
    // The square prefers the first families.
    let family = (rng.random::<f64>().powi(2) * FAMILIES as f64) as u64;
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

/// Gives every model one copy and the rest of the places to the models with the most demand a copy.
fn place_models(size: &DeploymentSize, popularity: &[f64]) -> (Vec<Vec<usize>>, Vec<Vec<usize>>) {
    let places = size.targets * MODELS_PER_TARGET;
    let mut copies = vec![1_usize; size.models];
    for _ in size.models..places {
        let wanted = (0..size.models)
            .filter(|&model| copies[model] < size.targets)
            .max_by(|&left, &right| {
                let demand = |model: usize| popularity[model] / copies[model] as f64;
                demand(left).total_cmp(&demand(right))
            });
        if let Some(model) = wanted {
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
