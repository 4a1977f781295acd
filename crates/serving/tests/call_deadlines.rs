//! Load pattern: more calls arrive than can be answered before callers stop waiting.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Outcome of an attempt that may have run without an answer.
fn lost(broken: bool) -> AttemptOutcome {
    AttemptOutcome::Lost {
        broken,
        started: false,
    }
}

/// Guards against holding a stream whose model will be loaded only after its caller has left.
#[test]
fn stream_for_an_absent_model_is_refused_at_once() {
    let mut host = TestHost::new(&["m", "n"], vec![record("t1", "a", &[("n", &[])])]);
    let (_, effects) = host.stream("m", ms(5_000));
    let refusals = refusals(&effects);
    assert_eq!(refusals.len(), 1, "one refusal expected: {effects:?}");
    assert_eq!(refusals[0].reason, RefusalReason::ModelAbsent);
    assert!(refusals[0].retry_after >= LOAD_TIME.min(ms(5_000)));
    let is_requested = effects
        .iter()
        .any(|effect| matches!(effect, ServingEffect::RequestCopy { .. }));
    assert!(
        is_requested,
        "no copy of the model was requested: {effects:?}"
    );
}

/// Guards against refusing a caller that tries again when the load is almost done.
#[test]
fn stream_waits_for_a_load_that_is_almost_done() {
    let mut host = TestHost::new(&["m", "n"], vec![record("t1", "a", &[("n", &[])])]);
    host.stream("m", ms(5_000));
    let (_, effects) = host.stream("m", ms(9_000));
    assert!(
        refusals(&effects).is_empty(),
        "no refusal expected: {effects:?}"
    );
    let event = ServingEvent::Holdings {
        target: TargetName::new("t1"),
        incarnation: 1,
        models: held(&[("m", &[]), ("n", &[])]),
    };
    let effects = host.state.reduce(event, ms(10_000));
    assert_eq!(sent_to(&effects), ["t1"]);
}

/// Guards against a refusal, which promises that nothing has run, after an attempt that may have
/// run.
#[test]
fn call_that_may_have_run_is_never_refused() {
    let targets = vec![record("t1", "a", &[("m", &[])])];
    let mut host = TestHost::new(&["m"], targets);
    let (key, _) = host.call(route(CallKind::Idempotent, 3), "m", ms(2_000));
    let effects = host.end(key, lost(true), ms(2_100));
    assert!(
        refusals(&effects).is_empty(),
        "no refusal expected: {effects:?}"
    );
    assert!(effects.contains(&ServingEffect::Fail {
        key,
        expired: false
    }));
}

/// Guards against running a call twice that may run only once.
#[test]
fn lost_call_that_may_not_repeat_is_not_sent_again() {
    let targets = vec![
        record("t1", "a", &[("m", &[])]),
        record("t2", "a", &[("m", &[])]),
    ];
    for kind in [
        CallKind::NonIdempotent,
        CallKind::Stream { resumable: false },
    ] {
        let mut host = TestHost::new(&["m"], targets.clone());
        let (key, effects) = host.call(route(kind, 3), "m", ms(2_000));
        assert_eq!(sent_to(&effects).len(), 1);
        let effects = host.end(key, lost(true), ms(2_100));
        assert!(
            sent_to(&effects).is_empty(),
            "no send expected for {kind:?}: {effects:?}"
        );
        assert!(
            refusals(&effects).is_empty(),
            "no refusal expected for {kind:?}: {effects:?}"
        );
    }
}

/// Guards against giving up a call that may run again while another target can answer it.
#[test]
fn lost_repeatable_call_goes_to_another_target() {
    let targets = vec![
        record("t1", "a", &[("m", &[])]),
        record("t2", "a", &[("m", &[])]),
    ];
    let mut host = TestHost::new(&["m"], targets);
    let (key, first) = host.call(route(CallKind::Idempotent, 2), "m", ms(2_000));
    let second = host.end(key, lost(false), ms(2_100));
    assert_eq!(sent_to(&second).len(), 1);
    assert_ne!(sent_to(&first), sent_to(&second));
    let third = host.end(key, lost(false), ms(2_200));
    assert!(
        sent_to(&third).is_empty(),
        "a third attempt was made where two are allowed"
    );
}

/// Guards against waiting calls that end without an answer when their host stops.
#[test]
fn waiting_calls_are_sent_elsewhere_at_stop() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    for _ in 0..SLOTS {
        host.stream("m", ms(2_000));
    }
    let (key, effects) = host.stream("m", ms(2_000));
    assert!(effects.is_empty(), "the call does not wait: {effects:?}");
    let effects = host.state.reduce(ServingEvent::Stop, ms(2_050));
    let refusals = refusals(&effects);
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].key, key);
    assert_eq!(refusals[0].reason, RefusalReason::Stopping);
}

/// Guards against late calls that take the slots of calls that can still be in time.
#[test]
fn calls_in_time_go_before_late_ones() {
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    let running: Vec<RequestKey> = (0..SLOTS).map(|_| host.stream("m", ms(2_000)).0).collect();
    host.stream("m", ms(2_000));
    let (younger, _) = host.stream("m", ms(2_500));
    let effects = host.end(
        running[0],
        AttemptOutcome::Answered { status: 200 },
        ms(2_600),
    );
    let keys: Vec<RequestKey> = effects
        .iter()
        .filter_map(|effect| match effect {
            ServingEffect::Send(plan) => Some(plan.key),
            _ => None,
        })
        .collect();
    assert_eq!(
        keys,
        [younger],
        "the older call has exceeded its latency objective of 300 ms"
    );
}

/// Guards against more retries than the platform allows over all hosts.
#[test]
fn retries_keep_to_the_budget_of_a_host() {
    let limits = RetryLimits {
        ratio: 0.2,
        slack: 58.0,
        window: ms(10_000),
    };
    let mut budget = RetryBudget::new(limits);
    let fraction = 1.0 / 9.0;
    for _ in 0..100 {
        budget.count_request(&service(), ms(1_000));
    }
    let mut taken = 0;
    while budget.try_take(&service(), fraction, ms(1_000)) {
        taken += 1;
    }
    let allowed = 0.2 * 100.0 + 58.0 * fraction;
    assert!(
        f64::from(taken) <= allowed,
        "{taken} retries taken, {allowed} allowed"
    );
    assert!(taken > 0);
}
