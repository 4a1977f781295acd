//! At most one execution of calls that may not run twice.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;

const CONNECTION_LOST: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::MaybeSent,
    connection_reset: false,
};

/// Returns the claim of the first write among `effects`.
fn written_claim(effects: &[RequestEffect]) -> Option<ClaimId> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::WriteClaim { claim, .. } => Some(*claim),
        _ => None,
    })
}

fn contains(effects: &[RequestEffect], matches: fn(&RequestEffect) -> bool) -> bool {
    effects.iter().any(matches)
}

fn is_read(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::ReadClaim { .. })
}

fn is_release(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::ReleaseClaim { .. })
}

fn is_record(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::RecordAnswer { .. })
}

fn is_execution_check(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::CheckExecution { .. })
}

fn is_replay(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::Replay { .. })
}

fn is_finish(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::Finish { .. })
}

fn held_claim(claim: u128, target: &str) -> ClaimReply {
    ClaimReply::Held {
        claim: ClaimId(claim),
        digest: BodyDigest(7),
        target: Some(TargetName::new(target)),
    }
}

/// Returns a host with a call whose claim is being written, and the claim. Of up to three
/// instances, only `p1` keeps records.
fn host_writing_claim(instances: usize) -> (TestHost, ClaimId) {
    let mut host = TestHost::new(1, &targets(0, instances));
    let effects = host.arrive(1, booking_spec(host.now, 7, Some("key")));
    assert!(contains(&effects, is_read) && first_dispatch(&effects).is_none());
    let effects = host.reply_to_claim(1, ClaimReply::Absent);
    assert_eq!(first_dispatch(&effects), None);
    let claim = written_claim(&effects).unwrap();
    (host, claim)
}

/// Returns a host with a call that was sent under its claim, with its attempt and target.
fn host_with_dispatched_call(instances: usize) -> (TestHost, AttemptId, TargetName) {
    let (mut host, _) = host_writing_claim(instances);
    let (attempt, target, _) =
        first_dispatch(&host.reply_to_claim(1, ClaimReply::Granted)).unwrap();
    host.start_answer(attempt);
    (host, attempt, target)
}

// Guards against a dispatch under a claim that another host holds, and against giving up a claim
// that was written although the reply was lost.
#[test]
fn lost_table_reply_is_read_back() {
    let (mut host, claim) = host_writing_claim(1);
    let effects = host.reply_to_claim(1, ClaimReply::Unknown);
    assert!(contains(&effects, is_read) && first_dispatch(&effects).is_none());
    assert!(first_dispatch(&host.reply_to_claim(1, held_claim(claim.0, "p0"))).is_some());

    let (mut host, _) = host_writing_claim(1);
    host.reply_to_claim(1, ClaimReply::Unknown);
    let effects = host.reply_to_claim(1, held_claim(4711, "p0"));
    assert_eq!(first_dispatch(&effects), None);
    assert!(contains(&host.advance(100), is_read));
}

// Guards against a paused host that sends a call after its caller received another outcome.
#[test]
fn grant_after_the_dispatch_window_is_released() {
    let (mut host, _) = host_writing_claim(1);
    host.now += ClockTime::from_secs(3);
    let effects = host.reply_to_claim(1, ClaimReply::Granted);
    assert_eq!(first_dispatch(&effects), None);
    assert!(contains(&effects, is_release));
    let refused = (RefusalCode::ClaimUnavailable, RequestOutcome::NotRun);
    assert_eq!(first_refusal(&effects), Some(refused));
}

// Guards against a claim that nobody releases: a write that arrives after its claim was given up
// leaves the key in doubt for ever, unless a release makes the write fail.
#[test]
fn claim_whose_write_may_be_late_is_released_although_the_row_is_absent() {
    let (mut host, claim) = host_writing_claim(1);
    host.reply_to_claim(1, ClaimReply::Unknown);
    let mut effects = host.reply_to_claim(1, ClaimReply::Absent);
    while written_claim(&effects).is_some() {
        host.reply_to_claim(1, ClaimReply::Unknown);
        effects = host.reply_to_claim(1, ClaimReply::Absent);
    }
    assert_eq!(first_refusal(&effects).unwrap().1, RequestOutcome::NotRun);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        RequestEffect::ReleaseClaim { claim: released, .. } if *released == claim
    )));
}

