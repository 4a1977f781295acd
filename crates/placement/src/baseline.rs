//! Baseline policies that the planner is compared with.

use crate::input::PlanInput;

/// Places copies in proportion to the mean load of the day. The placement stays the same all day.
pub fn plan_static(input: &PlanInput) -> Vec<Vec<usize>> {
    let loads: Vec<f64> = input.models.iter().map(|model| model.mean_load).collect();
    pack_by_load(input, &loads)
}

/// Places copies in proportion to the load expected now, without regard to the current copies.
pub fn plan_greedy(input: &PlanInput) -> Vec<Vec<usize>> {
    let loads: Vec<f64> = input.models.iter().map(|model| model.load).collect();
    pack_by_load(input, &loads)
}

/// Gives every model one copy, the largest first, and then further copies to the model with the
/// highest load per copy. Each copy goes to the least loaded accelerator with room.
fn pack_by_load(input: &PlanInput, loads: &[f64]) -> Vec<Vec<usize>> {
    let target_count = input.targets.len();
    let mut free: Vec<u64> = input.targets.iter().map(|target| target.capacity).collect();
    let mut target_load = vec![0.0_f64; target_count];
    let mut resident: Vec<Vec<usize>> = vec![Vec::new(); target_count];
    let mut copies = vec![0_usize; loads.len()];
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by_key(|&model| u64::MAX - input.models[model].bytes);
    let mut has_no_room = vec![false; loads.len()];
    let load_per_copy = |model: usize, copies: &[usize]| loads[model] / (copies[model] + 1) as f64;
    loop {
        let first = order
            .iter()
            .copied()
            .find(|&model| copies[model] == 0 && !has_no_room[model]);
        let next = first.or_else(|| {
            (0..loads.len())
                .filter(|&model| !has_no_room[model] && loads[model] > 0.3 * copies[model] as f64)
                .max_by(|&a, &b| load_per_copy(a, &copies).total_cmp(&load_per_copy(b, &copies)))
        });
        let Some(model) = next else {
            return resident;
        };
        let bytes = input.models[model].bytes;
        let destination = (0..target_count)
            .filter(|&target| {
                free[target] >= bytes
                    && !input.targets[target].drained
                    && !resident[target].contains(&model)
            })
            .min_by(|&a, &b| target_load[a].total_cmp(&target_load[b]));
        let Some(target) = destination else {
            has_no_room[model] = true;
            continue;
        };
        free[target] -= bytes;
        copies[model] += 1;
        target_load[target] += loads[model] / copies[model] as f64;
        resident[target].push(model);
    }
}

/// Loads models on demand and evicts the least recently used copies.
///
/// Each model with load gets a copy if it has none, and further copies while its copies are
/// overloaded. The copies that were used longest ago make room, even if they are the last ones.
/// `last_used` is the time at which each model last had load.
pub fn plan_lru(input: &PlanInput, last_used: &[u64]) -> Vec<Vec<usize>> {
    let mut resident = input.current_models.clone();
    let mut order: Vec<usize> = (0..input.models.len())
        .filter(|&model| input.models[model].load > 0.0)
        .collect();
    order.sort_by(|&a, &b| input.models[b].load.total_cmp(&input.models[a].load));
    for model in order {
        let required = (input.models[model].load / 0.7).ceil().max(1.0) as usize;
        let mut copies = resident
            .iter()
            .filter(|models| models.contains(&model))
            .count();
        while copies < required.min(input.targets.len()) {
            if !load_evicting_oldest(input, &mut resident, last_used, model) {
                break;
            }
            copies += 1;
        }
    }
    resident
}

/// Adds a copy of a model on an accelerator with room, or else on the one whose oldest copy was
/// used longest ago; returns `false` if each of those copies was used later than the model.
fn load_evicting_oldest(
    input: &PlanInput,
    resident: &mut [Vec<usize>],
    last_used: &[u64],
    model: usize,
) -> bool {
    let bytes = input.models[model].bytes;
    let mut best: Option<(u64, usize)> = None;
    for (target, models) in resident.iter().enumerate() {
        if models.contains(&model) || input.targets[target].drained {
            continue;
        }
        let used_bytes: u64 = models.iter().map(|&other| input.models[other].bytes).sum();
        let oldest_use = if used_bytes + bytes <= input.targets[target].capacity {
            0
        } else {
            let oldest = models.iter().map(|&other| last_used[other] + 1).min();
            oldest.unwrap_or(u64::MAX)
        };
        if best.is_none_or(|(lowest, _)| oldest_use < lowest) {
            best = Some((oldest_use, target));
        }
    }
    let Some((oldest_use, target)) = best else {
        return false;
    };
    if oldest_use > last_used[model] {
        return false;
    }
    let models = &mut resident[target];
    models.sort_by_key(|&other| u64::MAX - last_used[other]);
    let capacity = input.targets[target].capacity;
    let mut used_bytes: u64 = models.iter().map(|&other| input.models[other].bytes).sum();
    while used_bytes + bytes > capacity {
        let Some(victim) = models.pop() else {
            return false;
        };
        used_bytes -= input.models[victim].bytes;
    }
    models.push(model);
    true
}
