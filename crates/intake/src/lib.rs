//! The memory budget for what a host buffers on behalf of others: heads, bodies, answers and events.
//!
//! [`IntakeBudget`](budget::IntakeBudget) accounts for every byte before it is buffered, without
//! I/O or clocks: shells pass the time in, wait with [`RoomWait`](room::RoomWait) and answer as it
//! decides. An
//! [`IntakeGuard`](budget::IntakeGuard) holds the charge of one body and releases it when it is
//! dropped, so that a cancelled task releases it too. [`BodyIntake`](body::BodyIntake) is the state
//! of a body that is being read.

pub mod body;
pub mod budget;
pub mod limits;
pub mod room;
pub mod tally;

/// Items that users of this crate usually need.
pub mod prelude {
    pub use crate::body::BodyIntake;
    pub use crate::budget::{IntakeBudget, IntakeCounts, IntakeGuard, IntakeRefusal, IntakeUse};
    pub use crate::limits::{ConnLimits, IntakeLimits};
    pub use crate::room::RoomWait;
    pub use crate::tally::RefusalTally;
}
