//! The declarations of a catalogue, as plain data.
//!
//! Operators keep them in a YAML file under version control. Field names are the keys of the file.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// A catalogue: everything that is declared for one deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogSpec {
    /// Regions with their failure domains.
    pub regions: Vec<RegionSpec>,
    /// Base models that callers can address.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// Adapters of the base models.
    #[serde(default)]
    pub adapters: Vec<AdapterSpec>,
    /// Model engines and instances of plain services.
    #[serde(default)]
    pub targets: Vec<TargetSpec>,
    /// Plain services and their routes.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Tenants that callers belong to.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    /// Request classes, which set priorities and deadlines.
    #[serde(default)]
    pub classes: Vec<ClassSpec>,
    /// Presets, of which one is in force at any time.
    #[serde(default)]
    pub presets: Vec<PresetSpec>,
}

/// A region and the limits of its weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Name, unique among the regions.
    pub name: RegionName,
    /// Failure domains of the region, each unique among all regions.
    pub domains: Vec<DomainName>,
    /// Model loads that the weight store starts per second.
    pub weight_loads_per_second: f64,
    /// Model loads that the weight store serves at once at full speed.
    pub weight_loads_at_once: u32,
    /// Adapter loads in transit beyond which each load slows in proportion to their number.
    pub adapter_loads_in_transit: u32,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name, as callers address it.
    pub name: ModelName,
    /// Accelerator memory of one resident copy, bytes.
    pub memory_bytes: u64,
    /// Time to load a copy at full speed, milliseconds.
    pub load_ms: u64,
}

/// An adapter of a base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Name, as callers address it.
    pub name: AdapterName,
    /// Base model that the adapter extends.
    pub model: ModelName,
    /// Accelerator memory of one resident copy, bytes.
    pub memory_bytes: u64,
}

/// What a target runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Engine that holds models and adapters.
    Engine,
    /// Instance of one plain service.
    Plain,
}

/// A model engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name, unique among the targets.
    pub name: TargetName,
    /// Address and port at which hosts reach the target.
    pub address: std::net::SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// What the target runs.
    pub kind: TargetKind,
    /// Service that a plain target runs; absent for an engine.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Accelerator memory for models and adapters, bytes; 0 for a plain target.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Initial concurrency limit of the target, requests; the limit adapts from there.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the target keeps a record of keyed calls that can be read back.
    #[serde(default)]
    pub keeps_records: bool,
}

fn default_concurrency() -> u32 {
    16
}

/// A plain service, whose calls are matched by route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, as in `/services/{name}/`.
    pub name: ServiceName,
    /// Routes; the first one that matches applies.
    pub routes: Vec<RouteSpec>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Method, or `*` for any.
    pub method: String,
    /// Prefix of the path below the service, starting with `/`.
    pub path: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
    /// Request class of its calls.
    pub class: ClassName,
    /// Deadline when the caller gives none, milliseconds after arrival.
    pub deadline_ms: u64,
    /// Largest request body, bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
}

fn default_body_bytes() -> u64 {
    1 << 20
}

/// A tenant, whose requests share the hosts fairly with those of other tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Name, unique among the tenants.
    pub name: TenantName,
    /// Share in fair queueing, relative to the other tenants.
    pub weight: u32,
    /// Environment variable of the host that holds the tenant's API key; absent without a key.
    #[serde(default)]
    pub key_env: Option<String>,
    /// Largest number of requests in progress at once on one host.
    pub in_flight: u32,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name, unique among the classes.
    pub name: ClassName,
    /// Priority; lower numbers are served first.
    pub priority: u8,
    /// Deadline when the caller gives none, milliseconds after arrival.
    pub deadline_ms: u64,
    /// Wait after which a queued request rises by one priority, milliseconds.
    pub aging_ms: u64,
    /// Largest number of requests of the class queued at once on one host.
    pub queue_limit: u32,
}

/// A preset: how the deployment runs while the preset is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetSpec {
    /// Name, unique among the presets.
    pub name: PresetName,
    /// Weight of attainment in the objective of placement.
    pub attainment_weight: f64,
    /// Cost of one move in the objective of placement, in the unit of attainment.
    pub move_cost: f64,
    /// Models of which copies are kept resident.
    #[serde(default)]
    pub copies: Vec<CopySpec>,
    /// Targets that are being drained.
    #[serde(default)]
    pub drained: Vec<TargetName>,
}

/// Copies of a model that a preset keeps resident.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CopySpec {
    /// Model whose copies are kept.
    pub model: ModelName,
    /// Smallest number of copies, each on a different engine.
    pub min: u32,
}
