//! Input and result of the planner.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;

/// Equal parts of a day for which the load of a model is recorded.
pub const PROFILE_SLOTS: usize = 8;

/// A base model to be placed.
#[derive(Clone, Debug)]
pub struct PlanModel {
    /// Name in the catalogue.
    pub name: ModelName,
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Time to load a copy, milliseconds.
    pub load_ms: u64,
    /// Load expected while the plan is in force, in fully busy accelerators.
    pub load: f64,
    /// Mean load over the day, accelerators.
    pub mean_load: f64,
    /// Load in each part of the day, accelerators.
    pub profile: [f32; PROFILE_SLOTS],
    /// Copies that the preset keeps resident; 0 leaves the number to the planner.
    pub min_copies: u32,
}

/// An adapter to be placed with its base model.
#[derive(Clone, Debug)]
pub struct PlanAdapter {
    /// Name in the catalogue.
    pub name: AdapterName,
    /// Index of the base model in [`PlanInput::models`].
    pub model: usize,
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Expected load, accelerators.
    pub load: f64,
}

/// An accelerator: a target that can hold models.
#[derive(Clone, Debug)]
pub struct PlanTarget {
    /// Name in the catalogue.
    pub name: TargetName,
    /// Index of the failure domain.
    pub domain: usize,
    /// Memory, bytes.
    pub capacity: u64,
    /// Whether the accelerator is drained, so that it gets no copies.
    pub drained: bool,
}

/// Weights and limits of the preset in force.
#[derive(Clone, Copy, Debug)]
pub struct PlanPreset {
    /// Weight of attained load against moves.
    pub attainment_weight: f64,
    /// Cost of one load or unload, in accelerators of attained load.
    pub move_cost: f64,
    /// Limit of the time to the first token, milliseconds.
    pub first_token_ms: u64,
    /// Model loads that the weight store can start until the next full plan.
    pub loads_per_plan: usize,
}

impl PlanPreset {
    /// Returns the weights of a declared preset, with the given limits.
    pub fn from_spec(spec: &PresetSpec, first_token_ms: u64, loads_per_plan: usize) -> Self {
        Self {
            attainment_weight: spec.attainment_weight,
            move_cost: spec.move_cost,
            first_token_ms,
            loads_per_plan,
        }
    }
}

/// Input of the planner; models and adapters are referred to by their index.
#[derive(Clone, Debug)]
pub struct PlanInput {
    /// Models to be placed.
    pub models: Vec<PlanModel>,
    /// Adapters to be placed.
    pub adapters: Vec<PlanAdapter>,
    /// Accelerators of the region.
    pub targets: Vec<PlanTarget>,
    /// Models that are resident or loading on each accelerator.
    pub current_models: Vec<Vec<usize>>,
    /// Adapters that are resident or loading on each accelerator.
    pub current_adapters: Vec<Vec<usize>>,
    /// Preset in force.
    pub preset: PlanPreset,
}

/// Result of the planner: which models and adapters should be resident on which accelerator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Models on each accelerator.
    pub resident: Vec<Vec<usize>>,
    /// Adapters on each accelerator.
    pub adapters: Vec<Vec<usize>>,
    /// Models without a planned copy, which are loaded when a request arrives.
    pub on_demand: Vec<usize>,
}
