//! Tests of the choice of a target and of the state behind it.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;

/// Creates a table whose scores have no random jitter.
fn table(targets: usize) -> RouteTable {
    table_with(targets, RouteTuning::builder().jitter(0.0).build())
}

fn chosen_target(choice: RouteChoice) -> Option<TargetName> {
    match choice {
        RouteChoice::Target { target, .. } => Some(target),
        _ => None,
    }
}

/// Guards against a delayed, older report that overwrites a newer one.
#[test]
fn older_reports_are_ignored() {
    let mut table = table(1);
    let mut newer = report(0, 7);
    newer.running = 5;
    table.apply_report(at(10), newer);
    table.apply_report(at(20), report(0, 6));
    assert_eq!(table.requests_at(&target(0)), Some(5));
    let mut restarted = report(0, 1);
    restarted.incarnation = 2;
    table.apply_report(at(30), restarted);
    assert_eq!(table.requests_at(&target(0)), Some(0));
}

/// Guards against forgetting requests that were sent after the figures of a report were measured.
#[test]
fn requests_sent_after_the_measurement_still_count() {
    let mut table = table(1);
    let work = model_work();
    table.record_sent(at(100), &target(0), &query(&work, &[]));
    table.record_sent(at(900), &target(0), &query(&work, &[]));
    let mut lagged = report(0, 2);
    lagged.age = at(500);
    lagged.running = 1;
    table.apply_report(at(1_000), lagged);
    assert_eq!(table.requests_at(&target(0)), Some(2));
}

/// Guards against counting a peer's repeated or outdated delta twice.
#[test]
fn deltas_are_relative_to_the_report() {
    let mut table = table(1);
    let peer = HostName::new("peer");
    let delta = |sequence, requests| LoadDelta {
        target: target(0),
        sequence,
        requests,
        tokens: 0,
    };
    table.apply_delta(at(10), &peer, &delta(1, 3));
    table.apply_delta(at(20), &peer, &delta(1, 3));
    table.apply_delta(at(30), &peer, &delta(1, 4));
    table.apply_delta(at(40), &peer, &delta(0, 9));
    assert_eq!(table.requests_at(&target(0)), Some(4));
    table.apply_report(at(50), report(0, 2));
    assert_eq!(table.requests_at(&target(0)), Some(0));
}

/// Guards against taking unchanged deltas again.
#[test]
fn deltas_are_taken_once() {
    let mut table = table(3);
    let work = model_work();
    for index in 0..3 {
        table.record_sent(at(1), &target(index), &query(&work, &[]));
    }
    assert_eq!(table.take_deltas(2).len(), 2);
    let rest = table.take_deltas(9);
    assert_eq!(rest.len(), 1);
    assert_eq!((rest[0].requests, rest[0].tokens), (1, 1_000));
    assert!(table.take_deltas(9).is_empty());
}

/// Guards against hosts that learn of ended requests before they learn of sent ones.
#[test]
fn deltas_with_most_tokens_are_taken_first() {
    let mut table = table(4);
    let work = model_work();
    for index in 0..4 {
        table.record_sent(at(1), &target(index), &query(&work, &[]));
    }
    assert_eq!(table.take_deltas(9).len(), 4);
    table.record_ended(at(2), &target(0), None);
    table.record_ended(at(2), &target(1), None);
    table.record_sent(at(2), &target(2), &query(&work, &[]));
    table.record_sent(at(2), &target(3), &query(&work, &[]));
    table.record_sent(at(2), &target(3), &query(&work, &[]));
    let first: Vec<TargetName> = table
        .take_deltas(2)
        .into_iter()
        .map(|delta| delta.target)
        .collect();
    assert_eq!(first, [target(3), target(2)]);
    assert_eq!(table.take_deltas(9).len(), 2);
}

/// Guards against counting reported tokens as work although prefix caches will save them.
#[test]
fn reported_queue_excludes_cached_tokens() {
    let mut table = table(1);
    let work = model_work();
    let prefix = [1, 2, 3, 4];
    let estimate = |table: &RouteTable, now| {
        let choice = table.choose(now, &query(&work, &[]), &mut seeded_rng(1));
        match choice {
            RouteChoice::Target { estimate, .. } => estimate,
            other => panic!("expected a usable target, got {other:?}"),
        }
    };
    let mut queued = report(0, 2);
    queued.queued_tokens = 8_000;
    table.apply_report(at(0), queued.clone());
    assert!(estimate(&table, at(0)) >= at(1_000));
    for _ in 0..300 {
        table.record_sent(at(1), &target(0), &query(&work, &prefix));
        table.record_ended(at(1), &target(0), None);
    }
    queued.sequence = 3;
    table.apply_report(at(1), queued);
    assert!(estimate(&table, at(1)) < at(500));
}

