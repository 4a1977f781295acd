//! How long work takes on a target's machine at a moment, as a multiple of the usual time.
//!
//! The pace changes many times a second. An observation says much about the next tenth of a second
//! and nothing about the next second, for which the target's average over some seconds is the better
//! estimate. The expected pace therefore goes from the last observation to that average within
//! fractions of a second, and from there to the usual pace within seconds.

use crocusyard_base::prelude::*;

/// Time after which half of the difference between an observation and the average is left.
const OBSERVATION_HALF_LIFE: ClockTime = ClockTime::from_ms(100);
/// Time after which half of the difference between the average and the usual pace is left.
const AVERAGE_HALF_LIFE: ClockTime = ClockTime::from_secs(2);
/// Time by whose passing an observation counts in full for the average; observations of the same
/// moment count once.
const AVERAGE_WINDOW_MS: f64 = 2_000.0;
/// Smallest weight of an observation in the average.
const MIN_AVERAGE_WEIGHT: f64 = 0.05;
/// Largest weight of an observation in the average.
const MAX_AVERAGE_WEIGHT: f64 = 0.3;
/// Lowest pace that is believed, so that a wrong report does not draw all calls.
const MIN_PACE: f64 = 0.25;
/// Highest pace that is believed, so that a wrong report does not close a target for long.
const MAX_PACE: f64 = 20.0;

/// Pace of one target, from timestamped observations.
#[derive(Clone, Copy, Debug)]
pub struct PaceEstimate {
    last: f64,
    average: f64,
    at: ClockTime,
}

impl PaceEstimate {
    /// Records that work took `factor` times the usual time at `at`; older observations than the
    /// last one are ignored.
    pub fn observe(estimate: &mut Option<Self>, factor: f64, at: ClockTime) {
        let last = factor.clamp(MIN_PACE, MAX_PACE);
        let Some(known) = estimate else {
            let average = 1.0 + (last - 1.0) * MAX_AVERAGE_WEIGHT;
            *estimate = Some(Self { last, average, at });
            return;
        };
        if at < known.at {
            return;
        }
        let weight = at.since(known.at).as_ms() as f64 / AVERAGE_WINDOW_MS;
        let weight = weight.clamp(MIN_AVERAGE_WEIGHT, MAX_AVERAGE_WEIGHT);
        let average = known.average_at(at);
        known.average = average + (last - average) * weight;
        known.last = last;
        known.at = at;
    }

    /// Returns the expected pace at `now`.
    pub fn expected(&self, now: ClockTime) -> f64 {
        let average = self.average_at(now);
        let left = now.since(self.at).decay_factor(OBSERVATION_HALF_LIFE);
        average + (self.last - average) * left
    }

    fn average_at(&self, now: ClockTime) -> f64 {
        1.0 + (self.average - 1.0) * now.since(self.at).decay_factor(AVERAGE_HALF_LIFE)
    }
}
