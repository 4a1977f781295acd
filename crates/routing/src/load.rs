//! Load estimate of one target: its last report plus the changes that the report does not cover.
//!
//! Requests sent and ended by any host are kept in a short log with their times. The figures of a
//! report were measured earlier than its receipt, by the age of the report. A new report drops the
//! log entries up to the measurement, and the later entries are added to its figures.

use crate::report::LoadReport;
use crocusyard_base::prelude::*;
use std::collections::VecDeque;

/// Largest number of log entries per target. The oldest are dropped, as reports cover them first.
pub(crate) const MAX_LOG_ENTRIES: usize = 256;
/// Consecutive entries of one sender within this time are merged.
const MERGE_WINDOW: ClockTime = ClockTime::from_ms(5);
/// Prefill rate assumed until a report has one, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 5_000.0;
/// Sender number of this host in the logs.
pub(crate) const LOCAL_SENDER: u32 = 0;

/// Change of a target's load by one sender.
#[derive(Clone, Copy, Debug)]
struct LogEntry {
    at: ClockTime,
    sender: u32,
    /// Requests sent minus requests ended.
    requests: i64,
    /// Input tokens sent.
    tokens: i64,
}

/// Estimated load of one target.
#[derive(Clone, Debug)]
pub(crate) struct LoadEstimate {
    log: VecDeque<LogEntry>,
    /// Requests at the target by its last report.
    reported_requests: i64,
    /// Sum of the requests in the log.
    logged_requests: i64,
    /// Tokens not yet prefilled at `backlog_at`.
    backlog_tokens: f64,
    backlog_at: ClockTime,
    /// Tokens per second.
    prefill_rate: f64,
}

impl LoadEstimate {
    pub(crate) fn new() -> Self {
        Self {
            log: VecDeque::new(),
            reported_requests: 0,
            logged_requests: 0,
            backlog_tokens: 0.0,
            backlog_at: ClockTime::ZERO,
            prefill_rate: DEFAULT_PREFILL_RATE,
        }
    }

    /// Restarts the estimate from a report and replays the log entries that the report does not
    /// cover.
    ///
    /// A report counts all tokens of a prompt, while the log counts only those expected not to be
    /// cached. `uncached_fraction` scales the reported tokens to match.
    pub(crate) fn rebase(&mut self, now: ClockTime, report: &LoadReport, uncached_fraction: f64) {
        let measured_at = now - report.age;
        while self
            .log
            .front()
            .is_some_and(|entry| entry.at <= measured_at)
        {
            self.log.pop_front();
        }
        self.reported_requests = i64::from(report.running) + i64::from(report.waiting);
        self.prefill_rate = if report.prefill_rate > 0.0 {
            report.prefill_rate
        } else {
            DEFAULT_PREFILL_RATE
        };
        self.backlog_tokens = report.queued_tokens as f64 * uncached_fraction;
        self.backlog_at = measured_at;
        self.logged_requests = 0;
        for index in 0..self.log.len() {
            let entry = self.log[index];
            self.logged_requests += entry.requests;
            self.drain(entry.at);
            self.backlog_tokens = (self.backlog_tokens + entry.tokens as f64).max(0.0);
        }
    }

    /// Records requests of one sender: positive if they were sent, negative if they ended.
    pub(crate) fn record(&mut self, now: ClockTime, sender: u32, requests: i64, tokens: i64) {
        self.logged_requests += requests;
        self.drain(now);
        self.backlog_tokens = (self.backlog_tokens + tokens as f64).max(0.0);
        let last_entry = self
            .log
            .back_mut()
            .filter(|last| last.sender == sender && now.since(last.at) <= MERGE_WINDOW);
        if let Some(last) = last_entry {
            last.requests += requests;
            last.tokens += tokens;
            return;
        }
        if self.log.len() == MAX_LOG_ENTRIES {
            if let Some(oldest) = self.log.pop_front() {
                self.logged_requests -= oldest.requests;
            }
        }
        self.log.push_back(LogEntry {
            at: now,
            sender,
            requests,
            tokens,
        });
        invariant!(
            self.log.len() <= MAX_LOG_ENTRIES,
            "load_log_bounded",
            "the load log of a target has {} entries, more than {MAX_LOG_ENTRIES}",
            self.log.len()
        );
    }

    /// Returns the requests and tokens of one sender that the last report does not cover.
    pub(crate) fn logged_by(&self, sender: u32) -> (i64, i64) {
        self.log
            .iter()
            .filter(|entry| entry.sender == sender)
            .fold((0, 0), |(requests, tokens), entry| {
                (requests + entry.requests, tokens + entry.tokens)
            })
    }

    /// Returns the estimated number of requests running or waiting at the target.
    pub(crate) fn requests(&self) -> u32 {
        (self.reported_requests + self.logged_requests).clamp(0, i64::from(u32::MAX)) as u32
    }

    /// Returns the number of tokens not yet prefilled at [`Self::backlog_at`].
    pub(crate) fn backlog_tokens(&self) -> f64 {
        self.backlog_tokens
    }

    /// Returns the time for which the backlog was computed.
    pub(crate) fn backlog_at(&self) -> ClockTime {
        self.backlog_at
    }

    /// Returns the prefill rate, in tokens per second.
    pub(crate) fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    /// Advances the backlog to a later time by the tokens prefilled until then.
    fn drain(&mut self, until: ClockTime) {
        let drained = until.since(self.backlog_at).as_ms() as f64 * self.prefill_rate / 1000.0;
        self.backlog_tokens = (self.backlog_tokens - drained).max(0.0);
        self.backlog_at = self.backlog_at.max(until);
    }
}
