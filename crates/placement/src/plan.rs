//! The planner.
//!
//! A plan keeps the copies that are present, adds the copies that the expected load calls for, and
//! drops a copy only for memory. A further copy of a model is added only if the load it relieves,
//! weighted, is worth a move (hysteresis). Models whose load falls into different parts of the day
//! share accelerators: a place is ranked by the busiest part of the day after the placement.

use crate::evaluate::MAX_UTILISATION;
use crate::feasible::{footprints, loads_on_demand};
use crate::input::{PlacementPlan, PlanInput, PROFILE_SLOTS};
use std::collections::BTreeSet;

/// Part of an accelerator's time up to which the planner fills it.
const PLANNED_LOAD: f64 = 0.7;

/// Cost of sharing a failure domain with another copy of the model, in accelerator load.
const SAME_DOMAIN_COST: f64 = 0.5;

/// Weight of the busiest part of the day against the load expected now.
const PROFILE_WEIGHT: f64 = 0.3;

/// Everything that changes while a plan is made.
struct PlanDraft<'a> {
    input: &'a PlanInput,
    resident: Vec<Vec<usize>>,
    /// Copies of each model.
    copies: Vec<Vec<usize>>,
    /// Free memory, with the footprints of the resident models taken off.
    free: Vec<u64>,
    /// Memory that a copy of each model takes together with its largest adapter.
    footprint: Vec<u64>,
    load: Vec<f64>,
    profile: Vec<[f32; PROFILE_SLOTS]>,
    /// Every accelerator, and those with time to spare before copies are added. Only the latter can
    /// take a copy that relieves others; in overload they are few.
    all: Vec<usize>,
    idle: Vec<usize>,
    /// Accelerator that is kept for loads on demand.
    reserved: Option<usize>,
    /// Moves that the weight store still allows.
    moves: usize,
}

/// Makes a full plan.
pub fn plan(input: &PlanInput) -> PlacementPlan {
    let mut draft = place_all(input);
    let mut order: Vec<usize> = (0..input.models.len()).collect();
    order.sort_by(|&a, &b| input.models[b].load.total_cmp(&input.models[a].load));
    find_idle(&mut draft);
    for model in order {
        add_copies(&mut draft, model);
    }
    finish(draft)
}

/// Gives every model its first copies. Balanced places can leave no room for a large model, so the
/// tightest places are tried next, and then a packing that ignores what is present.
fn place_all(input: &PlanInput) -> PlanDraft<'_> {
    let mut best: Option<((usize, usize), PlanDraft<'_>)> = None;
    for (keep, tight) in [(true, false), (true, true), (false, true)] {
        let mut draft = new_draft(input);
        if keep {
            keep_present(&mut draft);
        }
        place_missing(&mut draft, tight);
        let missing = missing(&draft);
        let slow = missing
            .iter()
            .filter(|&&model| !loads_on_demand(input, model))
            .count();
        let lack = (slow, missing.len());
        if best.as_ref().is_none_or(|(least, _)| lack < *least) {
            best = Some((lack, draft));
        }
        if lack == (0, 0) {
            break;
        }
    }
    let mut draft = best.map_or_else(|| new_draft(input), |(_, draft)| draft);
    reserve_place(&mut draft);
    draft
}

fn least_copies(input: &PlanInput, model: usize) -> usize {
    input.models[model].min_copies.max(1) as usize
}

/// Lists the models that have fewer copies than they need.
fn missing(draft: &PlanDraft<'_>) -> Vec<usize> {
    (0..draft.input.models.len())
        .filter(|&model| draft.copies[model].len() < least_copies(draft.input, model))
        .collect()
}

