//! Names of models, targets, hosts and other declared items, as shared immutable strings.
//!
//! Each kind of name has its own type, so that a model name cannot be passed as a target name.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// Defines string types for names.
macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_type! {
    /// Name of a base model.
    ModelName,
    /// Name of an adapter of a model; callers request it like a model.
    AdapterName,
    /// Name of a target: a model engine or a plain service.
    TargetName,
    /// Name of an entry host.
    HostName,
    /// Name of a tenant.
    TenantName,
    /// Name of a request class.
    ClassName,
    /// Name of a plain service.
    ServiceName,
    /// Name of a failure domain.
    DomainName,
    /// Name of a region.
    RegionName,
    /// Name of a preset.
    PresetName,
    /// Name of a route.
    RouteName,
}
