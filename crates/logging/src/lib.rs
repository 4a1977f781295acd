//! JSON-lines logging set up from the settings.
//!
//! Every line on standard output is one JSON object. Lines about a request carry [`RequestFields`]
//! as `attributes`; these are the only facts of a request that are logged, so neither a body nor a
//! key can reach the log that way. Libraries log headers at their finer levels, so
//! [`LibraryFilter`] drops those lines whatever the settings say.
//!
//! [`RequestFields`]: request::RequestFields
//! [`LibraryFilter`]: setup::LibraryFilter

pub mod queue;
pub mod request;
pub mod setup;

/// The common names of this crate.
pub mod prelude {
    pub use crate::queue::{QueueAppender, DECISION_TARGET};
    pub use crate::request::{log_request, RequestFields, RequestStep};
    pub use crate::setup::{start_logging, start_queued_logging, LoggingError};
}
