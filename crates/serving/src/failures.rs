//! How often calls fail at a target.
//!
//! A target may fail a part of its calls without failing several in a row, so that its last answer
//! says little. Its failure rate is therefore estimated from the calls of the last seconds: those of
//! this host, and with less weight those that other hosts reported, as a target may fail the calls
//! of some hosts only. A call fails if its answer has a status of 500 or more, or if it is lost after
//! it was sent; a target that says that it has not run a call has not failed. Lost calls count once
//! the same incarnation of the target answers another call: a target that crashes loses all its calls
//! at once, and says nothing about the next incarnation.
//!
//! Counts fade with time, so that the estimate falls while a target gets few calls, until it gets
//! enough of them to show whether it has recovered.

use crate::targets::TargetKey;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Time after which calls count half.
const HALF_LIFE: ClockTime = ClockTime::from_secs(3);
/// Sound calls that are assumed in addition to the counted ones, so that a single failure does not
/// look like a rate of 1.
const ASSUMED_CALLS: f64 = 2.0;
/// Weight of calls of other hosts.
const PEER_WEIGHT: f64 = 0.5;
/// Largest number of calls that count, so that a target with many calls is known to have recovered
/// after about as many further ones.
const MAX_CALLS: f64 = 20.0;
/// Rate below which a target counts as sound.
const SOUND_RATE: f64 = 0.03;
/// Number of failures, by their weights, below which a target counts as sound: a single failure says
/// little.
const MIN_FAILURES: f64 = 1.2;
/// Time after which a lost call counts if the target loses another one; a target that has crashed
/// takes no calls for longer.
const CONFIRMATION_TIME: ClockTime = ClockTime::from_ms(1_000);

/// Fading counts of calls and failures.
#[derive(Clone, Copy, Debug, Default)]
struct FadingCounts {
    calls: f64,
    failures: f64,
    at: ClockTime,
}

impl FadingCounts {
    fn at(&self, now: ClockTime) -> (f64, f64) {
        let left = now.since(self.at).decay_factor(HALF_LIFE);
        (self.calls * left, self.failures * left)
    }

    fn add(&mut self, calls: f64, failures: f64, now: ClockTime) {
        let (old_calls, old_failures) = self.at(now);
        let calls = old_calls + calls;
        let scale = (MAX_CALLS / calls.max(1.0)).min(1.0);
        *self = Self {
            calls: calls * scale,
            failures: (old_failures + failures) * scale,
            at: now,
        };
    }
}

/// Calls and failures at a target since the last report of a host, sent to the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The target.
    pub target: TargetKey,
    /// Number of calls that ended.
    pub calls: u16,
    /// Number of them that failed.
    pub failures: u16,
}

/// Failure rate of one target, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct FailureRate {
    own: FadingCounts,
    peers: FadingCounts,
    /// Calls and failures that have not been reported to the other hosts.
    unreported: (u16, u16),
    /// Lost calls that do not count yet.
    unconfirmed: u16,
    lost_at: ClockTime,
}

impl FailureRate {
    /// Records that the target answered a call of this host.
    pub fn record_answer(&mut self, is_failure: bool, now: ClockTime) {
        let lost = std::mem::take(&mut self.unconfirmed);
        self.count(1 + lost, u16::from(is_failure) + lost, now);
    }

    /// Records that a call of this host was lost at the target.
    pub fn record_lost(&mut self, now: ClockTime) {
        if self.unconfirmed > 0 && now.since(self.lost_at) >= CONFIRMATION_TIME {
            let lost = std::mem::take(&mut self.unconfirmed);
            self.count(lost, lost, now);
        }
        self.unconfirmed = self.unconfirmed.saturating_add(1);
        self.lost_at = now;
    }

    fn count(&mut self, calls: u16, failures: u16, now: ClockTime) {
        self.own.add(f64::from(calls), f64::from(failures), now);
        let (known_calls, known_failures) = self.unreported;
        self.unreported = (
            known_calls.saturating_add(calls),
            known_failures.saturating_add(failures),
        );
    }

    /// Applies the report of another host.
    pub fn receive(&mut self, report: &FailureReport, now: ClockTime) {
        let failures = report.failures.min(report.calls);
        self.peers
            .add(f64::from(report.calls), f64::from(failures), now);
    }

    /// Returns the calls and failures since the last report, if the target fails calls; a report
    /// then includes the calls that did not fail.
    pub fn take_report(&mut self, now: ClockTime) -> Option<(u16, u16)> {
        let unreported = std::mem::take(&mut self.unreported);
        let is_failing = unreported.1 > 0 || self.rate(now) > 0.0;
        (unreported.0 > 0 && is_failing).then_some(unreported)
    }

    /// Returns the expected fraction of calls that fail; 0 for a target that counts as sound.
    pub fn rate(&self, now: ClockTime) -> f64 {
        let (own_calls, own_failures) = self.own.at(now);
        let (peer_calls, peer_failures) = self.peers.at(now);
        let failures = own_failures + PEER_WEIGHT * peer_failures;
        let rate = failures / (own_calls + PEER_WEIGHT * peer_calls + ASSUMED_CALLS);
        if rate < SOUND_RATE || failures < MIN_FAILURES {
            0.0
        } else {
            rate
        }
    }
}
