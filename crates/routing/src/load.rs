//! Load of one target: its last report, plus what hosts sent since the point the report describes.
//!
//! Sends and ends are kept in a short log with their times. A report describes the target at its
//! receipt less its age, so entries up to that point are dropped and the later ones still count.

use crate::report::LoadReport;
use crocusyard_base::prelude::*;
use std::collections::VecDeque;

/// Largest number of log entries of a target; the oldest are dropped, as reports cover them first.
pub(crate) const LOG_ENTRIES: usize = 256;
/// Entries of one sender within this span are merged.
const MERGE_SPAN: ClockTime = ClockTime::from_ms(5);
/// Prefill rate assumed before the first report, tokens a second.
const DEFAULT_RATE: f64 = 5_000.0;
/// Sender number of this host in the log.
pub(crate) const SELF_SENDER: u32 = 0;

#[derive(Clone, Copy, Debug)]
struct LoadEntry {
    at: ClockTime,
    sender: u32,
    requests: i64,
    tokens: i64,
}

/// Estimated load of one target.
#[derive(Clone, Debug)]
pub(crate) struct LoadEstimate {
    log: VecDeque<LoadEntry>,
    reported: i64,
    net: i64,
    backlog: f64,
    backlog_at: ClockTime,
    rate: f64,
}

impl LoadEstimate {
    pub(crate) fn new() -> Self {
        Self {
            log: VecDeque::new(),
            reported: 0,
            net: 0,
            backlog: 0.0,
            backlog_at: ClockTime::ZERO,
            rate: DEFAULT_RATE,
        }
    }

    /// Restarts from a report; entries after the report's point are replayed on top of it.
    ///
    /// Reported tokens are whole prompts, while the log has only what no cache is expected to hold;
    /// `uncached` is the share that makes them comparable.
    pub(crate) fn rebase(&mut self, now: ClockTime, report: &LoadReport, uncached: f64) {
        let point = now - report.age;
        while self.log.front().is_some_and(|entry| entry.at <= point) {
            self.log.pop_front();
        }
        self.reported = i64::from(report.running) + i64::from(report.waiting);
        self.rate = if report.prefill_rate > 0.0 {
            report.prefill_rate
        } else {
            DEFAULT_RATE
        };
        self.backlog = report.queued_tokens as f64 * uncached;
        self.backlog_at = point;
        self.net = 0;
        for index in 0..self.log.len() {
            let entry = self.log[index];
            self.net += entry.requests;
            self.drain(entry.at);
            self.backlog = (self.backlog + entry.tokens as f64).max(0.0);
        }
    }

    /// Adds sends (positive) or ends (negative) of one sender.
    pub(crate) fn add(&mut self, now: ClockTime, sender: u32, requests: i64, tokens: i64) {
        self.net += requests;
        self.drain(now);
        self.backlog = (self.backlog + tokens as f64).max(0.0);
        let merged = self
            .log
            .back_mut()
            .filter(|last| last.sender == sender && now.since(last.at) <= MERGE_SPAN);
        if let Some(last) = merged {
            last.requests += requests;
            last.tokens += tokens;
            return;
        }
        if self.log.len() == LOG_ENTRIES {
            if let Some(oldest) = self.log.pop_front() {
                self.net -= oldest.requests;
            }
        }
        self.log.push_back(LoadEntry {
            at: now,
            sender,
            requests,
            tokens,
        });
        invariant!(
            self.log.len() <= LOG_ENTRIES,
            "load_log_bounded",
            "{} entries",
            self.log.len()
        );
    }

    /// Returns requests and tokens of one sender that the report does not cover.
    pub(crate) fn sent_by(&self, sender: u32) -> (i64, i64) {
        self.log
            .iter()
            .filter(|entry| entry.sender == sender)
            .fold((0, 0), |(requests, tokens), entry| {
                (requests + entry.requests, tokens + entry.tokens)
            })
    }

    /// Returns the estimated number of requests at the target.
    pub(crate) fn requests(&self) -> u32 {
        (self.reported + self.net).clamp(0, i64::from(u32::MAX)) as u32
    }

    /// Returns the tokens not yet prefilled, as of [`Self::backlog_at`].
    pub(crate) fn backlog(&self) -> f64 {
        self.backlog
    }

    /// Returns the point at which the backlog was computed.
    pub(crate) fn backlog_at(&self) -> ClockTime {
        self.backlog_at
    }

    /// Returns the prefill rate, tokens a second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    fn drain(&mut self, until: ClockTime) {
        let drained = until.since(self.backlog_at).as_ms() as f64 * self.rate / 1000.0;
        self.backlog = (self.backlog - drained).max(0.0);
        self.backlog_at = self.backlog_at.max(until);
    }
}
