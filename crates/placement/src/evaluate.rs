//! How much load a residency can serve within the time limits.

/// Load that accelerators serve within the limits.
#[derive(Clone, Debug, Default)]
pub struct AttainedLoad {
    /// Attained load, accelerators.
    pub total: f64,
    /// Load that reaches each accelerator.
    pub per_target: Vec<f64>,
}

/// Share of an accelerator's time above which requests miss their limits.
pub const MAX_UTILISATION: f64 = 0.85;

/// Rounds of levelling the load of each model over its copies.
const LEVEL_ROUNDS: usize = 6;

/// Spreads each model's load over its copies, as the router does by queue length, and counts what
/// the accelerators serve within the limits. `resident` names the models on each accelerator.
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
    for _ in 0..LEVEL_ROUNDS {
        for (targets, shares) in copies.iter().zip(&mut shares) {
            if targets.len() > 1 {
                level(targets, shares, &mut per_target);
            }
        }
    }
    let served = per_target
        .iter()
        .map(|load| load.min(MAX_UTILISATION))
        .sum();
    AttainedLoad {
        total: served,
        per_target,
    }
}

/// Moves half of the difference towards the mean load of the copies' accelerators.
fn level(targets: &[usize], shares: &mut [f64], per_target: &mut [f64]) {
    let sum: f64 = targets.iter().map(|&target| per_target[target]).sum();
    let mean = sum / targets.len() as f64;
    let total: f64 = shares.iter().sum();
    let mut wished: Vec<f64> = targets
        .iter()
        .zip(shares.iter())
        .map(|(&target, share)| (share + 0.5 * (mean - per_target[target])).max(0.0))
        .collect();
    let scale = wished.iter().sum::<f64>();
    if scale <= 0.0 {
        return;
    }
    for share in &mut wished {
        *share *= total / scale;
    }
    for ((&target, share), wished) in targets.iter().zip(shares.iter_mut()).zip(wished) {
        per_target[target] += wished - *share;
        *share = wished;
    }
}
