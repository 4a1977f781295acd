//! Prints the processor time of a tick and of a load report in a whole host.
//!
//! The bench `host` measures by the wall clock, which counts the time that other programs take from
//! it. This program reads the processor time of its thread and prints the lowest and the middle one
//! of several rounds, so that versions can be compared on a machine that other work shares. A round
//! is as long as the interval between two plans.
//!
//! `cargo run --release -p crocusyard_core --example host_cost -- [TARGETS MODELS [ROUNDS]]`

#[path = "../benches/support/host.rs"]
#[allow(dead_code, missing_docs)] // The bench uses the rest.
mod host;

use host::{BenchHost, REPORT_TICKS};

/// Seconds of host time in a round, as long as the interval between two plans.
const ROUND_SECONDS: usize = 10;

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let targets = sizes.first().copied().unwrap_or(1_400);
    let models = sizes.get(1).copied().unwrap_or(1_900);
    let rounds = sizes.get(2).copied().unwrap_or(9).max(1);
    let mut host = BenchHost::new(targets, models);
    assert!(
        host.state.moves.active_lease(host.now).is_some(),
        "the host holds the lease"
    );
    let (mut ticks, mut reports) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let (tick, report) = run_round(&mut host);
        ticks.push(tick);
        reports.push(report);
    }
    println!("{targets} targets, {models} models, {rounds} rounds");
    print_costs("tick", ticks);
    print_costs("report", reports);
}

/// Returns the mean processor time of a tick and of a report, ns.
fn run_round(host: &mut BenchHost) -> (u64, u64) {
    let (mut tick_ns, mut report_ns, mut reports) = (0, 0, 0);
    for _ in 0..ROUND_SECONDS {
        let begin = thread_ns();
        for part in 0..REPORT_TICKS {
            reports += u64::from(host.report_part(part).1);
        }
        let middle = thread_ns();
        for _ in 0..REPORT_TICKS {
            host.tick();
        }
        report_ns += middle - begin;
        tick_ns += thread_ns() - middle;
    }
    let ticks = (ROUND_SECONDS * REPORT_TICKS) as u64;
    (tick_ns / ticks, report_ns / reports.max(1))
}

/// Returns the processor time of this thread, ns; 0 where the system does not tell it.
fn thread_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

fn print_costs(name: &str, mut costs: Vec<u64>) {
    costs.sort_unstable();
    let us = |ns: u64| ns as f64 / 1000.0;
    println!(
        "{name}: lowest {:.2} us, middle {:.2} us",
        us(costs[0]),
        us(costs[costs.len() / 2])
    );
}
