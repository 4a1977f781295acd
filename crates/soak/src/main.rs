//! Plays seeds and prints a JSON line for each.

use argh::FromArgs;
use crocusyard_base::prelude::*;
use crocusyard_soak::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Runs real entry hosts under random faults and checks the promises of the system.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seeds at once
    #[argh(option, default = "2")]
    jobs: usize,
    /// entry hosts of a run
    #[argh(option, default = "4")]
    hosts: usize,
    /// targets of a run
    #[argh(option, default = "8")]
    targets: usize,
    /// callers of a run
    #[argh(option, default = "24")]
    callers: usize,
    /// time with faults, seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// the crocusyard binary; default: beside this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for the output of the hosts
    #[argh(option, default = "PathBuf::from(\"soak-logs\")")]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let beside = std::env::current_exe().map(|path| path.with_file_name("crocusyard"));
    let program = match (&args.program, beside) {
        (Some(program), _) => program.clone(),
        (None, Ok(program)) => program,
        (None, Err(error)) => {
            eprintln!("the crocusyard binary is not known: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = std::fs::create_dir_all(&args.logs) {
        eprintln!("{}: {error}", args.logs.display());
        return ExitCode::FAILURE;
    }
    let next = AtomicU64::new(args.seed);
    let failures = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..args.jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= args.seed + args.seeds {
                    return;
                }
                let settings = SoakSettings {
                    seed,
                    hosts: args.hosts,
                    targets: args.targets,
                    callers: args.callers,
                    fault_time: ClockTime::from_secs(args.seconds),
                    program: program.clone(),
                    logs: args.logs.clone(),
                };
                if !play(&settings) {
                    failures.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    match failures.into_inner() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Plays a seed; whether it kept all promises.
fn play(settings: &SoakSettings) -> bool {
    match actix_rt::System::new().block_on(run_seed(settings)) {
        Ok(report) => {
            match serde_json::to_string(&report) {
                Ok(line) => println!("{line}"),
                Err(error) => eprintln!("seed {}: {error}", settings.seed),
            }
            report.violations.is_empty()
        }
        Err(error) => {
            eprintln!("seed {}: {error}", settings.seed);
            false
        }
    }
}
