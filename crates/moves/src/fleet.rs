//! Declarations of one region and its residency plan, indexed for the reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Kind of a name that can be resident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemKind {
    /// Base model.
    Model,
    /// Adapter of a base model.
    Adapter {
        /// Name of the base model, which must be resident on the same target.
        model: Arc<str>,
    },
}

/// A declared model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetItem {
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Memory kept free beside a copy of a model, so that its engine can load any of its adapters
    /// for a request, bytes; 0 for an adapter.
    pub adapter_reserve: u64,
    /// Whether the item is a model or an adapter.
    pub kind: ItemKind,
}

/// A declared engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetTarget {
    /// Declared accelerator memory, bytes.
    pub capacity: u64,
    /// Failure domain of the engine.
    pub domain: DomainName,
    /// Whether the engine refuses old fencing numbers. Such an engine must keep the highest number
    /// over its own restarts; declare an engine that forgets the number as not checking.
    pub checks_fencing: bool,
}

/// Declarations of one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSpec {
    /// Engines by target name.
    pub targets: BTreeMap<TargetName, FleetTarget>,
    /// Models and adapters by name.
    pub items: BTreeMap<Arc<str>, FleetItem>,
    /// Model loads that may start per second.
    pub model_loads_per_second: f64,
    /// Model loads that may be in progress at the same time.
    pub max_model_loads: u32,
    /// Adapter loads that may be in progress at the same time.
    pub max_adapter_loads: u32,
}

impl FleetSpec {
    /// Returns the engines, items and limits of a region, or `None` if the region is not declared.
    pub fn from_catalog(catalog: &CatalogSpec, region: &RegionName) -> Option<Self> {
        let region = catalog.regions.iter().find(|spec| spec.name == *region)?;
        let targets = catalog
            .targets
            .iter()
            .filter(|spec| spec.kind == TargetKind::Engine && region.domains.contains(&spec.domain))
            .map(|spec| {
                let target = FleetTarget {
                    capacity: spec.memory_bytes,
                    domain: spec.domain.clone(),
                    checks_fencing: spec.checks_fencing,
                };
                (spec.name.clone(), target)
            })
            .collect();
        Some(Self {
            targets,
            items: items_of(catalog),
            model_loads_per_second: region.weight_loads_per_second,
            max_model_loads: region.weight_loads_at_once,
            max_adapter_loads: region.adapter_loads_in_transit,
        })
    }
}

/// Returns the models and adapters of a catalogue by name.
fn items_of(catalog: &CatalogSpec) -> BTreeMap<Arc<str>, FleetItem> {
    let mut largest_adapter: BTreeMap<&str, u64> = BTreeMap::new();
    for adapter in &catalog.adapters {
        let bytes = largest_adapter.entry(adapter.model.as_str()).or_default();
        *bytes = adapter.memory_bytes.max(*bytes);
    }
    let models = catalog.models.iter().map(|spec| {
        let item = FleetItem {
            bytes: spec.memory_bytes,
            adapter_reserve: largest_adapter
                .get(spec.name.as_str())
                .copied()
                .unwrap_or(0),
            kind: ItemKind::Model,
        };
        (Arc::from(spec.name.as_str()), item)
    });
    let adapters = catalog.adapters.iter().map(|spec| {
        let item = FleetItem {
            bytes: spec.memory_bytes,
            adapter_reserve: 0,
            kind: ItemKind::Adapter {
                model: Arc::from(spec.model.as_str()),
            },
        };
        (Arc::from(spec.name.as_str()), item)
    });
    models.chain(adapters).collect()
}

/// Which names should be resident on which target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResidencyPlan {
    /// Names that each target should hold.
    pub resident: BTreeMap<TargetName, BTreeSet<Arc<str>>>,
    /// Names that may lose their last copy, because they load within the first-token limit.
    pub on_demand: BTreeSet<Arc<str>>,
    /// Targets that are being drained; nothing is loaded on them on demand.
    pub drained: BTreeSet<TargetName>,
}
