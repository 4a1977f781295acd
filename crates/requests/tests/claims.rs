//! At most one run of a call that may not run twice.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;

const BROKEN: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::MaybeSent,
    connection_reset: false,
};

fn writes(effects: &[RequestEffect]) -> Option<ClaimId> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::WriteClaim { claim, .. } => Some(*claim),
        _ => None,
    })
}

fn any(effects: &[RequestEffect], wanted: fn(&RequestEffect) -> bool) -> bool {
    effects.iter().any(wanted)
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

fn is_ask(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::CheckExecution { .. })
}

fn is_replay(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::Replay { .. })
}

fn is_finish(effect: &RequestEffect) -> bool {
    matches!(effect, RequestEffect::Finish { .. })
}

fn held(claim: u128, target: &str) -> ClaimReply {
    ClaimReply::Held {
        claim: ClaimId(claim),
        digest: BodyDigest(7),
        target: Some(TargetName::new(target)),
    }
}

/// A host with a keyed call whose claim is being written; only `p1` keeps records.
fn claiming(instances: usize) -> (TestHost, ClaimId) {
    let mut host = TestHost::new(1, &targets(0, instances));
    let effects = host.arrive(1, booking(host.now, 7, Some("key")));
    assert!(any(&effects, is_read) && dispatch_in(&effects).is_none());
    let effects = host.claim(1, ClaimReply::Absent);
    assert_eq!(dispatch_in(&effects), None);
    let claim = writes(&effects).unwrap();
    (host, claim)
}

fn dispatched(instances: usize) -> (TestHost, AttemptId, TargetName) {
    let (mut host, _) = claiming(instances);
    let (attempt, target, _) = dispatch_in(&host.claim(1, ClaimReply::Granted)).unwrap();
    host.begin(attempt);
    (host, attempt, target)
}

// Guards against a dispatch on a claim that another host holds, and against giving up a claim that
// was written although its answer was lost.
#[test]
fn lost_table_answer_is_read_back() {
    let (mut host, claim) = claiming(1);
    let effects = host.claim(1, ClaimReply::Unknown);
    assert!(any(&effects, is_read) && dispatch_in(&effects).is_none());
    assert!(dispatch_in(&host.claim(1, held(claim.0, "p0"))).is_some());

    let (mut host, _) = claiming(1);
    host.claim(1, ClaimReply::Unknown);
    let effects = host.claim(1, held(4711, "p0"));
    assert_eq!(dispatch_in(&effects), None);
    assert!(any(&host.pass(100), is_read));
}

// Guards against a paused host that sends a call whose caller was told another outcome.
#[test]
fn grant_after_the_dispatch_window_is_released() {
    let (mut host, _) = claiming(1);
    host.now += ClockTime::from_secs(3);
    let effects = host.claim(1, ClaimReply::Granted);
    assert_eq!(dispatch_in(&effects), None);
    assert!(any(&effects, is_release));
    let refused = (RefusalCode::ClaimUnavailable, RequestOutcome::NotRun);
    assert_eq!(refusal_in(&effects), Some(refused));
}

// Guards against an orphan row: a write that arrives after its claim was given up, and that no
// release makes harmless, leaves the key in doubt for ever.
#[test]
fn claim_whose_write_may_be_late_is_released_although_the_row_is_absent() {
    let (mut host, claim) = claiming(1);
    host.claim(1, ClaimReply::Unknown);
    let mut effects = host.claim(1, ClaimReply::Absent);
    while writes(&effects).is_some() {
        host.claim(1, ClaimReply::Unknown);
        effects = host.claim(1, ClaimReply::Absent);
    }
    assert_eq!(refusal_in(&effects).unwrap().1, RequestOutcome::NotRun);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        RequestEffect::ReleaseClaim { claim: released, .. } if *released == claim
    )));
}

// Guards against a needless write to the table: a claim that was never written has nothing to
// release.
#[test]
fn claim_whose_write_failed_is_not_released() {
    let (mut host, _) = claiming(1);
    assert!(!any(&host.claim(1, ClaimReply::Failed), is_release));
}

