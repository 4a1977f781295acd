//! Each check of the judge against evidence that breaks its promise.

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
        status: StatusCode::from_u16(status).expect("status"),
        id: seal.map(|_| "c0-0".to_owned()),
        seal: seal.map(str::to_owned),
        refused: matches!(status, 408 | 421 | 429 | 503),
    }
}

fn answered(body: &str) -> OutcomeKind {
    let body = Bytes::from(body.to_owned());
    OutcomeKind::Answered(facts(200, Some("i-0")), body)
}

fn own_answer(status: u16) -> OutcomeKind {
    OutcomeKind::Answered(facts(status, None), Bytes::new())
}

fn call(shape: CallShape, outcome: OutcomeKind) -> CallRecord {
    CallRecord {
        id: "c0-0".to_owned(),
        shape,
        path: "/p".to_owned(),
        host: 0,
        reused: true,
        patience_ms: 2_500,
        at: ms(10_000),
        ended: ms(10_050),
        outcome,
    }
}

fn arrival(target: &str, at: u64) -> SoakArrival {
    SoakArrival {
        id: "c0-0".to_owned(),
        target: target.to_owned(),
        path: "/p".to_owned(),
        body_kept: true,
        patience_ms: Some(1_500),
        run: true,
        at: ms(at),
        ended: Some(ms(at + 10)),
    }
}

fn life(place: usize, service: &'static str) -> TargetLife {
    TargetLife {
        name: format!("i-{place}"),
        place,
        service,
        left: None,
    }
}

fn evidence(calls: Vec<CallRecord>, arrivals: Vec<SoakArrival>) -> RunEvidence {
    RunEvidence {
        calls,
        arrivals,
        lives: vec![life(0, "s"), life(1, "s"), life(2, "t"), life(3, "s")],
        versions: vec![VersionRecord {
            at: ms(0),
            service: "s",
        }],
        calm_from: ms(100_000),
        ..RunEvidence::default()
    }
}

fn kinds(seen: &RunEvidence) -> Vec<PromiseKind> {
    judge_run(seen)
        .into_iter()
        .map(|violation| violation.kind)
        .collect()
}

/// Copies of a call and of its arrivals, with identifiers of their own.
fn repeated(count: usize, call: &CallRecord, arrivals: &[SoakArrival]) -> RunEvidence {
    let mut seen = evidence(Vec::new(), Vec::new());
    for number in 0..count {
        let id = format!("c{number}-0");
        seen.calls.push(CallRecord {
            id: id.clone(),
            ..call.clone()
        });
        for arrival in arrivals {
            seen.arrivals.push(SoakArrival {
                id: id.clone(),
                ..arrival.clone()
            });
        }
    }
    seen
}

