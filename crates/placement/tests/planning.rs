//! Properties that every plan must have.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_placement::prelude::*;
use rand::Rng;

/// Returns a model with the same load all day.
fn model(index: usize, bytes: u64, load_ms: u64, load: f64) -> PlanModel {
    PlanModel {
        name: format!("m{index}").as_str().into(),
        bytes,
        load_ms,
        load,
        mean_load: load,
        profile: [load as f32; PROFILE_SLOTS],
        min_copies: 0,
    }
}

/// Returns a region without adapters and copies, with accelerators in three failure domains.
fn input(models: Vec<PlanModel>, capacities: &[u64]) -> PlanInput {
    let targets: Vec<PlanTarget> = capacities
        .iter()
        .enumerate()
        .map(|(index, capacity)| PlanTarget {
            name: format!("t{index}").as_str().into(),
            domain: index % 3,
            capacity: *capacity,
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
            move_cost: 0.05,
            first_token_ms: 1_700,
            loads_per_plan: 1_000,
        },
    }
}

/// Checks that every accelerator holds what is planned there and has room for the largest adapter
/// of each resident model, since requests may need any adapter.
fn check_memory(input: &PlanInput, plan: &PlacementPlan) {
    let footprint = footprints(input);
    for (target, models) in plan.resident.iter().enumerate() {
        let models: u64 = models.iter().map(|&model| footprint[model]).sum();
        let adapters = plan.adapters[target].iter();
        let adapters: u64 = adapters.map(|&index| input.adapters[index].bytes).sum();
        assert!(
            models + adapters <= input.targets[target].capacity,
            "target {target}: the planned copies exceed its memory"
        );
    }
}

/// Returns up to three adapters per model.
fn random_adapters(seed: u64, models: usize) -> Vec<PlanAdapter> {
    let mut rng = seeded_rng(!seed);
    let count = rng.random_range(0..models * 3);
    (0..count)
        .map(|index| PlanAdapter {
            name: format!("a{index}").as_str().into(),
            model: rng.random_range(0..models),
            bytes: rng.random_range(1..10),
            load: rng.random_range(0.0..2.0),
        })
        .collect()
}

/// Guards against plans that exceed the memory of an accelerator, put models on a drained one, or
/// leave out a model although all models fit, and against a second plan or a replan that exceeds
/// the memory.
#[test]
fn random_plans_fit_into_memory_and_leave_out_no_model() {
    bolero::check!()
        .exhaustive()
        .with_generator(0..200_u64)
        .cloned()
        .for_each(|seed| {
            let mut rng = seeded_rng(seed);
            let models = (0..rng.random_range(1..30))
                .map(|index| {
                    model(
                        index,
                        rng.random_range(1..60),
                        9_000,
                        rng.random_range(0.0..2.0),
                    )
                })
                .collect();
            let capacities = vec![100; rng.random_range(2..25)];
            let mut input = input(models, &capacities);
            input.targets[0].drained = rng.random_bool(0.5);
            input.adapters = random_adapters(seed, input.models.len());
            let first = plan(&input);
            check_memory(&input, &first);
            assert!(
                !input.targets[0].drained || first.resident[0].is_empty(),
                "seed {seed}: the drained target 0 got models"
            );
            if check_feasible(&input) == Ok(Vec::new()) {
                assert_eq!(
                    first.on_demand,
                    Vec::<usize>::new(),
                    "seed {seed}: every model fits and should have a copy"
                );
            }
            input.current_models.clone_from(&first.resident);
            check_memory(&input, &plan(&input));
            let changed: Vec<usize> = (0..input.models.len()).step_by(3).collect();
            for &model in &changed {
                input.models[model].load *= 10.0;
            }
            check_memory(&input, &replan(&input, &first, &changed));
        });
}

