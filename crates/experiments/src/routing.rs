//! Routing experiment: compares the route table with its baselines, for each deployment and lag of
//! load reports.

use crate::deployment::{workload_of, DeploymentSize, SIZES};
use crate::policy::RoutePolicy;
use crate::routing_run::{run, RunFigures};
use crate::table::{format_spread, print_table, run_jobs, spread_of, SeedSpread};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use serde::Serialize;

/// Compared lags of load reports, milliseconds.
pub const LAGS_MS: [u64; 5] = [100, 500, 1_000, 2_000, 5_000];

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct RoutingOptions {
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Share of all prefill capacity that the prompts would need without caching.
    pub utilisation: f64,
    /// Whether to run variants of the route table.
    pub variants: bool,
    /// Name of the only deployment to run; `None` runs all.
    pub deployment: Option<String>,
    /// The only lag to run, milliseconds; `None` runs all.
    pub lag_ms: Option<u64>,
}

/// Results of one policy at one lag over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct PolicySummary {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Lag of reports, milliseconds.
    pub lag_ms: u64,
    /// Name of the policy.
    pub policy: &'static str,
    /// Median time to the first token, milliseconds.
    pub p50_ms: SeedSpread,
    /// 95th percentile of the time to the first token, milliseconds.
    pub p95_ms: SeedSpread,
    /// 99th percentile of the time to the first token, milliseconds.
    pub p99_ms: SeedSpread,
    /// Requests whose first token came within the limit, percent.
    pub attainment: SeedSpread,
    /// Prompt tokens found in the cache, percent.
    pub hits: SeedSpread,
    /// Arrivals at the busiest target of a time window relative to the mean target, 99th percentile
    /// over windows.
    pub burst: SeedSpread,
    /// `p95_ms` relative to the best baseline of the same deployment and lag.
    pub p95_ratio: f64,
}

/// Returns the compared policies with their names, baselines first.
pub fn policies(variants: bool) -> Vec<(&'static str, RoutePolicy)> {
    let table = |builder: RouteTuningBuilder| RoutePolicy::Table(Box::new(builder.build()));
    let mut all = vec![
        ("random", RoutePolicy::Random),
        ("round robin", RoutePolicy::RoundRobin),
        ("least reported", RoutePolicy::LeastReported),
        ("two choices", RoutePolicy::TwoChoices),
        ("two choices, own", RoutePolicy::TwoChoicesLocal),
        ("table", table(RouteTuning::builder())),
    ];
    if variants {
        let build = RouteTuning::builder;
        let sampled = |count| build().mode(CandidateMode::Sampled(count)).scan_limit(0);
        let full = || build().mode(CandidateMode::Full);
        all.extend([
            ("table, 2 sampled", table(sampled(2))),
            ("table, 4 sampled", table(sampled(4))),
            ("table, 8 sampled", table(sampled(8))),
            ("table, full, jitter 0", table(full().jitter(0.0))),
            ("table, full, jitter 0.1", table(full().jitter(0.1))),
            ("table, full, jitter 0.3", table(full().jitter(0.3))),
            (
                "table, no occupancy",
                table(build().occupancy_cost(ClockTime::ZERO)),
            ),
            (
                "table, occupancy 200",
                table(build().occupancy_cost(ClockTime::from_ms(200))),
            ),
            (
                "table, one prefix hint",
                table(build().prefix_hint_capacity(1)),
            ),
        ]);
    }
    all
}

/// Number of baselines at the start of [`policies`].
const BASELINES: usize = 5;

/// Runs all policies for the deployments and lags of the options, and prints the results.
pub fn compare(options: &RoutingOptions) -> Vec<PolicySummary> {
    let policies = policies(options.variants);
    let sizes: Vec<DeploymentSize> = SIZES
        .into_iter()
        .filter(|size| {
            options
                .deployment
                .as_deref()
                .is_none_or(|name| name == size.name)
        })
        .collect();
    let mut summaries = Vec::new();
    for size in sizes {
        let seeds: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
        let workloads = run_jobs(&seeds, |&seed| workload_of(size, seed, options.utilisation));
        for lag_ms in LAGS_MS {
            if options.lag_ms.is_some_and(|only| only != lag_ms) {
                continue;
            }
            let jobs: Vec<(usize, usize)> = (0..policies.len())
                .flat_map(|policy| (0..workloads.len()).map(move |index| (policy, index)))
                .collect();
            let runs = run_jobs(&jobs, |&(policy, index)| {
                run(&workloads[index], &policies[policy].1, lag_ms, seeds[index])
            });
            let mut group: Vec<PolicySummary> = policies
                .iter()
                .enumerate()
                .map(|(policy, (name, _))| {
                    let start = policy * workloads.len();
                    summary_of(
                        size.name,
                        lag_ms,
                        name,
                        &runs[start..start + workloads.len()],
                    )
                })
                .collect();
            let best_baseline = group[..BASELINES]
                .iter()
                .map(|summary| summary.p95_ms.median)
                .fold(f64::INFINITY, f64::min);
            for summary in &mut group {
                summary.p95_ratio = summary.p95_ms.median / best_baseline;
            }
            summaries.extend(group);
        }
    }
    print_summaries(&summaries);
    summaries
}

/// Summarises the runs of one policy over all seeds; the caller sets `p95_ratio`.
fn summary_of(
    deployment: &'static str,
    lag_ms: u64,
    policy: &'static str,
    runs: &[RunFigures],
) -> PolicySummary {
    let spread =
        |figure: fn(&RunFigures) -> f64| spread_of(&runs.iter().map(figure).collect::<Vec<f64>>());
    PolicySummary {
        deployment,
        lag_ms,
        policy,
        p50_ms: spread(|run| run.p50_ms),
        p95_ms: spread(|run| run.p95_ms),
        p99_ms: spread(|run| run.p99_ms),
        attainment: spread(|run| run.attainment * 100.0),
        hits: spread(|run| run.hits * 100.0),
        burst: spread(|run| run.burst),
        p95_ratio: 0.0,
    }
}

fn print_summaries(summaries: &[PolicySummary]) {
    let heading = [
        "deployment",
        "lag ms",
        "policy",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "within 1.7 s, %",
        "cached, %",
        "burst",
        "p95 / best baseline",
    ];
    let rows: Vec<Vec<String>> = summaries
        .iter()
        .map(|summary| {
            vec![
                summary.deployment.to_owned(),
                summary.lag_ms.to_string(),
                summary.policy.to_owned(),
                format_spread(&summary.p50_ms, 0),
                format_spread(&summary.p95_ms, 0),
                format_spread(&summary.p99_ms, 0),
                format_spread(&summary.attainment, 1),
                format_spread(&summary.hits, 1),
                format_spread(&summary.burst, 2),
                format!("{:.2}", summary.p95_ratio),
            ]
        })
        .collect();
    print_table(&heading, &rows);
}