/// Guards against choosing leaving, suspect, tried or full targets, and against confusing the
/// results for these cases.
#[test]
fn unusable_targets_are_left_out() {
    let mut table = table(4);
    let mut rng = seeded_rng(1);
    let work = model_work();
    table.set_leaving(&target(0), true);
    table.set_suspect(&target(1), true);
    let tried = [target(2)];
    let mut route_query = query(&work, &[]);
    route_query.tried = &tried;
    let choice = table.choose(at(1), &route_query, &mut rng);
    assert_eq!(chosen_target(choice), Some(target(3)));
    for _ in 0..8 {
        table.record_sent(at(1), &target(3), &route_query);
    }
    let choice = table.choose(at(1), &route_query, &mut rng);
    assert!(matches!(choice, RouteChoice::Busy { .. }));
    table.set_leaving(&target(3), true);
    let choice = table.choose(at(1), &route_query, &mut rng);
    assert_eq!(choice, RouteChoice::NotResident);
    table.set_suspect(&target(2), true);
    let choice = table.choose(at(1), &query(&work, &[]), &mut rng);
    assert_eq!(choice, RouteChoice::Unavailable);
}

/// Guards against a report from before the target was marked as leaving that makes it usable again.
#[test]
fn report_does_not_clear_the_leaving_mark() {
    let mut table = table(1);
    let mut rng = seeded_rng(1);
    let work = model_work();
    table.set_leaving(&target(0), true);
    table.apply_report(at(1), report(0, 2));
    let choice = table.choose(at(2), &query(&work, &[]), &mut rng);
    assert_eq!(choice, RouteChoice::Unavailable);
    table.set_leaving(&target(0), false);
    let choice = table.choose(at(3), &query(&work, &[]), &mut rng);
    assert_eq!(chosen_target(choice), Some(target(0)));
}

/// Guards against retries in the avoided failure domain while another domain has a copy.
#[test]
fn avoided_domain_is_the_last_resort() {
    let table = table(2);
    let mut rng = seeded_rng(1);
    let work = model_work();
    let avoid_domain = DomainName::new("domain-0");
    let mut route_query = query(&work, &[]);
    route_query.avoid_domain = Some(&avoid_domain);
    assert_eq!(
        chosen_target(table.choose(at(1), &route_query, &mut rng)),
        Some(target(1))
    );
    let tried = [target(1)];
    route_query.tried = &tried;
    assert_eq!(
        chosen_target(table.choose(at(1), &route_query, &mut rng)),
        Some(target(0))
    );
}

/// Guards against a sample whose candidates are all in the avoided failure domain.
#[test]
fn avoided_domain_is_not_chosen_among_many_targets() {
    let table = table(30);
    let mut rng = seeded_rng(1);
    let work = model_work();
    let avoid_domain = DomainName::new("domain-0");
    let mut route_query = query(&work, &[]);
    route_query.avoid_domain = Some(&avoid_domain);
    for _ in 0..200 {
        let choice = table.choose(at(1), &route_query, &mut rng);
        let target = chosen_target(choice).expect("a usable target should be chosen");
        assert_ne!(table.domain_of(&target), Some(&avoid_domain));
    }
}

/// Guards against a failing target that attracts work because it is empty, and against excluding it
/// forever.
#[test]
fn failures_penalise_and_decay() {
    let mut table = table(2);
    let mut rng = seeded_rng(1);
    let work = model_work();
    table.record_sent(at(1), &target(0), &query(&work, &[]));
    table.record_failed(at(2), &target(0));
    let soon = table.choose(at(3), &query(&work, &[]), &mut rng);
    assert_eq!(chosen_target(soon), Some(target(1)));
    let later = table.choose(at(300_000), &query(&work, &[]), &mut rng);
    assert_eq!(chosen_target(later), Some(target(0)));
}

/// Guards against ignoring the target that has the prompt's prefix in its cache.
#[test]
fn cached_prefix_is_preferred() {
    let mut table = table(30);
    let mut rng = seeded_rng(1);
    let work = model_work();
    let batch = CacheBatch {
        target: target(17),
        incarnation: 1,
        first: 0,
        events: vec![CacheEvent::Stored { block: 5 }],
        full: false,
    };
    assert_eq!(
        table.apply_cache_batch(at(1), &batch),
        BatchOutcome::Applied { next: 1 }
    );
    let choice = table.choose(at(2), &query(&work, &[5, 6]), &mut rng);
    assert_eq!(chosen_target(choice), Some(target(17)));
}

/// Guards against relying on cache events with a gap, and against never requesting a full batch.
#[test]
fn gaps_in_cache_events_require_a_full_batch() {
    let mut table = table(2);
    let batch = |first, events: &[u64], full| CacheBatch {
        target: target(1),
        incarnation: 1,
        first,
        events: events
            .iter()
            .map(|&block| CacheEvent::Stored { block })
            .collect(),
        full,
    };
    assert_eq!(
        table.apply_cache_batch(at(1), &batch(4, &[1], false)),
        BatchOutcome::Resync
    );
    assert_eq!(table.cache_resync_targets(), vec![target(1)]);
    assert_eq!(
        table.apply_cache_batch(at(2), &batch(4, &[1], false)),
        BatchOutcome::Ignored
    );
    let full = table.apply_cache_batch(at(3), &batch(4, &[1, 2], true));
    assert_eq!(full, BatchOutcome::Applied { next: 6 });
    assert!(table.cache_resync_targets().is_empty());
}

