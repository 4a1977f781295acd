//! Load pattern: many hosts get more calls for a plain service than its few slots can run.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Number of hosts in the system.
const HOSTS: usize = 66;

/// The three targets of the plain service, with 24 slots together.
fn plain_targets() -> Vec<TargetRecord> {
    let names = ["t1", "t2", "t3"];
    names.iter().map(|name| record(name, "a", &[])).collect()
}

/// Guards against full queues at the targets because each of many hosts sends all its calls.
#[test]
fn host_keeps_to_its_share_of_the_slots() {
    let mut host = TestHost::new(&["m"], plain_targets());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(2_000));
    let plain_route = route(CallKind::NonIdempotent, 1);
    let (first, effects) = host.plain_call(plain_route.clone(), ms(2_000));
    assert_eq!(sent_to(&effects).len(), 1);
    let (_, effects) = host.plain_call(plain_route.clone(), ms(2_001));
    assert!(
        effects.is_empty(),
        "24 slots for 66 hosts allow one call each: {effects:?}"
    );
    let effects = host.end(first, AttemptOutcome::Answered { status: 200 }, ms(2_060));
    assert_eq!(sent_to(&effects).len(), 1, "the waiting call is sent next");
}

/// Applies reports of all other hosts: the first `busy` hosts have one request in progress, the
/// others none.
fn report_peers(host: &mut TestHost, busy: usize, now: ClockTime) {
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), now);
    for number in 1..HOSTS {
        let count = u16::from(number <= busy);
        let target = ["t1", "t2", "t3"][number % 3];
        host.report_load(&format!("peer-{number}"), &[(target, count)], now);
    }
}

/// Lets `count` calls arrive at a host; returns how many of them it sends at once.
fn sent_at_once(host: &mut TestHost, count: usize) -> usize {
    let plain_route = route(CallKind::NonIdempotent, 1);
    (0..count)
        .map(|_| host.plain_call(plain_route.clone(), ms(2_000)).1)
        .filter(|effects| !sent_to(effects).is_empty())
        .count()
}

/// Targets of the first call at each of `count` hosts in a system of `hosts` hosts. Each host knows
/// of `others` calls of another host at t2 and as many at t3.
fn first_choices(hosts: usize, count: usize, others: u16) -> Vec<String> {
    let choice = |number: usize| {
        let mut host = TestHost::new(&["m"], plain_targets());
        if hosts == HOSTS {
            report_peers(&mut host, 0, ms(2_000));
        } else {
            host.state
                .reduce(ServingEvent::Hosts(HostShare::equal(hosts)), ms(2_000));
        }
        host.report_load("peer-1", &[("t2", others), ("t3", others)], ms(2_000));
        let plain_route = route(CallKind::NonIdempotent, 1);
        let (_, effects) = host.plain_call_named(&format!("call-{number}"), plain_route, ms(2_000));
        sent_to(&effects)
    };
    (0..count).flat_map(choice).collect()
}

/// Number of choices that are `target`.
fn count_of(choices: &[String], target: &str) -> usize {
    choices.iter().filter(|choice| *choice == target).count()
}

/// Guards against calls that wait at a host with many callers while the other hosts leave most
/// slots unused.
#[test]
fn busy_host_uses_slots_that_others_leave() {
    let mut host = TestHost::new(&["m"], plain_targets());
    report_peers(&mut host, 6, ms(2_000));
    let plain_route = route(CallKind::NonIdempotent, 1);
    for number in 0..4 {
        let (_, effects) = host.plain_call(plain_route.clone(), ms(2_000));
        assert_eq!(
            sent_to(&effects).len(),
            1,
            "call {number} waits although 18 of 24 slots are unused"
        );
    }
}

/// Guards against many hosts that fill the last slots at once, since they know of each other's
/// calls with a delay.
#[test]
fn busy_host_takes_only_a_part_of_the_unused_slots() {
    let mut host = TestHost::new(&["m"], plain_targets());
    report_peers(&mut host, 6, ms(2_000));
    let sent = sent_at_once(&mut host, 18);
    assert!(
        sent <= 9,
        "{sent} calls sent; at most 9, half of the unused slots, expected"
    );
}

