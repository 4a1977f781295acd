//! The report of a run: counts of calls, arrivals and faults, and the broken promises.

use crate::checker::PromiseViolation;
use crate::history::{CallOutcome, RunHistory};
use crate::plan::PlannedFault;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// Result of a run; the binary prints it as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Recorded calls.
    pub calls: usize,
    /// Calls with a whole answer of success.
    pub answered: usize,
    /// Calls that a host refused without any target having run them.
    pub refused: usize,
    /// Calls that a host refused for their key.
    pub unauthorized: usize,
    /// Calls that failed in another way.
    pub failed: usize,
    /// Calls that their callers cancelled.
    pub left: usize,
    /// Requests that arrived at targets.
    pub arrivals: usize,
    /// Arrivals after the first one of each call.
    pub repeats: usize,
    /// Number of injected faults of each kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Broken promises.
    pub violations: Vec<PromiseViolation>,
}

impl SoakReport {
    /// Counts what the history of a run holds.
    pub fn new(
        seed: u64,
        history: &RunHistory,
        plan: &[PlannedFault],
        violations: Vec<PromiseViolation>,
    ) -> Self {
        let count = |matches: &dyn Fn(&CallOutcome) -> bool| {
            let calls = history.calls.iter();
            calls.filter(|call| matches(&call.outcome)).count()
        };
        let answered = count(
            &|outcome| matches!(outcome, CallOutcome::Answered(facts, _) if facts.status.is_success()),
        );
        let refused =
            count(&|outcome| matches!(outcome, CallOutcome::Answered(facts, _) if facts.refused));
        let unauthorized = count(
            &|outcome| matches!(outcome, CallOutcome::Answered(facts, _) if facts.status.as_u16() == 401),
        );
        let left = count(&|outcome| *outcome == CallOutcome::Left);
        let ids: HashSet<&str> = history.arrivals.iter().map(|run| run.id.as_str()).collect();
        let mut faults = BTreeMap::new();
        for planned in plan {
            *faults.entry(planned.fault.kind()).or_default() += 1;
        }
        Self {
            seed,
            calls: history.calls.len(),
            answered,
            refused,
            unauthorized,
            failed: history.calls.len() - answered - refused - unauthorized - left,
            left,
            arrivals: history.arrivals.len(),
            repeats: history.arrivals.len() - ids.len(),
            faults,
            violations,
        }
    }
}
