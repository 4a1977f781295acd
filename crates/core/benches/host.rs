//! Cost of a tick, of a load report and of a request's events in a whole host.
//!
//! The host holds the lease and plans. Reports come once a second from every target, and their cost
//! is left out of the ticks. There are no other hosts; the cost of membership is measured there.

// The macro of criterion makes a public function without documentation.
#![allow(missing_docs)]

#[path = "support/host.rs"]
mod host;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use host::BenchHost;
use std::time::Duration;

/// Targets and models.
const SIZES: [(usize, usize); 4] = [(21, 30), (21, 1_900), (1_400, 30), (1_400, 1_900)];
fn host_events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("host");
    group.sample_size(10);
    for (targets, models) in SIZES {
        let size = format!("{targets} targets, {models} models");
        let mut host = BenchHost::new(targets, models);
        assert!(
            host.state.moves.active_lease(host.now).is_some(),
            "the host holds the lease"
        );
        group.bench_function(BenchmarkId::new("tick", &size), |bench| {
            bench.iter_custom(|count| {
                let ticks = (0..count).map(|_| {
                    host.report_due();
                    host.tick()
                });
                ticks.sum()
            });
        });
        group.bench_function(BenchmarkId::new("report", &size), |bench| {
            bench.iter_custom(|count| {
                let (mut cost, mut reports) = (Duration::ZERO, 0);
                while u64::from(reports) < count {
                    let (more, number) = host.report_due();
                    cost += more;
                    reports += number;
                    host.tick();
                }
                cost.mul_f64(count as f64 / f64::from(reports.max(1)))
            });
        });
        group.bench_function(BenchmarkId::new("request", &size), |bench| {
            bench.iter(|| assert!(host.request(), "the request is dispatched"));
        });
    }
    group.finish();
}

criterion_group!(benches, host_events);
criterion_main!(benches);
