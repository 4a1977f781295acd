//! The pace that targets report: how long work takes on their machines at the moment.

mod common;

use common::{ms, record, route, sent_to, TestHost};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Calls of one test.
const CALLS: usize = 200;

/// Returns how many of the calls at `now` the target `e1` gets, which reported `paces` at the given
/// times; the other target, `e2`, is as loaded and reports a usual pace.
fn calls_at_first(paces: &[(u64, Option<u32>)], now: ClockTime) -> usize {
    let models: &[(&str, &[&str])] = &[("m", &[])];
    let targets = vec![record("e1", "a", models), record("e2", "a", models)];
    let mut host = TestHost::new(&["m"], targets);
    for (at, pace) in paces {
        for (name, pace) in [("e1", *pace), ("e2", pace.map(|_| 100))] {
            let load = TargetLoad {
                running: 3,
                waiting: 0,
                slots: common::SLOTS,
                pace,
            };
            let target = TargetName::new(name);
            host.state
                .reduce(ServingEvent::Load { target, load }, ms(*at));
        }
    }
    let mut first = 0;
    for _ in 0..CALLS {
        let (key, effects) = host.stream("m", now);
        first += usize::from(sent_to(&effects) == ["e1"]);
        host.state.reduce(ServingEvent::CallerLeft { key }, now);
    }
    first
}

/// Guards against sending as many calls to a slow target as to an equally loaded usual one.
#[test]
fn slow_target_gets_few_calls() {
    let slow = calls_at_first(&[(1_000, Some(300))], ms(1_010));
    assert!(slow < CALLS / 10, "{slow} of {CALLS} calls");
}

/// Guards against following a pace that is long over.
#[test]
fn old_pace_is_forgotten() {
    let now = ms(30_000);
    let slow = calls_at_first(&[(1_000, Some(300))], now);
    let usual = calls_at_first(&[(1_000, Some(100))], now);
    assert!(
        usual.abs_diff(slow) <= CALLS / 50,
        "{slow} of {CALLS} calls, {usual} with a usual pace"
    );
}

/// Guards against a target that is slow on average and gets as many calls as others once its last
/// report is half a second old.
#[test]
fn target_that_is_slow_on_average_gets_fewer_calls() {
    let paces: Vec<(u64, Option<u32>)> = (0..30).map(|step| (step * 100, Some(300))).collect();
    let slow = calls_at_first(&paces, ms(3_500));
    assert!(slow < CALLS / 4, "{slow} of {CALLS} calls");
}

/// Guards against a single report, which may be wrong, that closes a target or draws all calls.
#[test]
fn absurd_pace_is_bounded() {
    let slow = calls_at_first(&[(0, Some(60_000))], ms(10_000));
    assert!(slow > 0, "no call 10 s after a report");
    let fast = calls_at_first(&[(0, Some(1))], ms(2_000));
    assert!(fast < CALLS, "all calls 2 s after a report");
}

/// Guards against other choices where targets do not report their pace: the same calls go to the
/// same targets as with the usual pace.
#[test]
fn usual_pace_changes_nothing() {
    let with = calls_at_first(&[(1_000, Some(100))], ms(1_010));
    let without = calls_at_first(&[(1_000, None)], ms(1_010));
    assert_eq!(with, without);
}

/// Guards against plain calls of many hosts that are spread evenly over unequal machines.
#[test]
fn plain_calls_follow_the_pace_with_many_hosts() {
    let targets = vec![record("t1", "a", &[]), record("t2", "a", &[])];
    let mut host = TestHost::new(&["m"], targets);
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(72)), ms(900));
    let load = TargetLoad {
        running: 2,
        waiting: 0,
        slots: common::SLOTS,
        pace: Some(400),
    };
    let target = TargetName::new("t1");
    host.state
        .reduce(ServingEvent::Load { target, load }, ms(1_000));
    let mut slow = 0;
    for _ in 0..CALLS {
        let (key, effects) = host.plain_call(route(CallKind::Idempotent, 2), ms(1_010));
        slow += usize::from(sent_to(&effects) == ["t1"]);
        host.state
            .reduce(ServingEvent::CallerLeft { key }, ms(1_010));
    }
    assert!(
        (1..CALLS / 3).contains(&slow),
        "{slow} of {CALLS} calls to a target that takes four times as long"
    );
}
