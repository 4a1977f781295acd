//! Offline optimum of a small case, by dynamic programming over all placements.

use crate::day::{build_input, demand, Deployment, STEPS};
use crocusyard_placement::prelude::*;

/// Deployment small enough to enumerate all placements.
const SMALL_CASE: Deployment = Deployment {
    name: "small",
    models: 4,
    targets: 3,
    loads_per_second: 2.0,
    loads_at_once: 9.0,
};

/// Steps between two decisions: one hour.
const STRIDE: usize = 12;

/// Returns the planner's score divided by the best score that full knowledge of the day allows.
///
/// Both decide once an hour. The planner sees the load of the hour before, and the optimum that of
/// the hour itself.
pub fn score_ratio(seed: u64, move_cost: f64) -> f64 {
    let mut input = build_input(&SMALL_CASE, seed, move_cost);
    let day: Vec<Vec<f64>> = demand(&input, seed, 1)
        .into_iter()
        .step_by(STRIDE)
        .collect();
    for (model, spec) in input.models.iter_mut().enumerate() {
        spec.load = day[0][model];
    }
    input.current_models = plan(&input).resident;
    let states = feasible_placements(&input);
    let start = states
        .iter()
        .position(|state| *state == input.current_models);
    let Some(start) = start else {
        return f64::NAN;
    };
    let best = best_score(&states, start, &day, move_cost);
    let mut score = 0.0;
    for (step, loads) in day.iter().enumerate() {
        for (model, spec) in input.models.iter_mut().enumerate() {
            spec.load = day[step.saturating_sub(1)][model];
        }
        let next = plan(&input).resident;
        score += attained_load(&next, loads).total
            - move_cost * move_count(&input.current_models, &next);
        input.current_models = next;
    }
    debug_assert_eq!(day.len(), STEPS / STRIDE);
    score / best
}

/// Returns the best score over a day that starts with a given placement. The score is the sum of
/// the attained load less the costs of moves.
fn best_score(states: &[Vec<Vec<usize>>], start: usize, day: &[Vec<f64>], move_cost: f64) -> f64 {
    let costs: Vec<Vec<f64>> = states
        .iter()
        .map(|from| {
            states
                .iter()
                .map(|to| move_cost * move_count(from, to))
                .collect()
        })
        .collect();
    let mut scores = vec![f64::NEG_INFINITY; states.len()];
    scores[start] = 0.0;
    for loads in day {
        let gains = states.iter().map(|state| attained_load(state, loads).total);
        scores = gains
            .enumerate()
            .map(|(to, gain)| {
                let before = scores
                    .iter()
                    .zip(&costs)
                    .map(|(score, costs)| score - costs[to]);
                gain + before.fold(f64::NEG_INFINITY, f64::max)
            })
            .collect();
    }
    scores.into_iter().fold(f64::NEG_INFINITY, f64::max)
}

/// Lists every placement that fits in memory and keeps every model resident.
fn feasible_placements(input: &PlanInput) -> Vec<Vec<Vec<usize>>> {
    let subsets: Vec<Vec<usize>> = (0..1_usize << input.models.len())
        .map(|bits| {
            (0..input.models.len())
                .filter(|model| bits >> model & 1 == 1)
                .collect()
        })
        .filter(|models: &Vec<usize>| {
            let bytes: u64 = models.iter().map(|&model| input.models[model].bytes).sum();
            bytes <= input.targets[0].capacity
        })
        .collect();
    let mut states = vec![Vec::new()];
    for _ in &input.targets {
        states = states
            .into_iter()
            .flat_map(|state: Vec<Vec<usize>>| {
                subsets.iter().map(move |models| {
                    let mut state = state.clone();
                    state.push(models.clone());
                    state
                })
            })
            .collect();
    }
    states.retain(|state| {
        (0..input.models.len()).all(|model| state.iter().any(|models| models.contains(&model)))
    });
    states
}

/// Returns the number of loads and unloads between two placements.
fn move_count(from: &[Vec<usize>], to: &[Vec<usize>]) -> f64 {
    let pairs = from.iter().zip(to);
    let moves: usize = pairs
        .map(|(from, to)| {
            let loads = to.iter().filter(|model| !from.contains(model)).count();
            let unloads = from.iter().filter(|model| !to.contains(model)).count();
            loads + unloads
        })
        .sum();
    moves as f64
}
