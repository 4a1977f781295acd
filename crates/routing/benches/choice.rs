//! Time of one target choice by the number of targets and models, with its p50, p99 and p99.9.

use criterion::{BenchmarkId, Criterion};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::hint::black_box;
use std::time::{Duration, Instant};

const PROMPT_BLOCKS: usize = 32;
const MEASURED_CHOICES: usize = 200_000;
const NOW: ClockTime = ClockTime::from_secs(1);

/// Creates a table with reports of all targets; with `all_busy`, every target is at its limit.
fn make_table(targets: usize, models: usize, tuning: RouteTuning, all_busy: bool) -> RouteTable {
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
        let mut copies = vec![resident_copy("model-0".to_owned())];
        for offset in 0..3 {
            let model = (index * 3 + offset) % models;
            copies.push(resident_copy(format!("model-{model}")));
        }
        for offset in 0..8 {
            copies.push(resident_copy(format!(
                "adapter-{}",
                (index * 8 + offset) % 500
            )));
        }
        let report = LoadReport {
            target: spec.name.clone(),
            sequence: 1,
            incarnation: 1,
            age: ClockTime::from_ms(500),
            running: if all_busy { 16 } else { rng.random_range(0..8) },
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

fn resident_copy(name: String) -> CopyReport {
    CopyReport {
        name: name.into(),
        memory_bytes: 1 << 30,
        state: CopyState::Resident,
    }
}

fn make_works(models: usize) -> Vec<WorkKind> {
    let mut works: Vec<WorkKind> = (0..models)
        .map(|model| WorkKind::Model {
            model: ModelName::new(&format!("model-{model}")),
            adapter: None,
        })
        .collect();
    // Half of the choices are for the model on every target, with and without an adapter.
    for index in 0..models {
        let adapter = format!("adapter-{}", index % 500);
        works.push(WorkKind::Model {
            model: ModelName::new("model-0"),
            adapter: (index % 2 == 0).then(|| AdapterName::new(&adapter)),
        });
    }
    works
}

fn make_query<'a>(work: &'a WorkKind, prefix_blocks: &'a [u64]) -> RouteQuery<'a> {
    RouteQuery {
        work,
        prefix_blocks,
        input_tokens: 800,
        output_tokens: 200,
        tried: &[],
        avoid_domain: None,
    }
}

/// Returns the compared tunings with their names in the output.
fn tunings() -> [(&'static str, RouteTuning); 2] {
    [
        ("default", RouteTuning::default()),
        (
            "full",
            RouteTuning::builder().mode(CandidateMode::Full).build(),
        ),
    ]
}

fn bench_choice_by_size(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for (name, tuning) in tunings() {
        for (targets, models) in [(18, 30), (100, 200), (400, 600), (1_400, 1_900)] {
            let table = make_table(targets, models, tuning.clone(), false);
            let works = make_works(models);
            let mut rng = seeded_rng(2);
            let prefix: Vec<u64> = (0..PROMPT_BLOCKS as u64).collect();
            let id = BenchmarkId::new(name, format!("{targets}x{models}"));
            group.bench_function(id, |bencher| {
                let mut index = 0;
                bencher.iter(|| {
                    index = (index + 7) % works.len();
                    black_box(table.choose(NOW, &make_query(&works[index], &prefix), &mut rng))
                });
            });
        }
    }
    group.finish();
}

/// Prints percentiles of single choices, which a benchmark of mean times does not show.
fn print_percentiles() {
    let [(_, tuning), _] = tunings();
    let busy_case = [("default, all busy", tuning, true)];
    let usual_cases = tunings().map(|(name, tuning)| (name, tuning, false));
    for (name, tuning, all_busy) in usual_cases.into_iter().chain(busy_case) {
        let mut table = make_table(1_400, 1_900, tuning, all_busy);
        let works = make_works(1_900);
        let mut rng = seeded_rng(3);
        let mut durations_ns: Vec<u64> = Vec::with_capacity(MEASURED_CHOICES);
        for index in 0..MEASURED_CHOICES {
            let prefix_family: u64 = rng.random_range(0..4_000);
            let prefix: Vec<u64> = (0..PROMPT_BLOCKS as u64)
                .map(|block| prefix_family << 16 | block)
                .collect();
            let query = make_query(&works[(index * 7) % works.len()], &prefix);
            let start = Instant::now();
            let choice = black_box(table.choose(NOW, &query, &mut rng));
            durations_ns.push(start.elapsed().as_nanos() as u64);
            if let RouteChoice::Target { target, .. } = choice {
                table.record_sent(NOW, &target, &query);
                table.record_ended(NOW, &target, None);
            }
        }
        durations_ns.sort_unstable();
        println!(
            "choice 1400 targets 1900 models {name}: p50 {} ns, p99 {} ns, p99.9 {} ns",
            durations_ns[MEASURED_CHOICES / 2],
            durations_ns[MEASURED_CHOICES * 99 / 100],
            durations_ns[MEASURED_CHOICES * 999 / 1000]
        );
    }
}

fn main() {
    print_percentiles();
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(800))
        .configure_from_args();
    bench_choice_by_size(&mut criterion);
    criterion.final_summary();
}
