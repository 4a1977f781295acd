//! The schedule of load reads.

use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeMap;

const TARGETS: usize = 1400;
const STEP: ClockTime = ClockTime::from_ms(100);

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

/// Runs the schedule for a minute with one target in use and counts the reads of each target.
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

/// Guards the byte budget of control traffic: reads must not grow with the number of targets.
#[test]
fn reads_stay_within_the_rate() {
    let total: u32 = reads_in_a_minute(25.0).values().sum();
    // One second's reads are saved up at the start.
    assert!(total <= 61 * 25, "{total} reads");
}

/// Guards the targets in use against being starved by a thousand idle ones.
#[test]
fn a_target_in_use_keeps_its_rhythm() {
    let counts = reads_in_a_minute(25.0);
    assert_eq!(counts.get(&TargetName::new("t0")), Some(&120));
}

/// Guards idle targets against never being read, which would hide their copies and their leaving.
#[test]
fn every_idle_target_has_its_turn() {
    let counts = reads_in_a_minute(25.0);
    assert_eq!(counts.len(), TARGETS);
}

/// Guards idle targets against targets in use that would take every read, so that a host never
/// learns of a copy that was loaded anew elsewhere.
#[test]
fn targets_in_use_leave_reads_for_idle_ones() {
    const USED: usize = 60;
    let (mut schedule, names) = schedule(25.0);
    let mut counts = BTreeMap::new();
    let mut now = ClockTime::ZERO;
    while now < ClockTime::from_secs(600) {
        for name in &names[..USED] {
            schedule.record_used(now, name);
        }
        for target in schedule.take_due(now) {
            *counts.entry(target).or_insert(0_u32) += 1;
        }
        now += STEP;
    }
    assert_eq!(counts.len(), TARGETS);
    let total: u32 = counts.values().sum();
    assert!(total <= 601 * 25, "{total} reads");
    let used: u32 = names[..USED].iter().map(|name| counts[name]).sum();
    assert!(
        used * 4 >= total * 3,
        "{used} of {total} reads are of targets in use"
    );
}
