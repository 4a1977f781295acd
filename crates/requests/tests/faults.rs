//! Retries, admission, crash-causing requests, silent connections and leaving targets.

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

/// Lets the wait of a blamed request pass, and the jittered wait for its next look.
fn pass_crash_pause(host: &mut TestHost) -> Vec<RequestEffect> {
    let mut effects = Vec::new();
    for _ in 0..10 {
        effects.extend(host.pass(200));
    }
    effects
}

// Guards against retries that multiply the load while every target is down.
#[test]
fn attempts_stay_below_the_budget_in_a_full_outage() {
    const REQUESTS: u64 = 5_000;
    let specs = targets(4, 0);
    let mut host = TestHost::new(1, &specs);
    let mut attempts = 0;
    for key in 0..REQUESTS {
        let mut effects = host.arrive(key, stream(host.now, u128::from(key)));
        effects.extend(host.pass(10));
        host.report(&specs, key + 2, &[]);
        while let Some(effect) = effects.pop() {
            if let RequestEffect::Dispatch { attempt, .. } = effect {
                attempts += 1;
                effects.extend(host.end(attempt, NOT_SENT));
            }
        }
    }
    assert!(attempts > REQUESTS / 2, "{attempts} attempts");
    assert!(attempts * 10 <= REQUESTS * 11, "{attempts} attempts");
}

// Guards against a retry on the target or in the failure domain that just failed.
#[test]
fn retry_goes_to_another_target() {
    let mut host = TestHost::new(1, &targets(4, 0));
    let effects = host.arrive(1, stream(host.now, 7));
    let (attempt, first, _) = dispatch_in(&effects).unwrap();
    assert_eq!(dispatch_in(&host.end(attempt, NOT_SENT)), None);
    let (_, second, _) = dispatch_in(&host.pass(500)).unwrap();
    assert_ne!(first, second);
}

// Guards against new attempts on a leaving target, and against cutting off one that runs there.
#[test]
fn leaving_target_gets_no_new_attempt_and_keeps_its_running_one() {
    let mut host = TestHost::new(1, &targets(2, 0));
    let effects = host.arrive(0, stream(host.now, 1));
    let (running, leaving, _) = dispatch_in(&effects).unwrap();
    host.routes.set_leaving(&leaving, true);
    for key in 1..50 {
        let effects = host.arrive(key, stream(host.now, u128::from(key)));
        assert!(dispatch_in(&effects).is_none_or(|dispatch| dispatch.1 != leaving));
    }
    host.begin(running);
    assert!(!host.chunk(running, 0).is_empty());
}

/// Returns a host that knows one engine, on which nothing is resident.
fn host_without_copies(engines: &[TargetSpec]) -> TestHost {
    let mut host = TestHost::new(1, engines);
    let mut report = report_of(&engines[0], 2);
    report.copies.clear();
    host.routes.apply_report(host.now, report);
    host
}

// Guards against refusing a model that only has to be loaded, and against one demand per request.
#[test]
fn missing_model_is_wanted_once_and_the_requests_wait() {
    let engines = targets(1, 0);
    let mut host = host_without_copies(&engines);
    let mut effects = host.arrive(1, stream(host.now, 7));
    effects.extend(host.arrive(2, stream(host.now, 8)));
    assert!(refusal_in(&effects).is_none(), "{effects:?}");
    let wanted = |effect: &&RequestEffect| matches!(effect, RequestEffect::DemandModel { .. });
    assert_eq!(effects.iter().filter(wanted).count(), 1);
    host.report(&engines, 3, &[]);
    let effects = host.pass(100);
    assert!(dispatch_in(&effects).is_some());
}

