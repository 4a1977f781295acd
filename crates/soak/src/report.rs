//! Counts of a run.

use crate::checker::PromiseViolation;
use crate::history::{CallOutcome, RunHistory};
use crate::plan::PlannedFault;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};

/// What came of a seed; one line of the output.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Calls that ended.
    pub calls: usize,
    /// Calls with a whole answer of a target.
    pub answered: usize,
    /// Calls that were refused as not run.
    pub refused: usize,
    /// Calls with another failure.
    pub failed: usize,
    /// Calls whose callers left.
    pub left: usize,
    /// Arrivals at targets.
    pub arrivals: usize,
    /// Arrivals beyond the first of each call.
    pub repeats: usize,
    /// Injected faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Broken promises.
    pub violations: Vec<PromiseViolation>,
}

impl SoakReport {
    /// Counts what was history.
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
            failed: history.calls.len() - answered - refused - left,
            left,
            arrivals: history.arrivals.len(),
            repeats: history.arrivals.len() - ids.len(),
            faults,
            violations,
        }
    }
}
