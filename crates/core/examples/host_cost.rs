//! Prints the processor time of a tick and of a load report in a whole host.
//!
//! The bench `host` measures wall-clock time, which includes the time that other programs run. This
//! example measures the processor time of its thread and prints the minimum and the median of
//! several rounds, so that versions can be compared on a machine with other load. A round is as
//! long as the interval between two plans.
//!
//! `cargo run --release -p crocusyard_core --example host_cost -- [TARGETS MODELS [ROUNDS]]`

#[path = "../benches/support/host.rs"]
#[allow(dead_code, missing_docs)] // The bench uses the other functions.
mod host;

use host::{BenchHost, REPORT_TICKS};

/// Simulated time of a round, seconds; as long as the interval between two plans.
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
        "the host does not hold the lease"
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

/// Runs one round and returns the mean processor time of a tick and of a report, nanoseconds.
fn run_round(host: &mut BenchHost) -> (u64, u64) {
    let (mut tick_ns, mut report_ns, mut reports) = (0, 0, 0);
    for _ in 0..ROUND_SECONDS {
        let begin = thread_ns();
        for part in 0..REPORT_TICKS {
            reports += u64::from(host.feed_reports(part).1);
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

/// Returns the processor time of this thread, nanoseconds; 0 where the system does not report it.
fn thread_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Prints the minimum and the median of the costs of all rounds.
fn print_costs(name: &str, mut costs: Vec<u64>) {
    costs.sort_unstable();
    let us = |ns: u64| ns as f64 / 1000.0;
    println!(
        "{name}: minimum {:.2} us, median {:.2} us",
        us(costs[0]),
        us(costs[costs.len() / 2])
    );
}
