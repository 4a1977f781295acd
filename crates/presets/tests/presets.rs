//! Tests of acceptance, of distribution and of whether hosts are up to date; each names the failure
//! that it guards against.

mod support;

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_presets::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use support::FakePlatform;

fn secs(secs: u64) -> ClockTime {
    ClockTime::from_secs(secs)
}

/// Returns the version in force on each host, 0 for none.
fn versions_in_force(platform: &FakePlatform) -> Vec<u64> {
    let hosts = platform.hosts.iter();
    let in_force = hosts.map(|host| host.state.in_force.map_or(0, |preset| preset.version));
    in_force.collect()
}

/// Guards against two acceptances of the same version that are both reported as committed.
#[test]
fn one_of_two_operators_wins() {
    let mut platform = FakePlatform::new(3, 1);
    platform.accept(0, 1, None);
    platform.accept(1, 2, None);
    platform.run_for(secs(5));
    let results = platform.hosts.iter().flat_map(|host| &host.results);
    let committed = results
        .clone()
        .filter(|(_, r)| matches!(r, AcceptResult::Committed(_)));
    let conflicting =
        results.filter(|(_, r)| matches!(r, AcceptResult::Conflict { found: Some(_) }));
    assert_eq!((committed.count(), conflicting.count()), (1, 1));
    assert_eq!(versions_in_force(&platform), [1, 1, 1]);
}

/// Guards against an edit of an old version that silently reverts the change of another operator.
#[test]
fn stale_base_is_a_conflict() {
    let mut platform = FakePlatform::new(3, 1);
    platform.accept(0, 1, Some(0));
    platform.run_for(secs(5));
    platform.accept(1, 2, Some(0));
    platform.run_for(secs(5));
    let (_, result) = platform.hosts[1].results[0];
    assert_eq!(
        result,
        AcceptResult::Conflict {
            found: platform.committed()
        }
    );
}

/// Runs one acceptance up to the transaction, whose answer is lost, and until the history row is
/// read.
///
/// Returns the number of that read, and the history row that the transaction would have written.
fn lose_answer(state: &mut PresetState, rng: &mut SeededRng) -> (u64, TableRow) {
    let mut out = Vec::new();
    let now = secs(1);
    let request = AcceptRequest {
        accept: AcceptId(7),
        body: b"body".as_slice().into(),
        author: "operator".into(),
        at_ms: 5,
        base_version: None,
    };
    reduce(state, now, rng, PresetEvent::Accept(request), &mut out);
    let stored = PresetEvent::BodyStored {
        call: 1,
        stored: true,
    };
    reduce(state, now, rng, stored, &mut out);
    let mut answer_call = |call, answer, now, out: &mut Vec<PresetEffect>| {
        reduce(
            state,
            now,
            rng,
            PresetEvent::TableAnswered { call, answer },
            out,
        );
    };
    answer_call(2, TableAnswer::Row(None), now, &mut out);
    answer_call(3, TableAnswer::Unknown, now, &mut out);
    let history_change = out.iter().find_map(|effect| match effect {
        PresetEffect::Table {
            request: TableCall::Transact { changes },
            ..
        } => Some(changes[1].clone()),
        _ => None,
    });
    let change =
        history_change.expect("the acceptance must send a transaction after the pointer was read");
    let row = TableRow {
        key: change.key,
        version: 1,
        value: change
            .value
            .expect("the transaction must write a value to the history row"),
    };
    reduce(state, secs(2), rng, PresetEvent::Tick, &mut out);
    let read = out.iter().rev().find_map(|effect| match effect {
        PresetEffect::Table {
            call,
            request: TableCall::Get { key },
        } if *key == row.key => Some(*call),
        _ => None,
    });
    (
        read.expect("the acceptance must read the history row after the answer was lost"),
        row,
    )
}

