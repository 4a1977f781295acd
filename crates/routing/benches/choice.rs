//! Time of one choice, by number of targets and models, and its p99.

use criterion::{BenchmarkId, Criterion};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::hint::black_box;
use std::time::{Duration, Instant};

const BLOCKS: usize = 32;
const CHOICES: usize = 200_000;
const NOW: ClockTime = ClockTime::from_secs(1);

fn table_of(targets: usize, models: usize, tuning: RouteTuning, busy: bool) -> RouteTable {
    let mut rng = seeded_rng(1);
    let settings = RouteSettings {
        domain: DomainName::new("domain-0"),
    };
    let mut table = RouteTable::with_tuning(settings, tuning);
    let specs: Vec<TargetSpec> = (0..targets)
        .map(|index| TargetSpec {
            name: TargetName::new(&format!("target-{index}")),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: DomainName::new(&format!("domain-{}", index % 10)),
            kind: TargetKind::Engine,
            service: None,
            memory_bytes: 1 << 36,
            concurrency: 16,
            checks_fencing: false,
            keeps_records: false,
        })
        .collect();
    table.set_targets(&specs);
    for (index, spec) in specs.iter().enumerate() {
        // Four models and eight adapters on each target; model 0 is on every target.
        let mut copies = vec![copy_of("model-0".to_owned())];
        for part in 0..3 {
            let model = (index * 3 + part) % models;
            copies.push(copy_of(format!("model-{model}")));
        }
        for part in 0..8 {
            copies.push(copy_of(format!("adapter-{}", (index * 8 + part) % 500)));
        }
        let report = LoadReport {
            target: spec.name.clone(),
            sequence: 1,
            incarnation: 1,
            age: ClockTime::from_ms(500),
            running: if busy { 16 } else { rng.random_range(0..8) },
            waiting: 0,
            queued_tokens: rng.random_range(0..4_000),
            prefill_rate: 8_000.0,
            decode_rate: 40.0,
            memory_bytes: 1 << 36,
            copies,
            leaving: false,
        };
        table.apply_report(NOW, report);
    }
    table
}

fn copy_of(name: String) -> CopyReport {
    CopyReport {
        name: name.into(),
        memory_bytes: 1 << 30,
        state: CopyState::Resident,
    }
}

fn works_of(models: usize) -> Vec<WorkKind> {
    let mut works: Vec<WorkKind> = (0..models)
        .map(|model| WorkKind::Model {
            model: ModelName::new(&format!("model-{model}")),
            adapter: None,
        })
        .collect();
    // The widest model, with and without an adapter, is half of the choices.
    for index in 0..models {
        let adapter = format!("adapter-{}", index % 500);
        works.push(WorkKind::Model {
            model: ModelName::new("model-0"),
            adapter: (index % 2 == 0).then(|| AdapterName::new(&adapter)),
        });
    }
    works
}

fn query_of<'a>(work: &'a WorkKind, prefix_blocks: &'a [u64]) -> RouteQuery<'a> {
    RouteQuery {
        work,
        prefix_blocks,
        input_tokens: 800,
        output_tokens: 200,
        tried: &[],
        avoid_domain: None,
    }
}

fn modes() -> [(&'static str, RouteTuning); 2] {
    [
        ("default", RouteTuning::default()),
        (
            "full",
            RouteTuning::builder().mode(CandidateMode::Full).build(),
        ),
    ]
}

fn growth(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for (name, tuning) in modes() {
        for (targets, models) in [(18, 30), (100, 200), (400, 600), (1_400, 1_900)] {
            let table = table_of(targets, models, tuning.clone(), false);
            let works = works_of(models);
            let mut rng = seeded_rng(2);
            let prefix: Vec<u64> = (0..BLOCKS as u64).collect();
            let id = BenchmarkId::new(name, format!("{targets}x{models}"));
            group.bench_function(id, |bencher| {
                let mut index = 0;
                bencher.iter(|| {
                    index = (index + 7) % works.len();
                    black_box(table.choose(NOW, &query_of(&works[index], &prefix), &mut rng))
                });
            });
        }
    }
    group.finish();
}

fn print_percentiles() {
    let [(_, tuning), _] = modes();
    let all_busy = [("default, all busy", tuning, true)];
    let usual = modes().map(|(name, tuning)| (name, tuning, false));
    for (name, tuning, busy) in usual.into_iter().chain(all_busy) {
        let mut table = table_of(1_400, 1_900, tuning, busy);
        let works = works_of(1_900);
        let mut rng = seeded_rng(3);
        let mut nanos: Vec<u64> = Vec::with_capacity(CHOICES);
        for index in 0..CHOICES {
            let family: u64 = rng.random_range(0..4_000);
            let prefix: Vec<u64> = (0..BLOCKS as u64)
                .map(|block| family << 16 | block)
                .collect();
            let query = query_of(&works[(index * 7) % works.len()], &prefix);
            let start = Instant::now();
            let choice = black_box(table.choose(NOW, &query, &mut rng));
            nanos.push(start.elapsed().as_nanos() as u64);
            if let RouteChoice::Target { target, .. } = choice {
                table.record_sent(NOW, &target, &query);
                table.record_ended(NOW, &target, None);
            }
        }
        nanos.sort_unstable();
        println!(
            "choice 1400 targets 1900 models {name}: p50 {} ns, p99 {} ns, p99.9 {} ns",
            nanos[CHOICES / 2],
            nanos[CHOICES * 99 / 100],
            nanos[CHOICES * 999 / 1000]
        );
    }
}

fn main() {
    print_percentiles();
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    growth(&mut criterion);
    criterion.final_summary();
}
