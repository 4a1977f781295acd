//! Retries, admission, crash suspects, dead connections and leaving targets.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;

const NOT_SENT: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::NotSent,
    connection_reset: false,
};
const CRASHED: AttemptEnd = AttemptEnd::Failed {
    send_status: SendStatus::MaybeSent,
    connection_reset: true,
};

/// Advances past the wait of a suspected request for crash reports, and past the jittered backoff
/// until its next attempt.
fn wait_for_crash_reports(host: &mut TestHost) -> Vec<RequestEffect> {
    let mut effects = Vec::new();
    for _ in 0..10 {
        effects.extend(host.advance(200));
    }
    effects
}

// Guards against retries that multiply the load while all targets are down.
#[test]
fn attempts_stay_below_the_budget_in_a_full_outage() {
    const REQUESTS: u64 = 5_000;
    let specs = targets(4, 0);
    let mut host = TestHost::new(1, &specs);
    let mut attempts = 0;
    for key in 0..REQUESTS {
        let mut effects = host.arrive(key, stream_spec(host.now, u128::from(key)));
        effects.extend(host.advance(10));
        host.apply_reports(&specs, key + 2, &[]);
        while let Some(effect) = effects.pop() {
            if let RequestEffect::Dispatch { attempt, .. } = effect {
                attempts += 1;
                effects.extend(host.end(attempt, NOT_SENT));
            }
        }
    }
    assert!(
        attempts > REQUESTS / 2,
        "expected retries, got {attempts} attempts of {REQUESTS} requests"
    );
    assert!(
        attempts * 10 <= REQUESTS * 11,
        "expected at most 1.1 attempts per request, got {attempts} of {REQUESTS} requests"
    );
}

// Guards against a retry on the target, or in the failure domain, where the attempt just failed.
#[test]
fn retry_goes_to_another_target() {
    let mut host = TestHost::new(1, &targets(4, 0));
    let effects = host.arrive(1, stream_spec(host.now, 7));
    let (attempt, first, _) = first_dispatch(&effects).unwrap();
    assert_eq!(first_dispatch(&host.end(attempt, NOT_SENT)), None);
    let (_, second, _) = first_dispatch(&host.advance(500)).unwrap();
    assert_ne!(first, second);
}

// Guards against new attempts on a leaving target, and against ending an attempt that runs there.
#[test]
fn leaving_target_gets_no_new_attempt_and_keeps_its_running_one() {
    let mut host = TestHost::new(1, &targets(2, 0));
    let effects = host.arrive(0, stream_spec(host.now, 1));
    let (running, leaving, _) = first_dispatch(&effects).unwrap();
    host.routes.set_leaving(&leaving, true);
    for key in 1..50 {
        let effects = host.arrive(key, stream_spec(host.now, u128::from(key)));
        assert!(first_dispatch(&effects).is_none_or(|dispatch| dispatch.1 != leaving));
    }
    host.start_answer(running);
    assert!(!host.chunk(running, 0).is_empty());
}

/// Returns a host on whose first engine no model is resident.
fn host_without_copies(engines: &[TargetSpec]) -> TestHost {
    let mut host = TestHost::new(1, engines);
    let mut report = report_of(&engines[0], 2);
    report.copies.clear();
    host.routes.apply_report(host.now, report);
    host
}

// Guards against refusing requests for a model that only has to be loaded, and against reporting
// the missing model once for each request.
#[test]
fn missing_model_is_reported_once_and_the_requests_wait() {
    let engines = targets(1, 0);
    let mut host = host_without_copies(&engines);
    let mut effects = host.arrive(1, stream_spec(host.now, 7));
    effects.extend(host.arrive(2, stream_spec(host.now, 8)));
    assert!(
        first_refusal(&effects).is_none(),
        "unexpected refusal: {effects:?}"
    );
    let is_model_report =
        |effect: &&RequestEffect| matches!(effect, RequestEffect::ReportMissingModel { .. });
    assert_eq!(effects.iter().filter(is_model_report).count(), 1);
    host.apply_reports(&engines, 3, &[]);
    let effects = host.advance(100);
    assert!(first_dispatch(&effects).is_some());
}

