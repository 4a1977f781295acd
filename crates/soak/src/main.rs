//! Runs seeds of the fault soak and prints a JSON line for each.

use argh::FromArgs;
use crocusyard_base::prelude::*;
use crocusyard_soak::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Runs real entry hosts under random faults and checks what the system promises.
#[derive(FromArgs)]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, counting up from the first
    #[argh(option, default = "1")]
    seeds: u64,
    /// runs at the same time
    #[argh(option, default = "2")]
    jobs: usize,
    /// number of entry hosts in a run
    #[argh(option, default = "4")]
    hosts: usize,
    /// number of targets in a run
    #[argh(option, default = "8")]
    targets: usize,
    /// number of callers in a run
    #[argh(option, default = "24")]
    callers: usize,
    /// time in which faults are injected, seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// path of the crocusyard binary; default: in the folder of this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder for the log files of the hosts
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
            eprintln!("the folder of the crocusyard binary cannot be determined: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = std::fs::create_dir_all(&args.logs) {
        eprintln!(
            "the log folder {} cannot be created: {error}",
            args.logs.display()
        );
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
                if !run_and_print(&settings) {
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

/// Runs a seed and prints its report; returns whether all promises held.
fn run_and_print(settings: &SoakSettings) -> bool {
    match actix_rt::System::new().block_on(run_seed(settings)) {
        Ok(report) => {
            match serde_json::to_string(&report) {
                Ok(line) => println!("{line}"),
                Err(error) => eprintln!(
                    "seed {}: the report cannot be written: {error}",
                    settings.seed
                ),
            }
            report.violations.is_empty()
        }
        Err(error) => {
            eprintln!("seed {}: the run failed: {error}", settings.seed);
            false
        }
    }
}
