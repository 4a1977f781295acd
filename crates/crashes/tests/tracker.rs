//! Evidence of crashes at one host: which causes are blamed, cleared and tried again.

use crocusyard_base::prelude::*;
use crocusyard_crashes::prelude::*;

const PART: CrashCause = CrashCause::Part(7);
const CALL: CrashCause = CrashCause::Call(7);
/// Time after the last crash at which a trial runs.
const TRIAL_MS: u64 = 30_000;

fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

/// Report of a crash at the present time, whose lost calls were sent 100 ms before.
fn report(target: &str, incarnation: u64, causes: &[CrashCause]) -> CrashReport {
    let causes = causes.iter().map(|cause| LostCause {
        cause: *cause,
        sent_age: ms(100),
    });
    CrashReport {
        target: TargetName::new(target),
        incarnation,
        age: ClockTime::ZERO,
        causes: causes.collect(),
    }
}

/// A tracker that has received three crashes with `cause`, a second apart from 10 s on.
fn blaming(cause: CrashCause) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for number in 0..3 {
        let now = ms(10_000 + number * 1_000);
        tracker.receive_report(&report("t", number, &[cause]), now);
    }
    tracker
}

/// Guards against a call that crashes one target after another.
#[test]
fn call_that_broke_three_incarnations_is_refused() {
    let now = ms(5_000);
    let mut tracker = CrashTracker::default();
    tracker.receive_report(&report("t1", 1, &[CALL]), now);
    tracker.receive_report(&report("t1", 1, &[CALL]), now);
    tracker.receive_report(&report("t1", 2, &[CALL]), now);
    assert_eq!(
        tracker.judge(&[CALL], now),
        CauseVerdict::Allowed,
        "a second report of the same incarnation was counted"
    );
    tracker.receive_report(&report("t2", 1, &[CALL]), now);
    assert_eq!(
        tracker.judge(&[CALL], now),
        CauseVerdict::Refused(ms(TRIAL_MS))
    );
    assert_eq!(
        tracker.judge(&[CrashCause::Call(8)], now),
        CauseVerdict::Allowed
    );
}

/// Guards against trials in a row: a trial of a part that still crashes targets costs a target.
#[test]
fn trials_are_single_and_further_and_further_apart() {
    let mut tracker = blaming(PART);
    let first = 12_000 + TRIAL_MS;
    assert_eq!(
        tracker.judge(&[PART], ms(first - 1)),
        CauseVerdict::Refused(ms(1))
    );
    assert_eq!(tracker.judge(&[PART], ms(first)), CauseVerdict::Trial);
    let wait = CauseVerdict::Refused(ms(2 * TRIAL_MS));
    assert_eq!(tracker.judge(&[PART], ms(first)), wait);
    let second = first + 2 * TRIAL_MS;
    assert_eq!(tracker.judge(&[PART], ms(second)), CauseVerdict::Trial);
    let wait = CauseVerdict::Refused(ms(4 * TRIAL_MS));
    assert_eq!(tracker.judge(&[PART], ms(second)), wait);
}

/// Guards against hosts that each run a trial of their own.
#[test]
fn trial_of_another_host_counts() {
    let (mut own, mut other) = (blaming(PART), blaming(PART));
    let now = ms(12_000 + TRIAL_MS);
    assert_eq!(own.judge(&[PART], now), CauseVerdict::Trial);
    other.receive_evidence(&own.evidence(now), now);
    let verdict = other.judge(&[PART], now);
    assert!(matches!(verdict, CauseVerdict::Refused(_)), "{verdict:?}");
}

/// Guards against a part that stays blamed after a complete answer, at this and at other hosts.
#[test]
fn complete_answer_ends_the_blame_everywhere() {
    let (mut own, mut other) = (blaming(PART), blaming(PART));
    let now = ms(14_000);
    own.record_complete(&[PART], ms(13_000), now);
    assert_eq!(own.judge(&[PART], now), CauseVerdict::Allowed);
    let news = own.take_news(9, 0.0, now);
    other.receive_evidence(&news, now);
    assert_eq!(other.judge(&[PART], now), CauseVerdict::Allowed);
}

/// Guards against blame because of calls that broke while their targets stayed alive.
#[test]
fn target_that_answers_after_its_crash_has_not_crashed() {
    let (mut own, mut other) = (CrashTracker::default(), CrashTracker::default());
    for number in 0..3 {
        let now = ms(10_000 + number * 1_000);
        let report = report("t", number, &[PART]);
        own.receive_report(&report, now);
        other.receive_report(&report, now);
        let target = TargetName::new("t");
        own.record_answer(&target, number, now + ms(10), now + ms(200));
        let news = own.take_news(9, 0.0, now + ms(200));
        other.receive_evidence(&news, now + ms(200));
        // A late copy of the report counts no more than the first.
        other.receive_report(&report, now + ms(300));
    }
    for tracker in [&mut own, &mut other] {
        assert_eq!(tracker.judge(&[PART], ms(13_000)), CauseVerdict::Allowed);
    }
}

