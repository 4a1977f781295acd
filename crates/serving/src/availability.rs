//! When targets could write to the store, as seen by all hosts together.
//!
//! A target that cannot write its record for several heartbeats loses its entry although it is
//! alive, and writes it again soon after the store is back. Failed calls of a single host do not
//! show such an outage, since the store may have been there for everybody else. Each host therefore
//! records when it reads new records of targets, and reports the time span of these writes to the
//! others. Only a gap that no host has seen a write in counts as an outage.

use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Heartbeats of a target that fit into the shortest outage in which its entry can lapse: it lapses
/// after three without a write, and the last write is up to one heartbeat older than the outage.
const LAPSE_HEARTBEATS: f64 = 2.0;
/// Time after an outage within which targets write their entries again.
pub(crate) const RECOVERY_TIME: ClockTime = ClockTime::from_ms(2_500);

/// Time span in which targets wrote, without a gap in which entries can lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WriteSpan {
    since: ClockTime,
    until: ClockTime,
    /// Last write before the outage that came before the span; `None` if the span began with the
    /// start of a host.
    outage_from: Option<ClockTime>,
}

/// Report of a host about the writes of targets that it knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityReport {
    /// Time since the first known write, after the last outage if there was one.
    pub since_age: ClockTime,
    /// Time since the last known write.
    pub until_age: ClockTime,
    /// Time since the last write before that outage.
    pub outage_age: Option<ClockTime>,
}

/// Knowledge of one host about when targets could write to the store.
#[derive(Clone, Debug)]
pub struct StoreAvailability {
    /// Length of a gap between writes from which on entries may have lapsed.
    lapse_time: ClockTime,
    span: Option<WriteSpan>,
}

impl StoreAvailability {
    /// Creates the state of a host that knows of no writes; `heartbeat` is the interval at which
    /// targets write.
    pub fn new(heartbeat: ClockTime) -> Self {
        Self {
            lapse_time: heartbeat.scale(LAPSE_HEARTBEATS),
            span: None,
        }
    }

    /// Records that a call of this host returned new writes of targets. The call was sent at
    /// `sent`, and its answer arrived at `now`.
    pub fn record_writes(&mut self, sent: ClockTime, now: ClockTime) {
        match &mut self.span {
            Some(span) if sent.since(span.until) < self.lapse_time => {
                span.until = span.until.max(sent);
            }
            known => {
                self.span = Some(WriteSpan {
                    since: now,
                    until: sent,
                    outage_from: known.as_ref().map(|span| span.until),
                });
            }
        }
    }

    /// Applies the report of another host. A gap in the writes that this host knows of is no outage
    /// if the other host has seen writes in it.
    pub fn receive_report(&mut self, report: &AvailabilityReport, now: ClockTime) {
        let reported = WriteSpan {
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
            // An outage that one of the two hosts has seen writes in was none.
            let outages = [known.outage_from, reported.outage_from]
                .into_iter()
                .flatten();
            *known = WriteSpan {
                since,
                until: known.until.max(reported.until),
                outage_from: outages
                    .filter(|from| since.since(*from) >= self.lapse_time)
                    .max(),
            };
        } else if reported.until > known.until {
            *known = WriteSpan {
                outage_from: reported.outage_from.max(Some(known.until)),
                ..reported
            };
        }
    }

    /// Returns the report to the other hosts, or `None` if no writes are known.
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
