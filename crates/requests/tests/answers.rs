//! Whole answers and true outcomes.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;

const BROKEN: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::MaybeSent,
    connection_reset: true,
};
const NOT_SENT: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::NotSent,
    connection_reset: false,
};

fn is_delivery(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::DeliverChunk { .. })
}

/// A host with a stream that has delivered its first two chunks.
fn streaming() -> (TestHost, AttemptId, TargetName) {
    let mut host = TestHost::new(1, &targets(3, 0));
    let effects = host.arrive(1, stream(host.now, 7));
    let (attempt, target, _) = dispatch_in(&effects).unwrap();
    host.begin(attempt);
    host.chunk(attempt, 0);
    host.chunk(attempt, 1);
    (host, attempt, target)
}

// Guards against a stream that is restarted or continued elsewhere, and against chunks of the lost
// connection that arrive late.
#[test]
fn broken_stream_resumes_on_its_target_without_gap_or_duplicate() {
    let (mut host, first, target) = streaming();
    host.end(first, BROKEN);
    let resumed = dispatch_in(&host.pass(2_000)).unwrap();
    assert_eq!((&resumed.1, resumed.2), (&target, Some((first, 2))));
    assert!(host.chunk(first, 2).is_empty());
    host.begin(resumed.0);
    assert!(!host.chunk(resumed.0, 1).iter().any(is_delivery));
    let delivered = host.chunk(resumed.0, 2);
    let token = |effect: &RequestEffect| matches!(effect, RequestEffect::DeliverChunk { attempt, index: 2, .. } if *attempt == first);
    assert!(delivered.iter().any(token));
    let ended = host.end(resumed.0, AttemptEnd::CompleteWith { chunks: 3 });
    assert!(ended.contains(&RequestEffect::Finish { key: RequestKey(1) }));
}

// Guards against an answer with a hole, and against one that is closed before its last chunk.
#[test]
fn missing_chunk_starts_a_resume() {
    for early_end in [false, true] {
        let (mut host, first, _) = streaming();
        let effects = match early_end {
            true => host.end(first, AttemptEnd::CompleteWith { chunks: 3 }),
            false => host.chunk(first, 3),
        };
        assert!(!effects.iter().any(is_delivery));
        assert_eq!(refusal_in(&effects), None);
        let resumed = dispatch_in(&host.pass(2_000)).unwrap();
        assert_eq!(resumed.2, Some((first, 2)));
    }
}

// Guards against splicing the text of another generation onto a part that the caller has.
#[test]
fn lost_stream_with_a_delivered_part_is_reported_not_restarted() {
    let (mut host, first, _) = streaming();
    host.end(first, BROKEN);
    let resumed = dispatch_in(&host.pass(2_000)).unwrap();
    let effects = host.end(resumed.0, AttemptEnd::StreamGone);
    let lost = (RefusalCode::AnswerLost, RequestOutcome::Unknown);
    assert_eq!(refusal_in(&effects), Some(lost));
    assert_eq!(host.state.in_progress(), 0);
}

// Guards against a reconnecting caller that gets chunks again or a fresh generation.
#[test]
fn reconnecting_caller_continues_at_its_point() {
    let mut host = TestHost::new(1, &targets(3, 0));
    let mut spec = stream(host.now, 7);
    spec.resume = Some(ResumePoint {
        attempt: AttemptId(99),
        target: TargetName::new("e2"),
        received_chunks: 5,
    });
    let mut late = spec.clone();
    let (attempt, target, resume) = dispatch_in(&host.arrive(1, spec)).unwrap();
    assert_eq!((target.as_str(), resume), ("e2", Some((AttemptId(99), 5))));
    host.begin(attempt);
    assert!(!host.chunk(attempt, 4).iter().any(is_delivery));
    assert!(host.chunk(attempt, 5).iter().any(is_delivery));

    // Its stream ran, so even a refusal on arrival must not say `not_run`.
    late.deadline = host.now;
    let expired = (RefusalCode::Deadline, RequestOutcome::Unknown);
    assert_eq!(refusal_in(&host.arrive(2, late)), Some(expired));
}

// Guards against `not_run` after an attempt that may have run was followed by one that did not.
#[test]
fn every_attempt_counts_for_the_outcome() {
    for (first_end, outcome) in [
        (BROKEN, RequestOutcome::Unknown),
        (NOT_SENT, RequestOutcome::NotRun),
    ] {
        let mut host = TestHost::new(1, &targets(4, 0));
        let mut effects = host.arrive(1, stream(host.now, 7));
        let mut end = first_end;
        while refusal_in(&effects).is_none() {
            effects = match dispatch_in(&effects) {
                Some((attempt, ..)) => host.end(attempt, std::mem::replace(&mut end, NOT_SENT)),
                None => host.pass(500),
            };
        }
        assert_eq!(refusal_in(&effects).unwrap().1, outcome);
    }
}

// Guards against `not_run` for a dispatched attempt that the caller's deadline cuts off: its bytes
// may still arrive at the target.
#[test]
fn deadline_during_an_attempt_is_unknown_and_cancels_the_stream() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let mut spec = stream(host.now, 7);
    spec.deadline = host.now + ClockTime::from_ms(500);
    let (attempt, target, _) = dispatch_in(&host.arrive(1, spec)).unwrap();
    let effects = host.pass(600);
    let expired = (RefusalCode::Deadline, RequestOutcome::Unknown);
    assert_eq!(refusal_in(&effects), Some(expired));
    assert!(effects.contains(&RequestEffect::CancelAttempt { attempt, target }));
}

// Guards against engines that generate for callers that have left.
#[test]
fn stream_of_a_gone_caller_is_cancelled_under_its_first_attempt() {
    let (mut host, first, target) = streaming();
    host.end(first, BROKEN);
    let resumed = dispatch_in(&host.pass(2_000)).unwrap();
    let effects = host.reduce(RequestEvent::CallerDisconnected { key: RequestKey(1) });
    let attempt = first;
    assert!(effects.contains(&RequestEffect::CancelAttempt {
        attempt,
        target: target.clone()
    }));
    let attempt = resumed.0;
    assert!(effects.contains(&RequestEffect::CloseAttempt { attempt, target }));
}
