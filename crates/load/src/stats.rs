//! Statistics over the results of calls.

use crate::check::{CallDefect, DefectCounts};
use crate::report::{ClassReport, LatencyReport, LoadReport, SecondReport};
use crocusyard_base::prelude::*;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Time limit of the first token, or of a whole plain answer, microseconds.
pub const FIRST_TOKEN_LIMIT_US: u64 = 1_700_000;
/// Time limit between tokens, microseconds.
pub const TOKEN_GAP_LIMIT_US: u64 = 46_000;
/// Share of the requests, and of the gaps of one stream, that must meet the limits.
pub const LIMIT_QUANTILE: f64 = 0.95;
/// Longest time that the histograms resolve, microseconds; longer times are recorded as this
/// one.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Decimal precision of the histograms, significant digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Result of one call.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// Whether the whole answer arrived, without defects.
    pub is_whole: bool,
    /// Time from the planned arrival to the first token, or to the whole plain answer,
    /// microseconds; none if neither arrived.
    pub first_us: Option<u64>,
    /// Gaps between tokens, microseconds.
    pub gaps_us: Vec<u64>,
    /// Correct tokens received.
    pub tokens: u32,
    /// Codes of all refusals and failed tries; the last one ended the call unless the answer is
    /// whole.
    pub refusals: Vec<String>,
    /// Tries after the first, resumes not included.
    pub retries: u32,
    /// Streams continued with `Last-Event-ID`.
    pub resumes: u32,
    /// Defects found in the answer.
    pub defects: Vec<CallDefect>,
}

impl CallResult {
    /// Returns whether the answer is whole and its first token met its limit.
    fn meets_first_limit(&self) -> bool {
        self.is_whole
            && self.defects.is_empty()
            && self
                .first_us
                .is_some_and(|first| first <= FIRST_TOKEN_LIMIT_US)
    }

    /// Returns whether the call met its time limits. For a stream, the limits apply to the first
    /// token and to the gap that 95 in 100 of the gaps between tokens stay below; for a plain call,
    /// to the whole answer.
    pub fn meets_limits(&self) -> bool {
        self.meets_first_limit() && quantile(&self.gaps_us, LIMIT_QUANTILE) <= TOKEN_GAP_LIMIT_US
    }
}

/// Returns a quantile by the nearest rank, or 0 if there are no values. `fraction` is 0 to 1.
pub fn quantile(values: &[u64], fraction: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}

/// Statistics of the calls with one label.
struct ClassStats {
    planned: u64,
    whole: u64,
    /// Whole answers whose first token met its limit.
    first_met: u64,
    /// Calls that met all limits.
    met: u64,
    /// Times to the first token, microseconds.
    first: Histogram<u64>,
    /// Gaps between tokens, microseconds.
    gaps: Histogram<u64>,
}

impl Default for ClassStats {
    fn default() -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_TIME_US, HISTOGRAM_DIGITS)
                .expect("the bounds of the histogram are valid")
        };
        Self {
            planned: 0,
            whole: 0,
            first_met: 0,
            met: 0,
            first: histogram(),
            gaps: histogram(),
        }
    }
}

/// Statistics of a run, updated call by call.
#[derive(Default)]
pub struct LoadStats {
    classes: BTreeMap<&'static str, ClassStats>,
    seconds: Vec<SecondReport>,
    refusals: BTreeMap<String, u64>,
    /// Defects found so far.
    pub defects: DefectCounts,
    /// Calls that ended, whole or not.
    pub ended: u64,
    /// Calls that were not sent because too many were in progress.
    pub dropped: u64,
    /// Calls that had not ended when the run stopped.
    pub unfinished: u64,
    retries: u64,
    resumes: u64,
    tokens: u64,
    good_tokens: u64,
}

impl LoadStats {
    /// Counts a planned call at its arrival, so that a call that never ends lowers the attainment.
    pub fn record_planned(&mut self, label: &'static str, at: ClockTime) {
        self.classes.entry(label).or_default().planned += 1;
        self.second_mut(at).planned += 1;
    }