/// Guards against blame of a part in many calls when many targets crash at the same time.
#[test]
fn targets_that_crash_together_blame_no_part() {
    let mut tracker = CrashTracker::default();
    for number in 0..20 {
        tracker.receive_report(&report(&format!("t{number}"), 1, &[PART]), ms(10_000));
    }
    assert_eq!(tracker.judge(&[PART], ms(10_000)), CauseVerdict::Allowed);
}

/// Guards against blame of a sound part that was in calls beside those with the blamed one.
#[test]
fn crashes_by_a_blamed_part_count_against_no_other() {
    let mut tracker = blaming(PART);
    let other = CrashCause::Part(8);
    for number in 3..9 {
        let now = ms(10_000 + number * 1_000);
        tracker.receive_report(&report("t", number, &[PART, other]), now);
    }
    assert_eq!(tracker.judge(&[other], ms(19_000)), CauseVerdict::Allowed);
}

/// Guards against the same when the host that lost the call with the blamed part is another one, and
/// when the blamed part has crashed more targets than are kept.
#[test]
fn crashes_by_a_blamed_part_count_against_no_other_at_other_hosts() {
    let mut tracker = blaming(PART);
    let other = CrashCause::Part(8);
    for number in 3..30 {
        let now = ms(10_000 + number * 1_000);
        tracker.receive_report(&report("t", number, &[PART]), now);
        if number % 4 == 0 {
            tracker.receive_report(&report("t", number, &[other]), now);
        }
    }
    assert_eq!(tracker.judge(&[other], ms(41_000)), CauseVerdict::Allowed);
}

/// Guards against a sound part that is blamed first and takes its crashes from the part that caused
/// them, which is then found late.
#[test]
fn part_with_more_crashes_clears_the_one_that_was_blamed_beside_it() {
    let mut tracker = CrashTracker::default();
    let sound = CrashCause::Part(8);
    tracker.receive_report(&report("t", 0, &[sound]), ms(9_000));
    for number in 1..=2 {
        let now = ms(10_000 + number * 1_000);
        tracker.receive_report(&report("t", number, &[sound, PART]), now);
    }
    assert!(tracker.is_blamed(&[sound]));
    tracker.receive_report(&report("t", 3, &[PART]), ms(13_000));
    assert!(tracker.is_blamed(&[PART]), "the part is found late");
    tracker.receive_report(&report("t", 4, &[PART]), ms(14_000));
    assert_eq!(tracker.judge(&[sound], ms(14_000)), CauseVerdict::Allowed);
}

/// Guards against a host that goes on to refuse a sound part because it missed the news of a
/// complete answer, or of an answer of a target that was reported as crashed.
#[test]
fn host_that_missed_the_news_hears_it_again() {
    let now = ms(14_000);
    let (mut own, mut other) = (blaming(PART), blaming(PART));
    own.record_complete(&[PART], ms(13_000), now);
    let lost = own.take_news(9, 0.0, now);
    assert!(!lost.is_empty());
    own.receive_evidence(&other.evidence(now), now);
    let news = own.take_news(9, 0.0, now);
    other.receive_evidence(&news, now);
    assert_eq!(other.judge(&[PART], now), CauseVerdict::Allowed);

    let (mut own, mut other) = (blaming(PART), blaming(PART));
    own.record_answer(&TargetName::new("t"), 2, ms(12_100), ms(12_200));
    let lost = own.take_news(9, 0.0, now);
    assert!(!lost.is_empty());
    own.receive_evidence(&other.evidence(now), now);
    let news = own.take_news(9, 0.0, now);
    other.receive_evidence(&news, now);
    assert_eq!(other.judge(&[PART], now), CauseVerdict::Allowed);
}

/// Guards against reports and memory that grow without end when each call has parts of its own.
#[test]
fn new_parts_in_each_call_take_bounded_memory_and_messages() {
    const CALLS: u64 = 200_000;
    let mut tracker = CrashTracker::default();
    for number in 0..CALLS {
        let now = ms(10_000 + number);
        let parts: Vec<CrashCause> = (0..4)
            .map(|index| CrashCause::Part(number * 4 + index))
            .collect();
        let target = TargetName::new(&format!("t{}", number % 8));
        tracker.record_lost(
            &LostCall {
                target: &target,
                incarnation: number / 1_000,
                causes: &parts,
                sent_at: now,
            },
            now,
        );
        tracker.record_complete(&parts[..1], now, now);
        for report in tracker.take_reports(now, |_, _| None) {
            let bytes = serde_json::to_vec(&report).expect("a report").len();
            assert!(bytes < 60_000, "a report of {bytes} bytes");
        }
        tracker.take_news(9, 0.0, now);
    }
    let suspects = tracker.suspect_count();
    assert!(suspects <= 4_096 + 256, "{suspects} suspected causes");
    assert_eq!(tracker.blamed().count(), 0);
}
