//! Load that a placement can serve within the time limits.

/// Load that accelerators serve within the time limits.
#[derive(Clone, Debug, Default)]
pub struct AttainedLoad {
    /// Load served within the limits on all accelerators, in fully busy accelerators.
    pub total: f64,
    /// Load that reaches each accelerator, whether it is served within the limits or not.
    pub per_target: Vec<f64>,
}

/// Share of an accelerator's time above which requests miss their time limits.
pub const MAX_UTILISATION: f64 = 0.85;

/// Rounds that level the load of each model over its copies.
const LEVELLING_ROUNDS: usize = 6;

/// Returns the load that a placement serves within the time limits.
///
/// The load of each model is spread over its copies, as the router does by queue length. `resident`
/// names the models on each accelerator, and `loads` gives the load of each model.
pub fn attained_load(resident: &[Vec<usize>], loads: &[f64]) -> AttainedLoad {
    let mut copies: Vec<Vec<usize>> = vec![Vec::new(); loads.len()];
    for (target, models) in resident.iter().enumerate() {
        for &model in models {
            copies[model].push(target);
        }
    }
    let mut per_target = vec![0.0; resident.len()];
    let mut shares: Vec<Vec<f64>> = Vec::with_capacity(loads.len());
    for (targets, &load) in copies.iter().zip(loads) {
        let share = load / targets.len().max(1) as f64;
        for &target in targets {
            per_target[target] += share;
        }
        shares.push(vec![share; targets.len()]);
    }
    for _ in 0..LEVELLING_ROUNDS {
        for (targets, shares) in copies.iter().zip(&mut shares) {
            if targets.len() > 1 {
                level_load(targets, shares, &mut per_target);
            }
        }
    }
    let attained = per_target
        .iter()
        .map(|load| load.min(MAX_UTILISATION))
        .sum();
    AttainedLoad {
        total: attained,
        per_target,
    }
}

/// Shifts a model's load between its copies by half of the difference between the load of each
/// accelerator and their mean.
fn level_load(targets: &[usize], shares: &mut [f64], per_target: &mut [f64]) {
    let sum: f64 = targets.iter().map(|&target| per_target[target]).sum();
    let mean = sum / targets.len() as f64;
    let total_load: f64 = shares.iter().sum();
    let mut desired: Vec<f64> = targets
        .iter()
        .zip(shares.iter())
        .map(|(&target, share)| (share + 0.5 * (mean - per_target[target])).max(0.0))
        .collect();
    let scale = desired.iter().sum::<f64>();
    if scale <= 0.0 {
        return;
    }
    for share in &mut desired {
        *share *= total_load / scale;
    }
    for ((&target, share), desired) in targets.iter().zip(shares.iter_mut()).zip(desired) {
        per_target[target] += desired - *share;
        *share = desired;
    }
}
