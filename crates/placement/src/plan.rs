//! The planner.
//!
//! A plan keeps the current copies, adds the copies that the expected load requires, and drops a
//! copy only to free memory. A further copy of a model is added only if the weighted overload that
//! it removes is worth a move (hysteresis). Models whose load falls into different parts of the day
//! share accelerators: an accelerator is ranked by its busiest part of the day with the new copy.

use crate::evaluate::MAX_UTILISATION;
use crate::feasible::{footprints, loads_on_demand};
use crate::input::{PlacementPlan, PlanInput, PROFILE_SLOTS};
use std::collections::BTreeSet;

/// Load up to which the planner fills an accelerator, as a share of its time.
const PLANNED_LOAD: f64 = 0.7;

/// Cost of an accelerator in the same failure domain as another copy of the model, in accelerator
/// load.
const SAME_DOMAIN_COST: f64 = 0.5;

/// Weight of the load in the busiest part of the day relative to the load expected now.
const PROFILE_WEIGHT: f64 = 0.3;

/// A plan in progress.
struct PlanDraft<'a> {
    /// Input of the planner.
    input: &'a PlanInput,
    /// Models on each accelerator.
    resident: Vec<Vec<usize>>,
    /// Accelerators that hold a copy of each model.
    copies: Vec<Vec<usize>>,
    /// Free memory of each accelerator, bytes, with the footprints of its models deducted.
    free_bytes: Vec<u64>,
    /// Memory of a copy of each model with its largest adapter, bytes.
    footprints: Vec<u64>,
    /// Expected load of each accelerator, as a share of its time.
    load: Vec<f64>,
    /// Load of each accelerator in each part of the day, as a share of its time.
    profile: Vec<[f32; PROFILE_SLOTS]>,
    /// Every accelerator.
    all_targets: Vec<usize>,
    /// Accelerators with spare time before further copies are added. Only these can take a copy
    /// that relieves others; in overload they are few.
    idle_targets: Vec<usize>,
    /// Accelerator that is kept free for loads on demand.
    reserved_target: Option<usize>,
    /// Moves that the plan may still add. Their number starts as that of the loads that the weight
    /// store allows.
    moves_left: usize,
}

/// Makes a full plan.
pub fn plan(input: &PlanInput) -> PlacementPlan {
    let mut draft = place_first_copies(input);
    let mut order: Vec<usize> = (0..input.models.len()).collect();
    order.sort_by(|&a, &b| input.models[b].load.total_cmp(&input.models[a].load));
    find_idle_targets(&mut draft);
    for model in order {
        add_further_copies(&mut draft, model);
    }
    finish_plan(draft)
}

/// Gives every model the copies that it requires.
///
/// Three ways are tried. Placement by the lowest cost can leave no room for a large model. The
/// second way chooses the accelerators with the least free memory, and the third also ignores the
/// current copies.
fn place_first_copies(input: &PlanInput) -> PlanDraft<'_> {
    let mut best: Option<((usize, usize), PlanDraft<'_>)> = None;
    for (keep, tightest) in [(true, false), (true, true), (false, true)] {
        let mut draft = new_draft(input);
        if keep {
            keep_current_copies(&mut draft);
        }
        place_missing_copies(&mut draft, tightest);
        let missing = incomplete_models(&draft);
        let unreachable = missing
            .iter()
            .filter(|&&model| !loads_on_demand(input, model))
            .count();
        let shortfall = (unreachable, missing.len());
        if best.as_ref().is_none_or(|(lowest, _)| shortfall < *lowest) {
            best = Some((shortfall, draft));
        }
        if shortfall == (0, 0) {
            break;
        }
    }
    let mut draft = best.map_or_else(|| new_draft(input), |(_, draft)| draft);
    reserve_target(&mut draft);
    draft
}

/// Returns the copies that a model must have: those of the preset, or one.
fn required_copies(input: &PlanInput, model: usize) -> usize {
    input.models[model].min_copies.max(1) as usize
}

/// Lists the models with fewer copies than they require.
fn incomplete_models(draft: &PlanDraft<'_>) -> Vec<usize> {
    (0..draft.input.models.len())
        .filter(|&model| draft.copies[model].len() < required_copies(draft.input, model))
        .collect()
}

