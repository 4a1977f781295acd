//! A short soak test of entry host processes; the program `crocusyard-soak` runs longer ones.

use crocusyard_base::prelude::*;
use crocusyard_soak::prelude::*;
use std::path::PathBuf;

/// Seeds of the short runs. A seed that has failed once is added here with its cause.
const SEEDS: [u64; 2] = [1, 2];
/// Length of the phase with faults in each run.
const FAULT_TIME: ClockTime = ClockTime::from_secs(6);

/// Guards against violations of the guarantees to callers when several faults overlap.
#[test]
fn short_runs_have_no_violations() {
    let logs = tempfile::tempdir().expect("the log directory cannot be created");
    let runs = SEEDS.map(|seed| {
        let settings = SoakSettings {
            seed,
            hosts: 3,
            targets: 4,
            callers: 8,
            fault_time: FAULT_TIME,
            program: PathBuf::from(env!("CARGO_BIN_EXE_crocusyard")),
            logs: logs.path().to_owned(),
        };
        std::thread::spawn(move || {
            let system = actix_rt::System::new();
            system
                .block_on(run_seed(&settings))
                .expect("the hosts and stand-ins cannot start")
        })
    });
    for run in runs {
        let report = run.join().expect("the thread of a run panicked");
        assert!(report.violations.is_empty(), "{report:?}");
        // A run in which few calls are answered could hardly show a violation.
        assert!(2 * report.answered > report.calls, "{report:?}");
    }
}
