//! Answer checks, statistics and the address book.

use crocusyard_base::prelude::*;
use crocusyard_border::callers::{AddressList, EntryAddress};
use crocusyard_load::check::check_runs;
use crocusyard_load::prelude::*;
use crocusyard_load::stats::quantile;
use crocusyard_standins::answers::answer_token;
use std::collections::{BTreeMap, BTreeSet};

fn check_with(indexes: &[u32]) -> StreamCheck {
    let mut check = StreamCheck::new("chalk", "which", 4);
    for index in indexes {
        check.push_token(&answer_token("chalk", "which", *index));
    }
    check
}

/// Guards against a check that overlooks wrong, missing or repeated tokens, or those of another
/// call.
#[test]
fn the_stream_check_finds_every_defect() {
    assert_eq!(check_with(&[0, 1, 2, 3]).defects(true), []);
    assert_eq!(check_with(&[0, 1, 2]).defects(true), [CallDefect::Partial]);
    assert_eq!(check_with(&[0, 1, 2]).defects(false), []);
    let repeated = check_with(&[0, 1, 1, 2, 3]);
    assert_eq!(repeated.defects(true), [CallDefect::Duplicate]);
    let skipped = check_with(&[0, 2, 3]).defects(true);
    assert_eq!(skipped, [CallDefect::Wrong, CallDefect::Partial]);
    let longer = check_with(&[0, 1, 2, 3, 4]);
    assert_eq!(longer.defects(true), [CallDefect::Wrong]);
    let mut mixed_up = check_with(&[0, 1, 2, 3]);
    mixed_up.push_token(&answer_token("chalk", "another call", 0));
    assert_eq!(mixed_up.defects(true), [CallDefect::Wrong]);
}

/// Guards against a check that accepts a partial answer or that of another call.
#[test]
fn the_plain_check_finds_every_defect() {
    let check = PlainCheck {
        method: "POST",
        path: "/orders",
        query: "",
        body: "chalk",
    };
    let correct = br#"{"method":"POST","path":"/orders","query":"","body":"chalk","run":1}"#;
    assert_eq!(check.defect(correct), None);
    assert_eq!(check.defect(&correct[..40]), Some(CallDefect::Partial));
    assert_eq!(check.defect(b""), Some(CallDefect::Partial));
    let mixed_up = br#"{"method":"POST","path":"/orders","query":"","body":"slate","run":1}"#;
    assert_eq!(check.defect(mixed_up), Some(CallDefect::Wrong));
}

/// Guards against a check that overlooks calls that ran on two instances, and answered calls that
/// never ran.
#[test]
fn runs_are_added_over_the_instances() {
    let runs = |pairs: &[(&str, u64)]| -> BTreeMap<String, u64> {
        pairs
            .iter()
            .map(|(key, n)| ((*key).to_owned(), *n))
            .collect()
    };
    let keys =
        |keys: &[&str]| -> BTreeSet<String> { keys.iter().map(|key| (*key).to_owned()).collect() };
    let reports = [runs(&[("a", 1), ("other", 2)]), runs(&[("a", 1), ("b", 1)])];
    let found = check_runs(
        &reports,
        &keys(&["a", "b", "c", "d"]),
        &keys(&["a", "b", "c"]),
    );
    assert_eq!(found, (1, 1));
}

