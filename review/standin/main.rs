//! Cases of the review that are shown by a script: `standin CASE FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod configuration;
mod flow;
mod host;
mod http;
mod json;
mod server;
mod store;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken,
    Failed,
}

/// Record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    lines: Vec<(u128, String)>,
}

impl Record {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Vec::new(),
        }
    }

    /// Adds a line about something that happened at `at`.
    pub fn add(&mut self, at: Instant, line: String) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        self.lines.push((ms, line));
    }

    fn write(mut self, path: &Path) {
        self.lines.sort_by_key(|line| line.0);
        let lines = self.lines.iter();
        let text: String = lines
            .map(|(ms, line)| format!("{ms:>6} ms  {line}\n"))
            .collect();
        fs::write(path, text).expect("the record");
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = scratch_folder();
    let mut record = Record::new();
    let trouble = if has_trouble { "1" } else { "0" };
    record.add(Instant::now(), format!("case {case}, TROUBLE={trouble}"));
    let verdict = match case.as_str() {
        "configuration" => configuration::run(has_trouble, &scratch, &mut record),
        "flow" => flow::run(has_trouble, &scratch, &mut record),
        _ => Verdict::Failed,
    };
    record.write(&Path::new(folder).join("record.txt"));
    let _ = fs::remove_dir_all(&scratch);
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::Failed => ExitCode::from(2),
    }
}

fn scratch_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