/// Empties one accelerator, apart from last copies of slow models, when memory cannot hold every
/// model: the models without a copy are loaded there on demand, one after the other.
fn reserve_place(draft: &mut PlanDraft<'_>) {
    let input = draft.input;
    let missing = missing(draft);
    let Some(largest) = missing.iter().map(|&model| draft.footprint[model]).max() else {
        return;
    };
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for (target, place) in input.targets.iter().enumerate() {
        let leaving: Vec<usize> = draft.resident[target]
            .iter()
            .copied()
            .filter(|&model| {
                let last = draft.copies[model].len() <= least_copies(input, model);
                !last || loads_on_demand(input, model)
            })
            .collect();
        let freed: u64 = leaving.iter().map(|&model| draft.footprint[model]).sum();
        let need = leaving
            .iter()
            .map(|&model| draft.footprint[model])
            .fold(largest, u64::max);
        if place.drained || draft.free[target] + freed < need {
            continue;
        }
        let load: f64 = leaving.iter().map(|&model| input.models[model].load).sum();
        if best.as_ref().is_none_or(|(lowest, ..)| load < *lowest) {
            best = Some((load, target, leaving));
        }
    }
    let Some((_, target, leaving)) = best else {
        return;
    };
    for model in leaving {
        take(draft, model, target);
    }
    draft.reserved = Some(target);
}

/// Changes a plan for the models whose load changed; everything else stays.
pub fn replan(input: &PlanInput, before: &PlacementPlan, changed: &[usize]) -> PlacementPlan {
    let mut draft = new_draft(input);
    if !before.on_demand.is_empty() {
        // Only a full plan knows which room serves loads on demand, so no copy is added here.
        draft.moves = 0;
    }
    for (target, models) in before.resident.iter().enumerate() {
        for &model in models {
            if !input.targets[target].drained && draft.footprint[model] <= draft.free[target] {
                put(&mut draft, model, target);
            }
        }
    }
    find_idle(&mut draft);
    for &model in changed {
        if draft.copies[model].is_empty() && before.on_demand.is_empty() {
            place_first(&mut draft, model, false);
        }
        add_copies(&mut draft, model);
    }
    finish(draft)
}

fn new_draft(input: &PlanInput) -> PlanDraft<'_> {
    let targets = input.targets.len();
    PlanDraft {
        input,
        resident: vec![Vec::new(); targets],
        copies: vec![Vec::new(); input.models.len()],
        free: input.targets.iter().map(|target| target.capacity).collect(),
        footprint: footprints(input),
        load: vec![0.0; targets],
        profile: vec![[0.0; PROFILE_SLOTS]; targets],
        all: (0..targets).collect(),
        idle: Vec::new(),
        reserved: None,
        moves: input.preset.loads_per_plan,
    }
}

/// Returns the load that one copy of a model brings to its accelerator.
fn share(input: &PlanInput, model: usize, copies: usize) -> f64 {
    input.models[model].load / copies.max(1) as f64
}

fn put(draft: &mut PlanDraft<'_>, model: usize, target: usize) {
    let before = draft.copies[model].clone();
    spread(draft, model, &before, -1.0);
    draft.resident[target].push(model);
    draft.copies[model].push(target);
    draft.free[target] -= draft.footprint[model];
    let after = draft.copies[model].clone();
    spread(draft, model, &after, 1.0);
}

fn take(draft: &mut PlanDraft<'_>, model: usize, target: usize) {
    let before = draft.copies[model].clone();
    spread(draft, model, &before, -1.0);
    draft.resident[target].retain(|&other| other != model);
    draft.copies[model].retain(|&other| other != target);
    draft.free[target] += draft.footprint[model];
    let after = draft.copies[model].clone();
    spread(draft, model, &after, 1.0);
}

/// Adds a model's load to its targets, or takes it away.
fn spread(draft: &mut PlanDraft<'_>, model: usize, targets: &[usize], sign: f64) {
    let load = sign * share(draft.input, model, targets.len());
    let part = sign as f32 / targets.len().max(1) as f32;
    for &target in targets {
        draft.load[target] += load;
        let profile = &draft.input.models[model].profile;
        for (sum, value) in draft.profile[target].iter_mut().zip(profile) {
            *sum += part * value;
        }
    }
}

fn keep_present(draft: &mut PlanDraft<'_>) {
    for (target, models) in draft.input.current_models.iter().enumerate() {
        for &model in models {
            let fits = draft.footprint[model] <= draft.free[target];
            if !draft.input.targets[target].drained && fits {
                put(draft, model, target);
            }
        }
    }
}

