//! Measures the cost of a tick, of a load report and of the events of a request in a whole host.
//!
//! The host holds the lease and plans. Every target reports once a second, and the cost of reports
//! does not count into that of ticks. There are no other hosts: the cost of membership is measured
//! by the benches of the membership crate.

// The `criterion_group` macro generates a public function without documentation.
#![allow(missing_docs)]

#[path = "support/host.rs"]
mod host;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use host::BenchHost;
use std::time::Duration;

/// Numbers of targets and of models.
const SIZES: [(usize, usize); 4] = [(21, 30), (21, 1_900), (1_400, 30), (1_400, 1_900)];

fn host_events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("host");
    group.sample_size(10);
    for (targets, models) in SIZES {
        let size = format!("{targets} targets, {models} models");
        let mut host = BenchHost::new(targets, models);
        assert!(
            host.state.moves.active_lease(host.now).is_some(),
            "the host does not hold the lease"
        );
        group.bench_function(BenchmarkId::new("tick", &size), |bench| {
            bench.iter_custom(|count| {
                let ticks = (0..count).map(|_| {
                    host.feed_due_reports();
                    host.tick()
                });
                ticks.sum()
            });
        });
        group.bench_function(BenchmarkId::new("report", &size), |bench| {
            bench.iter_custom(|count| {
                let (mut cost, mut reports) = (Duration::ZERO, 0);
                while u64::from(reports) < count {
                    let (more, number) = host.feed_due_reports();
                    cost += more;
                    reports += number;
                    host.tick();
                }
                cost.mul_f64(count as f64 / f64::from(reports.max(1)))
            });
        });
        group.bench_function(BenchmarkId::new("request", &size), |bench| {
            bench.iter(|| assert!(host.request(), "the request is not dispatched"));
        });
    }
    group.finish();
}

criterion_group!(benches, host_events);
criterion_main!(benches);