/// Returns the last outcome of an acceptance among the effects.
fn last_result(out: &[PresetEffect]) -> Option<AcceptResult> {
    out.iter().rev().find_map(|effect| match effect {
        PresetEffect::AcceptDone { result, .. } => Some(*result),
        _ => None,
    })
}

/// Guards against a committed version that is reported as failed because the table's answer was
/// lost.
#[test]
fn lost_answer_is_resolved_by_reading_back() {
    let mut state = PresetState::new(PresetSettings::default());
    let mut rng = seeded_rng(1);
    let (call, row) = lose_answer(&mut state, &mut rng);
    let mut out = Vec::new();
    let answer = TableAnswer::Row(Some(row));
    let event = PresetEvent::TableAnswered { call, answer };
    reduce(&mut state, secs(2), &mut rng, event, &mut out);
    assert!(matches!(last_result(&out), Some(AcceptResult::Committed(p)) if p.version == 1));
}

/// Guards against an acceptance that reports a conflict with the first copy of its own transaction,
/// which arrived after the history row was read.
#[test]
fn late_first_copy_is_no_conflict() {
    let mut state = PresetState::new(PresetSettings::default());
    let mut rng = seeded_rng(1);
    let (call, row) = lose_answer(&mut state, &mut rng);
    let mut out = Vec::new();
    let answer = TableAnswer::Row(None);
    let event = PresetEvent::TableAnswered { call, answer };
    reduce(&mut state, secs(2), &mut rng, event, &mut out);
    let Some(PresetEffect::Table {
        call,
        request: TableCall::Transact { .. },
    }) = out.last()
    else {
        panic!("the acceptance must repeat the transaction as its last effect: {out:?}");
    };
    let answer = TableAnswer::Conflict { rows: vec![row] };
    let event = PresetEvent::TableAnswered {
        call: *call,
        answer,
    };
    reduce(&mut state, secs(2), &mut rng, event, &mut out);
    assert!(matches!(last_result(&out), Some(AcceptResult::Committed(p)) if p.version == 1));
}

/// Guards against hosts that are cut off and keep serving an old preset.
#[test]
fn unconfirmed_host_leaves_address_answers() {
    let mut platform = FakePlatform::new(6, 1);
    platform.accept(0, 1, None);
    platform.run_for(secs(10));
    let up_to_date_hosts = |platform: &FakePlatform| {
        platform
            .hosts
            .iter()
            .filter(|host| host.state.up_to_date)
            .count()
    };
    assert_eq!(up_to_date_hosts(&platform), 6);
    platform.faults.table_down = true;
    platform.run_for(secs(60));
    assert_eq!(
        up_to_date_hosts(&platform),
        6,
        "hosts must stay up to date through confirmations of peers"
    );
    platform.faults.peers_cut = true;
    platform.run_for(secs(16));
    assert_eq!(up_to_date_hosts(&platform), 0);
    platform.faults.table_down = false;
    platform.run_for(secs(60));
    assert_eq!(
        up_to_date_hosts(&platform),
        6,
        "hosts must become up to date through confirmations of the table"
    );
}

/// Guards against a new host that cannot put a preset in force while the platform is down.
#[test]
fn new_host_takes_the_newest_version_from_peers() {
    let mut platform = FakePlatform::new(6, 1);
    platform.accept(0, 1, None);
    platform.run_for(secs(10));
    platform.faults.table_down = true;
    platform.faults.objects_down = true;
    platform.restart(5);
    platform.run_for(secs(10));
    assert_eq!(versions_in_force(&platform), [1; 6]);
    assert!(platform.hosts[5].state.up_to_date);
}

