//! Tests of the faults that are drawn from a seed.

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

/// Guards against a seed that draws other faults when it is run again.
#[test]
fn seed_gives_the_same_faults() {
    assert_eq!(plan_faults(&settings(7)), plan_faults(&settings(7)));
    assert_ne!(plan_faults(&settings(7)), plan_faults(&settings(8)));
}

/// Guards against faults that last into the recovery time.
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
    assert_eq!(
        kinds.len(),
        12,
        "expected all 12 kinds of faults, drew {kinds:?}"
    );
    assert!(overlaps > 50, "only {overlaps} faults overlap");
}

/// Guards against tenants that do not change while faults are active, and against seeds without
/// tenants that have changes.
#[test]
fn tenants_change_in_the_time_of_faults() {
    for seed in 0..50 {
        let changes = plan_tenant_changes(&settings(seed));
        assert_eq!(changes.is_empty(), !has_tenants(seed));
        assert_eq!(has_tenants(seed), seed % 2 == 1);
        assert!(changes.iter().all(|(at, _)| *at < ClockTime::from_secs(20)));
        let lowered = changes
            .iter()
            .any(|(_, change)| *change == TenantChange::LimitLowered);
        assert_eq!(lowered, has_tenants(seed));
    }
}