// Guards against a claim that is written over a released row without the condition that refuses it
// after its own release.
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
    host.arrive(1, booking(host.now, 7, Some("key")));
    let effects = host.claim(1, ClaimReply::Released { version: 4 });
    assert_eq!(replaced_version(&effects), Some(Some(4)));
    // Another call was claimed and released in between.
    let effects = host.claim(1, ClaimReply::Released { version: 6 });
    assert_eq!(replaced_version(&effects), Some(Some(6)));
    assert!(dispatch_in(&host.claim(1, ClaimReply::Granted)).is_some());
}

// Guards against a row that names a target which never got the call: other hosts would ask it
// for the record, and the call would stay in doubt.
#[test]
fn moved_call_is_sent_once_its_claim_names_the_new_target() {
    let (mut host, _) = claiming(3);
    let (attempt, first, _) = dispatch_in(&host.claim(1, ClaimReply::Granted)).unwrap();
    let end = AttemptEnd::Failed {
        send_status: SendStatus::NotSent,
        connection_reset: false,
    };
    host.end(attempt, end);
    let effects = host.pass(500);
    assert_eq!(dispatch_in(&effects), None);
    let moved = |effects: &[RequestEffect]| {
        effects.iter().find_map(|effect| match effect {
            RequestEffect::RetargetClaim { claim, target, .. } => Some((*claim, target.clone())),
            _ => None,
        })
    };
    let (claim, second) = moved(&effects).unwrap();
    assert_ne!(first, second);
    // The answer is lost, and the row still names the first target.
    host.claim(1, ClaimReply::Unknown);
    let effects = host.claim(1, held(claim.0, first.as_str()));
    assert_eq!(dispatch_in(&effects), None);
    assert_eq!(moved(&effects), Some((claim, second.clone())));
    host.claim(1, ClaimReply::Unknown);
    let effects = host.claim(1, held(claim.0, second.as_str()));
    assert_eq!(dispatch_in(&effects).unwrap().1, second);
}

// Guards against asking the record of the target that a claim named before it was moved.
#[test]
fn record_is_asked_of_the_target_that_the_row_names_last() {
    let mut host = TestHost::new(1, &targets(0, 4));
    let mut effects = host.arrive(1, booking(host.now, 7, Some("key")));
    let mut named = "p1";
    let asked = loop {
        let ask = effects.iter().find_map(|effect| match effect {
            RequestEffect::CheckExecution { target, .. } => Some(target.clone()),
            _ => None,
        });
        if let Some(target) = ask {
            break target;
        }
        if any(&effects, is_read) {
            effects = host.claim(1, held(4711, named));
            named = "p3";
        } else {
            effects = host.pass(20);
        }
    };
    assert_eq!(asked, TargetName::new("p3"));
}

// Guards against a call that is sent to a target which the host holds for unusable, although the
// target itself has not reported that it leaves.
#[test]
fn granted_call_is_not_sent_to_a_target_that_was_told_to_leave() {
    let (mut host, _) = claiming(2);
    host.routes.set_leaving(&TargetName::new("p0"), true);
    host.routes.set_suspect(&TargetName::new("p1"), true);
    let effects = host.claim(1, ClaimReply::Granted);
    assert_eq!(dispatch_in(&effects), None);
}

// Guards against a dispatch after the caller was told `not_run`, and against releasing a claim
// while its write is under way, when it is not known whether there is anything to release.
#[test]
fn grant_after_the_deadline_is_released_and_not_dispatched() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut spec = booking(host.now, 7, Some("key"));
    spec.deadline = host.now + ClockTime::from_ms(500);
    host.arrive(1, spec);
    host.claim(1, ClaimReply::Absent);
    let effects = host.pass(600);
    assert_eq!(refusal_in(&effects).unwrap().1, RequestOutcome::NotRun);
    assert!(!any(&effects, is_release));
    let effects = host.claim(1, ClaimReply::Granted);
    assert_eq!(dispatch_in(&effects), None);
    assert!(any(&effects, is_release));
    assert_eq!(host.state.in_progress(), 0);
}