/// Gives every model its first copy; models that load too slowly for demand come first.
fn place_missing(draft: &mut PlanDraft<'_>, tight: bool) {
    let input = draft.input;
    let mut order = missing(draft);
    // The order of check_feasible, so that the tight packing succeeds whenever the check does.
    order.sort_by_key(|&model| {
        (
            loads_on_demand(input, model),
            u64::MAX - draft.footprint[model],
        )
    });
    for model in order {
        while draft.copies[model].len() < least_copies(input, model) {
            if !place_first(draft, model, tight) {
                break;
            }
        }
    }
}

fn place_first(draft: &mut PlanDraft<'_>, model: usize, tight: bool) -> bool {
    if let Some(target) = best_target(draft, model, true, tight) {
        put(draft, model, target);
        draft.moves = draft.moves.saturating_sub(1);
        return true;
    }
    // Further copies of other models make room for a first copy, also for one that could be loaded
    // on demand, because a resident copy answers at once.
    if let Some(target) = room_by_eviction(draft, model) {
        put(draft, model, target);
        draft.moves = draft.moves.saturating_sub(1);
        return true;
    }
    false
}

/// Returns the best accelerator for a copy of a model, or the tightest.
fn best_target(draft: &PlanDraft<'_>, model: usize, first: bool, tight: bool) -> Option<usize> {
    let input = draft.input;
    let spec = &input.models[model];
    let bytes = draft.footprint[model];
    let copies = &draft.copies[model];
    let share = share(input, model, copies.len() + 1);
    let part = 1.0 / (copies.len() + 1) as f32;
    let mut best: Option<(f64, usize)> = None;
    let targets = if first { &draft.all } else { &draft.idle };
    for &target in targets {
        let place = &input.targets[target];
        let free = draft.free[target];
        let closed = place.drained || draft.reserved == Some(target);
        if closed || free < bytes || copies.contains(&target) {
            continue;
        }
        if tight {
            let cost = free as f64;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, target));
            }
            continue;
        }
        let peak = draft.profile[target]
            .iter()
            .zip(&spec.profile)
            .map(|(sum, value)| sum + part * value)
            .fold(0.0_f32, f32::max);
        let domains = copies
            .iter()
            .filter(|&&copy| input.targets[copy].domain == place.domain)
            .count();
        let waste = (free - bytes) as f64 / place.capacity.max(1) as f64;
        let cost = draft.load[target]
            + share
            + PROFILE_WEIGHT * f64::from(peak)
            + SAME_DOMAIN_COST * domains as f64
            + 0.05 * waste;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, target));
        }
    }
    best.map(|(_, target)| target)
}

/// Removes further copies of other models from the accelerator where the least load is displaced.
fn room_by_eviction(draft: &mut PlanDraft<'_>, model: usize) -> Option<usize> {
    let input = draft.input;
    let bytes = draft.footprint[model];
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for (target, place) in input.targets.iter().enumerate() {
        if place.drained || draft.copies[model].contains(&target) {
            continue;
        }
        let Some((cost, victims)) = victims(draft, target, bytes) else {
            continue;
        };
        let cost = cost + draft.load[target];
        if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
            best = Some((cost, target, victims));
        }
    }
    let (_, target, victims) = best?;
    for victim in victims {
        take(draft, victim, target);
    }
    Some(target)
}

/// Lists the copies that would have to go from an accelerator, least loaded first; a last copy and
/// the preset's copies stay.
fn victims(draft: &PlanDraft<'_>, target: usize, bytes: u64) -> Option<(f64, Vec<usize>)> {
    let input = draft.input;
    let mut candidates: Vec<(f64, usize)> = draft.resident[target]
        .iter()
        .filter(|&&other| {
            let least = input.models[other].min_copies.max(1) as usize;
            let left = draft.copies[other].len() - 1;
            // Taking a copy that is needed would only move the overload.
            left >= least && share(input, other, left) <= PLANNED_LOAD
        })
        .map(|&other| (share(input, other, draft.copies[other].len()), other))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut free = draft.free[target];
    let mut cost = 0.0;
    let mut victims = Vec::new();
    for (load, other) in candidates {
        if free >= bytes {
            break;
        }
        free += draft.footprint[other];
        cost += load;
        victims.push(other);
    }
    (free >= bytes).then_some((cost, victims))
}