/// Guards against going beyond the share while the other hosts use all slots.
#[test]
fn share_holds_while_all_slots_are_used() {
    let mut host = TestHost::new(&["m"], plain_targets());
    report_peers(&mut host, 24, ms(2_000));
    let sent = sent_at_once(&mut host, 4);
    assert!(
        sent <= 1,
        "{sent} calls sent; at most the share of 1 expected"
    );
}

/// Guards against calls that wait although the hosts are few and slots are free.
#[test]
fn few_hosts_use_all_slots() {
    let mut host = TestHost::new(&["m"], plain_targets());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(2)), ms(2_000));
    let plain_route = route(CallKind::NonIdempotent, 1);
    for _ in 0..12 {
        let (_, effects) = host.plain_call(plain_route.clone(), ms(2_000));
        assert_eq!(
            sent_to(&effects).len(),
            1,
            "a host of two may use half of 24 slots"
        );
    }
}

/// Guards against a new call that overtakes one that waits.
#[test]
fn waiting_calls_go_before_new_ones() {
    let mut host = TestHost::new(&["m"], plain_targets());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(2_000));
    let plain_route = route(CallKind::NonIdempotent, 1);
    let (first, _) = host.plain_call(plain_route.clone(), ms(2_000));
    let (second, _) = host.plain_call(plain_route.clone(), ms(2_001));
    let effects = host.end(first, AttemptOutcome::Answered { status: 200 }, ms(2_060));
    assert!(matches!(&effects[..], [ServingEffect::Send(plan)] if plan.key == second));
}

/// Guards against serving calls that will be late anyway while others can still be in time.
#[test]
fn call_that_can_still_be_in_time_goes_first() {
    let mut host = TestHost::new(&["m"], plain_targets());
    host.state
        .reduce(ServingEvent::Hosts(HostShare::equal(HOSTS)), ms(1_000));
    let plain_route = route(CallKind::NonIdempotent, 1);
    // Runs take 200 ms of the 300 ms in which an answer is in time.
    let mut now = ms(1_000);
    for _ in 0..60 {
        let (key, _) = host.plain_call(plain_route.clone(), now);
        now += ms(200);
        host.end(key, AttemptOutcome::Answered { status: 200 }, now);
    }
    let (running, _) = host.plain_call(plain_route.clone(), now);
    host.plain_call(plain_route.clone(), now);
    let (younger, _) = host.plain_call(plain_route.clone(), now + ms(150));
    let effects = host.end(
        running,
        AttemptOutcome::Answered { status: 200 },
        now + ms(200),
    );
    assert!(
        matches!(&effects[..], [ServingEffect::Send(plan)] if plan.key == younger),
        "the older call has 100 ms left but takes 200 ms: {effects:?}"
    );
}

/// Guards against many hosts that send to the same target, since all know the loads with the same
/// delay, while the other targets run out of work.
#[test]
fn hosts_with_the_same_loads_spread_their_calls() {
    let choices = first_choices(HOSTS, HOSTS, 2);
    assert_eq!(choices.len(), HOSTS);
    let counts = ["t1", "t2", "t3"].map(|target| count_of(&choices, target));
    let most = counts.into_iter().max().unwrap_or_default();
    assert!(
        most <= HOSTS * 3 / 4,
        "most calls went to t1, which has only two calls less: {counts:?}"
    );
}

/// Guards against ignoring loads in a small system, where reports are recent.
#[test]
fn few_hosts_prefer_targets_with_fewer_calls() {
    const CALLS: usize = 100;
    let first = count_of(&first_choices(9, CALLS, 7), "t1");
    assert!(
        first >= CALLS * 3 / 4,
        "only {first} of {CALLS} calls to the idle target"
    );
}

/// Guards against a target that gets most calls of many hosts because old reports show it as idle.
#[test]
fn many_hosts_hardly_follow_old_loads() {
    let first = count_of(&first_choices(HOSTS, HOSTS, 7), "t1");
    assert!(
        first <= HOSTS / 2,
        "{first} of {HOSTS} calls to one of three targets"
    );
}