// Guards against calls that run without a claim while the table service is down.
#[test]
fn unreachable_table_refuses_claims_only() {
    let (mut host, _) = claiming(1);
    let effects = host.claim(1, ClaimReply::Failed);
    let refused = (RefusalCode::ClaimUnavailable, RequestOutcome::NotRun);
    assert_eq!(refusal_in(&effects), Some(refused));
    let mut spec = booking(host.now, 8, None);
    spec.idempotent = true;
    assert!(dispatch_in(&host.arrive(2, spec)).is_some());
}

// Guards against running another body under a used key.
#[test]
fn other_body_under_a_key_is_a_conflict() {
    let conflict = Some((RefusalCode::KeyConflict, RequestOutcome::NotRun));
    let (mut host, _) = claiming(1);
    let effects = host.arrive(2, booking(host.now, 8, Some("key")));
    assert_eq!(refusal_in(&effects), conflict);
    let digest = BodyDigest(8);
    let effects = host.claim(1, ClaimReply::Recorded { digest });
    assert_eq!(refusal_in(&effects), conflict);
}

// Guards against a repeat that runs beside the first call, and against an answer that is closed
// before it is recorded.
#[test]
fn repeat_in_this_host_waits_for_the_record_and_gets_the_stored_answer() {
    let (mut host, attempt, _) = dispatched(1);
    let effects = host.arrive(2, booking(host.now, 7, Some("key")));
    assert!(effects.is_empty());
    host.chunk(attempt, 0);
    let effects = host.end(attempt, AttemptEnd::Complete);
    assert!(any(&effects, is_record) && !any(&effects, is_finish));
    let key = RequestKey(1);
    let effects = host.reduce(RequestEvent::AnswerRecorded { key, stored: true });
    assert!(any(&effects, is_finish) && any(&effects, is_read));
    let digest = BodyDigest(7);
    assert!(any(
        &host.claim(2, ClaimReply::Recorded { digest }),
        is_replay
    ));
}

// Guards against a second dispatch after an unanswered one; only the target's record settles it.
#[test]
fn unanswered_call_is_settled_by_the_targets_record_or_stays_unknown() {
    for ran in [true, false] {
        let mut host = TestHost::new(1, &targets(0, 2));
        // Only `p1` keeps records.
        host.routes.set_leaving(&TargetName::new("p0"), true);
        host.arrive(1, booking(host.now, 7, Some("key")));
        host.claim(1, ClaimReply::Absent);
        let (attempt, ..) = dispatch_in(&host.claim(1, ClaimReply::Granted)).unwrap();
        let mut effects = host.end(attempt, BROKEN);
        let key = RequestKey(1);
        while any(&effects, is_ask) {
            let ran = Some(ran);
            effects = host.reduce(RequestEvent::ExecutionChecked { key, ran });
            effects.extend(host.pass(2_000));
        }
        assert_eq!(dispatch_in(&effects), None);
        if ran {
            assert!(any(&effects, is_record));
            let effects = host.reduce(RequestEvent::AnswerRecorded { key, stored: true });
            assert!(any(&effects, is_replay));
        } else {
            let lost = (RefusalCode::AnswerLost, RequestOutcome::Unknown);
            assert_eq!(refusal_in(&effects), Some(lost));
            assert!(!any(&effects, is_release));
        }
    }
}

