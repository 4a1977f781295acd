//! Compares the planner with baseline policies on the same seeded demand.
//!
//! `cargo run --release -p crocusyard_placement --example compare -- --seed N`

mod day;
mod optimum;

use argh::FromArgs;
use day::{Deployment, Policy, RunResult, DEPLOYMENTS};

/// Compares placement policies.
#[derive(FromArgs)]
struct CompareArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
}

/// Names and move costs of the weightings: that of the deployment Burgos (attainment first), that
/// of the deployment Moldes del Plata (moves first), and one with a higher move cost.
const WEIGHTINGS: [(&str, f64); 3] = [("attainment", 0.15), ("moves", 0.3), ("few moves", 1.0)];

/// Sorts values and returns their median, minimum and maximum.
fn median(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[values.len() / 2],
        values[0],
        values[values.len() - 1],
    )
}

/// Prints a table of all policies for one deployment.
fn compare(args: &CompareArgs, deployment: &Deployment) {
    let seeds: Vec<u64> = (args.seed..args.seed + args.seeds).collect();
    println!(
        "\n{} ({} models, {} accelerators)",
        deployment.name, deployment.models, deployment.targets
    );
    println!(
        "| policy | weighting | attainment median (min to max) | moves median (min to max) \
         | attainment over greedy's | moves over greedy's |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let runs = |policy: Policy, move_cost: f64| -> Vec<RunResult> {
        let seeds = seeds.iter();
        seeds
            .map(|&seed| day::run_day(deployment, policy, seed, move_cost))
            .collect()
    };
    let greedy = runs(Policy::Greedy, 0.0);
    for policy in [Policy::Static, Policy::Lru, Policy::Greedy] {
        print_row(policy.name(), "any", &runs(policy, 0.0), &greedy);
    }
    for (name, move_cost) in WEIGHTINGS {
        print_row("planner", name, &runs(Policy::Planner, move_cost), &greedy);
    }
}

/// Prints one row. Its last two columns are medians of the ratios to the greedy policy, seed by
/// seed.
fn print_row(policy: &str, weighting: &str, results: &[RunResult], greedy: &[RunResult]) {
    let mut shares: Vec<f64> = results.iter().map(|result| result.share).collect();
    let mut moves: Vec<f64> = results.iter().map(|result| result.moves as f64).collect();
    let (share, low, high) = median(&mut shares);
    let (count, fewest, most) = median(&mut moves);
    let pairs = || results.iter().zip(greedy);
    let mut share_ratios: Vec<f64> = pairs()
        .map(|(own, other)| own.share / other.share)
        .collect();
    let mut move_ratios: Vec<f64> = pairs()
        .map(|(own, other)| own.moves as f64 / other.moves as f64)
        .collect();
    let (ratio, least, greatest) = median(&mut share_ratios);
    let (move_ratio, ..) = median(&mut move_ratios);
    println!(
        "| {policy} | {weighting} | {share:.4} ({low:.4} to {high:.4}) | {count} ({fewest} to {most}) \
         | {ratio:.4} ({least:.4} to {greatest:.4}) | {move_ratio:.3} |"
    );
}

fn main() {
    let args: CompareArgs = argh::from_env();
    for deployment in &DEPLOYMENTS {
        compare(&args, deployment);
    }
    println!("\nSmall case against the offline optimum (score: attained load less move cost)");
    for (name, move_cost) in WEIGHTINGS {
        let mut shares: Vec<f64> = (args.seed..args.seed + args.seeds)
            .map(|seed| optimum::score_ratio(seed, move_cost))
            .collect();
        let (share, low, high) = median(&mut shares);
        println!("{name}: planner reaches {share:.4} ({low:.4} to {high:.4}) of the optimum");
    }
}