    /// Adds the result of a call that was planned for `at`.
    pub fn record_result(&mut self, label: &'static str, at: ClockTime, result: &CallResult) {
        let meets_limits = result.meets_limits();
        self.ended += 1;
        self.retries += u64::from(result.retries);
        self.resumes += u64::from(result.resumes);
        self.tokens += u64::from(result.tokens);
        for code in &result.refusals {
            *self.refusals.entry(code.clone()).or_default() += 1;
        }
        for defect in &result.defects {
            self.defects.add(*defect);
        }
        if meets_limits {
            self.good_tokens += u64::from(result.tokens);
        }
        let class = self.classes.entry(label).or_default();
        class.whole += u64::from(result.is_whole);
        class.first_met += u64::from(result.meets_first_limit());
        class.met += u64::from(meets_limits);
        if let Some(first) = result.first_us {
            class.first.saturating_record(first);
        }
        for gap in &result.gaps_us {
            class.gaps.saturating_record(*gap);
        }
        let second = self.second_mut(at);
        second.whole += u64::from(result.is_whole);
        second.met += u64::from(meets_limits);
    }

    /// Returns the number of whole answers so far.
    pub fn whole(&self) -> u64 {
        self.classes.values().map(|class| class.whole).sum()
    }

    /// Returns the number of refusals so far.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Returns the 95th percentile of the time to the first token so far over all classes,
    /// microseconds.
    pub fn first_p95_us(&self) -> u64 {
        let mut merged = ClassStats::default().first;
        for class in self.classes.values() {
            // The histograms have the same bounds, so that adding cannot fail.
            let _ = merged.add(&class.first);
        }
        merged.value_at_quantile(LIMIT_QUANTILE)
    }

    /// Returns the figures of the second that holds `at`.
    fn second_mut(&mut self, at: ClockTime) -> &mut SecondReport {
        let index = usize::try_from(at.as_ms() / 1000).unwrap_or_default();
        while self.seconds.len() <= index {
            let second = self.seconds.len() as u64;
            self.seconds.push(SecondReport {
                second,
                ..SecondReport::default()
            });
        }
        &mut self.seconds[index]
    }

    /// Returns the report of a run of length `took`. [`run_load`](crate::run::run_load) adds the
    /// refused addresses and the check of keyed calls afterwards.
    pub fn report(&self, seed: u64, took: ClockTime) -> LoadReport {
        let seconds = (took.as_ms() as f64 / 1000.0).max(0.001);
        let met: u64 = self.classes.values().map(|class| class.met).sum();
        LoadReport {
            seed,
            took_s: seconds,
            planned: self.classes.values().map(|class| class.planned).sum(),
            whole: self.whole(),
            dropped: self.dropped,
            unfinished: self.unfinished,
            goodput: met as f64 / seconds,
            token_goodput: self.good_tokens as f64 / seconds,
            tokens: self.tokens,
            retries: self.retries,
            resumes: self.resumes,
            refusals: self.refusals.clone(),
            refused_addresses: 0,
            defects: self.defects,
            runs_checked: false,
            classes: self
                .classes
                .iter()
                .map(|(label, class)| class_report(label, class))
                .collect(),
            seconds: self.seconds.clone(),
        }
    }
}

fn class_report(label: &str, class: &ClassStats) -> ClassReport {
    let share = |count: u64| count as f64 / class.planned.max(1) as f64;
    let first = latency_report(&class.first);
    let gap = latency_report(&class.gaps);
    ClassReport {
        class: label.to_owned(),
        planned: class.planned,
        whole: class.whole,
        // Based on all planned calls: refused and broken ones have no time but must count as late.
        meets_limits: share(class.first_met) >= LIMIT_QUANTILE
            && gap.p95_ms <= TOKEN_GAP_LIMIT_US as f64 / 1000.0,
        attainment: share(class.met),
        first,
        gap,
    }
}

fn latency_report(histogram: &Histogram<u64>) -> LatencyReport {
    let ms = |fraction: f64| histogram.value_at_quantile(fraction) as f64 / 1000.0;
    LatencyReport {
        count: histogram.len(),
        p50_ms: ms(0.5),
        p95_ms: ms(0.95),
        p99_ms: ms(0.99),
        max_ms: histogram.max() as f64 / 1000.0,
    }
}