/// If memory cannot hold every model, empties one accelerator, except for last copies of models
/// that load too slowly to be loaded on demand. The models without a copy are then loaded there on
/// demand, one after the other.
fn reserve_target(draft: &mut PlanDraft<'_>) {
    let input = draft.input;
    let missing = incomplete_models(draft);
    let Some(largest) = missing.iter().map(|&model| draft.footprints[model]).max() else {
        return;
    };
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for (target, accelerator) in input.targets.iter().enumerate() {
        let evicted: Vec<usize> = draft.resident[target]
            .iter()
            .copied()
            .filter(|&model| {
                let is_last = draft.copies[model].len() <= required_copies(input, model);
                !is_last || loads_on_demand(input, model)
            })
            .collect();
        let freed: u64 = evicted.iter().map(|&model| draft.footprints[model]).sum();
        let needed_bytes = evicted
            .iter()
            .map(|&model| draft.footprints[model])
            .fold(largest, u64::max);
        if accelerator.drained || draft.free_bytes[target] + freed < needed_bytes {
            continue;
        }
        let load: f64 = evicted.iter().map(|&model| input.models[model].load).sum();
        if best.as_ref().is_none_or(|(lowest, ..)| load < *lowest) {
            best = Some((load, target, evicted));
        }
    }
    let Some((_, target, evicted)) = best else {
        return;
    };
    for model in evicted {
        remove_copy(draft, model, target);
    }
    draft.reserved_target = Some(target);
}

/// Changes a plan for the models whose load changed and keeps everything else.
pub fn replan(input: &PlanInput, before: &PlacementPlan, changed: &[usize]) -> PlacementPlan {
    let mut draft = new_draft(input);
    if !before.on_demand.is_empty() {
        // Only a full plan determines which memory is kept for loads on demand, so no copy is added
        // here.
        draft.moves_left = 0;
    }
    for (target, models) in before.resident.iter().enumerate() {
        for &model in models {
            if !input.targets[target].drained && draft.footprints[model] <= draft.free_bytes[target]
            {
                add_copy(&mut draft, model, target);
            }
        }
    }
    find_idle_targets(&mut draft);
    for &model in changed {
        if draft.copies[model].is_empty() && before.on_demand.is_empty() {
            place_copy(&mut draft, model, false);
        }
        add_further_copies(&mut draft, model);
    }
    finish_plan(draft)
}

/// Returns a draft without copies.
fn new_draft(input: &PlanInput) -> PlanDraft<'_> {
    let targets = input.targets.len();
    PlanDraft {
        input,
        resident: vec![Vec::new(); targets],
        copies: vec![Vec::new(); input.models.len()],
        free_bytes: input.targets.iter().map(|target| target.capacity).collect(),
        footprints: footprints(input),
        load: vec![0.0; targets],
        profile: vec![[0.0; PROFILE_SLOTS]; targets],
        all_targets: (0..targets).collect(),
        idle_targets: Vec::new(),
        reserved_target: None,
        moves_left: input.preset.loads_per_plan,
    }
}

/// Returns the load that each of a number of copies of a model brings to its accelerator.
fn copy_load(input: &PlanInput, model: usize, copies: usize) -> f64 {
    input.models[model].load / copies.max(1) as f64
}

/// Adds a copy to the draft.
fn add_copy(draft: &mut PlanDraft<'_>, model: usize, target: usize) {
    let before = draft.copies[model].clone();
    apply_load(draft, model, &before, -1.0);
    draft.resident[target].push(model);
    draft.copies[model].push(target);
    draft.free_bytes[target] -= draft.footprints[model];
    let after = draft.copies[model].clone();
    apply_load(draft, model, &after, 1.0);
}

/// Removes a copy from the draft.
fn remove_copy(draft: &mut PlanDraft<'_>, model: usize, target: usize) {
    let before = draft.copies[model].clone();
    apply_load(draft, model, &before, -1.0);
    draft.resident[target].retain(|&other| other != model);
    draft.copies[model].retain(|&other| other != target);
    draft.free_bytes[target] += draft.footprints[model];
    let after = draft.copies[model].clone();
    apply_load(draft, model, &after, 1.0);
}

/// Adds a model's load to its accelerators with a `sign` of 1, or removes it with -1.
fn apply_load(draft: &mut PlanDraft<'_>, model: usize, targets: &[usize], sign: f64) {
    let load = sign * copy_load(draft.input, model, targets.len());
    let fraction = sign as f32 / targets.len().max(1) as f32;
    for &target in targets {
        draft.load[target] += load;
        let profile = &draft.input.models[model].profile;
        for (sum, value) in draft.profile[target].iter_mut().zip(profile) {
            *sum += fraction * value;
        }
    }
}

