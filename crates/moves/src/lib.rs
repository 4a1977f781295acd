//! Leases, fencing numbers, move intents and the accelerator memory ledger.
//!
//! [`reduce`](reduce::reduce) applies one event to the state and appends effects. One entry host
//! per region holds the lease and orders moves (loads and unloads of copies); every other host only
//! watches the lease row.
//!
//! In this crate, a name is that of a model or adapter, and a copy is its instance on a target.
//!
//! Every write to the table is one transaction that also rewrites the lease row under
//! compare-and-set. A host that has lost the lease therefore cannot write an intent, and after a
//! lost answer the lease row shows whether the transaction took effect. At most one table call of a
//! host is in progress at a time.
//!
//! Memory on a target is counted by name: a name uses the larger of the memory that the engine
//! reports and the memory that its intents reserve, because an engine holds at most one copy of a
//! name. An intent is removed only after a load report that is newer than the end of its order.

pub mod demand;
pub mod effect;
pub mod event;
pub(crate) mod eviction;
pub mod fleet;
pub(crate) mod indexes;
pub mod intent;
pub mod lease;
pub mod ledger;
pub mod orders;
pub mod reduce;
pub mod schedule;
pub mod state;
pub mod table_calls;

/// The common names of this crate.
pub mod prelude {
    pub use crate::effect::{EngineOrder, MoveEffect, MoveLog};
    pub use crate::event::{FinishedOrder, MoveEvent, OrderAnswer, OrderResult};
    pub use crate::fleet::{FleetItem, FleetSpec, FleetTarget, ItemKind, ResidencyPlan};
    pub use crate::intent::{IntentRow, IntentStage, OrderAction};
    pub use crate::lease::{LeaseRow, LeaseState};
    pub use crate::ledger::MemoryLedger;
    pub use crate::reduce::{reduce, MoveContext};
    pub use crate::state::{MoveSettings, MoveState};
}
