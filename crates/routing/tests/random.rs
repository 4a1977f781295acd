//! Randomised tests of the route table.

mod common;

use bolero::generator::bolero_generator::{driver, TypeGenerator};
use common::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_routing::prelude::*;

const TARGETS: usize = 6;

/// Generates cases from fixed seeds, because `check!` takes its seeds from the operating system.
fn cases<T: TypeGenerator>(seed: u64, count: u64) -> impl Iterator<Item = T> {
    (seed..seed + count).filter_map(|number| {
        let options = driver::Options::default();
        let mut driver = driver::Rng::new(seeded_rng(number), &options);
        T::generate(&mut driver)
    })
}

/// Applies one random event to the table.
fn apply_event(table: &mut RouteTable, now: ClockTime, kind: u8, index: usize, value: u64) {
    let work = model_work();
    let prefix = [value % 50, value % 50 + 100];
    match kind % 10 {
        0 => {
            let mut lagged = report(index, value);
            lagged.incarnation = value % 3 + 1;
            lagged.age = at(value % 700);
            lagged.running = (value % 9) as u32;
            if value % 4 == 0 {
                lagged.copies.clear();
            }
            table.apply_report(now, lagged);
        }
        1 => {
            let delta = LoadDelta {
                target: target(index),
                sequence: value % 256,
                requests: value as i32 % 40 - 20,
                tokens: value * 100,
            };
            table.apply_delta(now, &HostName::new(&format!("host-{}", value % 4)), &delta);
        }
        2 => table.record_sent(now, &target(index), &query(&work, &prefix)),
        3 => table.record_ended(now, &target(index), Some(at(value * 10))),
        4 => table.record_failed(now, &target(index)),
        5 => table.set_leaving(&target(index), value % 2 == 0),
        6 => table.set_suspect(&target(index), value % 2 == 0),
        7 => {
            let batch = CacheBatch {
                target: target(index),
                incarnation: value % 3,
                first: value % 20,
                events: vec![
                    CacheEvent::Stored { block: value % 50 },
                    CacheEvent::Evicted { block: value % 7 },
                ],
                full: value % 5 == 0,
            };
            table.apply_cache_batch(now, &batch);
        }
        8 => table.record_absent(now, &target(index), &work),
        _ => {
            let declared: Vec<_> = (0..TARGETS)
                .filter(|&other| other != index)
                .map(spec)
                .collect();
            table.set_targets(&declared);
        }
    }
}

/// Guards against choosing an undeclared, leaving or tried target, and against unbounded growth,
/// after any order of reports, deltas, cache events and declarations. The table checks its
/// invariants too.
#[test]
fn any_order_of_events_keeps_the_table_valid() {
    for events in cases::<Vec<(u8, u8, u8)>>(20_260_101, 3_000) {
        let tuning = RouteTuning::builder().prefix_hint_capacity(16).build();
        let mut table = table_with(TARGETS, tuning);
        let mut rng = seeded_rng(7);
        let work = model_work();
        for (order, (kind, index, value)) in events.into_iter().enumerate() {
            let now = at(order as u64 * 37);
            apply_event(
                &mut table,
                now,
                kind,
                usize::from(index) % TARGETS,
                u64::from(value),
            );
            let tried = [target(usize::from(value) % TARGETS)];
            let mut route_query = query(&work, &[1, 2]);
            route_query.tried = &tried;
            if let RouteChoice::Target { target, estimate } =
                table.choose(now, &route_query, &mut rng)
            {
                assert!(table.spec_of(&target).is_some());
                assert_ne!(target, tried[0]);
                assert!(estimate < ClockTime::from_secs(3_600));
            }
            assert!(table.prefix_hint_count() <= 16);
            assert!(table.take_deltas(3).len() <= 3);
        }
    }
}
