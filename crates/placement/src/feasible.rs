//! Check that a preset keeps every model reachable.

use crate::input::PlanInput;
use crocusyard_base::prelude::*;
use snafu::Snafu;

/// Time from the end of a model's load to the first token, milliseconds.
pub const FIRST_TOKEN_COMPUTE_MS: u64 = 300;

/// Reason why a preset is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InfeasiblePlan {
    /// No accelerator that is not drained is large enough for the model.
    #[snafu(display(
        "model {model} needs {bytes} bytes, more than any target that is not drained"
    ))]
    TooLarge {
        /// Name of the model.
        model: ModelName,
        /// Memory of a copy with its largest adapter, bytes.
        bytes: u64,
    },
    /// The preset requires more copies than there are accelerators.
    #[snafu(display("model {model} needs {copies} copies on {targets} targets"))]
    TooManyCopies {
        /// Name of the model.
        model: ModelName,
        /// Copies that the preset requires.
        copies: u32,
        /// Accelerators that are not drained.
        targets: usize,
    },
    /// No accelerator can be kept free enough to load the model on demand.
    #[snafu(display("model {model} has no room, and no target can keep {bytes} bytes for it"))]
    NoRoomOnDemand {
        /// Name of the model.
        model: ModelName,
        /// Memory of a copy with its largest adapter, bytes.
        bytes: u64,
    },
    /// The model has no room and loads too slowly to be loaded on demand.
    #[snafu(display(
        "model {model} has no room and takes {load_ms} ms to load, too long to load on demand"
    ))]
    Unreachable {
        /// Name of the model.
        model: ModelName,
        /// Time to load the model, milliseconds.
        load_ms: u64,
    },
}

/// Returns whether the planner may leave a model without a copy, because it loads within the
/// first-token limit and the preset requires no copy.
pub fn loads_on_demand(input: &PlanInput, model: usize) -> bool {
    let model = &input.models[model];
    model.min_copies == 0 && model.load_ms + FIRST_TOKEN_COMPUTE_MS <= input.preset.first_token_ms
}

/// Returns the memory of one copy of each model together with its largest adapter, bytes, so that
/// every adapter can be loaded on demand where its model is resident.
pub fn footprints(input: &PlanInput) -> Vec<u64> {
    let mut largest_adapter = vec![0; input.models.len()];
    for adapter in &input.adapters {
        largest_adapter[adapter.model] = adapter.bytes.max(largest_adapter[adapter.model]);
    }
    let models = input.models.iter().zip(largest_adapter);
    models
        .map(|(model, adapter)| model.bytes + adapter)
        .collect()
}

/// Packs one copy of each model, or the number that the preset requires, and returns the models
/// that have to be loaded on demand because memory cannot hold them.
///
/// # Errors
///
/// Fails if a model would be unreachable.
pub fn check_feasible(input: &PlanInput) -> Result<Vec<usize>, InfeasiblePlan> {
    let footprint = footprints(input);
    let mut targets: Vec<PackTarget> = input
        .targets
        .iter()
        .filter(|target| !target.drained)
        .map(|target| PackTarget {
            free: target.capacity,
            models: Vec::new(),
        })
        .collect();
    let largest_target = targets.iter().map(|target| target.free).max().unwrap_or(0);
    let mut order: Vec<usize> = (0..input.models.len()).collect();
    order.sort_by_key(|&model| (loads_on_demand(input, model), u64::MAX - footprint[model]));
    let mut on_demand = Vec::new();
    for model in order {
        let spec = &input.models[model];
        if footprint[model] > largest_target {
            return TooLargeSnafu {
                model: spec.name.clone(),
                bytes: footprint[model],
            }
            .fail();
        }
        let copies = spec.min_copies.max(1);
        if copies as usize > targets.len() {
            return TooManyCopiesSnafu {
                model: spec.name.clone(),
                copies,
                targets: targets.len(),
            }
            .fail();
        }
        if !pack_copies(&mut targets, model, footprint[model], copies) {
            if !loads_on_demand(input, model) {
                return UnreachableSnafu {
                    model: spec.name.clone(),
                    load_ms: spec.load_ms,
                }
                .fail();
            }
            on_demand.push(model);
        }
    }
    reserve_target(input, &footprint, &targets, on_demand)
}

/// An accelerator while copies are packed.
struct PackTarget {
    /// Free memory, bytes.
    free: u64,
    /// Models packed on the accelerator.
    models: Vec<usize>,
}

/// Adds to `on_demand` the models that have to be evicted from one accelerator, so that the models
/// on demand can be loaded there.
fn reserve_target(
    input: &PlanInput,
    footprint: &[u64],
    targets: &[PackTarget],
    mut on_demand: Vec<usize>,
) -> Result<Vec<usize>, InfeasiblePlan> {
    let size = |model: &usize| footprint[*model];
    let Some(largest) = on_demand.iter().copied().max_by_key(size) else {
        return Ok(on_demand);
    };
    let evicted = targets
        .iter()
        .filter_map(|target| {
            let evicted: Vec<usize> = target
                .models
                .iter()
                .copied()
                .filter(|&model| loads_on_demand(input, model))
                .collect();
            let freed: u64 = evicted.iter().map(size).sum();
            let needed = evicted.iter().map(size).fold(size(&largest), u64::max);
            (target.free + freed >= needed).then_some(evicted)
        })
        .min_by_key(Vec::len);
    let Some(evicted) = evicted else {
        let spec = &input.models[largest];
        return NoRoomOnDemandSnafu {
            model: spec.name.clone(),
            bytes: footprint[largest],
        }
        .fail();
    };
    on_demand.extend(evicted);
    on_demand.sort_unstable();
    Ok(on_demand)
}

/// Packs copies on the fullest accelerators with room, each on a different one; returns `false` and
/// packs nothing if there are too few.
fn pack_copies(targets: &mut [PackTarget], model: usize, bytes: u64, copies: u32) -> bool {
    let mut fitting: Vec<&mut PackTarget> = targets
        .iter_mut()
        .filter(|target| target.free >= bytes)
        .collect();
    if fitting.len() < copies as usize {
        return false;
    }
    fitting.sort_by_key(|target| target.free);
    for target in fitting.into_iter().take(copies as usize) {
        target.free -= bytes;
        target.models.push(model);
    }
    true
}
