//! Sources of a target's load estimate: its own reports, and the deltas that hosts exchange.
//!
//! Reports lag behind, so hosts also exchange what they sent since the last report.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// State of a copy of a model or adapter on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyState {
    /// The copy is loading: it occupies memory, but requests cannot run yet.
    Loading,
    /// The copy is loaded: requests can run.
    Resident,
    /// The copy is unloading: it still occupies memory, but no new requests can start.
    Unloading,
}

/// Copy of a model or adapter in a load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyReport {
    /// Name of the model or adapter.
    pub name: std::sync::Arc<str>,
    /// Accelerator memory that the copy occupies, in bytes.
    pub memory_bytes: u64,
    /// Whether the copy is loading, resident or unloading.
    pub state: CopyState,
}

/// Load report of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Target that the report describes.
    pub target: TargetName,
    /// Number of the report; rises while the target's process lives.
    pub sequence: u64,
    /// Number of the target's process; rises with each restart.
    pub incarnation: u64,
    /// Age of the figures at the time the report was received.
    pub age: ClockTime,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting inside the target.
    pub waiting: u32,
    /// Input tokens not yet prefilled, including those that the prefix cache will save.
    pub queued_tokens: u64,
    /// Prefill rate, in tokens per second; 0 if not known.
    pub prefill_rate: f64,
    /// Decode rate of one stream, in tokens per second.
    pub decode_rate: f64,
    /// Total accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Copies of models and adapters on the target, in any state.
    pub copies: Vec<CopyReport>,
    /// Whether the target is leaving and takes no new work.
    pub leaving: bool,
}

/// Load that one host added to one target since the target's last report, for the other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadDelta {
    /// Target that the requests were sent to.
    pub target: TargetName,
    /// Sequence number of the load report that the delta is relative to; 0 for none.
    pub sequence: u64,
    /// Requests sent minus requests ended.
    pub requests: i32,
    /// Input tokens sent that no prefix cache is expected to hold.
    pub tokens: u64,
}
