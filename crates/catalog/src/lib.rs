//! Declarations of models, adapters, targets, services, tenants, classes and presets.
//!
//! A catalogue is one YAML file. It is read in three steps: [`document`] parses the text into a
//! tree with line numbers, [`shape`] checks every key and value against [`keys`], and [`check`]
//! checks names, references and memory. All problems are reported together. The settings crate
//! reads its files in the same way through [`read`].

pub mod body;
pub mod check;
mod check_presets;
pub mod declarations;
pub mod diff;
pub mod document;
pub mod keys;
pub mod problem;
pub mod read;
pub mod shape;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::body::{canonical_body, digest_of, sort_catalog, CatalogDigest, CatalogError};
    pub use crate::check::check_catalog;
    pub use crate::declarations::{
        AdapterSpec, CatalogSpec, ClassSpec, CopySpec, ModelSpec, PresetSpec, RegionSpec,
        RouteSpec, ServiceSpec, TargetKind, TargetSpec, TenantSpec,
    };
    pub use crate::diff::{diff_catalogs, CatalogChange, CatalogDiff};
    pub use crate::problem::InputProblem;
    pub use crate::read::ValueProblem;
}
