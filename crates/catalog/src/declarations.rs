//! Declared things, as plain data.
//!
//! Operators keep these in YAML files under version control.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Everything that is declared for one deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogSpec {
    /// Regions with their failure domains.
    pub regions: Vec<RegionSpec>,
    /// Base models.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterSpec>,
    /// Targets.
    #[serde(default)]
    pub targets: Vec<TargetSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<TenantSpec>,
    /// Request classes.
    #[serde(default)]
    pub classes: Vec<ClassSpec>,
    /// Presets.
    #[serde(default)]
    pub presets: Vec<PresetSpec>,
}

/// A region and the limits of its weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Name.
    pub name: RegionName,
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// Model loads that the weight store starts a second.
    pub weight_loads_per_second: f64,
    /// Model loads that the weight store serves at once at full speed.
    pub weight_loads_at_once: u32,
    /// Adapter loads in transit beyond which loads slow in proportion.
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
    /// Base model.
    pub model: ModelName,
    /// Accelerator memory of one resident copy, bytes.
    pub memory_bytes: u64,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Model engine.
    Engine,
    /// Instance of a plain service.
    Plain,
}

/// A target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name.
    pub name: TargetName,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind.
    pub kind: TargetKind,
    /// Service that a plain target runs.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Accelerator memory for models and adapters, bytes; 0 for a plain target.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Requests that the target runs at once, at the start of adaptation.
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

/// A plain service.
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
    /// Class of its requests.
    pub class: ClassName,
    /// Deadline when the caller gives none, milliseconds.
    pub deadline_ms: u64,
    /// Largest request body, bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
}

fn default_body_bytes() -> u64 {
    1 << 20
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Name.
    pub name: TenantName,
    /// Share in fair queueing, relative to the other tenants.
    pub weight: u32,
    /// Environment variable of the host that holds the tenant's API key.
    #[serde(default)]
    pub key_env: Option<String>,
    /// Requests in progress at once on one host.
    pub in_flight: u32,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name.
    pub name: ClassName,
    /// Priority; lower is served first.
    pub priority: u8,
    /// Deadline when the caller gives none, milliseconds.
    pub deadline_ms: u64,
    /// Wait after which a queued request rises by one priority, milliseconds.
    pub aging_ms: u64,
    /// Requests of the class queued at once on one host.
    pub queue_limit: u32,
}

/// A preset: how the deployment is run while it is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetSpec {
    /// Name.
    pub name: PresetName,
    /// Weight of attainment in placement.
    pub attainment_weight: f64,
    /// Cost of one move in placement, in the unit of attainment.
    pub move_cost: f64,
    /// Copies that are kept resident.
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
    /// Model.
    pub model: ModelName,
    /// Smallest number of copies.
    pub min: u32,
}
