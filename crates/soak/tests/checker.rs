//! Tests of each check with a history that breaks its promise.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::{answer_text, event_text, AnswerFacts, EVENT_COUNT};
use crocusyard_soak::prelude::*;
use hyper::StatusCode;

fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

fn facts(status: u16, seal: Option<&str>) -> AnswerFacts {
    AnswerFacts {
        status: StatusCode::from_u16(status).expect("the status is valid"),
        id: seal.map(|_| "c0-0".to_owned()),
        seal: seal.map(str::to_owned),
        refused: matches!(status, 408 | 421 | 429 | 503),
    }
}

fn answered(body: &str) -> CallOutcome {
    let body = Bytes::from(body.to_owned());
    CallOutcome::Answered(facts(200, Some("i-0")), body)
}

fn own_answer(status: u16) -> CallOutcome {
    CallOutcome::Answered(facts(status, None), Bytes::new())
}

fn call(kind: CallKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: "c0-0".to_owned(),
        kind,
        path: "/p".to_owned(),
        key: None,
        host: 0,
        reused: true,
        timeout_ms: 2_500,
        started: ms(10_000),
        ended: ms(10_050),
        outcome,
    }
}

fn arrival(target: &str, at: u64) -> ArrivalRecord {
    ArrivalRecord {
        id: "c0-0".to_owned(),
        target: target.to_owned(),
        path: "/p".to_owned(),
        body_unchanged: true,
        tenants: Vec::new(),
        key_count: 0,
        timeout_ms: Some(1_500),
        executed: true,
        pause: None,
        at: ms(at),
        ended: Some(ms(at + 10)),
    }
}

fn target(place: usize, service: &'static str) -> TargetLifetime {
    TargetLifetime {
        name: format!("i-{place}"),
        place,
        service,
        leaving_since: None,
    }
}

fn history_of(calls: Vec<CallRecord>, arrivals: Vec<ArrivalRecord>) -> RunHistory {
    RunHistory {
        calls,
        arrivals,
        targets: vec![
            target(0, "s"),
            target(1, "s"),
            target(2, "t"),
            target(3, "s"),
        ],
        versions: vec![RouteVersion {
            at: ms(0),
            service: "s",
        }],
        faults_ended: ms(100_000),
        ..RunHistory::default()
    }
}

fn violated(history: &RunHistory) -> Vec<PromiseKind> {
    check_history(history)
        .into_iter()
        .map(|violation| violation.kind)
        .collect()
}

/// Returns a history of `count` copies of a call and its arrivals, each with an identifier of its
/// own.
fn repeated(count: usize, call: &CallRecord, arrivals: &[ArrivalRecord]) -> RunHistory {
    let mut history = history_of(Vec::new(), Vec::new());
    for number in 0..count {
        let id = format!("c{number}-0");
        history.calls.push(CallRecord {
            id: id.clone(),
            ..call.clone()
        });
        for arrival in arrivals {
            history.arrivals.push(ArrivalRecord {
                id: id.clone(),
                ..arrival.clone()
            });
        }
    }
    history
}

