//! Placements that the planner is compared with.

use crate::input::PlanInput;

/// Places copies in proportion to the mean load of the day, and never changes them.
pub fn plan_static(input: &PlanInput) -> Vec<Vec<usize>> {
    let loads: Vec<f64> = input.models.iter().map(|model| model.mean_load).collect();
    pack_by_load(input, &loads)
}

/// Packs anew by the load expected now, without regard to what is present.
pub fn plan_greedy(input: &PlanInput) -> Vec<Vec<usize>> {
    let loads: Vec<f64> = input.models.iter().map(|model| model.load).collect();
    pack_by_load(input, &loads)
}

/// Gives every model one copy, then the model with the highest load per copy a further one, each on
/// the least loaded accelerator with room.
fn pack_by_load(input: &PlanInput, loads: &[f64]) -> Vec<Vec<usize>> {
    let targets = input.targets.len();
    let mut free: Vec<u64> = input.targets.iter().map(|target| target.capacity).collect();
    let mut busy = vec![0.0_f64; targets];
    let mut resident: Vec<Vec<usize>> = vec![Vec::new(); targets];
    let mut copies = vec![0_usize; loads.len()];
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by_key(|&model| u64::MAX - input.models[model].bytes);
    let mut closed = vec![false; loads.len()];
    let per_copy = |model: usize, copies: &[usize]| loads[model] / (copies[model] + 1) as f64;
    loop {
        let first = order
            .iter()
            .copied()
            .find(|&model| copies[model] == 0 && !closed[model]);
        let next = first.or_else(|| {
            (0..loads.len())
                .filter(|&model| !closed[model] && loads[model] > 0.3 * copies[model] as f64)
                .max_by(|&a, &b| per_copy(a, &copies).total_cmp(&per_copy(b, &copies)))
        });
        let Some(model) = next else {
            return resident;
        };
        let bytes = input.models[model].bytes;
        let place = (0..targets)
            .filter(|&at| {
                free[at] >= bytes && !input.targets[at].drained && !resident[at].contains(&model)
            })
            .min_by(|&a, &b| busy[a].total_cmp(&busy[b]));
        let Some(at) = place else {
            closed[model] = true;
            continue;
        };
        free[at] -= bytes;
        copies[model] += 1;
        busy[at] += loads[model] / copies[model] as f64;
        resident[at].push(model);
    }
}

/// Least recently used, loading on demand: each model with load gets a copy if it has none, and a
/// further one while its copies are overloaded; the copy used longest ago makes room. `used` is the
/// time of each model's last load, and may drop last copies.
pub fn plan_lru(input: &PlanInput, used: &[u64]) -> Vec<Vec<usize>> {
    let mut resident = input.current_models.clone();
    let mut order: Vec<usize> = (0..input.models.len())
        .filter(|&model| input.models[model].load > 0.0)
        .collect();
    order.sort_by(|&a, &b| input.models[b].load.total_cmp(&input.models[a].load));
    for model in order {
        let wanted = (input.models[model].load / 0.7).ceil().max(1.0) as usize;
        let mut copies = resident
            .iter()
            .filter(|models| models.contains(&model))
            .count();
        while copies < wanted.min(input.targets.len()) {
            if !load_over_oldest(input, &mut resident, used, model) {
                break;
            }
            copies += 1;
        }
    }
    resident
}

fn load_over_oldest(
    input: &PlanInput,
    resident: &mut [Vec<usize>],
    used: &[u64],
    model: usize,
) -> bool {
    let bytes = input.models[model].bytes;
    let mut best: Option<(u64, usize)> = None;
    for (at, models) in resident.iter().enumerate() {
        if models.contains(&model) || input.targets[at].drained {
            continue;
        }
        let taken: u64 = models.iter().map(|&other| input.models[other].bytes).sum();
        let age = if taken + bytes <= input.targets[at].capacity {
            0
        } else {
            let oldest = models.iter().map(|&other| used[other] + 1).min();
            oldest.unwrap_or(u64::MAX)
        };
        if best.is_none_or(|(lowest, _)| age < lowest) {
            best = Some((age, at));
        }
    }
    let Some((age, at)) = best else {
        return false;
    };
    if age > used[model] {
        return false;
    }
    let models = &mut resident[at];
    models.sort_by_key(|&other| u64::MAX - used[other]);
    let capacity = input.targets[at].capacity;
    let mut taken: u64 = models.iter().map(|&other| input.models[other].bytes).sum();
    while taken + bytes > capacity {
        let Some(victim) = models.pop() else {
            return false;
        };
        taken -= input.models[victim].bytes;
    }
    models.push(model);
    true
}
