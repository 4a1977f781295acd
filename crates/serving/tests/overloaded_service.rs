//! Load pattern: a plain service with few places gets more calls than it can run, from many hosts.

mod common;

use common::*;
use crocusyard_serving::prelude::*;

const HOSTS: usize = 66;

fn desk() -> Vec<TargetRecord> {
    let names = ["t1", "t2", "t3"];
    names.iter().map(|name| record(name, "a", &[])).collect()
}

/// Guards against a desk whose queues are full because each of many hosts sends what it has.
#[test]
fn host_keeps_to_its_share_of_the_places() {
    let mut host = TestHost::new(&["m"], desk());
    host.state.reduce(ServingEvent::Hosts(HOSTS), ms(2_000));
    let plain = route(CallKind::NonIdempotent, 1);
    let (first, effects) = host.plain(plain.clone(), ms(2_000));
    assert_eq!(sent_to(&effects).len(), 1);
    let (_, effects) = host.plain(plain.clone(), ms(2_001));
    assert!(
        effects.is_empty(),
        "24 places for 66 hosts: one each; {effects:?}"
    );
    let effects = host.end(first, AttemptOutcome::Answered { status: 200 }, ms(2_060));
    assert_eq!(sent_to(&effects).len(), 1, "the waiting call follows");
}

/// Guards against waiting calls although the hosts are few and places are free.
#[test]
fn few_hosts_use_all_places() {
    let mut host = TestHost::new(&["m"], desk());
    host.state.reduce(ServingEvent::Hosts(2), ms(2_000));
    let plain = route(CallKind::NonIdempotent, 1);
    for _ in 0..12 {
        let (_, effects) = host.plain(plain.clone(), ms(2_000));
        assert_eq!(sent_to(&effects).len(), 1, "half of 24 places");
    }
}

/// Guards against a call that overtakes one which has waited for longer.
#[test]
fn waiting_calls_go_before_new_ones() {
    let mut host = TestHost::new(&["m"], desk());
    host.state.reduce(ServingEvent::Hosts(HOSTS), ms(2_000));
    let plain = route(CallKind::NonIdempotent, 1);
    let (first, _) = host.plain(plain.clone(), ms(2_000));
    let (second, _) = host.plain(plain.clone(), ms(2_001));
    let effects = host.end(first, AttemptOutcome::Answered { status: 200 }, ms(2_060));
    assert!(matches!(&effects[..], [ServingEffect::Send(plan)] if plan.key == second));
}

/// Guards against serving calls that will be late anyway while others could still be in time.
#[test]
fn call_that_can_still_be_in_time_goes_first() {
    let mut host = TestHost::new(&["m"], desk());
    host.state.reduce(ServingEvent::Hosts(HOSTS), ms(1_000));
    let plain = route(CallKind::NonIdempotent, 1);
    // Runs take 200 ms of the 300 ms in which an answer is in time.
    let mut now = ms(1_000);
    for _ in 0..60 {
        let (key, _) = host.plain(plain.clone(), now);
        now += ms(200);
        host.end(key, AttemptOutcome::Answered { status: 200 }, now);
    }
    let (running, _) = host.plain(plain.clone(), now);
    host.plain(plain.clone(), now);
    let (young, _) = host.plain(plain.clone(), now + ms(150));
    let effects = host.end(
        running,
        AttemptOutcome::Answered { status: 200 },
        now + ms(200),
    );
    assert!(
        matches!(&effects[..], [ServingEffect::Send(plan)] if plan.key == young),
        "the older one has 100 ms left of the 200 that it takes: {effects:?}"
    );
}