/// Adds the current copies that fit and are not on drained accelerators.
fn keep_current_copies(draft: &mut PlanDraft<'_>) {
    for (target, models) in draft.input.current_models.iter().enumerate() {
        for &model in models {
            let fits = draft.footprints[model] <= draft.free_bytes[target];
            if !draft.input.targets[target].drained && fits {
                add_copy(draft, model, target);
            }
        }
    }
}

/// Adds the copies that models require; models that load too slowly to be loaded on demand come
/// first.
fn place_missing_copies(draft: &mut PlanDraft<'_>, tightest: bool) {
    let input = draft.input;
    let mut order = incomplete_models(draft);
    // The order of check_feasible, so that the tight packing succeeds whenever the check does.
    order.sort_by_key(|&model| {
        (
            loads_on_demand(input, model),
            u64::MAX - draft.footprints[model],
        )
    });
    for model in order {
        while draft.copies[model].len() < required_copies(input, model) {
            if !place_copy(draft, model, tightest) {
                break;
            }
        }
    }
}

/// Adds a copy on the best accelerator, with evictions if necessary; returns whether it was placed.
fn place_copy(draft: &mut PlanDraft<'_>, model: usize, tightest: bool) -> bool {
    if let Some(target) = best_target(draft, model, true, tightest) {
        add_copy(draft, model, target);
        draft.moves_left = draft.moves_left.saturating_sub(1);
        return true;
    }
    // Further copies of other models make room for a first copy, even for one that could be loaded
    // on demand, because a resident copy answers without delay.
    if let Some(target) = evict_for(draft, model) {
        add_copy(draft, model, target);
        draft.moves_left = draft.moves_left.saturating_sub(1);
        return true;
    }
    false
}

/// Returns the accelerator with the lowest cost for a copy of a model, or with `tightest` the one
/// with the least free memory. Without `any_target`, only idle accelerators are considered.
fn best_target(
    draft: &PlanDraft<'_>,
    model: usize,
    any_target: bool,
    tightest: bool,
) -> Option<usize> {
    let input = draft.input;
    let spec = &input.models[model];
    let bytes = draft.footprints[model];
    let copies = &draft.copies[model];
    let share = copy_load(input, model, copies.len() + 1);
    let fraction = 1.0 / (copies.len() + 1) as f32;
    let mut best: Option<(f64, usize)> = None;
    let targets = if any_target {
        &draft.all_targets
    } else {
        &draft.idle_targets
    };
    for &target in targets {
        let accelerator = &input.targets[target];
        let free = draft.free_bytes[target];
        let is_unavailable = accelerator.drained || draft.reserved_target == Some(target);
        if is_unavailable || free < bytes || copies.contains(&target) {
            continue;
        }
        if tightest {
            let cost = free as f64;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, target));
            }
            continue;
        }
        let peak = draft.profile[target]
            .iter()
            .zip(&spec.profile)
            .map(|(sum, value)| sum + fraction * value)
            .fold(0.0_f32, f32::max);
        let shared_domains = copies
            .iter()
            .filter(|&&copy| input.targets[copy].domain == accelerator.domain)
            .count();
        let waste = (free - bytes) as f64 / accelerator.capacity.max(1) as f64;
        let cost = draft.load[target]
            + share
            + PROFILE_WEIGHT * f64::from(peak)
            + SAME_DOMAIN_COST * shared_domains as f64
            + 0.05 * waste;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, target));
        }
    }
    best.map(|(_, target)| target)
}

