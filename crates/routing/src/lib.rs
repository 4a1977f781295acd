//! Chooses a target for each attempt and entry hosts for each caller.

pub mod query;
pub mod report;
pub mod table;

/// The common names of this crate.
pub mod prelude {
    pub use crate::query::{RouteChoice, RouteQuery, WorkKind};
    pub use crate::report::{CopyState, LoadDelta, LoadReport, ResidentCopy};
    pub use crate::table::{RouteSettings, RouteTable};
}
