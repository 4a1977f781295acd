//! What is declared for one region, indexed for the reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Kind of a thing that can be resident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemKind {
    /// Base model.
    Model,
    /// Adapter of a base model.
    Adapter {
        /// Base model; must be resident on the same target.
        model: Arc<str>,
    },
}

/// A model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetItem {
    /// Memory of a copy, bytes.
    pub bytes: u64,
    /// Memory kept free beside a copy of a model, so that its engine can load any adapter of it for a
    /// request, bytes; 0 for an adapter.
    pub adapter_reserve: u64,
    /// Kind.
    pub kind: ItemKind,
}

/// An engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetTarget {
    /// Declared accelerator memory, bytes.
    pub capacity: u64,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the engine refuses old fencing numbers. Such an engine must keep the highest number
    /// over its own restarts; one that forgets it is to be declared as not checking.
    pub checks_fencing: bool,
}

/// Declarations of one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSpec {
    /// Engines.
    pub targets: BTreeMap<TargetName, FleetTarget>,
    /// Models and adapters.
    pub items: BTreeMap<Arc<str>, FleetItem>,
    /// Model loads that may start a second.
    pub model_loads_per_second: f64,
    /// Model loads in progress at once.
    pub max_model_loads: u32,
    /// Adapter loads in progress at once.
    pub max_adapter_loads: u32,
}

impl FleetSpec {
    /// Takes the engines, items and limits of a region, or `None` if the region is not declared.
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

fn items_of(catalog: &CatalogSpec) -> BTreeMap<Arc<str>, FleetItem> {
    let mut largest: BTreeMap<&str, u64> = BTreeMap::new();
    for adapter in &catalog.adapters {
        let bytes = largest.entry(adapter.model.as_str()).or_default();
        *bytes = adapter.memory_bytes.max(*bytes);
    }
    let models = catalog.models.iter().map(|spec| {
        let item = FleetItem {
            bytes: spec.memory_bytes,
            adapter_reserve: largest.get(spec.name.as_str()).copied().unwrap_or(0),
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

/// Which names should be resident where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResidencyPlan {
    /// Names per target.
    pub resident: BTreeMap<TargetName, BTreeSet<Arc<str>>>,
    /// Names that may lose their last copy, because they load within the first-token limit.
    pub on_demand: BTreeSet<Arc<str>>,
    /// Targets that are being drained; nothing is loaded there on demand.
    pub drained: BTreeSet<TargetName>,
}
