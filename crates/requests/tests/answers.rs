//! Completeness of answers, and correctness of the outcomes reported to callers.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;

const RESET: AttemptEnd = AttemptEnd::Failed {
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

/// Returns a host with a stream that has delivered its first two chunks, with its attempt and
/// target.
fn host_with_stream() -> (TestHost, AttemptId, TargetName) {
    let mut host = TestHost::new(1, &targets(3, 0));
    let effects = host.arrive(1, stream_spec(host.now, 7));
    let (attempt, target, _) = first_dispatch(&effects).unwrap();
    host.start_answer(attempt);
    host.chunk(attempt, 0);
    host.chunk(attempt, 1);
    (host, attempt, target)
}

// Guards against a stream that is restarted or continued on another target, and against delivery of
// late chunks of the lost connection.
#[test]
fn broken_stream_resumes_on_its_target_without_gap_or_duplicate() {
    let (mut host, first, target) = host_with_stream();
    host.end(first, RESET);
    let resumed = first_dispatch(&host.advance(2_000)).unwrap();
    assert_eq!((&resumed.1, resumed.2), (&target, Some((first, 2))));
    assert!(host.chunk(first, 2).is_empty());
    host.start_answer(resumed.0);
    assert!(!host.chunk(resumed.0, 1).iter().any(is_delivery));
    let delivered = host.chunk(resumed.0, 2);
    let keeps_origin = |effect: &RequestEffect| matches!(effect, RequestEffect::DeliverChunk { attempt, index: 2, .. } if *attempt == first);
    assert!(delivered.iter().any(keeps_origin));
    let ended = host.end(resumed.0, AttemptEnd::CompleteWith { chunks: 3 });
    assert!(ended.contains(&RequestEffect::Finish { key: RequestKey(1) }));
}

// Guards against an answer with a missing chunk, and against one that is finished before its last
// chunk.
#[test]
fn missing_chunk_starts_a_resume() {
    for early_end in [false, true] {
        let (mut host, first, _) = host_with_stream();
        let effects = match early_end {
            true => host.end(first, AttemptEnd::CompleteWith { chunks: 3 }),
            false => host.chunk(first, 3),
        };
        assert!(!effects.iter().any(is_delivery));
        assert_eq!(first_refusal(&effects), None);
        let resumed = first_dispatch(&host.advance(2_000)).unwrap();
        assert_eq!(resumed.2, Some((first, 2)));
    }
}

// Guards against an answer that continues the part that the caller has with the text of another
// attempt.
#[test]
fn lost_stream_with_a_delivered_part_is_reported_not_restarted() {
    let (mut host, first, _) = host_with_stream();
    host.end(first, RESET);
    let resumed = first_dispatch(&host.advance(2_000)).unwrap();
    let effects = host.end(resumed.0, AttemptEnd::StreamGone);
    let lost = (RefusalCode::AnswerLost, RequestOutcome::Unknown);
    assert_eq!(first_refusal(&effects), Some(lost));
    assert_eq!(host.state.in_progress(), 0);
}

// Guards against a reconnecting caller that gets chunks twice, or the text of a new attempt.
#[test]
fn reconnecting_caller_resumes_after_its_last_chunk() {
    let mut host = TestHost::new(1, &targets(3, 0));
    let mut spec = stream_spec(host.now, 7);
    spec.resume = Some(ResumePoint {
        attempt: AttemptId(99),
        target: TargetName::new("e2"),
        received_chunks: 5,
    });
    let mut late = spec.clone();
    let (attempt, target, resume) = first_dispatch(&host.arrive(1, spec)).unwrap();
    assert_eq!((target.as_str(), resume), ("e2", Some((AttemptId(99), 5))));
    host.start_answer(attempt);
    assert!(!host.chunk(attempt, 4).iter().any(is_delivery));
    assert!(host.chunk(attempt, 5).iter().any(is_delivery));

    // The stream has run, so even a refusal on arrival must not report `not_run`.
    late.deadline = host.now;
    let expired = (RefusalCode::Deadline, RequestOutcome::Unknown);
    assert_eq!(first_refusal(&host.arrive(2, late)), Some(expired));
}

// Guards against `not_run` if an attempt that may have run is followed by one that did not.
#[test]
fn every_attempt_counts_for_the_outcome() {
    for (first_end, outcome) in [
        (RESET, RequestOutcome::Unknown),
        (NOT_SENT, RequestOutcome::NotRun),
    ] {
        let mut host = TestHost::new(1, &targets(4, 0));
        let mut effects = host.arrive(1, stream_spec(host.now, 7));
        let mut end = first_end;
        while first_refusal(&effects).is_none() {
            effects = match first_dispatch(&effects) {
                Some((attempt, ..)) => host.end(attempt, std::mem::replace(&mut end, NOT_SENT)),
                None => host.advance(500),
            };
        }
        assert_eq!(first_refusal(&effects).unwrap().1, outcome);
    }
}

// Guards against `not_run` for an attempt that is cancelled at the caller's deadline: its bytes may
// still arrive at the target.
#[test]
fn deadline_during_an_attempt_is_unknown_and_cancels_the_stream() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let mut spec = stream_spec(host.now, 7);
    spec.deadline = host.now + ClockTime::from_ms(500);
    let (attempt, target, _) = first_dispatch(&host.arrive(1, spec)).unwrap();
    let effects = host.advance(600);
    let expired = (RefusalCode::Deadline, RequestOutcome::Unknown);
    assert_eq!(first_refusal(&effects), Some(expired));
    assert!(effects.contains(&RequestEffect::CancelAttempt { attempt, target }));
}

// Guards against engines that go on generating for callers that have left.
#[test]
fn stream_of_a_disconnected_caller_is_cancelled_under_its_first_attempt() {
    let (mut host, first, target) = host_with_stream();
    host.end(first, RESET);
    let resumed = first_dispatch(&host.advance(2_000)).unwrap();
    let effects = host.reduce(RequestEvent::CallerDisconnected { key: RequestKey(1) });
    let attempt = first;
    assert!(effects.contains(&RequestEffect::CancelAttempt {
        attempt,
        target: target.clone()
    }));
    let attempt = resumed.0;
    assert!(effects.contains(&RequestEffect::CloseAttempt { attempt, target }));
}
