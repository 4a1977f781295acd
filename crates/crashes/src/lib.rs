//! Evidence of which calls and prompt parts crash the targets that run them.
//!
//! A crash breaks all calls that run at the target. Each host sees its own of them only and cannot
//! tell which one was the cause, so that hosts share [`CrashReport`]s: what the lost calls contained.
//! The [`CrashTracker`] adds them up by cause, a whole call or a part of its prompt, and weighs them
//! against complete answers:
//!
//! - A complete answer shows that its parts were sound when the call was sent. Crashes of calls that
//!   were sent before count no longer.
//! - An answer to a call that was sent to a target after its reported crash shows that the target
//!   had not crashed. The report is withdrawn.
//! - A crash whose lost calls contain a cause that is already blamed does not count against others.
//!
//! A cause with enough crashes left is blamed: calls that contain it are refused. After a while one
//! of them is let through as a trial, which is announced to the other hosts. A complete answer ends
//! the blame.
//!
//! Reports reach the hosts that run at the time. Hosts that start later get a [`CrashHistory`].

mod history;
mod pending;
mod report;
mod suspect;
mod tracker;

/// The types that other crates use.
pub mod prelude {
    pub use crate::history::{CountedCrash, CrashHistory};
    pub use crate::report::{
        CauseEvidence, CrashCause, CrashPoint, CrashReport, EvidenceReport, LostCause,
    };
    pub use crate::tracker::{CauseVerdict, CrashTracker, LostCall};
}