// Guards against a needless write to the table: a claim that was never written needs no release.
#[test]
fn claim_whose_write_failed_is_not_released() {
    let (mut host, _) = host_writing_claim(1);
    assert!(!contains(
        &host.reply_to_claim(1, ClaimReply::Failed),
        is_release
    ));
}

// Guards against a write of a claim over a released row that is not conditional on the row's
// version, and so could take effect after the claim's own release.
#[test]
fn claim_replaces_the_released_row_that_was_read() {
    let replaced_version = |effects: &[RequestEffect]| {
        effects.iter().find_map(|effect| match effect {
            RequestEffect::WriteClaim {
                replaced_version, ..
            } => Some(*replaced_version),
            _ => None,
        })
    };
    let mut host = TestHost::new(1, &targets(0, 1));
    host.arrive(1, booking_spec(host.now, 7, Some("key")));
    let effects = host.reply_to_claim(1, ClaimReply::Released { version: 4 });
    assert_eq!(replaced_version(&effects), Some(Some(4)));
    // Another call was claimed and released between the read and the write.
    let effects = host.reply_to_claim(1, ClaimReply::Released { version: 6 });
    assert_eq!(replaced_version(&effects), Some(Some(6)));
    assert!(first_dispatch(&host.reply_to_claim(1, ClaimReply::Granted)).is_some());
}

// Guards against a row that names a target which never received the call: other hosts would read
// that target's execution record, and the call would stay in doubt.
#[test]
fn retargeted_call_is_sent_once_its_claim_names_the_new_target() {
    let (mut host, _) = host_writing_claim(3);
    let (attempt, first, _) = first_dispatch(&host.reply_to_claim(1, ClaimReply::Granted)).unwrap();
    let end = AttemptEnd::Failed {
        send_status: SendStatus::NotSent,
        connection_reset: false,
    };
    host.end(attempt, end);
    let effects = host.advance(500);
    assert_eq!(first_dispatch(&effects), None);
    let retargeted = |effects: &[RequestEffect]| {
        effects.iter().find_map(|effect| match effect {
            RequestEffect::RetargetClaim { claim, target, .. } => Some((*claim, target.clone())),
            _ => None,
        })
    };
    let (claim, second) = retargeted(&effects).unwrap();
    assert_ne!(first, second);
    // The reply is lost, and the row still names the first target.
    host.reply_to_claim(1, ClaimReply::Unknown);
    let effects = host.reply_to_claim(1, held_claim(claim.0, first.as_str()));
    assert_eq!(first_dispatch(&effects), None);
    assert_eq!(retargeted(&effects), Some((claim, second.clone())));
    host.reply_to_claim(1, ClaimReply::Unknown);
    let effects = host.reply_to_claim(1, held_claim(claim.0, second.as_str()));
    assert_eq!(first_dispatch(&effects).unwrap().1, second);
}

// Guards against reading the record of the target that a claim named before it was retargeted.
#[test]
fn execution_record_is_read_from_the_target_that_the_row_names_last() {
    let mut host = TestHost::new(1, &targets(0, 4));
    let mut effects = host.arrive(1, booking_spec(host.now, 7, Some("key")));
    let mut named_target = "p1";
    let read_from = loop {
        let check = effects.iter().find_map(|effect| match effect {
            RequestEffect::CheckExecution { target, .. } => Some(target.clone()),
            _ => None,
        });
        if let Some(target) = check {
            break target;
        }
        if contains(&effects, is_read) {
            effects = host.reply_to_claim(1, held_claim(4711, named_target));
            named_target = "p3";
        } else {
            effects = host.advance(20);
        }
    };
    assert_eq!(read_from, TargetName::new("p3"));
}

// Guards against a call that is sent to a target which the host knows to be unusable, although the
// target has not reported that it is leaving.
#[test]
fn granted_call_is_not_sent_to_an_unusable_target() {
    let (mut host, _) = host_writing_claim(2);
    host.routes.set_leaving(&TargetName::new("p0"), true);
    host.routes.set_suspect(&TargetName::new("p1"), true);
    let effects = host.reply_to_claim(1, ClaimReply::Granted);
    assert_eq!(first_dispatch(&effects), None);
}