// Guards against a request that waits in vain for a model that cannot be loaded before its
// deadline.
#[test]
fn model_that_loads_too_slowly_is_refused_and_reported() {
    let engines = targets(1, 0);
    let mut host = host_without_copies(&engines);
    let spec = stream_spec(host.now, 7);
    let time_left = spec.deadline.since(host.now);
    let set_load_time = |host: &mut TestHost, load_ms| {
        let model = ModelSpec {
            name: ModelName::new(MODEL),
            memory_bytes: 1,
            load_ms,
        };
        host.routes.set_models(&[model]);
    };
    set_load_time(&mut host, time_left.as_ms());
    let effects = host.arrive(1, spec.clone());
    let refusal = (RefusalCode::Deadline, RequestOutcome::NotRun);
    assert_eq!(first_refusal(&effects), Some(refusal));
    let is_model_report =
        |effect: &RequestEffect| matches!(effect, RequestEffect::ReportMissingModel { .. });
    assert!(
        effects.iter().any(is_model_report),
        "the missing model is not reported: {effects:?}"
    );
    set_load_time(&mut host, time_left.as_ms() - 1);
    let effects = host.arrive(2, spec);
    assert!(
        first_refusal(&effects).is_none(),
        "unexpected refusal: {effects:?}"
    );
}

// Guards against a request that crashes target after target, and against a caller's repeats of it.
#[test]
fn digest_is_refused_after_crashes_of_two_targets() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let mut effects = host.arrive(1, stream_spec(host.now, 7));
    let mut crashed = Vec::new();
    let mut reports = 0;
    while first_refusal(&effects).is_none() {
        if let Some((attempt, target, _)) = first_dispatch(&effects) {
            host.reduce(RequestEvent::AttemptSent { attempt });
            crashed.push(target);
            effects = host.end(attempt, CRASHED);
            let is_report =
                |effect: &&RequestEffect| matches!(effect, RequestEffect::ReportCrash { .. });
            reports += effects.iter().filter(is_report).count();
        }
        effects.extend(host.advance(500));
    }
    assert_eq!((crashed.len(), reports), (2, 2));
    let suspect = |outcome| Some((RefusalCode::CrashSuspect, outcome));
    assert_eq!(first_refusal(&effects), suspect(RequestOutcome::Unknown));
    let again = host.arrive(2, stream_spec(host.now, 7));
    assert_eq!(first_refusal(&again), suspect(RequestOutcome::NotRun));
    // A call with a key may be a repeat of one that ran, so its claim is read before it is refused.
    let keyed = host.arrive(3, booking_spec(host.now, 7, Some("key")));
    assert_eq!(first_refusal(&keyed), None);
    // Suspected digests expire.
    host.advance(700_000);
    assert_eq!(host.state.crash_suspects(), 0);
}

// Guards against repeats that run at the same time and crash many targets once the first crash is
// known.
#[test]
fn suspected_digest_runs_once_at_a_time() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let digest = BodyDigest(7);
    let target = TargetName::new("e5");
    host.reduce(RequestEvent::CrashReported { digest, target });
    let mut effects = host.arrive(1, stream_spec(host.now, 7));
    effects.extend(host.arrive(2, stream_spec(host.now, 7)));
    effects.extend(wait_for_crash_reports(&mut host));
    effects.extend(wait_for_crash_reports(&mut host));
    let is_dispatch = |effect: &&RequestEffect| matches!(effect, RequestEffect::Dispatch { .. });
    assert_eq!(effects.iter().filter(is_dispatch).count(), 1);
}

// Guards against a third crash by a caller that repeats its request at another host before the
// report of the second crash has reached that host.
#[test]
fn suspected_digest_waits_for_the_report_of_another_crash() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let digest = BodyDigest(7);
    let crash = |name| RequestEvent::CrashReported {
        digest,
        target: TargetName::new(name),
    };
    host.reduce(crash("e4"));
    let effects = host.arrive(1, stream_spec(host.now, 7));
    assert_eq!(
        (first_dispatch(&effects), first_refusal(&effects)),
        (None, None)
    );
    host.reduce(crash("e5"));
    let effects = wait_for_crash_reports(&mut host);
    assert_eq!(first_dispatch(&effects), None);
    let refusal = Some((RefusalCode::CrashSuspect, RequestOutcome::NotRun));
    assert_eq!(first_refusal(&effects), refusal);
}