/// Makes room for a model by removing further copies of other models, where the least load is
/// displaced; returns the accelerator.
fn evict_for(draft: &mut PlanDraft<'_>, model: usize) -> Option<usize> {
    let input = draft.input;
    let bytes = draft.footprints[model];
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for (target, accelerator) in input.targets.iter().enumerate() {
        if accelerator.drained || draft.copies[model].contains(&target) {
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
        remove_copy(draft, victim, target);
    }
    Some(target)
}

/// Lists the copies that would have to be evicted from an accelerator for `bytes` to be free, least
/// loaded first, with the sum of their load; `None` if that does not free enough. Last copies and
/// the copies that the preset requires stay.
fn victims(draft: &PlanDraft<'_>, target: usize, bytes: u64) -> Option<(f64, Vec<usize>)> {
    let input = draft.input;
    let mut candidates: Vec<(f64, usize)> = draft.resident[target]
        .iter()
        .filter(|&&other| {
            let min_copies = input.models[other].min_copies.max(1) as usize;
            let remaining = draft.copies[other].len() - 1;
            // Removing a copy that is needed would only move the overload.
            remaining >= min_copies && copy_load(input, other, remaining) <= PLANNED_LOAD
        })
        .map(|&other| (copy_load(input, other, draft.copies[other].len()), other))
        .collect();
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut free = draft.free_bytes[target];
    let mut cost = 0.0;
    let mut victims = Vec::new();
    for (load, other) in candidates {
        if free >= bytes {
            break;
        }
        free += draft.footprints[other];
        cost += load;
        victims.push(other);
    }
    (free >= bytes).then_some((cost, victims))
}

/// Adds copies of a model while its accelerators are too busy and a copy is worth its moves.
fn add_further_copies(draft: &mut PlanDraft<'_>, model: usize) {
    let input = draft.input;
    let min_copies = input.models[model].min_copies as usize;
    while draft.moves_left > 0 {
        let copies = draft.copies[model].len();
        let busiest = draft.copies[model]
            .iter()
            .map(|&target| draft.load[target])
            .fold(0.0, f64::max);
        let is_required = copies < min_copies;
        if !is_required && (busiest <= PLANNED_LOAD || copies == 0) {
            return;
        }
        let share = copy_load(input, model, copies);
        let overload: f64 = draft.copies[model]
            .iter()
            .map(|&target| (draft.load[target] - PLANNED_LOAD).max(0.0).min(share))
            .sum();
        let preset = &input.preset;
        // A copy that needs an eviction takes two moves, so it needs twice this benefit below.
        let benefit = preset.attainment_weight * overload;
        if !is_required && benefit <= preset.move_cost {
            return;
        }
        let found = best_target(draft, model, is_required, false)
            .filter(|&target| is_required || has_spare_time(draft, target, busiest));
        let target = match found {
            Some(target) => target,
            None if is_required || benefit > 2.0 * preset.move_cost => {
                let Some((target, victims)) = find_swap(draft, model, busiest) else {
                    return;
                };
                for victim in victims {
                    remove_copy(draft, victim, target);
                }
                draft.moves_left = draft.moves_left.saturating_sub(1);
                target
            }
            None => return,
        };
        add_copy(draft, model, target);
        draft.moves_left = draft.moves_left.saturating_sub(1);
    }
}

/// Lists the accelerators with spare time.
fn find_idle_targets(draft: &mut PlanDraft<'_>) {
    draft.idle_targets = (0..draft.load.len())
        .filter(|&target| has_spare_time(draft, target, f64::INFINITY))
        .collect();
}

/// Returns whether an accelerator has time for a copy of a model whose busiest accelerator has the
/// load `busiest`.
fn has_spare_time(draft: &PlanDraft<'_>, target: usize, busiest: f64) -> bool {
    draft.load[target] < MAX_UTILISATION.min(busiest) - 0.05
}

/// Returns an accelerator with spare time that has room for a copy of a model after evictions, and
/// the further copies of other models to evict there.
fn find_swap(draft: &PlanDraft<'_>, model: usize, busiest: f64) -> Option<(usize, Vec<usize>)> {
    let bytes = draft.footprints[model];
    let mut best: Option<(f64, usize, Vec<usize>)> = None;
    for &target in &draft.idle_targets {
        let accelerator = &draft.input.targets[target];
        let is_unavailable = accelerator.drained || draft.reserved_target == Some(target);
        let is_unsuitable = is_unavailable || draft.copies[model].contains(&target);
        if is_unsuitable || !has_spare_time(draft, target, busiest) {
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

/// Places the adapters and lists the models without a copy.
///
/// Adapters use only memory beyond the footprints. The part of a footprint that is kept for the
/// model's largest adapter stays free, so that the engine can load any adapter without a planned
/// place for a request.
fn finish_plan(mut draft: PlanDraft<'_>) -> PlacementPlan {
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
        let mut targets = draft.copies[adapter.model].clone();
        targets.sort_by_key(|&target| {
            let is_current = current
                .get(target)
                .is_some_and(|names| names.contains(&index));
            (!is_current, u64::MAX - draft.free_bytes[target])
        });
        let copy_count = if adapter.load > MAX_UTILISATION { 2 } else { 1 };
        let fitting = targets
            .into_iter()
            .filter(|&target| draft.free_bytes[target] >= adapter.bytes);
        for target in fitting.take(copy_count).collect::<Vec<_>>() {
            draft.free_bytes[target] -= adapter.bytes;
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