/// Guards against checks that report calls which are served as promised.
#[test]
fn good_calls_break_nothing() {
    let body = answer_text("i-0", "c0-0");
    for shape in [CallShape::Once, CallShape::Repeatable] {
        let seen = evidence(
            vec![call(shape, answered(&body))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(kinds(&seen), []);
    }
    let events: String = (1..=EVENT_COUNT).map(|n| event_text("c0-0", n)).collect();
    let seen = evidence(
        vec![call(CallShape::Stream, answered(&events))],
        vec![arrival("i-0", 10_010)],
    );
    assert_eq!(kinds(&seen), []);
}

/// Guards against foreign, cut and unproved answers that pass as whole.
#[test]
fn foreign_answers_are_reported() {
    let whole = answer_text("i-0", "c0-0");
    let other = answer_text("i-0", "c1-0");
    for outcome in [
        answered(&other),
        answered(&whole[1..]),
        OutcomeKind::Answered(facts(200, None), Bytes::from(whole.clone())),
        OutcomeKind::Answered(facts(200, Some("i-1")), Bytes::from(whole.clone())),
    ] {
        let seen = evidence(
            vec![call(CallShape::Repeatable, outcome)],
            vec![arrival("i-0", 10_010)],
        );
        assert!(kinds(&seen).contains(&PromiseKind::WholeAnswer));
    }
}

/// Guards against streams with a missing, doubled or unfinished end that pass as complete.
#[test]
fn broken_streams_are_reported() {
    let event = |number| event_text("c0-0", number);
    let events: String = (1..=EVENT_COUNT).map(event).collect();
    let short: String = (1..EVENT_COUNT).map(event).collect();
    let doubled = format!("{}{}", event(1), events);
    let gap: String = (2..=EVENT_COUNT).map(event).collect();
    for body in [short, doubled, gap] {
        let seen = evidence(
            vec![call(CallShape::Stream, answered(&body))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(kinds(&seen), [PromiseKind::EventOrder], "{body}");
    }
    // A stream that is cut is no complete one, whatever came.
    let cut = OutcomeKind::Broken(facts(200, Some("i-0")), Bytes::from(event(1)));
    let mut cut_call = call(CallShape::Stream, cut);
    cut_call.reused = false;
    let seen = evidence(vec![cut_call], vec![arrival("i-0", 10_010)]);
    assert_eq!(kinds(&seen), []);
}

/// Guards against second runs and runs after a refusal that are not seen.
#[test]
fn second_and_refused_runs_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let arrivals = vec![arrival("i-1", 10_005), arrival("i-0", 10_010)];
    let seen = evidence(
        vec![call(CallShape::Once, answered(&body))],
        arrivals.clone(),
    );
    assert_eq!(kinds(&seen), [PromiseKind::RunsOnce]);
    let seen = evidence(vec![call(CallShape::Repeatable, answered(&body))], arrivals);
    assert_eq!(kinds(&seen), []);
    for status in [408, 421, 429, 503] {
        let seen = evidence(
            vec![call(CallShape::Once, own_answer(status))],
            vec![arrival("i-0", 10_010)],
        );
        assert_eq!(kinds(&seen), [PromiseKind::RefusedNotRun]);
    }
}

/// Guards against proper requests that are denied.
#[test]
fn denials_are_reported() {
    for status in [301, 400, 404, 413, 431] {
        let seen = evidence(vec![call(CallShape::Once, own_answer(status))], Vec::new());
        assert_eq!(kinds(&seen), [PromiseKind::NotDenied]);
    }
    let seen = evidence(vec![call(CallShape::Once, own_answer(503))], Vec::new());
    assert_eq!(kinds(&seen), []);
}

/// Guards against requests that targets got from nobody, or changed.
#[test]
fn changed_requests_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let mut unknown = arrival("i-0", 10_010);
    unknown.id = "x".to_owned();
    let mut moved = arrival("i-0", 10_010);
    moved.path = "/q".to_owned();
    let mut rewritten = arrival("i-0", 10_010);
    rewritten.body_kept = false;
    for changed in [unknown, moved, rewritten] {
        let seen = evidence(
            vec![call(CallShape::Repeatable, answered(&body))],
            vec![arrival("i-0", 10_005), changed],
        );
        assert_eq!(kinds(&seen), [PromiseKind::UnchangedRequest]);
    }
}

/// Guards against runs at a service that no version names, or that only an older one names.
#[test]
fn runs_at_wrong_services_are_reported() {
    let outcome = OutcomeKind::Answered(
        facts(200, Some("i-2")),
        Bytes::from(answer_text("i-2", "c0-0")),
    );
    let mut seen = evidence(
        vec![call(CallShape::Repeatable, outcome.clone())],
        vec![arrival("i-2", 10_010)],
    );
    assert_eq!(kinds(&seen), [PromiseKind::AllowedService]);
    seen.versions[0].service = "t";
    assert_eq!(kinds(&seen), []);
    let newer = VersionRecord {
        at: ms(9_000),
        service: "s",
    };
    seen.versions.push(newer);
    assert_eq!(kinds(&seen), [], "the newer version may be unknown for 2 s");
    seen.versions[1].at = ms(7_900);
    assert_eq!(kinds(&seen), [PromiseKind::NewRoutes]);
    seen.disruptions.push(disruption(SoakPart::Store, 7_000));
    assert_eq!(kinds(&seen), [], "the store was away");
    let once = evidence(
        vec![call(CallShape::Once, outcome)],
        vec![arrival("i-2", 10_010)],
    );
    assert_eq!(kinds(&once), [PromiseKind::AllowedService]);
}

fn disruption(part: SoakPart, from: u64) -> Disruption {
    Disruption {
        part,
        planned: false,
        from: ms(from),
        to: Some(ms(from + 100)),
    }
}

/// Guards against requests at targets that left long ago.
#[test]
fn requests_at_left_targets_are_reported() {
    let body = answer_text("i-0", "c0-0");
    let mut seen = evidence(
        vec![call(CallShape::Once, answered(&body))],
        vec![arrival("i-0", 10_010)],
    );
    seen.lives[0].left = Some(ms(8_500));
    assert_eq!(kinds(&seen), []);
    seen.lives[0].left = Some(ms(8_000));
    assert_eq!(kinds(&seen), [PromiseKind::LeavingTarget]);
    let frozen = disruption(SoakPart::Host(0), 6_000);
    seen.disruptions.push(frozen);
    assert_eq!(kinds(&seen), [], "the host was paused when the target left");
}

/// Guards against more targets, repeats and time than allowed.
#[test]
fn unbounded_repeats_are_reported() {
    let failed = call(CallShape::Repeatable, own_answer(502));
    let three = [
        arrival("i-0", 10_001),
        arrival("i-1", 10_010),
        arrival("i-3", 10_020),
    ];
    assert_eq!(kinds(&repeated(3, &failed, &three)), []);
    assert_eq!(
        kinds(&repeated(4, &failed, &three)),
        [PromiseKind::RepeatBudget]
    );
    // 72 calls pay for 0.2 * 72 + 58 = 72.4 repeats.
    let two = [arrival("i-0", 10_001), arrival("i-1", 10_010)];
    assert_eq!(kinds(&repeated(72, &failed, &two)), []);
    assert_eq!(
        kinds(&repeated(73, &failed, &two)),
        [PromiseKind::RepeatBudget]
    );
    let mut long = arrival("i-0", 10_001);
    long.patience_ms = Some(3_001);
    assert_eq!(kinds(&repeated(20, &failed, &[long.clone()])), []);
    assert_eq!(
        kinds(&repeated(21, &failed, &[long])),
        [PromiseKind::RepeatBudget]
    );
}

/// Guards against targets that work on, or are reached, after the caller left.
#[test]
fn work_for_callers_that_left_is_reported() {
    let left = call(CallShape::Repeatable, OutcomeKind::Left);
    let mut long = arrival("i-0", 10_010);
    long.ended = Some(ms(10_600));
    assert_eq!(kinds(&repeated(3, &left, &[long.clone()])), []);
    let mut seen = repeated(4, &left, &[long]);
    assert_eq!(kinds(&seen), [PromiseKind::CallerLeft]);
    for arrival in &mut seen.arrivals {
        arrival.ended = Some(ms(10_500));
    }
    assert_eq!(kinds(&seen), []);
    let late = arrival("i-0", 10_600);
    assert!(kinds(&repeated(4, &left, &[late])).contains(&PromiseKind::CallerLeft));
}

/// Guards against calls that get no answer at the time-out of their route.
#[test]
fn overdue_calls_are_reported() {
    let mut slow = call(CallShape::Once, OutcomeKind::Unanswered);
    slow.ended = ms(12_500);
    assert_eq!(kinds(&repeated(3, &slow, &[])), []);
    assert_eq!(kinds(&repeated(4, &slow, &[])), [PromiseKind::Overdue]);
    slow.ended = ms(12_000);
    slow.outcome = own_answer(504);
    assert_eq!(kinds(&repeated(4, &slow, &[])), []);
}

/// Guards against calls that were passed on and get no answer.
#[test]
fn lost_calls_are_reported() {
    let lost = call(CallShape::Once, OutcomeKind::Lost);
    let passed = [arrival("i-0", 10_010)];
    assert_eq!(kinds(&repeated(3, &lost, &passed)), []);
    let mut seen = repeated(4, &lost, &passed);
    assert_eq!(kinds(&seen), [PromiseKind::NotLost]);
    seen.disruptions
        .push(disruption(SoakPart::Target(0), 9_000));
    assert_eq!(kinds(&seen), [], "the target was away");
    let mut late = call(CallShape::Stream, OutcomeKind::Lost);
    late.ended = ms(14_900);
    assert_eq!(kinds(&repeated(4, &late, &passed)), [PromiseKind::NotLost]);
    late.ended = ms(15_000);
    assert_eq!(kinds(&repeated(4, &late, &passed)), [], "its time is over");
}

/// Guards against a planned stop that cuts calls off.
#[test]
fn calls_cut_off_by_a_stop_are_reported() {
    let lost = call(CallShape::Once, OutcomeKind::Lost);
    let mut seen = evidence(vec![lost], vec![arrival("i-0", 10_010)]);
    let stop = Disruption {
        part: SoakPart::Host(0),
        planned: true,
        from: ms(9_900),
        to: None,
    };
    seen.disruptions.push(stop);
    assert_eq!(kinds(&seen), [PromiseKind::NotLost]);
    seen.disruptions
        .push(disruption(SoakPart::StoreLink(0), 9_000));
    assert_eq!(kinds(&seen), [], "another fault came with the stop");
    seen.disruptions.truncate(1);
    seen.disruptions[0].from = ms(3_000);
    assert_eq!(kinds(&seen), [], "the time to stop was over");
}

/// Guards against processes that end by themselves, stop late or stop with a failure.
#[test]
fn ends_of_processes_are_reported() {
    let end = |told: Option<u64>, at, code| HostEnd {
        host: 0,
        told: told.map(ms),
        at: ms(at),
        code,
    };
    let mut seen = evidence(Vec::new(), Vec::new());
    seen.ends = vec![end(Some(1_000), 9_000, Some(0))];
    assert_eq!(kinds(&seen), []);
    for bad in [
        end(None, 1_000, Some(0)),
        end(Some(1_000), 9_300, Some(0)),
        end(Some(1_000), 2_000, Some(101)),
        end(Some(1_000), 2_000, None),
    ] {
        seen.ends = vec![bad];
        assert_eq!(kinds(&seen), [PromiseKind::ProcessLife]);
    }
}

/// Guards against calls and hosts that fail long after the last fault.
#[test]
fn missing_recovery_is_reported() {
    for outcome in [
        own_answer(503),
        OutcomeKind::Unsent,
        OutcomeKind::Unanswered,
    ] {
        let mut late = call(CallShape::Repeatable, outcome);
        late.at = ms(112_000);
        late.ended = ms(112_010);
        let mut seen = evidence(vec![late], Vec::new());
        assert_eq!(kinds(&seen), [PromiseKind::Recovery]);
        seen.calls[0].at = ms(111_000);
        assert_eq!(kinds(&seen), []);
    }
    let mut seen = evidence(Vec::new(), Vec::new());
    seen.unready = vec![1];
    assert_eq!(kinds(&seen), [PromiseKind::Recovery]);
}
