//! Logging in JSON lines, configured from the settings.
//!
//! Every line on standard output is one JSON object. Lines about a request carry [`RequestFields`]
//! as `attributes`. No other data of a request is logged, so that neither a body nor a key can
//! reach the log in these lines. Libraries log headers at levels below info, so [`LibraryFilter`] drops
//! those lines whatever the settings say.
//!
//! [`RequestFields`]: request::RequestFields
//! [`LibraryFilter`]: setup::LibraryFilter

pub mod queue;
pub mod request;
pub mod setup;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::queue::{QueueAppender, DECISION_TARGET};
    pub use crate::request::{log_request, RequestFields, RequestStep};
    pub use crate::setup::{start_logging, start_queued_logging, LoggingError};
}
