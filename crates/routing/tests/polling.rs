//! Tests of the schedule of load reads.

use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeMap;

const TARGETS: usize = 1400;
const STEP: ClockTime = ClockTime::from_ms(100);

/// Creates a schedule of 1400 targets, with their names.
fn schedule(max_rate: f64) -> (PollSchedule, Vec<TargetName>) {
    let names: Vec<_> = (0..TARGETS)
        .map(|index| TargetName::new(&format!("t{index}")))
        .collect();
    let mut schedule = PollSchedule::new(PollTuning {
        active_interval: ClockTime::from_ms(500),
        idle_interval: ClockTime::from_secs(2),
        active_window: ClockTime::from_secs(10),
        max_rate,
    });
    schedule.set_targets(names.iter());
    (schedule, names)
}

/// Runs the schedule for a minute with one active target and counts the reads of each target.
fn reads_in_a_minute(max_rate: f64) -> BTreeMap<TargetName, u32> {
    let (mut schedule, names) = schedule(max_rate);
    let mut counts = BTreeMap::new();
    let mut now = ClockTime::ZERO;
    while now < ClockTime::from_secs(60) {
        schedule.record_used(now, &names[0]);
        for target in schedule.take_due(now) {
            *counts.entry(target).or_insert(0) += 1;
        }
        now += STEP;
    }
    counts
}

/// Guards against reads that grow with the number of targets and exceed the byte budget of control
/// traffic.
#[test]
fn reads_stay_within_the_rate() {
    let total: u32 = reads_in_a_minute(25.0).values().sum();
    // The schedule starts with the reads of one second saved up.
    assert!(
        total <= 61 * 25,
        "expected at most 25 reads per second, got {total} in total"
    );
}

/// Guards against an active target that is read too rarely because of a thousand idle ones.
#[test]
fn active_target_keeps_its_interval() {
    let counts = reads_in_a_minute(25.0);
    assert_eq!(counts.get(&TargetName::new("t0")), Some(&120));
}

/// Guards against idle targets that are never read, which would hide their copies and their
/// leaving.
#[test]
fn every_idle_target_is_read() {
    let counts = reads_in_a_minute(25.0);
    assert_eq!(counts.len(), TARGETS);
}

/// Guards against active targets that take all reads, so that a host never learns of a new copy on
/// an idle target.
#[test]
fn active_targets_leave_reads_for_idle_ones() {
    const ACTIVE: usize = 60;
    let (mut schedule, names) = schedule(25.0);
    let mut counts = BTreeMap::new();
    let mut now = ClockTime::ZERO;
    while now < ClockTime::from_secs(600) {
        for name in &names[..ACTIVE] {
            schedule.record_used(now, name);
        }
        for target in schedule.take_due(now) {
            *counts.entry(target).or_insert(0_u32) += 1;
        }
        now += STEP;
    }
    assert_eq!(counts.len(), TARGETS);
    let total: u32 = counts.values().sum();
    assert!(
        total <= 601 * 25,
        "expected at most 25 reads per second, got {total} in total"
    );
    let active_reads: u32 = names[..ACTIVE].iter().map(|name| counts[name]).sum();
    assert!(
        active_reads * 4 >= total * 3,
        "expected at least 3/4 of {total} reads for active targets, got {active_reads}"
    );
}
