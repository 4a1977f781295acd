//! Clock, names, identifiers, table-service calls, seeded randomness and the invariant check that
//! every other crate shares.
//!
//! Nothing here does I/O or reads the system clock. Logic crates take time as a [`ClockTime`]
//! parameter and randomness as a [`SeededRng`] parameter, so that a run can be repeated exactly.

pub mod clock;
pub mod ids;
pub mod invariants;
pub mod names;
pub mod random;
pub mod table;

/// The common names of this crate.
pub mod prelude {
    pub use crate::clock::ClockTime;
    pub use crate::ids::{
        AttemptId, BodyDigest, ClaimId, FencingNumber, OrderId, RequestId, RequestKey,
    };
    pub use crate::invariant;
    pub use crate::names::{
        AdapterName, ClassName, DomainName, HostName, ModelName, PresetName, RegionName, RouteName,
        ServiceName, TargetName, TenantName,
    };
    pub use crate::random::SeededRng;
    pub use crate::table::{RowChange, RowExpect, TableAnswer, TableCall, TableRow};
}
