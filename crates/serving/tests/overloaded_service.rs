//! Load pattern: a plain service with few places gets more calls than it can run, from many hosts.

mod common;

use common::*;
use crocusyard_base::prelude::*;
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