/// Adds copies of a model while its accelerators are too busy and a copy is worth its moves.
fn add_copies(draft: &mut PlanDraft<'_>, model: usize) {
    let input = draft.input;
    let least = input.models[model].min_copies as usize;
    while draft.moves > 0 {
        let copies = draft.copies[model].len();
        let busiest = draft.copies[model]
            .iter()
            .map(|&target| draft.load[target])
            .fold(0.0, f64::max);
        let required = copies < least;
        if !required && (busiest <= PLANNED_LOAD || copies == 0) {
            return;
        }
        let share = share(input, model, copies);
        let excess: f64 = draft.copies[model]
            .iter()
            .map(|&target| (draft.load[target] - PLANNED_LOAD).max(0.0).min(share))
            .sum();
        let preset = &input.preset;
        // An eviction is a second move.
        let worth = preset.attainment_weight * excess;
        if !required && worth <= preset.move_cost {
            return;
        }
        let place = best_target(draft, model, required, false)
            .filter(|&target| required || relieves(draft, target, busiest));
        let target = match place {
            Some(target) => target,
            None if required || worth > 2.0 * preset.move_cost => {
                let Some((target, victims)) = busy_swap(draft, model, busiest) else {
                    return;
                };
                for victim in victims {
                    take(draft, victim, target);
                }
                draft.moves = draft.moves.saturating_sub(1);
                target
            }
            None => return,
        };
        put(draft, model, target);
        draft.moves = draft.moves.saturating_sub(1);
    }
}

fn find_idle(draft: &mut PlanDraft<'_>) {
    draft.idle = (0..draft.load.len())
        .filter(|&target| relieves(draft, target, f64::INFINITY))
        .collect();
}

/// Returns whether an accelerator has time for a copy of a model whose busiest place is `busiest`.
fn relieves(draft: &PlanDraft<'_>, target: usize, busiest: f64) -> bool {
    draft.load[target] < MAX_UTILISATION.min(busiest) - 0.05
}

/// Finds an accelerator with time to spare where further copies of other models can make room.
fn busy_swap(draft: &PlanDraft<'_>, model: usize, busiest: f64) -> Option<(usize, Vec<usize>)> {
    let bytes = draft.footprint[model];
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for &target in &draft.idle {
        let place = &draft.input.targets[target];
        let closed = place.drained || draft.reserved == Some(target);
        let unfit = closed || draft.copies[model].contains(&target);
        if unfit || !relieves(draft, target, busiest) {
            continue;
        }
        let Some((_, victims)) = victims(draft, target, bytes) else {
            continue;
        };
        let cost = draft.load[target];
        if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
            best = Some((cost, target, victims));
        }
    }
    best.map(|(_, target, victims)| (target, victims))
}

/// Places the adapters and names the models without a copy.
///
/// Adapters take only memory beyond the footprints. What a footprint keeps for the model's largest
/// adapter stays free, so that the engine can load any adapter without a place for a request.
fn finish(mut draft: PlanDraft<'_>) -> PlacementPlan {
    let input = draft.input;
    let mut adapters = vec![Vec::new(); input.targets.len()];
    let current: Vec<BTreeSet<usize>> = input
        .current_adapters
        .iter()
        .map(|names| names.iter().copied().collect())
        .collect();
    let mut order: Vec<usize> = (0..input.adapters.len()).collect();
    order.sort_by(|&a, &b| input.adapters[b].load.total_cmp(&input.adapters[a].load));
    for index in order {
        let adapter = &input.adapters[index];
        let mut places = draft.copies[adapter.model].clone();
        places.sort_by_key(|&target| {
            let here = current
                .get(target)
                .is_some_and(|names| names.contains(&index));
            (!here, u64::MAX - draft.free[target])
        });
        let wanted = if adapter.load > MAX_UTILISATION { 2 } else { 1 };
        let fitting = places
            .into_iter()
            .filter(|&target| draft.free[target] >= adapter.bytes);
        for target in fitting.take(wanted).collect::<Vec<_>>() {
            draft.free[target] -= adapter.bytes;
            adapters[target].push(index);
        }
    }
    let on_demand = (0..input.models.len())
        .filter(|&model| draft.copies[model].is_empty())
        .collect();
    for models in &mut draft.resident {
        models.sort_unstable();
    }
    PlacementPlan {
        resident: draft.resident,
        adapters,
        on_demand,
    }
}