/// Guards against checks that report calls that were served as promised.
#[test]
fn good_calls_have_no_violations() {
    let body = answer_text("i-0", "c0-0");
    for kind in [CallKind::Once, CallKind::Repeatable] {
        let history = history_of(
            vec![call(kind, answered(&body))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(violated(&history), []);
    }
    let events: String = (1..=EVENT_COUNT).map(|n| event_text("c0-0", n)).collect();
    let history = history_of(
        vec![call(CallKind::Stream, answered(&events))],
        vec![arrival("i-0", 10_010)],
    );
    assert_eq!(violated(&history), []);
}

/// Guards against accepting answers to other requests, cut answers and those without a proper seal.
#[test]
fn foreign_answers_are_reported() {
    let whole = answer_text("i-0", "c0-0");
    let other = answer_text("i-0", "c1-0");
    for outcome in [
        answered(&other),
        answered(&whole[1..]),
        CallOutcome::Answered(facts(200, None), Bytes::from(whole.clone())),
        CallOutcome::Answered(facts(200, Some("i-1")), Bytes::from(whole.clone())),
    ] {
        let history = history_of(
            vec![call(CallKind::Repeatable, outcome)],
            vec![arrival("i-0", 10_010)],
        );
        assert!(violated(&history).contains(&PromiseKind::WholeAnswer));
    }
}

/// Guards against accepting streams with missing, repeated or unsent events as complete.
#[test]
fn broken_streams_are_reported() {
    let event = |number| event_text("c0-0", number);
    let events: String = (1..=EVENT_COUNT).map(event).collect();
    let short: String = (1..EVENT_COUNT).map(event).collect();
    let doubled = format!("{}{}", event(1), events);
    let gap: String = (2..=EVENT_COUNT).map(event).collect();
    for body in [short, doubled, gap] {
        let history = history_of(
            vec![call(CallKind::Stream, answered(&body))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(violated(&history), [PromiseKind::EventOrder], "{body}");
    }
    // A stream that broke off need only begin with the expected events.
    let cut = CallOutcome::Broken(facts(200, Some("i-0")), Bytes::from(event(1)));
    let mut cut_call = call(CallKind::Stream, cut);
    cut_call.reused = false;
    let history = history_of(vec![cut_call], vec![arrival("i-0", 10_010)]);
    assert_eq!(violated(&history), []);
}

/// Guards against overlooking second runs and runs of refused calls.
#[test]
fn second_and_refused_runs_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let arrivals = vec![arrival("i-1", 10_005), arrival("i-0", 10_010)];
    let history = history_of(
        vec![call(CallKind::Once, answered(&body))],
        arrivals.clone(),
    );
    assert_eq!(violated(&history), [PromiseKind::RunsOnce]);
    let history = history_of(vec![call(CallKind::Repeatable, answered(&body))], arrivals);
    assert_eq!(violated(&history), []);
    for status in [408, 421, 429, 503] {
        let history = history_of(
            vec![call(CallKind::Once, own_answer(status))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(violated(&history), [PromiseKind::RefusedNotRun]);
    }
}

/// Guards against overlooking valid requests that are rejected.
#[test]
fn denials_are_reported() {
    for status in [301, 400, 404, 413, 431] {
        let history = history_of(vec![call(CallKind::Once, own_answer(status))], Vec::new());
        assert_eq!(violated(&history), [PromiseKind::NotDenied]);
    }
    let history = history_of(vec![call(CallKind::Once, own_answer(503))], Vec::new());
    assert_eq!(violated(&history), []);
}

/// Guards against overlooking requests that no caller sent, or that arrive changed.
#[test]
fn changed_requests_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let mut unknown = arrival("i-0", 10_010);
    unknown.id = "x".to_owned();
    let mut moved = arrival("i-0", 10_010);
    moved.path = "/q".to_owned();
    let mut rewritten = arrival("i-0", 10_010);
    rewritten.body_unchanged = false;
    for changed in [unknown, moved, rewritten] {
        let history = history_of(
            vec![call(CallKind::Repeatable, answered(&body))],
            vec![arrival("i-0", 10_005), changed],
        );
        assert_eq!(violated(&history), [PromiseKind::UnchangedRequest]);
    }
}

/// Guards against overlooking runs at a service that no version names or only an outdated one.
#[test]
fn runs_at_wrong_services_are_reported() {
    let outcome = CallOutcome::Answered(
        facts(200, Some("i-2")),
        Bytes::from(answer_text("i-2", "c0-0")),
    );
    let mut history = history_of(
        vec![call(CallKind::Repeatable, outcome.clone())],
        vec![arrival("i-2", 10_010)],
    );
    assert_eq!(violated(&history), [PromiseKind::AllowedService]);
    history.versions[0].service = "t";
    assert_eq!(violated(&history), []);
    let newer = RouteVersion {
        at: ms(9_000),
        service: "s",
    };
    history.versions.push(newer);
    assert_eq!(
        violated(&history),
        [],
        "hosts may take 2 s to apply the newer version"
    );
    history.versions[1].at = ms(7_900);
    assert_eq!(violated(&history), [PromiseKind::NewRoutes]);
    history.disruptions.push(disruption(SoakPart::Store, 7_000));
    assert_eq!(violated(&history), [], "the store was disturbed");
    let once = history_of(
        vec![call(CallKind::Once, outcome)],
        vec![arrival("i-2", 10_010)],
    );
    assert_eq!(violated(&once), [PromiseKind::AllowedService]);
}

fn disruption(part: SoakPart, from: u64) -> Disruption {
    Disruption {
        part,
        planned: false,
        from: ms(from),
        to: Some(ms(from + 100)),
    }
}

/// Guards against reports of requests that the connection to the target held up: seed 920003, where
/// a connection that delivered nothing for 3 s released them after the target had left.
#[test]
fn requests_held_up_on_the_way_to_a_left_target_are_not_reported() {
    let body = answer_text("i-0", "c0-0");
    let mut history = history_of(
        vec![call(CallKind::Once, answered(&body))],
        vec![arrival("i-0", 10_010)],
    );
    history.targets[0].leaving_since = Some(ms(8_000));
    let others = [
        disruption(SoakPart::TargetLink(1), 9_000),
        disruption(SoakPart::TargetLink(0), 6_000),
        disruption(SoakPart::Target(0), 9_000),
    ];
    history.disruptions.extend(others);
    assert_eq!(violated(&history), [PromiseKind::LeavingTarget]);
    let held_up = disruption(SoakPart::TargetLink(0), 9_000);
    history.disruptions.push(held_up);
    assert_eq!(violated(&history), []);
}

/// Guards against overlooking requests at targets that left long ago.
#[test]
fn requests_at_left_targets_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let mut history = history_of(
        vec![call(CallKind::Once, answered(&body))],
        vec![arrival("i-0", 10_010)],
    );
    history.targets[0].leaving_since = Some(ms(8_500));
    assert_eq!(violated(&history), []);
    history.targets[0].leaving_since = Some(ms(8_000));
    assert_eq!(violated(&history), [PromiseKind::LeavingTarget]);
    let paused = disruption(SoakPart::Host(0), 6_000);
    history.disruptions.push(paused);
    assert_eq!(
        violated(&history),
        [],
        "the host was paused when the target left"
    );
}

/// Guards against overlooking more targets, retries or time than allowed.
#[test]
fn unbounded_repeats_are_reported() {
    let failed = call(CallKind::Repeatable, own_answer(502));
    let three = [
        arrival("i-0", 10_001),
        arrival("i-1", 10_010),
        arrival("i-3", 10_020),
    ];
    assert_eq!(violated(&repeated(3, &failed, &three)), []);
    assert_eq!(
        violated(&repeated(4, &failed, &three)),
        [PromiseKind::RepeatBudget]
    );
    // 72 calls allow 0.2 * 72 + 58 = 72.4 retries.
    let two = [arrival("i-0", 10_001), arrival("i-1", 10_010)];
    assert_eq!(violated(&repeated(72, &failed, &two)), []);
    assert_eq!(
        violated(&repeated(73, &failed, &two)),
        [PromiseKind::RepeatBudget]
    );
    let mut long = arrival("i-0", 10_001);
    long.timeout_ms = Some(3_001);
    assert_eq!(violated(&repeated(20, &failed, &[long.clone()])), []);
    assert_eq!(
        violated(&repeated(21, &failed, &[long])),
        [PromiseKind::RepeatBudget]
    );
}

/// Guards against overlooking targets that go on, or are reached, after the caller left.
#[test]
fn work_for_callers_that_left_is_reported() {
    let left = call(CallKind::Repeatable, CallOutcome::Left);
    let mut long = arrival("i-0", 10_010);
    long.ended = Some(ms(10_600));
    assert_eq!(violated(&repeated(3, &left, &[long.clone()])), []);
    let mut history = repeated(4, &left, &[long]);
    assert_eq!(violated(&history), [PromiseKind::CallerLeft]);
    for arrival in &mut history.arrivals {
        arrival.ended = Some(ms(10_500));
    }
    assert_eq!(violated(&history), []);
    let late = arrival("i-0", 10_600);
    assert!(violated(&repeated(4, &left, &[late])).contains(&PromiseKind::CallerLeft));
}

/// Guards against overlooking calls that get no answer at the timeout of their route.
#[test]
fn overdue_calls_are_reported() {
    let mut slow = call(CallKind::Once, CallOutcome::Unanswered);
    slow.ended = ms(12_500);
    assert_eq!(violated(&repeated(3, &slow, &[])), []);
    assert_eq!(violated(&repeated(4, &slow, &[])), [PromiseKind::Overdue]);
    slow.ended = ms(12_000);
    slow.outcome = own_answer(504);
    assert_eq!(violated(&repeated(4, &slow, &[])), []);
}

/// Guards against overlooking calls that reached a target and get no answer.
#[test]
fn lost_calls_are_reported() {
    let lost = call(CallKind::Once, CallOutcome::Lost);
    let passed = [arrival("i-0", 10_010)];
    assert_eq!(violated(&repeated(3, &lost, &passed)), []);
    let mut history = repeated(4, &lost, &passed);
    assert_eq!(violated(&history), [PromiseKind::NotLost]);
    history
        .disruptions
        .push(disruption(SoakPart::Target(0), 9_000));
    assert_eq!(violated(&history), [], "the target was disturbed");
    let mut late = call(CallKind::Stream, CallOutcome::Lost);
    late.ended = ms(14_900);
    assert_eq!(
        violated(&repeated(4, &late, &passed)),
        [PromiseKind::NotLost]
    );
    late.ended = ms(15_000);
    assert_eq!(
        violated(&repeated(4, &late, &passed)),
        [],
        "the timeout of its route has passed"
    );
}

/// Guards against overlooking calls that a planned stop cuts off.
#[test]
fn calls_cut_off_by_a_stop_are_reported() {
    let lost = call(CallKind::Once, CallOutcome::Lost);
    let mut history = history_of(vec![lost], vec![arrival("i-0", 10_010)]);
    let stop = Disruption {
        part: SoakPart::Host(0),
        planned: true,
        from: ms(9_900),
        to: None,
    };
    history.disruptions.push(stop);
    assert_eq!(violated(&history), [PromiseKind::NotLost]);
    history
        .disruptions
        .push(disruption(SoakPart::StoreLink(0), 9_000));
    assert_eq!(
        violated(&history),
        [],
        "an unplanned fault disturbed the host too"
    );
    history.disruptions.truncate(1);
    history.disruptions[0].from = ms(3_000);
    assert_eq!(violated(&history), [], "the stop time had passed");
}

/// Guards against overlooking processes that exit by themselves, late or with a failure.
#[test]
fn ends_of_processes_are_reported() {
    let exit = |stop_requested: Option<u64>, at, code| HostExit {
        host: 0,
        stop_requested: stop_requested.map(ms),
        at: ms(at),
        code,
    };
    let mut history = history_of(Vec::new(), Vec::new());
    history.exits = vec![exit(Some(1_000), 9_000, Some(0))];
    assert_eq!(violated(&history), []);
    for bad in [
        exit(None, 1_000, Some(0)),
        exit(Some(1_000), 9_300, Some(0)),
        exit(Some(1_000), 2_000, Some(101)),
        exit(Some(1_000), 2_000, None),
    ] {
        history.exits = vec![bad];
        assert_eq!(violated(&history), [PromiseKind::ProcessLife]);
    }
}

/// Guards against overlooking calls and hosts that fail long after the last fault.
#[test]
fn missing_recovery_is_reported() {
    for outcome in [
        own_answer(503),
        CallOutcome::Unsent,
        CallOutcome::Unanswered,
    ] {
        let mut late = call(CallKind::Repeatable, outcome);
        late.started = ms(112_000);
        late.ended = ms(112_010);
        let mut history = history_of(vec![late], Vec::new());
        assert_eq!(violated(&history), [PromiseKind::Recovery]);
        history.calls[0].started = ms(111_000);
        assert_eq!(violated(&history), []);
    }
    let mut history = history_of(Vec::new(), Vec::new());
    history.unready_hosts = vec![1];
    assert_eq!(violated(&history), [PromiseKind::Recovery]);
}

/// Guards against a check that overlooks requests to a target within the pause that it wanted.
#[test]
fn requests_within_a_pause_are_reported() {
    let refused = ArrivalRecord {
        executed: false,
        pause: Some(ms(3_000)),
        ..arrival("i-0", 10_000)
    };
    let history = |count: u64, at: u64| {
        let mut arrivals = vec![refused.clone()];
        arrivals.extend((0..count).map(|number| arrival("i-0", at + number)));
        let call = CallRecord {
            id: "c0-0".to_owned(),
            ..call(CallKind::Repeatable, CallOutcome::Left)
        };
        history_of(vec![call], arrivals)
    };
    let reports = |history: &RunHistory| violated(history).contains(&PromiseKind::TargetPause);
    assert!(reports(&history(4, 11_000)));
    assert!(!reports(&history(3, 11_000)), "a few are tolerated");
    assert!(!reports(&history(4, 10_300)), "these may be on their way");
    assert!(!reports(&history(4, 13_100)), "the pause is over");
}

const KEY: CallKey = CallKey {
    text: "k",
    tenant: Some("a"),
};

fn keyed(outcome: CallOutcome, key: CallKey) -> CallRecord {
    CallRecord {
        key: Some(key),
        ..call(CallKind::Repeatable, outcome)
    }
}

fn tenant_arrival(at: u64) -> ArrivalRecord {
    ArrivalRecord {
        tenants: vec!["a".to_owned()],
        ..arrival("i-0", at)
    }
}

/// Returns the history of a call with [`KEY`] that ran, started at 10 s and arrived at 10.01 s.
fn tenant_history() -> RunHistory {
    let outcome = answered(&answer_text("i-0", "c0-0"));
    history_of(vec![keyed(outcome, KEY)], vec![tenant_arrival(10_010)])
}

fn disrupted(part: SoakPart, from: u64, to: u64) -> Disruption {
    Disruption {
        part,
        planned: false,
        from: ms(from),
        to: Some(ms(to)),
    }
}

/// Guards against calls with unknown keys that reach a target, also if it does not run them.
#[test]
fn unknown_keys_at_targets_are_reported() {
    let unknown = CallKey {
        text: "u",
        tenant: None,
    };
    let mut refused = arrival("i-0", 10_010);
    refused.executed = false;
    let history = history_of(vec![keyed(own_answer(503), unknown)], vec![refused]);
    assert_eq!(violated(&history), [PromiseKind::ValidKey]);
    let history = history_of(vec![keyed(own_answer(401), unknown)], Vec::new());
    assert_eq!(violated(&history), []);
}

/// Guards against revoked keys that still work after the time in which hosts apply changes, or
/// again later, and against reports of hosts that could not learn of the revocation.
#[test]
fn revoked_keys_at_targets_are_reported() {
    let revoked = |at| {
        let mut history = tenant_history();
        history.revocations = vec![KeyRevocation {
            at: ms(at),
            key: "k",
        }];
        history
    };
    assert_eq!(violated(&revoked(7_009)), [PromiseKind::ValidKey]);
    assert_eq!(violated(&revoked(7_011)), []);
    for part in [SoakPart::Host(0), SoakPart::Store, SoakPart::StoreLink(0)] {
        let mut history = revoked(4_000);
        history.disruptions = vec![disrupted(part, 3_000, 5_000)];
        assert_eq!(violated(&history), []);
        // The host has applied the revocation before a fault.
        let mut history = revoked(4_000);
        history.disruptions = vec![disrupted(part, 8_000, 9_000)];
        assert_eq!(violated(&history), [PromiseKind::ValidKey]);
    }
    let mut history = revoked(4_000);
    history.disruptions = vec![disrupted(SoakPart::StoreLink(1), 3_000, 5_000)];
    assert_eq!(violated(&history), [PromiseKind::ValidKey]);
    // A later attempt of a call that began before the revocation.
    let mut history = revoked(7_100);
    history.calls[0].ended = ms(10_300);
    history.arrivals.push(tenant_arrival(10_200));
    assert_eq!(violated(&history), []);
}

/// Guards against targets that get a key, no tenant, or one that the key does not belong to.
#[test]
fn keys_and_foreign_tenants_at_targets_are_reported() {
    assert_eq!(violated(&tenant_history()), []);
    let mut history = tenant_history();
    history.arrivals[0].key_count = 1;
    assert_eq!(violated(&history), [PromiseKind::KeyHidden]);
    for tenants in [vec![], vec!["b"], vec!["a", "a"], vec!["a", "b"]] {
        let mut history = tenant_history();
        history.arrivals[0].tenants = tenants.into_iter().map(str::to_owned).collect();
        assert_eq!(violated(&history), [PromiseKind::KeyHidden]);
    }
}

/// Guards against runs of calls that are refused for their key or the limit of their tenant, also
/// of calls that may be repeated.
#[test]
fn runs_of_calls_refused_for_tenants_are_reported() {
    for status in [401, 429] {
        let mut history = tenant_history();
        history.calls[0].outcome = own_answer(status);
        history.revocations = vec![KeyRevocation {
            at: ms(9_000),
            key: "k",
        }];
        assert_eq!(violated(&history), [PromiseKind::TenantRefusal]);
        history.arrivals[0].executed = false;
        assert_eq!(violated(&history), []);
    }
}

/// Guards against valid keys that are refused as unknown.
#[test]
fn refused_valid_keys_are_reported() {
    let mut history = history_of(vec![keyed(own_answer(401), KEY)], Vec::new());
    assert_eq!(violated(&history), [PromiseKind::NotDenied]);
    history.revocations = vec![KeyRevocation {
        at: ms(10_060),
        key: "k",
    }];
    assert_eq!(violated(&history), [PromiseKind::NotDenied]);
}

/// Guards against hosts that keep revoked keys after recovery, and against recovery that is denied
/// to a tenant without a limit.
#[test]
fn tenants_have_recovered_in_the_end() {
    let revocation = KeyRevocation {
        at: ms(5_000),
        key: "k",
    };
    for (status, revoked, limited, expected) in [
        (401, true, false, vec![]),
        (503, true, false, vec![PromiseKind::Recovery]),
        (429, false, true, vec![]),
        (429, false, false, vec![PromiseKind::Recovery]),
    ] {
        let mut history = history_of(vec![keyed(own_answer(status), KEY)], Vec::new());
        history.faults_ended = ms(0);
        history.calls[0].started = ms(20_000);
        history.calls[0].ended = ms(20_010);
        history.revocations.extend(revoked.then_some(revocation));
        history.limits.extend(limited.then_some(limit(0, 1_000.0)));
        assert_eq!(violated(&history), expected, "{status}");
    }
}

fn limit(at: u64, tokens: f64) -> LimitVersion {
    LimitVersion {
        at: ms(at),
        tenant: "a",
        rate_per_s: tokens,
        burst: tokens,
    }
}

/// Returns the history of `count` calls that run at two hosts, one each 10 ms from 20 s on.
fn usage_history(count: u64) -> RunHistory {
    let mut history = history_of(Vec::new(), Vec::new());
    for number in 0..count {
        let id = format!("c{number}-0");
        let at = 20_000 + 10 * number;
        history.calls.push(CallRecord {
            id: id.clone(),
            host: (number % 2) as usize,
            started: ms(at),
            ended: ms(at + 5),
            ..keyed(CallOutcome::Left, KEY)
        });
        history.arrivals.push(ArrivalRecord {
            id,
            ended: Some(ms(at + 3)),
            ..tenant_arrival(at + 2)
        });
    }
    history
}

/// Guards against usage over all hosts beyond the bound, a lowered limit that is not applied, and
/// reports of calls that did not run or were admitted under the earlier limit.
#[test]
fn usage_beyond_the_bound_is_reported() {
    // (8 x 10,000 + 10,000) x 1.1 + 7,400 tokens are 106 calls, with half of that limit 56.
    let within = |count, limits: &[LimitVersion]| {
        let mut history = usage_history(count);
        history.limits = limits.to_vec();
        history
    };
    let full = [limit(0, 10_000.0)];
    assert_eq!(violated(&within(106, &full)), []);
    assert_eq!(violated(&within(107, &full)), [PromiseKind::UsageBound]);
    let mut history = within(107, &full);
    history.arrivals[0].executed = false;
    assert_eq!(violated(&history), []);
    let lowered = |at| [limit(0, 10_000.0), limit(at, 5_000.0)];
    assert_eq!(
        violated(&within(57, &lowered(17_000))),
        [PromiseKind::UsageBound]
    );
    assert_eq!(violated(&within(56, &lowered(17_000))), []);
    // Of 57 calls, the first was sent before the lower limit had to be applied.
    assert_eq!(violated(&within(57, &lowered(17_001))), []);
    assert_eq!(
        violated(&within(107, &lowered(17_001))),
        [PromiseKind::UsageBound]
    );
    for (part, expected) in [
        (SoakPart::StoreLink(1), vec![]),
        (SoakPart::StoreLink(2), vec![PromiseKind::UsageBound]),
    ] {
        let mut history = within(57, &lowered(17_000));
        history.disruptions = vec![disrupted(part, 16_000, 18_000)];
        assert_eq!(violated(&history), expected);
    }
}