// Guards against a second run of a call that a service ran before it answered 503, and against
// `not_run` for it.
#[test]
fn refusal_of_a_call_that_was_sent_proves_nothing() {
    for status in [503, 500] {
        let mut host = TestHost::new(1, &targets(0, 2));
        // Only `p1` keeps records.
        host.routes.set_leaving(&TargetName::new("p0"), true);
        host.arrive(1, booking(host.now, 7, Some("key")));
        host.claim(1, ClaimReply::Absent);
        let (attempt, ..) = dispatch_in(&host.claim(1, ClaimReply::Granted)).unwrap();
        let end = AttemptEnd::Refused {
            status,
            retry_after: Some(ClockTime::from_secs(1)),
        };
        let effects = host.end(attempt, end);
        assert!(any(&effects, is_ask) && refusal_in(&effects).is_none());
        let key = RequestKey(1);
        let ran = Some(true);
        let effects = host.reduce(RequestEvent::ExecutionChecked { key, ran });
        assert!(any(&effects, is_record) && dispatch_in(&effects).is_none());
    }
}

// Guards against a claim of a dead host that keeps its callers waiting for ever, and against
// `not_run` for a call that the other host may have sent.
#[test]
fn claim_of_another_host_ends_in_doubt() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut effects = host.arrive(1, booking(host.now, 7, Some("key")));
    let mut reads = 0;
    while refusal_in(&effects).is_none() {
        if any(&effects, is_read) {
            reads += 1;
            host.claim(1, held(4711, "p0"));
        }
        effects = host.pass(20);
    }
    let doubt = (RefusalCode::InDoubt, RequestOutcome::Unknown);
    assert_eq!(refusal_in(&effects), Some(doubt));
    assert!((5..60).contains(&reads), "{reads} reads in 10 s");
}

// Guards against dropping a call that runs: its answer would be lost to every repeat.
#[test]
fn claimed_call_goes_on_without_its_caller_and_is_recorded() {
    let (mut host, attempt, _) = dispatched(1);
    let key = RequestKey(1);
    let effects = host.reduce(RequestEvent::CallerDisconnected { key });
    assert!(matches!(effects[..], [RequestEffect::EmitSample { .. }]));
    let effects = host.end(attempt, AttemptEnd::Complete);
    assert!(any(&effects, is_record) && !any(&effects, is_finish));
}

// Guards against deleting the claim of a call that was sent and never answered.
#[test]
fn claim_of_a_lingering_call_is_never_released() {
    let (mut host, attempt, _) = dispatched(1);
    let key = RequestKey(1);
    host.reduce(RequestEvent::CallerDisconnected { key });
    let mut effects = Vec::new();
    while host.state.in_progress() > 0 {
        effects.extend(host.pass(1_000));
        // Chunks keep the connection from being taken for a silent one.
        effects.extend(host.reduce(RequestEvent::AttemptHead { attempt }));
    }
    assert!(!any(&effects, is_release));
}

// Guards against running a call again whose caller holds a part of its answer.
#[test]
fn resumed_call_without_a_claim_is_not_dispatched() {
    let mut host = TestHost::new(1, &targets(0, 1));
    let mut spec = booking(host.now, 7, Some("key"));
    spec.resume = Some(ResumePoint {
        attempt: AttemptId(99),
        target: TargetName::new("p0"),
        received_chunks: 1,
    });
    host.arrive(1, spec);
    let lost = Some((RefusalCode::AnswerLost, RequestOutcome::Unknown));
    assert_eq!(refusal_in(&host.claim(1, ClaimReply::Absent)), lost);
}

// Guards against two runs of a call without a key, and against refusing it although nothing of it
// was sent.
#[test]
fn call_without_a_key_is_retried_only_if_nothing_was_sent() {
    let mut host = TestHost::new(1, &targets(0, 3));
    let effects = host.arrive(1, booking(host.now, 7, None));
    let (attempt, first, _) = dispatch_in(&effects).unwrap();
    host.end(
        attempt,
        AttemptEnd::Failed {
            send_status: SendStatus::NotSent,
            connection_reset: false,
        },
    );
    let (attempt, second, _) = dispatch_in(&host.pass(500)).unwrap();
    assert_ne!(first, second);
    host.reduce(RequestEvent::AttemptSent { attempt });
    let lost = Some((RefusalCode::AnswerLost, RequestOutcome::Unknown));
    assert_eq!(refusal_in(&host.end(attempt, BROKEN)), lost);
}
