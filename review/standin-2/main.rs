//! Cases of the second review that are scripts. Usage: `cases NAME FOLDER`, from the root of the
//! repository; `TROUBLE=0` leaves the disruption out. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod hosts;
mod http;
mod json;
mod record;
mod server;
mod store;
mod traffic;

mod case_adapters;
mod case_budget;
mod case_crashing;
mod case_drain;

use record::Record;
use std::path::PathBuf;
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// What every case needs.
pub struct Setup {
    pub record: Record,
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(out)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("crocusyard-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let setup = Setup {
        record: Record::new(),
        trouble,
        folder: folder.clone(),
    };
    let case: fn(&Setup) -> Verdict = match name.as_str() {
        "adapters" => case_adapters::run,
        "restarts" => case_crashing::run_restarts,
        "dark" => case_crashing::run_dark,
        "budget" => case_budget::run,
        "drain" => case_drain::run,
        _ => |_| Verdict::NotRun("no such case".to_owned()),
    };
    setup
        .record
        .add(&format!("case {name}, disruption: {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        hosts::end_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = case(&setup);
    let code = match verdict {
        Verdict::Held => {
            setup.record.say("the rule held");
            0
        }
        Verdict::Broken => {
            setup.record.say("the rule was broken");
            1
        }
        Verdict::NotRun(cause) => {
            setup
                .record
                .say(&format!("the case could not run: {cause}"));
            2
        }
    };
    setup.record.write(&format!("{out}/record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs: {}", folder.display());
    }
    std::process::exit(code);
}