// Guards against a request that waits in vain for a model that cannot be loaded before its deadline.
#[test]
fn model_that_loads_too_slowly_is_refused_and_wanted() {
    let engines = targets(1, 0);
    let mut host = host_without_copies(&engines);
    let spec = stream(host.now, 7);
    let left = spec.deadline.since(host.now);
    let declare = |host: &mut TestHost, load_ms| {
        let model = ModelSpec {
            name: ModelName::new(MODEL),
            memory_bytes: 1,
            load_ms,
        };
        host.routes.set_models(&[model]);
    };
    declare(&mut host, left.as_ms());
    let effects = host.arrive(1, spec.clone());
    let refusal = (RefusalCode::Deadline, RequestOutcome::NotRun);
    assert_eq!(refusal_in(&effects), Some(refusal));
    let wanted = |effect: &RequestEffect| matches!(effect, RequestEffect::DemandModel { .. });
    assert!(effects.iter().any(wanted), "{effects:?}");
    declare(&mut host, left.as_ms() - 1);
    let effects = host.arrive(2, spec);
    assert!(refusal_in(&effects).is_none(), "{effects:?}");
}

// Guards against a request that crashes target after target, and against a caller's repeats of it.
#[test]
fn digest_is_refused_after_crashes_of_two_targets() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let mut effects = host.arrive(1, stream(host.now, 7));
    let mut crashed = Vec::new();
    let mut reports = 0;
    while refusal_in(&effects).is_none() {
        if let Some((attempt, target, _)) = dispatch_in(&effects) {
            host.reduce(RequestEvent::AttemptSent { attempt });
            crashed.push(target);
            effects = host.end(attempt, CRASHED);
            let reported =
                |effect: &&RequestEffect| matches!(effect, RequestEffect::ReportCrash { .. });
            reports += effects.iter().filter(reported).count();
        }
        effects.extend(host.pass(500));
    }
    assert_eq!((crashed.len(), reports), (2, 2));
    let suspect = |outcome| Some((RefusalCode::CrashSuspect, outcome));
    assert_eq!(refusal_in(&effects), suspect(RequestOutcome::Unknown));
    let again = host.arrive(2, stream(host.now, 7));
    assert_eq!(refusal_in(&again), suspect(RequestOutcome::NotRun));
    // A keyed call may be a repeat of one that ran, so it must not be told `not_run` unread.
    let keyed = host.arrive(3, booking(host.now, 7, Some("key")));
    assert_eq!(refusal_in(&keyed), None);
    // Blame expires.
    host.pass(700_000);
    assert_eq!(host.state.crash_suspects(), 0);
}

// Guards against repeats that crash many targets side by side once the first crash is known.
#[test]
fn blamed_digest_runs_once_at_a_time() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let digest = BodyDigest(7);
    let target = TargetName::new("e5");
    host.reduce(RequestEvent::CrashReported { digest, target });
    let mut effects = host.arrive(1, stream(host.now, 7));
    effects.extend(host.arrive(2, stream(host.now, 7)));
    effects.extend(pass_crash_pause(&mut host));
    effects.extend(pass_crash_pause(&mut host));
    let is_dispatch = |effect: &&RequestEffect| matches!(effect, RequestEffect::Dispatch { .. });
    assert_eq!(effects.iter().filter(is_dispatch).count(), 1);
}

// Guards against a third crash by a caller that goes on to the next host before the news of the
// second crash has reached it.
#[test]
fn blamed_digest_waits_for_news_of_another_crash() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let digest = BodyDigest(7);
    let crash = |name| RequestEvent::CrashReported {
        digest,
        target: TargetName::new(name),
    };
    host.reduce(crash("e4"));
    let effects = host.arrive(1, stream(host.now, 7));
    assert_eq!((dispatch_in(&effects), refusal_in(&effects)), (None, None));
    host.reduce(crash("e5"));
    let effects = pass_crash_pause(&mut host);
    assert_eq!(dispatch_in(&effects), None);
    let refusal = Some((RefusalCode::CrashSuspect, RequestOutcome::NotRun));
    assert_eq!(refusal_in(&effects), refusal);
}

