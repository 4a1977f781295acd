//! A short soak of the real entry hosts; `crocusyard-soak` plays longer ones.

use crocusyard_base::prelude::*;
use crocusyard_soak::prelude::*;
use std::path::PathBuf;

/// Seeds of the short runs; those that failed once stay here, each with its cause.
const SEEDS: [u64; 2] = [1, 2];
/// Time with faults.
const FAULT_TIME: ClockTime = ClockTime::from_secs(6);

/// Guards against promises that break when faults overlap.
#[test]
fn short_seeds_break_no_promise() {
    let logs = tempfile::tempdir().expect("folder");
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
                .expect("everything starts")
        })
    });
    for run in runs {
        let report = run.join().expect("the run ends");
        assert!(report.violations.is_empty(), "{report:?}");
        // A run in which callers get hardly any answer proves nothing.
        assert!(2 * report.answered > report.calls, "{report:?}");
    }
}
