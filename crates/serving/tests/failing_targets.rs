//! Targets that fail a part of their calls.

mod common;

use common::uneven::{plain_scenario, run, Policy};
use common::{ms, record, route, sent_to, TestHost};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Age of the hosts' reports, ms; heartbeats of 60 hosts are about this far apart.
const AGE_MS: u64 = 600;
/// Calls per second to three targets that can run 400.
const CALLS_PER_S: f64 = 100.0;

/// Guards against calls that are failed by one faulty target after another while a sound one could
/// run them.
#[test]
fn calls_avoid_targets_that_fail_half_of_them() {
    let outcome = |policy| run(policy, plain_scenario(2, u64::MAX, CALLS_PER_S), AGE_MS, 1);
    let product = outcome(Policy::Product);
    for policy in [Policy::Slots, Policy::SlotsPace, Policy::TwoChoices] {
        let other = outcome(policy);
        assert!(
            product.failed * 3 < other.failed && product.hit * 2 < other.hit,
            "{product:?}, {other:?} with {policy:?}"
        );
    }
    assert!(product.failed * 50 < product.calls, "{product:?}");
    assert_eq!((product.late_start, product.open), (0, 0), "{product:?}");
}

/// Guards against sending all calls to the only sound target when it cannot run them all.
#[test]
fn sound_target_is_not_overloaded() {
    let outcome = run(
        Policy::Product,
        plain_scenario(2, u64::MAX, 260.0),
        AGE_MS,
        1,
    );
    let slots = run(Policy::Slots, plain_scenario(2, u64::MAX, 260.0), AGE_MS, 1);
    assert!(
        outcome.late_start * 50 < outcome.calls && outcome.bad() < slots.bad(),
        "{outcome:?}, {slots:?} by slots"
    );
}

/// Guards against targets that stay without calls after they have recovered.
#[test]
fn recovered_targets_get_calls_again() {
    let length = |per_s| plain_scenario(2, 8_000, per_s);
    // More than the sound target alone can run; late calls would show that the others are avoided.
    let outcome = run(Policy::Product, length(200.0), AGE_MS, 2);
    assert!(outcome.late_start * 50 < outcome.calls, "{outcome:?}");
}

/// Guards against a service without targets, because all of them have failed calls.
#[test]
fn failing_targets_are_used_if_there_are_no_others() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[])]);
    for step in 0..20 {
        let now = ms(1_000 + step * 10);
        let (key, effects) = host.plain_call(route(CallKind::NonIdempotent, 1), now);
        assert_eq!(sent_to(&effects), ["t1"]);
        host.end(key, AttemptOutcome::Answered { status: 500 }, now);
    }
}

/// Guards against a second attempt at the worse of two targets, and against ignoring what other
/// hosts report.
#[test]
fn second_attempt_goes_to_the_target_with_the_fewest_failures() {
    let targets = ["t1", "t2", "t3"].map(|name| record(name, "a", &[]));
    let mut host = TestHost::new(&["m"], targets.into());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(60)), ms(900));
    let report = |name: &str, failures| FailureReport {
        target: crocusyard_serving::targets::TargetKey::of(&TargetName::new(name)),
        calls: 10,
        failures,
    };
    let reports = TargetReports {
        failures: vec![report("t1", 5), report("t2", 5), report("t3", 0)],
        ..TargetReports::default()
    };
    host.state
        .reduce(ServingEvent::PeerTargets(reports), ms(1_000));
    let (mut second, mut sound) = (0, 0);
    for _ in 0..200 {
        let now = ms(1_010);
        let (key, effects) = host.plain_call(route(CallKind::Idempotent, 2), now);
        if sent_to(&effects) != ["t3"] {
            let effects = host.end(key, AttemptOutcome::Answered { status: 500 }, now);
            let targets = sent_to(&effects);
            second += targets.len();
            sound += targets.iter().filter(|target| *target == "t3").count();
        }
        host.state.reduce(ServingEvent::CallerLeft { key }, now);
    }
    assert!(second >= 5, "{second} second attempts");
    assert!(sound * 10 >= second * 9, "{sound} of {second} to t3");
}

/// Guards against refusals that count as failures: a target that says that it has not run a call is
/// full, not faulty.
#[test]
fn refusals_are_no_failures() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[])]);
    let (key, _) = host.plain_call(route(CallKind::Idempotent, 2), ms(1_000));
    let refusal = AttemptOutcome::NotRun {
        full: true,
        misplaced: false,
    };
    host.end(key, refusal, ms(1_010));
    assert!(!host.state.targets.has_failures(ms(1_010)));
    assert!(host
        .state
        .targets
        .take_failure_reports(ms(1_010))
        .is_empty());
}

/// Prints the figures of `docs/measurements-targets.md`.
#[test]
#[ignore = "prints a table"]
fn table_of_failing_targets() {
    for per_s in [100.0, 200.0, 260.0, 320.0] {
        for age_ms in [50, 250, 600, 2_000, 5_000] {
            for policy in common::uneven::POLICIES {
                let outcomes = (1..=3)
                    .map(|seed| run(policy, plain_scenario(2, u64::MAX, per_s), age_ms, seed));
                println!(
                    "{per_s} {age_ms} {policy:?} {}",
                    common::uneven::summary(outcomes)
                );
            }
        }
    }
}

/// Guards against an engine that loses half of its streams and counts as sound, and against a crash,
/// which loses all calls at once, that counts as such a failure.
#[test]
fn lost_calls_count_once_the_target_answers_again() {
    let models: &[(&str, &[&str])] = &[("m", &[])];
    let lost = AttemptOutcome::Lost {
        broken: true,
        started: true,
    };
    let rate_after = |outcomes: &[AttemptOutcome]| {
        let mut host = TestHost::new(&["m"], vec![record("e1", "a", models)]);
        for (number, outcome) in outcomes.iter().enumerate() {
            let now = ms(1_000 + number as u64 * 10);
            let (key, _) = host.stream("m", now);
            host.end(key, *outcome, now);
        }
        let state = host.state.targets.get(&TargetName::new("e1"));
        state.expect("the target is known").failure_rate(ms(1_100))
    };
    let answered = AttemptOutcome::Answered { status: 200 };
    assert!(rate_after(&[answered, lost, answered, lost, answered]) > 0.2);
    assert!(rate_after(&[answered, lost, lost, lost, lost]) <= 0.0);
}
