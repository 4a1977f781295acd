//! What hosts tell each other about crashes. Times are sent as ages, since hosts share no clock.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// What may have crashed a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashCause {
    /// A whole call, given by its digest.
    Call(u64),
    /// A part of a prompt, given by its identifier.
    Part(u64),
}

/// A cause that was in lost calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostCause {
    /// The cause.
    pub cause: CrashCause,
    /// Time from the send of the newest lost call with it to the report.
    pub sent_age: ClockTime,
}

/// Report of one host about its calls that were lost when a target crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Target whose connections broke.
    pub target: TargetName,
    /// Incarnation of the target, given as its start: Unix ms by the target's own clock.
    pub incarnation: u64,
    /// Time since the connections broke.
    pub age: ClockTime,
    /// What the lost calls contained.
    pub causes: Vec<LostCause>,
}

/// Crash of one incarnation of a target with a cause among its lost calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashPoint {
    /// Target that crashed.
    pub target: TargetName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Time since the crash.
    pub age: ClockTime,
    /// Time since the send of the newest lost call with the cause.
    pub sent_age: ClockTime,
}

/// What a host knows against a cause that it blames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseEvidence {
    /// The cause.
    pub cause: CrashCause,
    /// Crashes that count against it.
    pub crashes: Vec<CrashPoint>,
    /// Number of trials since it was first blamed.
    pub trials: u32,
    /// Time until the next trial.
    pub trial_in: ClockTime,
}

/// What a host knows for and against causes, sent when it is news to others and with heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Blamed causes.
    pub blamed: Vec<CauseEvidence>,
    /// Causes that were in complete answers, with the time since the send of the newest such call.
    pub sound: Vec<(CrashCause, ClockTime)>,
    /// Incarnations of targets that have answered after their reported crash.
    pub alive: Vec<(TargetName, u64)>,
}

impl EvidenceReport {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.blamed.is_empty() && self.sound.is_empty() && self.alive.is_empty()
    }
}