/// Guards against attainment that leaves out refused, late or defective calls.
#[test]
fn attainment_counts_every_planned_call() {
    let at = ClockTime::from_ms(1500);
    let good = CallResult {
        is_whole: true,
        first_us: Some(200_000),
        gaps_us: vec![40_000; 19].into_iter().chain([90_000]).collect(),
        tokens: 21,
        ..CallResult::default()
    };
    let late = CallResult {
        first_us: Some(1_800_000),
        ..good.clone()
    };
    let slow = CallResult {
        gaps_us: vec![47_000; 20],
        ..good.clone()
    };
    let refused = CallResult {
        refusals: vec!["queue_full".to_owned()],
        ..CallResult::default()
    };
    let wrong = CallResult {
        is_whole: false,
        defects: vec![CallDefect::Wrong],
        ..good.clone()
    };
    let mut stats = LoadStats::default();
    for result in [&good, &late, &slow, &refused, &wrong] {
        stats.record_planned("interactive", at);
        stats.record_result("interactive", at, result);
    }
    stats.record_planned("interactive", at);
    let report = stats.report(1, ClockTime::from_secs(2));
    let class = &report.classes[0];
    assert_eq!((class.planned, class.whole), (6, 3));
    assert!((class.attainment - 1.0 / 6.0).abs() < 1e-9);
    assert!(!class.meets_limits);
    assert!((report.goodput - 0.5).abs() < 1e-9);
    assert_eq!(report.refusals["queue_full"], 1);
    assert_eq!(report.defects.wrong, 1);
    assert_eq!(report.seconds[1].planned, 6);
}

/// Guards against limits that are reported as met because refused calls are left out.
#[test]
fn refused_calls_count_as_late() {
    let at = ClockTime::ZERO;
    let good = CallResult {
        is_whole: true,
        first_us: Some(200_000),
        ..CallResult::default()
    };
    let meets_limits = |good_calls: u32, refused_calls: u32| {
        let mut stats = LoadStats::default();
        let results = (0..good_calls).map(|_| good.clone());
        let refused = (0..refused_calls).map(|_| CallResult::default());
        for result in results.chain(refused) {
            stats.record_planned("interactive", at);
            stats.record_result("interactive", at, &result);
        }
        stats.report(1, ClockTime::from_secs(1)).classes[0].meets_limits
    };
    assert!(meets_limits(95, 5));
    assert!(!meets_limits(94, 6));
}

/// Guards against a quantile that is off by one rank, or fails if there are no values.
#[test]
fn quantiles_take_the_nearest_rank() {
    let values: Vec<u64> = (1..=20).rev().collect();
    assert_eq!(quantile(&values, 0.95), 19);
    assert_eq!(quantile(&values, 1.0), 20);
    assert_eq!(quantile(&[], 0.95), 0);
}

/// Guards against using an address that is expired, has weight 0, has failed or is off loopback.
#[test]
fn the_address_book_follows_the_answer() {
    let entry = |address: &str, weight| EntryAddress {
        host: String::new(),
        address: address.to_owned(),
        weight,
        domain: "plaza-mayor".to_owned(),
    };
    let list = AddressList {
        addresses: vec![
            entry("127.0.0.1:1", 3),
            entry("127.0.0.1:2", 1),
            entry("127.0.0.1:3", 0),
            entry("192.0.2.1:4", 9),
        ],
        ttl_ms: 500,
    };
    let mut book = AddressBook::default();
    book.store("model=a", &list, ClockTime::from_ms(100));
    assert!(book.has_fresh("model=a", ClockTime::from_ms(599)));
    assert!(!book.has_fresh("model=a", ClockTime::from_ms(600)));
    assert!(!book.has_fresh("model=b", ClockTime::from_ms(100)));
    assert_eq!(book.refused(), 1);
    let mut random = crocusyard_base::random::seeded_rng(1);
    let mut ports = BTreeMap::new();
    for _ in 0..1000 {
        let chosen = book
            .choose("model=a", &[], &mut random)
            .expect("an address can be chosen");
        *ports.entry(chosen.port()).or_insert(0) += 1;
    }
    assert_eq!(ports.len(), 2);
    assert!((700..800).contains(&ports[&1]), "{ports:?}");
    let tried = ["127.0.0.1:1".parse().expect("the address is valid")];
    let next = book
        .choose("model=a", &tried, &mut random)
        .expect("another address can be chosen");
    assert_eq!(next.port(), 2);
}
