//! Tells whether a stream was on time for its caller, and if not, what made it late.
//!
//! A stream is late if its first event comes after the latency objective of its route, or if a
//! pause between two events is longer than the route allows. Both are measured when the host
//! forwards the events. An engine that preempts a request and one that is slow look alike from a
//! host: both show as a pause.

use crate::rules::RouteRule;
use crocusyard_base::prelude::*;

/// Result of a stream for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamResult {
    /// The first event and all others came in time.
    OnTime,
    /// The first event came late.
    LateStart,
    /// The first event came in time, and a pause between two events was too long.
    LongPause,
    /// The stream ended before its last event.
    Cut,
}

impl StreamResult {
    /// Returns the name of the result in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::LateStart => "late_start",
            Self::LongPause => "long_pause",
            Self::Cut => "cut",
        }
    }
}

/// Times of the events of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamTiming {
    /// Arrival of the call.
    arrived: ClockTime,
    first_at: Option<ClockTime>,
    last_at: ClockTime,
    longest_pause: ClockTime,
    /// Number of events until now.
    events: u64,
    /// Number of events before the longest pause.
    events_before: u64,
}

impl StreamTiming {
    /// Starts the timing of a stream whose call arrived at `arrived`.
    pub fn new(arrived: ClockTime) -> Self {
        Self {
            arrived,
            first_at: None,
            last_at: arrived,
            longest_pause: ClockTime::ZERO,
            events: 0,
            events_before: 0,
        }
    }

    /// Records that events were forwarded; `events` is the number of all events until now.
    pub fn record_events(&mut self, events: u64, now: ClockTime) {
        if self.first_at.is_none() {
            self.first_at = Some(now);
        } else {
            let pause = now.since(self.last_at);
            if pause > self.longest_pause {
                self.longest_pause = pause;
                self.events_before = events.saturating_sub(1);
            }
        }
        self.last_at = now;
        self.events = events;
    }

    /// Returns the average time between two events, ms; `None` with less than two.
    pub fn mean_gap_ms(&self) -> Option<f64> {
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        let time = self.last_at.since(self.first_at?);
        Some(time.as_ms() as f64 / gaps as f64)
    }

    /// Returns the time from the call to the first event, or `None` without one.
    pub fn first_event_time(&self) -> Option<ClockTime> {
        self.first_at.map(|at| at.since(self.arrived))
    }

    /// Returns the longest pause between two events and the number of events before it.
    pub fn longest_pause(&self) -> (ClockTime, u64) {
        (self.longest_pause, self.events_before)
    }

    /// Returns the result of a stream, which ended with its last event or was cut.
    pub fn result(&self, route: &RouteRule, is_complete: bool) -> StreamResult {
        if !is_complete {
            return StreamResult::Cut;
        }
        if self
            .first_event_time()
            .is_none_or(|time| time > route.latency_objective)
        {
            return StreamResult::LateStart;
        }
        match route.pause_objective {
            Some(objective) if self.longest_pause > objective => StreamResult::LongPause,
            _ => StreamResult::OnTime,
        }
    }
}
