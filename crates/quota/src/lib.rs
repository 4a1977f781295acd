//! Usage limits of tenants, which hold over all entry hosts together.

pub mod limit;

/// Common types of this crate.
pub mod prelude {
    pub use crate::limit::UsageLimit;
}
