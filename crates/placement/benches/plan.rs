//! Measures full and incremental plans at several sizes, to show how the time grows.

// The macro `criterion_group` generates a public function without a doc comment.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use crocusyard_base::random::seeded_rng;
use crocusyard_placement::prelude::*;
use rand::Rng;
use std::hint::black_box;

/// Returns a random region without copies, with load in proportion to its accelerators.
fn input(models: usize, targets: usize) -> PlanInput {
    let mut rng = seeded_rng(7);
    let load_scale = 0.6 * targets as f64 / models as f64;
    let models: Vec<PlanModel> = (0..models)
        .map(|index| {
            let load = load_scale * rng.random_range(0.1..3.0);
            PlanModel {
                name: format!("m{index}").as_str().into(),
                bytes: rng.random_range(8..40) << 30,
                load_ms: rng.random_range(800..20_000),
                load,
                mean_load: load,
                profile: std::array::from_fn(|_| (load * rng.random_range(0.2..2.0)) as f32),
                min_copies: 0,
            }
        })
        .collect();
    let adapters = (0..models.len())
        .map(|index| PlanAdapter {
            name: format!("a{index}").as_str().into(),
            model: index,
            bytes: 100 << 20,
            load: 0.01,
        })
        .collect();
    let targets: Vec<PlanTarget> = (0..targets)
        .map(|index| PlanTarget {
            name: format!("t{index}").as_str().into(),
            domain: index % 10,
            capacity: 80 << 30,
            drained: false,
        })
        .collect();
    let preset = PlanPreset {
        attainment_weight: 1.0,
        move_cost: 0.05,
        first_token_ms: 1_700,
        loads_per_plan: 10_000,
    };
    PlanInput {
        current_models: vec![Vec::new(); targets.len()],
        current_adapters: vec![Vec::new(); targets.len()],
        models,
        adapters,
        targets,
        preset,
    }
}

/// Measures a plan from nothing, a full plan and an incremental plan at each size.
fn benches(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    group.sample_size(10);
    for (models, targets) in [(475, 350), (950, 700), (1_900, 1_400)] {
        let mut input = input(models, targets);
        let size = format!("{models}x{targets}");
        group.bench_function(BenchmarkId::new("from_empty", &size), |bencher| {
            bencher.iter(|| plan(black_box(&input)));
        });
        let full_plan = plan(&input);
        input.current_models.clone_from(&full_plan.resident);
        group.bench_function(BenchmarkId::new("full", &size), |bencher| {
            bencher.iter(|| plan(black_box(&input)));
        });
        let changed: Vec<usize> = (0..10).map(|index| index * 37).collect();
        for &model in &changed {
            input.models[model].load *= 10.0;
        }
        group.bench_function(BenchmarkId::new("incremental", &size), |bencher| {
            bencher.iter(|| replan(black_box(&input), &full_plan, &changed));
        });
    }
    group.finish();
}

criterion_group!(plans, benches);
criterion_main!(plans);
