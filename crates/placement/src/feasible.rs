//! Whether a preset keeps every model reachable.

use crate::input::PlanInput;
use crocusyard_base::prelude::*;
use snafu::Snafu;

/// Time that a first token needs once its model is resident, milliseconds.
pub const FIRST_TOKEN_COMPUTE_MS: u64 = 300;

/// Why a preset is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum InfeasiblePlan {
    /// No accelerator that stays is large enough.
    #[snafu(display(
        "model {model} needs {bytes} bytes, more than any target that is not drained"
    ))]
    TooLarge {
        /// Model.
        model: ModelName,
        /// Memory, bytes.
        bytes: u64,
    },
    /// The preset asks for more copies than there are accelerators.
    #[snafu(display("model {model} needs {copies} copies on {targets} targets"))]
    TooManyCopies {
        /// Model.
        model: ModelName,
        /// Copies.
        copies: u32,
        /// Accelerators that are not drained.
        targets: usize,
    },
    /// No accelerator can be kept free enough to load the model on demand.
    #[snafu(display("model {model} has no room, and no target can keep {bytes} bytes for it"))]
    NoRoomOnDemand {
        /// Model.
        model: ModelName,
        /// Memory, bytes.
        bytes: u64,
    },
    /// The model cannot be resident and loads too slowly to be loaded on demand.
    #[snafu(display(
        "model {model} has no room and takes {load_ms} ms to load, too long to load on demand"
    ))]
    Unreachable {
        /// Model.
        model: ModelName,
        /// Load time, milliseconds.
        load_ms: u64,
    },
}

/// Returns whether a model loads within the first-token limit.
pub fn loads_on_demand(input: &PlanInput, model: usize) -> bool {
    let model = &input.models[model];
    model.min_copies == 0 && model.load_ms + FIRST_TOKEN_COMPUTE_MS <= input.preset.first_token_ms
}

/// Returns the memory that a copy of each model takes together with its largest adapter, so that
/// every adapter can be loaded on demand where its model is resident.
pub fn footprints(input: &PlanInput) -> Vec<u64> {
    let mut largest = vec![0; input.models.len()];
    for adapter in &input.adapters {
        largest[adapter.model] = adapter.bytes.max(largest[adapter.model]);
    }
    let models = input.models.iter().zip(largest);
    models
        .map(|(model, adapter)| model.bytes + adapter)
        .collect()
}

/// Packs one copy, or the preset's number, of each model, and returns the models that have to be
/// loaded on demand because memory cannot hold them.
///
/// # Errors
///
/// Returns why a model would be unreachable.
pub fn check_feasible(input: &PlanInput) -> Result<Vec<usize>, InfeasiblePlan> {
    let footprint = footprints(input);
    let mut places: Vec<PackPlace> = input
        .targets
        .iter()
        .filter(|target| !target.drained)
        .map(|target| PackPlace {
            free: target.capacity,
            models: Vec::new(),
        })
        .collect();
    let largest = places.iter().map(|place| place.free).max().unwrap_or(0);
    let mut order: Vec<usize> = (0..input.models.len()).collect();
    order.sort_by_key(|&model| (loads_on_demand(input, model), u64::MAX - footprint[model]));
    let mut on_demand = Vec::new();
    for model in order {
        let spec = &input.models[model];
        if footprint[model] > largest {
            return TooLargeSnafu {
                model: spec.name.clone(),
                bytes: footprint[model],
            }
            .fail();
        }
        let copies = spec.min_copies.max(1);
        if copies as usize > places.len() {
            return TooManyCopiesSnafu {
                model: spec.name.clone(),
                copies,
                targets: places.len(),
            }
            .fail();
        }
        if !pack(&mut places, model, footprint[model], copies) {
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
    reserve(input, &footprint, &places, on_demand)
}

/// An accelerator while models are packed.
struct PackPlace {
    free: u64,
    models: Vec<usize>,
}

/// Adds the models that have to leave one accelerator, so that the others can be loaded there.
fn reserve(
    input: &PlanInput,
    footprint: &[u64],
    places: &[PackPlace],
    mut on_demand: Vec<usize>,
) -> Result<Vec<usize>, InfeasiblePlan> {
    let size = |model: &usize| footprint[*model];
    let Some(largest) = on_demand.iter().copied().max_by_key(size) else {
        return Ok(on_demand);
    };
    let leaving = places
        .iter()
        .filter_map(|place| {
            let leaving: Vec<usize> = place
                .models
                .iter()
                .copied()
                .filter(|&model| loads_on_demand(input, model))
                .collect();
            let freed: u64 = leaving.iter().map(size).sum();
            let need = leaving.iter().map(size).fold(size(&largest), u64::max);
            (place.free + freed >= need).then_some(leaving)
        })
        .min_by_key(Vec::len);
    let Some(leaving) = leaving else {
        let spec = &input.models[largest];
        return NoRoomOnDemandSnafu {
            model: spec.name.clone(),
            bytes: footprint[largest],
        }
        .fail();
    };
    on_demand.extend(leaving);
    on_demand.sort_unstable();
    Ok(on_demand)
}

/// Takes the tightest places that fit, each on its own accelerator.
fn pack(places: &mut [PackPlace], model: usize, bytes: u64, copies: u32) -> bool {
    let mut fitting: Vec<&mut PackPlace> = places
        .iter_mut()
        .filter(|place| place.free >= bytes)
        .collect();
    if fitting.len() < copies as usize {
        return false;
    }
    fitting.sort_by_key(|place| place.free);
    for place in fitting.into_iter().take(copies as usize) {
        place.free -= bytes;
        place.models.push(model);
    }
    true
}
