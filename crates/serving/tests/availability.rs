//! Outages of the store for all targets, told apart from the trouble of a single host.

mod common;

use common::{ms, record};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;

/// Interval between two writes of each target.
const HEARTBEAT: ClockTime = ClockTime::from_ms(1_200);
/// Interval between two polls of a host.
const POLL: u64 = 600;
/// Time after the end of an outage within which targets have written their entries again.
const REWRITE_TIME: u64 = 2_000;

/// A host whose polls at `times` the store has answered.
fn host_that_polled(times: impl Iterator<Item = u64>) -> StoreAvailability {
    let mut availability = StoreAvailability::new(HEARTBEAT);
    for time in times {
        availability.record_answer(ms(time), ms(time + 5));
    }
    availability
}

fn polls(from: u64, to: u64) -> impl Iterator<Item = u64> {
    (from..to).step_by(POLL as usize)
}

/// Guards against removals that are held back although the store answers.
#[test]
fn polled_store_is_available() {
    let availability = host_that_polled(polls(0, 10_000));
    assert!(!availability.is_recovering(ms(10_000)));
}

/// Guards against removals that are used although their targets lost their entries in an outage
/// and have had no time to write them again.
#[test]
fn outage_for_all_hosts_is_detected() {
    let mut first = host_that_polled(polls(0, 10_000));
    let mut second = host_that_polled(polls(300, 10_000));
    let (end, now) = (16_000, 16_400);
    for host in [&mut first, &mut second] {
        assert!(host.is_recovering(ms(end)), "the outage is not seen");
        host.record_answer(ms(end + 100), ms(end + 105));
    }
    let report = second.report(ms(now)).expect("answers are known");
    first.receive_report(&report, ms(now));
    assert!(first.is_recovering(ms(now)));
    for time in polls(end + 700, end + 5_000) {
        first.record_answer(ms(time), ms(time + 5));
        assert!(first.is_recovering(ms(time)) || time > end + REWRITE_TIME);
    }
    assert!(!first.is_recovering(ms(end + 5_000)));
}

/// Guards against a host that takes its own failed calls for an outage of the store, although the
/// store answers other hosts all the while.
#[test]
fn outage_for_one_host_is_no_outage() {
    for outage in [1_600, 3_000, 8_000, 30_000] {
        let mut cut_off = host_that_polled(polls(0, 10_000));
        let end = 10_000 + outage;
        for now in polls(10_000, end) {
            let peer = host_that_polled(polls(0, now));
            let report = peer.report(ms(now)).expect("answers are known");
            cut_off.receive_report(&report, ms(now));
        }
        cut_off.record_answer(ms(end + 100), ms(end + 105));
        assert!(
            !cut_off.is_recovering(ms(end + 105)),
            "an outage of {outage} ms for one host passes for one of the store"
        );
    }
}

/// Guards against a host that was frozen, or cut off from everything, and takes that time for an
/// outage of the store: the first report of another host that it reads afterwards corrects it.
#[test]
fn one_report_after_a_freeze_is_enough() {
    let mut frozen = host_that_polled(polls(0, 10_000));
    let end = 17_000;
    frozen.record_answer(ms(end), ms(end + 5));
    assert!(frozen.is_recovering(ms(end + 5)));
    let peer = host_that_polled(polls(0, end));
    let report = peer.report(ms(end + 200)).expect("answers are known");
    frozen.receive_report(&report, ms(end + 200));
    assert!(!frozen.is_recovering(ms(end + 200)));
}

/// Guards against an old report that hides an outage: it was sent before the outage was noticed.
#[test]
fn report_from_before_an_outage_does_not_hide_it() {
    let mut host = host_that_polled(polls(0, 10_000));
    let peer = host_that_polled(polls(300, 10_000));
    let end = 14_000;
    host.record_answer(ms(end), ms(end + 5));
    let report = peer.report(ms(end + 50)).expect("answers are known");
    host.receive_report(&report, ms(end + 50));
    assert!(host.is_recovering(ms(end + 50)));
}

/// Guards against a removal that is held back until some later poll, or for ever if no target
/// writes any more.
#[test]
fn held_removal_is_used_after_the_recovery_time() {
    let mut reader = ListReader::default();
    let gone = TargetName::new("gone");
    let entry = ListEntry {
        name: gone.clone(),
        record: None,
        version: 1,
    };
    let change = reader.read(vec![entry], true, ms(0));
    assert!(change.removed.is_empty());
    assert_eq!(change.held_back, std::slice::from_ref(&gone));
    assert!(reader.release(true, ms(REWRITE_TIME)).is_empty());
    let released = (REWRITE_TIME..10_000)
        .find(|time| !reader.clone().release(true, ms(*time)).is_empty())
        .expect("the removal is held back for ever");
    assert!(released <= 3_000, "held back for {released} ms");
    assert_eq!(reader.release(false, ms(REWRITE_TIME)), [gone]);
    assert!(reader.is_complete());
}

/// Guards against a target that wrote its entry again and is removed all the same.
#[test]
fn target_that_writes_again_is_not_removed() {
    let mut reader = ListReader::default();
    let name = TargetName::new("lapsed");
    let entry = |record| ListEntry {
        name: name.clone(),
        record,
        version: 1,
    };
    reader.read(vec![entry(None)], true, ms(0));
    reader.read(vec![entry(Some(record("lapsed", "a", &[])))], true, ms(600));
    assert!(reader.release(false, ms(1_000)).is_empty());
    assert!(reader.is_complete());
}

/// Guards against removals that are held back after the start of a host.
#[test]
fn start_of_a_host_is_no_outage() {
    let started = host_that_polled(polls(20_000, 20_100));
    assert!(!started.is_recovering(ms(20_100)));
}

/// Guards against a host that starts at the end of an outage, before or after another host gets
/// its first answer, and hides the outage from the other or does not learn of it.
#[test]
fn host_that_starts_after_an_outage_does_not_hide_it() {
    for start in [19_800, 20_000] {
        let mut started = host_that_polled(polls(start, start + 100));
        let mut other = host_that_polled(polls(0, 10_000));
        other.record_answer(ms(19_900), ms(19_905));
        let report = started.report(ms(20_100)).expect("answers are known");
        other.receive_report(&report, ms(20_100));
        assert!(other.is_recovering(ms(20_100)), "the outage is hidden");
        let report = other.report(ms(20_200)).expect("answers are known");
        started.receive_report(&report, ms(20_200));
        assert!(started.is_recovering(ms(20_200)), "the outage is not known");
        let witness = host_that_polled(polls(5_000, 20_200));
        let report = witness.report(ms(20_300)).expect("answers are known");
        for host in [&mut started, &mut other] {
            host.receive_report(&report, ms(20_300));
            assert!(!host.is_recovering(ms(20_300)), "there was no outage");
        }
    }
}
