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
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(2_000));
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

/// All other hosts tell how many requests they have in progress; the first `busy` have one.
fn hear_peers(host: &mut TestHost, busy: usize, now: ClockTime) {
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), now);
    for number in 1..HOSTS {
        let count = u16::from(number <= busy);
        let target = ["t1", "t2", "t3"][number % 3];
        host.hear_load(&format!("peer-{number}"), &[(target, count)], now);
    }
}

/// Sends `count` calls to a host; returns how many it sends on at once.
fn sent_at_once(host: &mut TestHost, count: usize) -> usize {
    let plain = route(CallKind::NonIdempotent, 1);
    (0..count)
        .map(|_| host.plain(plain.clone(), ms(2_000)).1)
        .filter(|effects| !sent_to(effects).is_empty())
        .count()
}

/// Targets of the first call of each host, which know of `others` more calls at t2 and t3.
fn first_choices(hosts: usize, count: usize, others: u16) -> Vec<String> {
    let choice = |number: usize| {
        let mut host = TestHost::new(&["m"], desk());
        if hosts == HOSTS {
            hear_peers(&mut host, 0, ms(2_000));
        } else {
            host.state
                .reduce(ServingEvent::Hosts(HostShare::equal(hosts)), ms(2_000));
        }
        host.hear_load("peer-1", &[("t2", others), ("t3", others)], ms(2_000));
        let plain = route(CallKind::NonIdempotent, 1);
        let (_, effects) = host.plain_named(&format!("call-{number}"), plain, ms(2_000));
        sent_to(&effects)
    };
    (0..count).flat_map(choice).collect()
}

fn count_of(choices: &[String], target: &str) -> usize {
    choices.iter().filter(|choice| *choice == target).count()
}

/// Guards against calls that wait at a host to which many callers keep, while other hosts leave
/// most places unused.
#[test]
fn busy_host_uses_places_that_others_leave() {
    let mut host = TestHost::new(&["m"], desk());
    hear_peers(&mut host, 6, ms(2_000));
    let plain = route(CallKind::NonIdempotent, 1);
    for number in 0..4 {
        let (_, effects) = host.plain(plain.clone(), ms(2_000));
        assert_eq!(sent_to(&effects).len(), 1, "call {number}: 18 of 24 unused");
    }
}

/// Guards against filling the last places from many hosts at once, which know of each other late.
#[test]
fn busy_host_takes_only_a_part_of_the_unused_places() {
    let mut host = TestHost::new(&["m"], desk());
    hear_peers(&mut host, 6, ms(2_000));
    let sent = sent_at_once(&mut host, 18);
    assert!(sent <= 9, "{sent} sent, half of the unused places");
}

/// Guards against going beyond the share while the other hosts use all places.
#[test]
fn share_holds_while_all_places_are_used() {
    let mut host = TestHost::new(&["m"], desk());
    hear_peers(&mut host, 24, ms(2_000));
    let sent = sent_at_once(&mut host, 4);
    assert!(sent <= 1, "{sent} sent");
}

/// Guards against waiting calls although the hosts are few and places are free.
#[test]
fn few_hosts_use_all_places() {
    let mut host = TestHost::new(&["m"], desk());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(2)), ms(2_000));
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
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(2_000));
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
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(1_000));
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

/// Guards against many hosts that send to the same target, since all know its load with the same
/// delay, while the other targets run dry.
#[test]
fn hosts_with_the_same_news_spread_their_calls() {
    let choices = first_choices(HOSTS, HOSTS, 2);
    assert_eq!(choices.len(), HOSTS);
    let counts = ["t1", "t2", "t3"].map(|target| count_of(&choices, target));
    let most = counts.into_iter().max().unwrap_or_default();
    assert!(most <= HOSTS * 3 / 4, "{counts:?}: t1 has two calls less");
}

/// Guards against ignoring loads in a small system, where news is fresh.
#[test]
fn few_hosts_prefer_targets_with_fewer_calls() {
    const CALLS: usize = 100;
    let first = count_of(&first_choices(9, CALLS, 7), "t1");
    assert!(
        first >= CALLS * 3 / 4,
        "{first} of {CALLS} to the idle target"
    );
}

/// Guards against a target that takes most calls of many hosts because old news shows it as idle.
#[test]
fn many_hosts_hardly_follow_old_loads() {
    let first = count_of(&first_choices(HOSTS, HOSTS, 7), "t1");
    assert!(
        first <= HOSTS / 2,
        "{first} of {HOSTS} calls to one of three targets"
    );
}
