//! What is known of a target's load: its own lagged reports and what hosts sent since.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// State of a copy on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyState {
    /// Loading; memory is in use, requests cannot run yet.
    Loading,
    /// Resident; requests can run.
    Resident,
    /// Unloading; requests can no longer start, memory is still in use.
    Unloading,
}

/// A model or adapter on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CopyReport {
    /// Name of the model or adapter.
    pub name: std::sync::Arc<str>,
    /// Memory, bytes.
    pub memory_bytes: u64,
    /// State.
    pub state: CopyState,
}

/// Load report of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Target.
    pub target: TargetName,
    /// Number of the report; rises while the target's process lives.
    pub sequence: u64,
    /// Number of the target's process; rises with each restart.
    pub incarnation: u64,
    /// Age of the figures when the report was received.
    pub age: ClockTime,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were waiting inside the target.
    pub waiting: u32,
    /// Input tokens not yet prefilled, with those that the prefix cache will save.
    pub queued_tokens: u64,
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// Decode rate of one stream, tokens a second.
    pub decode_rate: f64,
    /// Accelerator memory, bytes.
    pub memory_bytes: u64,
    /// Models and adapters on the target.
    pub copies: Vec<CopyReport>,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// What one host sent to one target since the target's last report; exchanged between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadDelta {
    /// Target.
    pub target: TargetName,
    /// Report that the delta is relative to.
    pub sequence: u64,
    /// Requests sent less requests ended.
    pub requests: i32,
    /// Input tokens sent.
    pub tokens: u64,
}
