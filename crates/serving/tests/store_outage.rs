//! Calls of many hosts to a store that is unavailable.

use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Number of calls that one host makes during an outage of the length `outage`, and the time from
/// the end of the outage to the next call.
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

/// Guards against a store that all hosts call several times a second during an outage.
#[test]
fn outage_costs_few_calls() {
    let (calls, _) = calls_in(ClockTime::from_secs(10));
    assert!(
        calls <= 12,
        "{calls} calls in an outage of 10 s, at most 12 expected"
    );
}

/// Guards against hosts that do not call the store soon after an outage: changes must be known 3 s
/// after its end.
#[test]
fn end_of_outage_is_detected_in_time() {
    for ms in (0..20_000).step_by(130) {
        let (_, delay) = calls_in(ClockTime::from_ms(ms));
        assert!(
            delay <= ClockTime::from_ms(1_000),
            "first call {delay} after the end of an outage of {ms} ms"
        );
    }
}

/// Guards against a delay of a second after a single lost answer.
#[test]
fn single_failure_is_repeated_soon() {
    let mut backoff = CallBackoff::default();
    for _ in 0..5 {
        assert!(backoff.next_delay() <= ClockTime::from_ms(250));
        backoff.reset();
    }
}