// Guards against a dispatch after the caller received `not_run`, and against the release of a claim
// while it is being written, when it is not known whether there is anything to release.
#[test]
fn grant_after_the_deadline_is_released_and_not_dispatched() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut spec = booking_spec(host.now, 7, Some("key"));
    spec.deadline = host.now + ClockTime::from_ms(500);
    host.arrive(1, spec);
    host.reply_to_claim(1, ClaimReply::Absent);
    let effects = host.advance(600);
    assert_eq!(first_refusal(&effects).unwrap().1, RequestOutcome::NotRun);
    assert!(!contains(&effects, is_release));
    let effects = host.reply_to_claim(1, ClaimReply::Granted);
    assert_eq!(first_dispatch(&effects), None);
    assert!(contains(&effects, is_release));
    assert_eq!(host.state.in_progress(), 0);
}

// Guards against calls that are sent without a claim while the table service is unreachable, and
// against refusing requests that need no claim.
#[test]
fn unreachable_table_refuses_claims_only() {
    let (mut host, _) = host_writing_claim(1);
    let effects = host.reply_to_claim(1, ClaimReply::Failed);
    let refused = (RefusalCode::ClaimUnavailable, RequestOutcome::NotRun);
    assert_eq!(first_refusal(&effects), Some(refused));
    let mut spec = booking_spec(host.now, 8, None);
    spec.idempotent = true;
    assert!(first_dispatch(&host.arrive(2, spec)).is_some());
}

// Guards against running another body under a key that was used before.
#[test]
fn other_body_under_a_key_is_a_conflict() {
    let conflict = Some((RefusalCode::KeyConflict, RequestOutcome::NotRun));
    let (mut host, _) = host_writing_claim(1);
    let effects = host.arrive(2, booking_spec(host.now, 8, Some("key")));
    assert_eq!(first_refusal(&effects), conflict);
    let digest = BodyDigest(8);
    let effects = host.reply_to_claim(1, ClaimReply::Recorded { digest });
    assert_eq!(first_refusal(&effects), conflict);
}

// Guards against a repeat that runs at the same time as the first call, and against an answer that
// is finished before it is recorded.
#[test]
fn repeat_in_this_host_waits_for_the_record_and_gets_the_stored_answer() {
    let (mut host, attempt, _) = host_with_dispatched_call(1);
    let effects = host.arrive(2, booking_spec(host.now, 7, Some("key")));
    assert!(effects.is_empty());
    host.chunk(attempt, 0);
    let effects = host.end(attempt, AttemptEnd::Complete);
    assert!(contains(&effects, is_record) && !contains(&effects, is_finish));
    let key = RequestKey(1);
    let effects = host.reduce(RequestEvent::AnswerRecorded { key, stored: true });
    assert!(contains(&effects, is_finish) && contains(&effects, is_read));
    let digest = BodyDigest(7);
    assert!(contains(
        &host.reply_to_claim(2, ClaimReply::Recorded { digest }),
        is_replay
    ));
}

// Guards against a second dispatch of a call that was sent and not answered. Only the target's
// execution record can show that it ran.
#[test]
fn unanswered_call_is_resolved_by_the_execution_record_or_stays_unknown() {
    for ran in [true, false] {
        let mut host = TestHost::new(1, &targets(0, 2));
        // Only `p1` keeps records.
        host.routes.set_leaving(&TargetName::new("p0"), true);
        host.arrive(1, booking_spec(host.now, 7, Some("key")));
        host.reply_to_claim(1, ClaimReply::Absent);
        let (attempt, ..) = first_dispatch(&host.reply_to_claim(1, ClaimReply::Granted)).unwrap();
        let mut effects = host.end(attempt, CONNECTION_LOST);
        let key = RequestKey(1);
        while contains(&effects, is_execution_check) {
            let ran = Some(ran);
            effects = host.reduce(RequestEvent::ExecutionChecked { key, ran });
            effects.extend(host.advance(2_000));
        }
        assert_eq!(first_dispatch(&effects), None);
        if ran {
            assert!(contains(&effects, is_record));
            let effects = host.reduce(RequestEvent::AnswerRecorded { key, stored: true });
            assert!(contains(&effects, is_replay));
        } else {
            let lost = (RefusalCode::AnswerLost, RequestOutcome::Unknown);
            assert_eq!(first_refusal(&effects), Some(lost));
            assert!(!contains(&effects, is_release));
        }
    }
}

