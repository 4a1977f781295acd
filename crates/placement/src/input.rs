//! Input and result of the planner.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;

/// Parts of a day in which a model's demand is described.
pub const PROFILE_SLOTS: usize = 8;

/// A base model.
#[derive(Clone, Debug)]
pub struct PlanModel {
    /// Name.
    pub name: ModelName,
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Time to load a copy, milliseconds.
    pub load_ms: u64,
    /// Expected load in the time the plan is for, in accelerators that it keeps fully busy.
    pub load: f64,
    /// Mean load over the day, accelerators.
    pub mean_load: f64,
    /// Load by part of the day, accelerators.
    pub profile: [f32; PROFILE_SLOTS],
    /// Copies that the preset keeps resident; 0 leaves the number to the planner.
    pub min_copies: u32,
}

/// An adapter.
#[derive(Clone, Debug)]
pub struct PlanAdapter {
    /// Name.
    pub name: AdapterName,
    /// Index of its base model.
    pub model: usize,
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Expected load, accelerators.
    pub load: f64,
}

/// An accelerator.
#[derive(Clone, Debug)]
pub struct PlanTarget {
    /// Name.
    pub name: TargetName,
    /// Number of its failure domain.
    pub domain: usize,
    /// Memory, bytes.
    pub capacity: u64,
    /// Whether it is being drained.
    pub drained: bool,
}

/// Weights of the preset in force.
#[derive(Clone, Copy, Debug)]
pub struct PlanPreset {
    /// Weight of attainment.
    pub attainment_weight: f64,
    /// Cost of one move, in attained accelerator load.
    pub move_cost: f64,
    /// Limit of the time to the first token, milliseconds.
    pub first_token_ms: u64,
    /// Loads that the weight store starts until the next full plan.
    pub loads_per_plan: usize,
}

impl PlanPreset {
    /// Takes the weights of a declared preset.
    pub fn from_spec(spec: &PresetSpec, first_token_ms: u64, loads_per_plan: usize) -> Self {
        Self {
            attainment_weight: spec.attainment_weight,
            move_cost: spec.move_cost,
            first_token_ms,
            loads_per_plan,
        }
    }
}

/// What the planner is given.
#[derive(Clone, Debug)]
pub struct PlanInput {
    /// Models.
    pub models: Vec<PlanModel>,
    /// Adapters.
    pub adapters: Vec<PlanAdapter>,
    /// Accelerators.
    pub targets: Vec<PlanTarget>,
    /// Models that are resident or loading on each accelerator.
    pub current_models: Vec<Vec<usize>>,
    /// Adapters that are resident or loading on each accelerator.
    pub current_adapters: Vec<Vec<usize>>,
    /// Preset.
    pub preset: PlanPreset,
}

/// What should be resident where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Models on each accelerator.
    pub resident: Vec<Vec<usize>>,
    /// Adapters on each accelerator.
    pub adapters: Vec<Vec<usize>>,
    /// Models without a planned copy, which are loaded when a request comes.
    pub on_demand: Vec<usize>,
}
