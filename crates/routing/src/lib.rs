//! Load balancing: chooses a target for each attempt, and entry hosts for each caller.

mod adapters;
pub mod address;
mod choose;
mod index;
mod load;
pub mod polling;
pub mod prefix;
pub mod query;
pub mod report;
pub mod table;
pub mod tuning;

/// Common types of this crate.
pub mod prelude {
    pub use crate::address::{
        AddressAnswer, AddressQuery, AddressTuning, AddressTuningBuilder, EntryAddress,
        EntryDirectory, EntryHost,
    };
    pub use crate::polling::{PollSchedule, PollTuning};
    pub use crate::prefix::{BatchOutcome, CacheBatch, CacheEvent};
    pub use crate::query::{RouteChoice, RouteQuery, WorkKind};
    pub use crate::report::{CopyReport, CopyState, LoadDelta, LoadReport};
    pub use crate::table::{RouteSettings, RouteTable};
    pub use crate::tuning::{CandidateMode, RouteTuning, RouteTuningBuilder};
}
