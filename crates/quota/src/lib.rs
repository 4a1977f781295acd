//! Usage limits of tenants, which hold over all entry hosts together.
//!
//! Each host admits calls from its own estimate of a tenant's credit and tells the others what it
//! admitted. The design and its bound are described in `docs/design/quota.md`.

pub mod hosts;
pub mod limit;
pub mod report;
pub mod state;
pub mod tenant;

/// Common types of this crate.
pub mod prelude {
    pub use crate::hosts::QuotaHost;
    pub use crate::limit::UsageLimit;
    pub use crate::report::{HostId, QuotaReport, TenantKey, UsageEntry};
    pub use crate::state::{QuotaConfig, QuotaDecision, QuotaRefusal, QuotaState, TenantUsage};
}