/// Guards against loading an adapter on another target although it is resident or was just loaded.
#[test]
fn resident_adapter_is_preferred() {
    let mut table = table(12);
    let mut rng = seeded_rng(1);
    let work = WorkKind::Model {
        model: MODEL.into(),
        adapter: Some("adapter".into()),
    };
    let mut with_adapter = report(7, 2);
    with_adapter.copies.push(copy("adapter"));
    table.apply_report(at(1), with_adapter);
    let choice = table.choose(at(2), &query(&work, &[]), &mut rng);
    assert_eq!(chosen_target(choice), Some(target(7)));
    table.set_leaving(&target(7), true);
    table.record_sent(at(3), &target(9), &query(&work, &[]));
    table.record_ended(at(4), &target(9), None);
    let choice = table.choose(at(400), &query(&work, &[]), &mut rng);
    assert_eq!(chosen_target(choice), Some(target(9)));
}

/// Guards against retries that go from one engine without memory for the adapter to the next until
/// no retries are left, although a busier engine already has the adapter.
#[test]
fn retry_goes_to_a_target_with_the_adapter() {
    let mut table = table(8);
    let work = WorkKind::Model {
        model: MODEL.into(),
        adapter: Some("adapter".into()),
    };
    let mut with_adapter = report(7, 2);
    with_adapter.copies.push(copy("adapter"));
    with_adapter.running = 3;
    table.apply_report(at(1), with_adapter);
    let mut rng = seeded_rng(1);
    let tried = [target(0)];
    let retry = RouteQuery {
        tried: &tried,
        ..query(&work, &[])
    };
    for _ in 0..50 {
        assert_eq!(
            chosen_target(table.choose(at(2), &retry, &mut rng)),
            Some(target(7))
        );
    }
}

/// Guards against ignoring the region's limit on adapter loads in transit.
#[test]
fn adapter_loads_beyond_the_limit_cost_more() {
    let mut table = table(1);
    table.set_regions(&[RegionSpec {
        name: "region".into(),
        domains: vec!["domain-0".into()],
        weight_loads_per_second: 2.0,
        weight_loads_at_once: 9,
        adapter_loads_in_transit: 2,
    }]);
    let mut rng = seeded_rng(1);
    let mut estimates = Vec::new();
    for number in 0..6 {
        let work = WorkKind::Model {
            model: MODEL.into(),
            adapter: Some(AdapterName::new(&format!("adapter-{number}"))),
        };
        let mut route_query = query(&work, &[]);
        route_query.input_tokens = 0;
        if let RouteChoice::Target { estimate, .. } = table.choose(at(1), &route_query, &mut rng) {
            estimates.push(estimate);
        }
        table.record_sent(at(1), &target(0), &route_query);
        table.record_ended(at(1), &target(0), None);
    }
    assert_eq!(estimates.len(), 6);
    assert_eq!(estimates[0], estimates[1]);
    assert!(estimates[5] > estimates[1].scale(2.0));
}

/// Guards against hosts that all send to the same target because its outdated report looks best.
#[test]
fn hosts_do_not_herd_on_a_stale_report() {
    const HOSTS: usize = 9;
    const TARGETS: usize = 12;
    const REQUESTS: usize = 50;
    let mut rng = seeded_rng(4);
    let mut tables: Vec<RouteTable> = (0..HOSTS).map(|_| table(TARGETS)).collect();
    for table in &mut tables {
        for index in 1..TARGETS {
            let mut loaded = report(index, 2);
            loaded.queued_tokens = 2_000;
            table.apply_report(at(0), loaded);
        }
    }
    let work = model_work();
    let mut sent = [0_usize; TARGETS];
    for round in 0..REQUESTS {
        let now = at(round as u64 * 10);
        for table in &mut tables {
            let choice = table.choose(now, &query(&work, &[]), &mut rng);
            let Some(name) = chosen_target(choice) else {
                continue;
            };
            let index = (0..TARGETS).find(|&index| target(index) == name);
            sent[index.expect("the chosen target should be declared")] += 1;
            table.record_sent(now, &name, &query(&work, &[]));
            table.record_ended(now, &name, None);
        }
        if round % 5 == 4 {
            for from in 0..HOSTS {
                let name = HostName::new(&format!("host-{from}"));
                let deltas = tables[from].take_deltas(64);
                for to in (0..HOSTS).filter(|&to| to != from) {
                    for delta in &deltas {
                        tables[to].apply_delta(now, &name, delta);
                    }
                }
            }
        }
    }
    let mean = HOSTS * REQUESTS / TARGETS;
    assert_eq!(sent.iter().sum::<usize>(), HOSTS * REQUESTS);
    assert!(
        sent[0] < 3 * mean,
        "expected less than 3 times the mean of {mean} requests at target 0, got {}",
        sent[0]
    );
}
