//! When the store was available, as seen by all hosts together.
//!
//! A target that cannot write its record for several heartbeats loses its entry although it is
//! alive, and writes it again soon after the store is back. Failed calls of a single host do not
//! show such an outage, since the store may have been there for everybody else. Each host therefore
//! records when the store answers it, and reports the time span of these answers to the others.
//! Only a gap in which no host got an answer counts as an outage. What targets write is no measure:
//! their entries change only when more than the number of the write changes.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Heartbeats of a target that fit into the shortest outage in which its entry can lapse: it lapses
/// after three without a write, and the last write is up to one heartbeat older than the outage.
const LAPSE_HEARTBEATS: f64 = 2.0;
/// Time after an outage within which targets write their entries again.
pub(crate) const RECOVERY_TIME: ClockTime = ClockTime::from_ms(2_500);

/// Time span in which the store answered, without a gap in which entries can lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerSpan {
    since: ClockTime,
    until: ClockTime,
    /// Last answer before the outage that came before the span; `None` if the span began with the
    /// start of a host.
    outage_from: Option<ClockTime>,
}

/// Report of a host about the answers of the store that it knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityReport {
    /// Time since the first known answer, after the last outage if there was one.
    pub since_age: ClockTime,
    /// Time since the last known answer.
    pub until_age: ClockTime,
    /// Time since the last answer before that outage.
    pub outage_age: Option<ClockTime>,
}

/// Knowledge of one host about when the store was available.
#[derive(Clone, Debug)]
pub struct StoreAvailability {
    /// Length of a gap between answers from which on entries may have lapsed.
    lapse_time: ClockTime,
    span: Option<AnswerSpan>,
}

impl StoreAvailability {
    /// Creates the state of a host that knows of no answers; `heartbeat` is the interval at which
    /// targets write.
    pub fn new(heartbeat: ClockTime) -> Self {
        Self {
            lapse_time: heartbeat.scale(LAPSE_HEARTBEATS),
            span: None,
        }
    }

    /// Records that the store answered a call of this host that was sent at `sent`. The answer
    /// arrived at `now`.
    pub fn record_answer(&mut self, sent: ClockTime, now: ClockTime) {
        match &mut self.span {
            Some(span) if sent.since(span.until) < self.lapse_time => {
                span.until = span.until.max(sent);
            }
            known => {
                self.span = Some(AnswerSpan {
                    since: now,
                    until: sent,
                    outage_from: known.as_ref().map(|span| span.until),
                });
            }
        }
    }

    /// Applies the report of another host. A gap in the answers that this host knows of is no outage
    /// if the other host got answers in it.
    pub fn receive_report(&mut self, report: &AvailabilityReport, now: ClockTime) {
        let reported = AnswerSpan {
            since: now - report.since_age,
            until: now - report.until_age,
            outage_from: report.outage_age.map(|age| now - age),
        };
        let Some(known) = &mut self.span else {
            self.span = Some(reported);
            return;
        };
        let touches = reported.since.since(known.until) < self.lapse_time
            && known.since.since(reported.until) < self.lapse_time;
        if touches {
            let since = known.since.min(reported.since);
            // An outage in which one of the two hosts got answers was none.
            let outages = [known.outage_from, reported.outage_from]
                .into_iter()
                .flatten();
            *known = AnswerSpan {
                since,
                until: known.until.max(reported.until),
                outage_from: outages
                    .filter(|from| since.since(*from) >= self.lapse_time)
                    .max(),
            };
        } else if reported.until > known.until {
            *known = AnswerSpan {
                outage_from: reported.outage_from.max(Some(known.until)),
                ..reported
            };
        }
    }

    /// Returns the report to the other hosts, or `None` if no answers are known.
    pub fn report(&self, now: ClockTime) -> Option<AvailabilityReport> {
        self.span.map(|span| AvailabilityReport {
            since_age: now.since(span.since),
            until_age: now.since(span.until),
            outage_age: span.outage_from.map(|from| now.since(from)),
        })
    }

    /// Returns whether entries of targets that are alive may be missing: an outage may last, or
    /// ended so recently that targets may not have written again.
    pub fn is_recovering(&self, now: ClockTime) -> bool {
        self.span.is_none_or(|span| {
            let outage_lasts = now.since(span.until) >= self.lapse_time;
            outage_lasts || span.outage_from.is_some() && now.since(span.since) < RECOVERY_TIME
        })
    }
}
