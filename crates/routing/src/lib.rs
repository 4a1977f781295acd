//! Chooses a target for each attempt and entry hosts for each caller.

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

/// The common names of this crate.
pub mod prelude {
    pub use crate::address::{
        AddressAnswer, AddressQuery, EntryAddress, EntryHost, EntryRing, RingTuning,
        RingTuningBuilder,
    };
    pub use crate::polling::{PollRhythm, PollSchedule};
    pub use crate::prefix::{CacheBatch, CacheEvent, CacheProgress};
    pub use crate::query::{RouteChoice, RouteQuery, WorkKind};
    pub use crate::report::{CopyState, LoadDelta, LoadReport, ResidentCopy};
    pub use crate::table::{RouteSettings, RouteTable};
    pub use crate::tuning::{CandidateMode, RouteTuning, RouteTuningBuilder};
}
