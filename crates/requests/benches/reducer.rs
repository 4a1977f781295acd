//! Throughput of the request reducer in events per second.
#![allow(missing_docs)] // The macros of criterion generate undocumented items.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion, Throughput};
use crocusyard_requests::prelude::*;

const CHUNKS: u32 = 100;
const IN_PROGRESS: u64 = 1_000;

/// Runs a request with a stream of `CHUNKS` chunks from its arrival to its end.
fn run_stream(host: &mut TestHost, key: u64) {
    let effects = host.arrive(key, stream_spec(host.now, u128::from(key)));
    let (attempt, ..) = first_dispatch(&effects).expect("a target should be free");
    host.start_answer(attempt);
    for index in 0..CHUNKS {
        host.chunk(attempt, index);
    }
    host.end(attempt, AttemptEnd::Complete);
}

/// Returns a host with `IN_PROGRESS` requests in progress.
fn loaded_host() -> TestHost {
    let targets = targets(20, 3);
    let mut host = TestHost::new(1, &targets);
    for key in 0..IN_PROGRESS {
        host.arrive(key, stream_spec(host.now, u128::from(key)));
    }
    host
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("requests");
    group.throughput(Throughput::Elements(u64::from(CHUNKS) + 4));
    let mut host = loaded_host();
    let mut key = IN_PROGRESS;
    group.bench_function("stream of 100 chunks, 1,000 in progress", |bencher| {
        bencher.iter(|| {
            key += 1;
            run_stream(&mut host, key);
        });
    });
    group.throughput(Throughput::Elements(1));
    group.bench_function("tick, 1,000 in progress, none due", |bencher| {
        bencher.iter_batched_ref(
            loaded_host,
            |host| host.reduce(RequestEvent::Tick),
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
