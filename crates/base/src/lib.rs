//! Types that all other crates share: clock time, names, identifiers, calls to the table service,
//! HTTP status numbers, seeded randomness and the invariant check.
//!
//! Nothing here does I/O or reads the system clock. Reducers and other pure logic get the time as a
//! [`ClockTime`](clock::ClockTime) parameter and randomness as a [`SeededRng`](random::SeededRng)
//! parameter, so that a run can be repeated exactly.

pub mod clock;
pub mod heartbeat;
pub mod http_status;
pub mod ids;
pub mod invariants;
pub mod names;
pub mod random;
pub mod table;

/// Names that users of this crate commonly import.
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
