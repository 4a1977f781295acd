//! The report of a run, as data and as text.

use crate::check::DefectCounts;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Distribution of a measured time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Number of measured values.
    pub count: u64,
    /// Median, milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, milliseconds.
    pub p99_ms: f64,
    /// Highest value, milliseconds.
    pub max_ms: f64,
}

/// Figures of one class of calls.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Request class of chats, or `plain get` or `plain post`.
    pub class: String,
    /// Calls that were planned and have arrived.
    pub planned: u64,
    /// Calls whose whole answer arrived without defects.
    pub whole: u64,
    /// Whether the first tokens of 95 in 100 planned calls and 95 in 100 gaps met their limits.
    pub meets_limits: bool,
    /// Share of the planned calls that met both limits.
    pub attainment: f64,
    /// Time from the planned arrival to the first token, or to the whole plain answer.
    pub first: LatencyReport,
    /// Time between tokens.
    pub gap: LatencyReport,
}

/// Figures of the calls that were planned for one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Index of the second, counted from 0 at the start of the run.
    pub second: u64,
    /// Calls that were planned and have arrived.
    pub planned: u64,
    /// Calls whose whole answer arrived without defects.
    pub whole: u64,
    /// Calls that met their time limits.
    pub met: u64,
}

/// Result of a load run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the run, seconds.
    pub took_s: f64,
    /// Calls that were planned and have arrived.
    pub planned: u64,
    /// Calls whose whole answer arrived without defects.
    pub whole: u64,
    /// Calls that were not sent because too many were in progress.
    pub dropped: u64,
    /// Calls that had not ended when the run stopped.
    pub unfinished: u64,
    /// Calls that met the limits, per second.
    pub goodput: f64,
    /// Tokens of the calls that met the limits, per second.
    pub token_goodput: f64,
    /// Correct tokens received.
    pub tokens: u64,
    /// Tries after the first, resumes not included.
    pub retries: u64,
    /// Number of times that a stream was resumed.
    pub resumes: u64,
    /// Refusals by code. The load tool itself adds `no_address`, `connect`, `broken`,
    /// `too_many_tries` and `no_problem_document`.
    pub refusals: BTreeMap<String, u64>,
    /// Addresses that entry hosts returned and that were not used because they are not on loopback.
    pub refused_addresses: u64,
    /// Defects found in answers and runs.
    pub defects: DefectCounts,
    /// Whether the plain stand-ins were asked how often each keyed call ran.
    pub runs_checked: bool,
    /// Figures by class.
    pub classes: Vec<ClassReport>,
    /// Figures by second of the planned arrival.
    pub seconds: Vec<SecondReport>,
}

impl LoadReport {
    /// Returns the report as a table and totals for people to read.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<12} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>6}\n",
            "class",
            "planned",
            "whole",
            "attained",
            "first p50",
            "first p95",
            "gap p50",
            "gap p95",
            "limits"
        );
        for class in &self.classes {
            let limits = if class.meets_limits { "met" } else { "missed" };
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:<12} {:>8} {:>8} {:>7.1}% {:>9.1} {:>9.1} {:>9.2} {:>9.2} {:>6}",
                class.class,
                class.planned,
                class.whole,
                class.attainment * 100.0,
                class.first.p50_ms,
                class.first.p95_ms,
                class.gap.p50_ms,
                class.gap.p95_ms,
                limits,
            );
        }
        self.write_totals(&mut text);
        text
    }

    fn write_totals(&self, text: &mut String) {
        let _ = writeln!(
            text,
            "times in ms from the planned arrival; seed {}, {:.1} s, goodput {:.1} calls/s and {:.0} \
             tokens/s",
            self.seed, self.took_s, self.goodput, self.token_goodput
        );
        let _ = writeln!(
            text,
            "{} planned, {} whole, {} dropped, {} unfinished, {} retries, {} resumes",
            self.planned, self.whole, self.dropped, self.unfinished, self.retries, self.resumes
        );
        let refusals: Vec<_> = self
            .refusals
            .iter()
            .map(|(code, count)| format!("{code} {count}"))
            .collect();
        if !refusals.is_empty() {
            let _ = writeln!(text, "refusals: {}", refusals.join(", "));
        }
        let defects = &self.defects;
        let _ = write!(
            text,
            "answers: {} wrong, {} partial, {} duplicate tokens",
            defects.wrong, defects.partial, defects.duplicate
        );
        let _ = if self.runs_checked {
            writeln!(
                text,
                "; keyed calls: {} ran twice, {} answered but not run",
                defects.ran_twice, defects.never_ran
            )
        } else {
            writeln!(text, "; runs of keyed calls not checked")
        };
    }
}