// Guards against a missing model that is not reported because the last load report of its only
// target, which is down, still lists the model as resident.
#[test]
fn model_whose_targets_all_fail_is_reported() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let effects = host.arrive(1, stream_spec(host.now, 7));
    let (attempt, ..) = first_dispatch(&effects).expect("the request should be dispatched");
    let has_model_report = |effects: &[RequestEffect]| {
        let is_model_report =
            |effect: &RequestEffect| matches!(effect, RequestEffect::ReportMissingModel { .. });
        effects.iter().any(is_model_report)
    };
    assert!(!has_model_report(&effects));
    assert!(has_model_report(&host.end(attempt, NOT_SENT)));
}

// Guards against a refusal without `retry_after` although nothing was sent.
#[test]
fn request_that_reached_no_target_gets_a_retry_wait() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let mut effects = host.arrive(1, stream_spec(host.now, 7));
    while let Some((attempt, ..)) = first_dispatch(&effects) {
        effects = host.end(attempt, NOT_SENT);
        // From the third attempt on, the request waits like a suspected one.
        effects.extend(wait_for_crash_reports(&mut host));
    }
    let refusal = effects.iter().find_map(|effect| match effect {
        RequestEffect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("the request should be refused");
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

// Guards against requests that stay suspected after they completed, and against unbounded growth of
// the table of suspects.
#[test]
fn crash_suspects_are_cleared_by_completion_and_bounded() {
    let mut host = TestHost::new(1, &targets(3, 0));
    let target = TargetName::new("e0");
    for digest in 0..10_000 {
        let digest = BodyDigest(digest);
        let target = target.clone();
        host.reduce(RequestEvent::CrashReported { digest, target });
    }
    assert_eq!(host.state.crash_suspects(), 4_096);
    host.arrive(1, stream_spec(host.now, 9_999));
    let (attempt, ..) = first_dispatch(&wait_for_crash_reports(&mut host)).unwrap();
    host.start_answer(attempt);
    let effects = host.end(attempt, AttemptEnd::Complete);
    let digest = BodyDigest(9_999);
    assert!(effects.contains(&RequestEffect::ReportCrashCleared { digest }));
    assert_eq!(host.state.crash_suspects(), 4_095);
}

// Guards against streams that hang on a dead connection, and against a separate probe for each idle
// stream.
#[test]
fn idle_streams_share_one_probe_and_resume_on_a_new_connection() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let mut first = Vec::new();
    for key in 0..20 {
        let effects = host.arrive(key, stream_spec(host.now, u128::from(key)));
        let (attempt, ..) = first_dispatch(&effects).unwrap();
        host.start_answer(attempt);
        host.chunk(attempt, 0);
        first.push(attempt);
    }
    let target = TargetName::new("e0");
    let is_probe = |effect: &&RequestEffect| matches!(effect, RequestEffect::Probe { .. });
    let effects = host.advance(1_600);
    assert_eq!(effects.iter().filter(is_probe).count(), 1);
    // One stream gets a chunk, which shows that its connection works.
    host.now += ClockTime::from_ms(1);
    host.chunk(first[0], 1);
    let alive = true;
    let event = RequestEvent::ProbeEnded {
        target: target.clone(),
        alive,
    };
    let effects = host.reduce(event);
    assert!(effects.contains(&RequestEffect::ClosePool { target }));
    let effects = host.advance(100);
    let is_resume = |effect: &&RequestEffect| {
        matches!(
            effect,
            RequestEffect::Dispatch {
                resume: Some((_, 1)),
                ..
            }
        )
    };
    assert_eq!(effects.iter().filter(is_resume).count(), 19);
    assert_eq!(effects.iter().filter(is_probe).count(), 0);
}

// Guards against taking a busy target's long prefill for a dead connection.
#[test]
fn idle_timeout_grows_with_the_load_report() {
    let specs = targets(1, 0);
    let mut host = TestHost::new(1, &specs);
    let mut report = report_of(&specs[0], 5);
    report.queued_tokens = 20_000;
    host.routes.apply_report(host.now, report);
    let (attempt, ..) = first_dispatch(&host.arrive(1, stream_spec(host.now, 7))).unwrap();
    host.reduce(RequestEvent::AttemptSent { attempt });
    assert!(host.advance(5_900).is_empty());
    assert!(!host.advance(200).is_empty());
}
