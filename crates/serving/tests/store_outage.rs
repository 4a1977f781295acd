//! Calls of many hosts to a store that is away.

use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Calls of one host in an outage of `outage`, and the time from its end to the next call.
fn calls_in(outage: ClockTime) -> (u32, ClockTime) {
    let mut backoff = CallBackoff::default();
    let mut now = ClockTime::ZERO;
    let mut calls = 0;
    while now < outage {
        calls += 1;
        now += backoff.next_delay();
    }
    (calls, now.since(outage))
}

/// Guards against a store that all hosts call several times a second while it is away.
#[test]
fn outage_costs_few_calls() {
    let (calls, _) = calls_in(ClockTime::from_secs(10));
    assert!(calls <= 12, "{calls} calls in 10 s");
}

/// Guards against a store that is back and not called: changes must be known 3 s after its return.
#[test]
fn return_is_noticed_in_time() {
    for ms in (0..20_000).step_by(130) {
        let (_, late) = calls_in(ClockTime::from_ms(ms));
        assert!(late <= ClockTime::from_ms(1_000), "{late} after {ms} ms");
    }
}

/// Guards against a single lost answer that delays a change by a second.
#[test]
fn single_failure_is_repeated_soon() {
    let mut backoff = CallBackoff::default();
    for _ in 0..5 {
        assert!(backoff.next_delay() <= ClockTime::from_ms(250));
        backoff.reset();
    }
}