/// Guards against polls that become more frequent during or after an outage of the platform.
#[test]
fn polls_stay_bounded_through_an_outage() {
    let mut platform = FakePlatform::new(360, 1);
    platform.accept(0, 1, None);
    platform.run_for(secs(20));
    let poll_rate = |platform: &mut FakePlatform, seconds: u64| {
        let (mut highest, mut sum) = (0, 0);
        for _ in 0..seconds {
            let before = platform.table_calls;
            platform.run_for(secs(1));
            highest = highest.max(platform.table_calls - before);
            sum += platform.table_calls - before;
        }
        (highest, sum / seconds)
    };
    let normal = poll_rate(&mut platform, 30);
    platform.faults.table_down = true;
    platform.run_for(secs(30));
    let down = poll_rate(&mut platform, 60);
    platform.faults.table_down = false;
    let recovery = poll_rate(&mut platform, 60);
    println!(
        "360 hosts, reads/s (highest, mean): normal {normal:?}, down {down:?}, after {recovery:?}"
    );
    assert!(normal.0 < 200 && down.0 < 100 && recovery.0 < 200);
}

/// Guards against versions that fall, two bodies of one version, wrong outcomes of acceptances, and
/// hosts that do not reach the newest version.
///
/// Bolero enumerates the seeds, since its random mode draws new ones in every run. The environment
/// variable `PRESETS_SEEDS` sets the number of seeds, 150 by default.
#[test]
fn random_faults_leave_one_preset_in_force() {
    static EVENTS: AtomicU64 = AtomicU64::new(0);
    let seeds = std::env::var("PRESETS_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(150);
    bolero::check!()
        .with_generator(0u32..seeds)
        .exhaustive()
        .for_each(|seed| {
            EVENTS.fetch_add(run_seed(u64::from(*seed)), Ordering::Relaxed);
        });
    println!("{seeds} seeds, {} events", EVENTS.load(Ordering::Relaxed));
}

/// Runs random faults and acceptances for a seed, and returns the number of events.
fn run_seed(seed: u64) -> u64 {
    let mut rng = seeded_rng(seed);
    let hosts = rng.random_range(2..10);
    let mut platform = FakePlatform::new(hosts, seed);
    for step in 0..60 {
        match rng.random_range(0..8) {
            0 => platform.faults.table_down = rng.random(),
            1 => platform.faults.objects_down = rng.random(),
            2 => platform.faults.peers_cut = rng.random(),
            3 => platform.faults.lost_answers = rng.random_range(0.0..0.5),
            4 => platform.faults.failures = rng.random_range(0.0..0.3),
            5 => platform.restart(rng.random_range(0..hosts)),
            _ => {
                for operator in 0..rng.random_range(1..=2) {
                    let base = platform.committed().map_or(0, |preset| preset.version);
                    let base = rng.random::<bool>().then_some(base);
                    platform.accept(rng.random_range(0..hosts), step * 2 + operator, base);
                }
            }
        }
        platform.run_for(ClockTime::from_ms(rng.random_range(0..4000)));
    }
    platform.faults = support::FaultSpec::default();
    platform.run_for(secs(90));
    check_results(&platform);
    let committed = platform.committed();
    for host in &platform.hosts {
        assert_eq!(host.state.in_force, committed);
        assert_eq!(host.state.up_to_date, committed.is_some());
        assert!(host.state.acceptances.is_empty());
    }
    platform.events
}

/// Checks that the outcome of each acceptance agrees with the committed history rows.
fn check_results(platform: &FakePlatform) {
    let rows = platform.rows.values().filter_map(PresetRow::parse);
    let committed: BTreeMap<_, _> = rows.map(|row| (row.accept, row.version)).collect();
    for (accept, result) in platform.hosts.iter().flat_map(|host| &host.results) {
        let version = committed.get(accept).copied();
        match result {
            AcceptResult::Committed(preset) => assert_eq!(version, Some(preset.version)),
            AcceptResult::Conflict { .. } | AcceptResult::Unavailable => {
                assert_eq!(
                    version, None,
                    "{accept:?} was committed, although its outcome is {result:?}"
                );
            }
            AcceptResult::Unknown { preset } => {
                assert!(version.is_none_or(|version| version == preset.version));
            }
        }
    }
}