/// Guards against a preset that makes a slow model unreachable, and against a needless refusal:
/// only a model that loads within the first-token limit may go without a copy.
#[test]
fn presets_that_lose_a_model_are_refused() {
    let models = vec![
        model(0, 80, 9_000, 0.1),
        model(1, 60, 900, 0.1),
        model(2, 60, 900, 0.1),
    ];
    let mut input = input(models, &[100, 70]);
    assert_eq!(
        check_feasible(&input),
        Ok(vec![1, 2]),
        "one target should serve both models in turn"
    );
    let both = plan(&input);
    assert_eq!(
        (both.on_demand, &both.resident[1]),
        (vec![1, 2], &Vec::new())
    );
    input.targets.truncate(1);
    let refusal =
        check_feasible(&input).expect_err("the slow model should leave no room for the others");
    assert!(matches!(refusal, InfeasiblePlan::NoRoomOnDemand { .. }));
    input.models[1].load_ms = 1_500;
    input.models[2].load_ms = 1_500;
    let refusal =
        check_feasible(&input).expect_err("a load of 1.5 s should leave no time to answer");
    assert!(
        refusal.to_string().contains("model m1"),
        "the refusal should name model m1: {refusal}"
    );
    input.models[1].min_copies = 2;
    let refusal = check_feasible(&input).expect_err("one target should not fit two copies");
    assert!(matches!(refusal, InfeasiblePlan::TooManyCopies { .. }));
}

/// Guards against copies that fail together, and against models with the same peak on one
/// accelerator.
#[test]
fn copies_spread_and_peaks_are_kept_apart() {
    let mut model_with_min_copies = model(0, 10, 9_000, 0.1);
    model_with_min_copies.min_copies = 3;
    let spread = plan(&input(vec![model_with_min_copies], &[100; 9]));
    let domains = spread
        .resident
        .iter()
        .enumerate()
        .filter(|(_, models)| !models.is_empty());
    let domains: std::collections::BTreeSet<usize> =
        domains.map(|(target, _)| target % 3).collect();
    assert_eq!(domains.len(), 3);

    let mut models: Vec<PlanModel> = (0..4).map(|index| model(index, 40, 9_000, 0.1)).collect();
    for (index, model) in models.iter_mut().enumerate() {
        model.profile = [0.0; PROFILE_SLOTS];
        model.profile[if index < 2 { 3 } else { 6 }] = 1.0;
    }
    let shared = plan(&input(models, &[100, 100]));
    for models in &shared.resident {
        let morning_models = models.iter().filter(|&&model| model < 2).count();
        assert_eq!(
            morning_models, 1,
            "each target should get one morning model: {:?}",
            shared.resident
        );
    }
}

/// Guards against adapters that are placed away from their base model, and against a forecast that
/// forgets the peak of the day before.
#[test]
fn adapters_follow_their_model_and_peaks_are_forecast() {
    let mut input = input(
        vec![model(0, 50, 9_000, 0.1), model(1, 50, 9_000, 0.1)],
        &[60, 60],
    );
    input.adapters = (0..2)
        .map(|index| PlanAdapter {
            name: format!("a{index}").as_str().into(),
            model: index,
            bytes: 2,
            load: 0.1,
        })
        .collect();
    let plan = plan(&input);
    check_memory(&input, &plan);
    for (models, adapters) in plan.resident.iter().zip(&plan.adapters) {
        assert_eq!(models, adapters);
    }
    input.targets[0].capacity = 101;
    input.targets[1].drained = true;
    let refusal =
        check_feasible(&input).expect_err("the target should have no room for an adapter");
    assert!(matches!(refusal, InfeasiblePlan::Unreachable { .. }));
    let mut forecast = DemandForecast::new(1);
    let hour = |hour: u64| ClockTime::from_secs(hour * 3_600);
    for now in 0..24 {
        forecast.observe(0, hour(now), if (9..12).contains(&now) { 5.0 } else { 1.0 });
    }
    assert!(forecast.expected_load(0, 1.0, hour(32), hour(1)) > 1.5);
    assert!(forecast.expected_load(0, 1.0, hour(38), hour(1)) < 1.5);
}