// Guards against a second run of a call that a service ran before it answered 503, and against
// reporting `not_run` for it.
#[test]
fn refused_call_that_was_sent_counts_as_possibly_run() {
    for status in [503, 500] {
        let mut host = TestHost::new(1, &targets(0, 2));
        // Only `p1` keeps records.
        host.routes.set_leaving(&TargetName::new("p0"), true);
        host.arrive(1, booking_spec(host.now, 7, Some("key")));
        host.reply_to_claim(1, ClaimReply::Absent);
        let (attempt, ..) = first_dispatch(&host.reply_to_claim(1, ClaimReply::Granted)).unwrap();
        let end = AttemptEnd::Refused {
            status,
            retry_after: Some(ClockTime::from_secs(1)),
        };
        let effects = host.end(attempt, end);
        assert!(contains(&effects, is_execution_check) && first_refusal(&effects).is_none());
        let key = RequestKey(1);
        let ran = Some(true);
        let effects = host.reduce(RequestEvent::ExecutionChecked { key, ran });
        assert!(contains(&effects, is_record) && first_dispatch(&effects).is_none());
    }
}

// Guards against callers that wait for ever for the claim of a crashed host, and against `not_run`
// for a call that the other host may have sent.
#[test]
fn claim_of_another_host_ends_in_doubt() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut effects = host.arrive(1, booking_spec(host.now, 7, Some("key")));
    let mut reads = 0;
    while first_refusal(&effects).is_none() {
        if contains(&effects, is_read) {
            reads += 1;
            host.reply_to_claim(1, held_claim(4711, "p0"));
        }
        effects = host.advance(20);
    }
    let in_doubt = (RefusalCode::InDoubt, RequestOutcome::Unknown);
    assert_eq!(first_refusal(&effects), Some(in_doubt));
    assert!(
        (5..60).contains(&reads),
        "expected 5 to 59 reads of the claim in 10 s, got {reads}"
    );
}

// Guards against dropping a running call when its caller leaves: repeats would not get its answer.
#[test]
fn claimed_call_goes_on_without_its_caller_and_is_recorded() {
    let (mut host, attempt, _) = host_with_dispatched_call(1);
    let key = RequestKey(1);
    let effects = host.reduce(RequestEvent::CallerDisconnected { key });
    assert!(matches!(effects[..], [RequestEffect::EmitSample { .. }]));
    let effects = host.end(attempt, AttemptEnd::Complete);
    assert!(contains(&effects, is_record) && !contains(&effects, is_finish));
}

// Guards against the release of the claim of a call that was sent and never answered.
#[test]
fn claim_of_a_lingering_call_is_never_released() {
    let (mut host, attempt, _) = host_with_dispatched_call(1);
    let key = RequestKey(1);
    host.reduce(RequestEvent::CallerDisconnected { key });
    let mut effects = Vec::new();
    while host.state.in_progress() > 0 {
        effects.extend(host.advance(1_000));
        // These events keep the attempt from reaching its idle timeout.
        effects.extend(host.reduce(RequestEvent::AttemptHead { attempt }));
    }
    assert!(!contains(&effects, is_release));
}

// Guards against running a call again if its caller has a part of the answer.
#[test]
fn resumed_call_without_a_claim_is_not_dispatched() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut spec = booking_spec(host.now, 7, Some("key"));
    spec.resume = Some(ResumePoint {
        attempt: AttemptId(99),
        target: TargetName::new("p0"),
        received_chunks: 1,
    });
    host.arrive(1, spec);
    let lost = Some((RefusalCode::AnswerLost, RequestOutcome::Unknown));
    assert_eq!(
        first_refusal(&host.reply_to_claim(1, ClaimReply::Absent)),
        lost
    );
}

// Guards against two runs of a call without a key, and against refusing such a call although
// nothing of it was sent.
#[test]
fn call_without_a_key_is_retried_only_if_nothing_was_sent() {
    let mut host = TestHost::new(1, &targets(0, 3));
    let effects = host.arrive(1, booking_spec(host.now, 7, None));
    let (attempt, first, _) = first_dispatch(&effects).unwrap();
    host.end(
        attempt,
        AttemptEnd::Failed {
            send_status: SendStatus::NotSent,
            connection_reset: false,
        },
    );
    let (attempt, second, _) = first_dispatch(&host.advance(500)).unwrap();
    assert_ne!(first, second);
    host.reduce(RequestEvent::AttemptSent { attempt });
    let lost = Some((RefusalCode::AnswerLost, RequestOutcome::Unknown));
    assert_eq!(first_refusal(&host.end(attempt, CONNECTION_LOST)), lost);
}