// Guards against a model that nobody loads elsewhere because the last report of its only target,
// which is down, still lists it.
#[test]
fn model_whose_targets_all_fail_is_wanted() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let effects = host.arrive(1, stream(host.now, 7));
    let (attempt, ..) = dispatch_in(&effects).expect("request is dispatched");
    let wants = |effects: &[RequestEffect]| {
        let wanted = |effect: &RequestEffect| matches!(effect, RequestEffect::DemandModel { .. });
        effects.iter().any(wanted)
    };
    assert!(!wants(&effects));
    assert!(wants(&host.end(attempt, NOT_SENT)));
}

// Guards against a refusal that does not say when to come again although nothing was sent.
#[test]
fn request_that_reached_no_target_is_told_when_to_come_again() {
    let mut host = TestHost::new(1, &targets(6, 0));
    let mut effects = host.arrive(1, stream(host.now, 7));
    while let Some((attempt, ..)) = dispatch_in(&effects) {
        effects = host.end(attempt, NOT_SENT);
        // From the third attempt on, it waits as a blamed request does.
        effects.extend(pass_crash_pause(&mut host));
    }
    let refusal = effects.iter().find_map(|effect| match effect {
        RequestEffect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let refusal = refusal.expect("request is refused");
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

// Guards against innocent requests that stay blamed, and against a table without a bound.
#[test]
fn blame_is_cleared_by_completion_and_bounded() {
    let mut host = TestHost::new(1, &targets(3, 0));
    let target = TargetName::new("e0");
    for digest in 0..10_000 {
        let digest = BodyDigest(digest);
        let target = target.clone();
        host.reduce(RequestEvent::CrashReported { digest, target });
    }
    assert_eq!(host.state.crash_suspects(), 4_096);
    host.arrive(1, stream(host.now, 9_999));
    let (attempt, ..) = dispatch_in(&pass_crash_pause(&mut host)).unwrap();
    host.begin(attempt);
    let effects = host.end(attempt, AttemptEnd::Complete);
    let digest = BodyDigest(9_999);
    assert!(effects.contains(&RequestEffect::ReportCrashCleared { digest }));
    assert_eq!(host.state.crash_suspects(), 4_095);
}

// Guards against streams that hang on a dead connection, and against a probe per silent stream.
#[test]
fn silent_streams_share_one_probe_and_resume_on_a_new_connection() {
    let mut host = TestHost::new(1, &targets(1, 0));
    let mut first = Vec::new();
    for key in 0..20 {
        let effects = host.arrive(key, stream(host.now, u128::from(key)));
        let (attempt, ..) = dispatch_in(&effects).unwrap();
        host.begin(attempt);
        host.chunk(attempt, 0);
        first.push(attempt);
    }
    let target = TargetName::new("e0");
    let probe = |effect: &&RequestEffect| matches!(effect, RequestEffect::Probe { .. });
    let effects = host.pass(1_600);
    assert_eq!(effects.iter().filter(probe).count(), 1);
    // One stream shows that its own connection lives.
    host.now += ClockTime::from_ms(1);
    host.chunk(first[0], 1);
    let alive = true;
    let event = RequestEvent::ProbeEnded {
        target: target.clone(),
        alive,
    };
    let effects = host.reduce(event);
    assert!(effects.contains(&RequestEffect::ClosePool { target }));
    let effects = host.pass(100);
    let resume = |effect: &&RequestEffect| {
        matches!(
            effect,
            RequestEffect::Dispatch {
                resume: Some((_, 1)),
                ..
            }
        )
    };
    assert_eq!(effects.iter().filter(resume).count(), 19);
    assert_eq!(effects.iter().filter(probe).count(), 0);
}

// Guards against taking a busy target's long prefill for a dead connection.
#[test]
fn silence_limit_grows_with_the_load_report() {
    let specs = targets(1, 0);
    let mut host = TestHost::new(1, &specs);
    let mut report = report_of(&specs[0], 5);
    report.queued_tokens = 20_000;
    host.routes.apply_report(host.now, report);
    let (attempt, ..) = dispatch_in(&host.arrive(1, stream(host.now, 7))).unwrap();
    host.reduce(RequestEvent::AttemptSent { attempt });
    assert!(host.pass(5_900).is_empty());
    assert!(!host.pass(200).is_empty());
}
