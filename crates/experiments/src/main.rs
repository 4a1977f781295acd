//! Runs an experiment, prints its results as a table and optionally writes them as JSON.

use argh::FromArgs;
use crocusyard_experiments::{addresses, admission, routing, table};
use std::path::PathBuf;

/// Compares one decision with its baselines on identical seeded input.
#[derive(FromArgs)]
struct ExperimentArgs {
    #[argh(subcommand)]
    experiment: ExperimentKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ExperimentKind {
    Routing(RoutingArgs),
    Admission(AdmissionArgs),
    Addresses(AddressArgs),
}

/// Choice of a target on lagged load reports.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
struct RoutingArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
    /// share of prefill capacity that arrivals need without caching
    #[argh(option, default = "1.3")]
    utilisation: f64,
    /// also run variants of the route table
    #[argh(switch)]
    variants: bool,
    /// run only this deployment
    #[argh(option)]
    deployment: Option<String>,
    /// run only this lag of reports, milliseconds
    #[argh(option)]
    lag: Option<u64>,
    /// path of a JSON file that the results are written to
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Queueing and refusal on one entry host.
#[derive(FromArgs)]
#[argh(subcommand, name = "admission")]
struct AdmissionArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
    /// also run variants of the queue
    #[argh(switch)]
    variants: bool,
    /// path of a JSON file that the results are written to
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Choice of entry hosts for callers.
#[derive(FromArgs)]
#[argh(subcommand, name = "addresses")]
struct AddressArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "5")]
    seeds: u64,
    /// also run variants of the answer
    #[argh(switch)]
    variants: bool,
    /// path of a JSON file that the results are written to
    #[argh(option)]
    out: Option<PathBuf>,
}

fn main() -> std::io::Result<()> {
    let args: ExperimentArgs = argh::from_env();
    match args.experiment {
        ExperimentKind::Routing(args) => {
            let results = routing::compare(&routing::RoutingOptions {
                seed: args.seed,
                seeds: args.seeds,
                utilisation: args.utilisation,
                variants: args.variants,
                deployment: args.deployment,
                lag_ms: args.lag,
            });
            args.out
                .map_or(Ok(()), |path| table::write_json(&path, &results))
        }
        ExperimentKind::Admission(args) => {
            let results = admission::compare(args.seed, args.seeds, args.variants);
            args.out
                .map_or(Ok(()), |path| table::write_json(&path, &results))
        }
        ExperimentKind::Addresses(args) => {
            let results = addresses::compare(args.seed, args.seeds, args.variants);
            args.out
                .map_or(Ok(()), |path| table::write_json(&path, &results))
        }
    }
}
