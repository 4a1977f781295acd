//! Declarations of models, adapters, targets, services, tenants, classes and presets.

pub mod declarations;
pub mod problem;

/// The common names of this crate.
pub mod prelude {
    pub use crate::declarations::{
        AdapterSpec, CatalogSpec, ClassSpec, CopySpec, ModelSpec, PresetSpec, RegionSpec,
        RouteSpec, ServiceSpec, TargetKind, TargetSpec, TenantSpec,
    };
    pub use crate::problem::InputProblem;
}
