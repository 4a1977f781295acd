//! The faults of a seed.

use crocusyard_base::prelude::*;
use crocusyard_soak::prelude::*;
use std::collections::BTreeSet;
use std::path::PathBuf;

fn settings(seed: u64) -> SoakSettings {
    SoakSettings {
        seed,
        hosts: 4,
        targets: 6,
        callers: 1,
        fault_time: ClockTime::from_secs(20),
        program: PathBuf::new(),
        logs: PathBuf::new(),
    }
}

/// Guards against a seed that cannot be played again.
#[test]
fn seed_gives_the_same_faults() {
    assert_eq!(plan_faults(&settings(7)), plan_faults(&settings(7)));
    assert_ne!(plan_faults(&settings(7)), plan_faults(&settings(8)));
}

/// Guards against faults that last into the time of the recovery.
#[test]
fn faults_end_in_their_time() {
    for seed in 0..50 {
        for planned in plan_faults(&settings(seed)) {
            assert!(planned.at + planned.duration <= ClockTime::from_secs(20));
        }
    }
}

/// Guards against a kind of fault that is never drawn, and against faults that never overlap.
#[test]
fn seeds_cover_all_kinds() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let plan = plan_faults(&settings(seed));
        kinds.extend(plan.iter().map(|planned| planned.fault.kind()));
        let pairs = plan.windows(2);
        overlaps += pairs
            .filter(|pair| pair[1].at < pair[0].at + pair[0].duration)
            .count();
    }
    assert_eq!(kinds.len(), 12, "{kinds:?}");
    assert!(overlaps > 50, "{overlaps}");
}
