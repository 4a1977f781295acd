//! Delays between calls to a store that fails.

use crocusyard_base::prelude::*;

/// Delay after the first failed call; short, so that one lost answer hardly delays a change.
const FIRST_DELAY: ClockTime = ClockTime::from_ms(250);
/// Longest delay. Changes must be known 3 s after the store is available again, so that this delay,
/// a call and its answer have to fit into that time.
const LONGEST_DELAY: ClockTime = ClockTime::from_ms(1_000);
/// Factor between two successive delays.
const GROWTH_FACTOR: f64 = 2.0;

/// Exponential backoff for calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallBackoff {
    /// Delay after the last failed call; `None` after an answer.
    last: Option<ClockTime>,
}

impl CallBackoff {
    /// Returns how long to wait after a failed call; the delay grows with each further failure.
    pub fn next_delay(&mut self) -> ClockTime {
        let delay = self.last.map_or(FIRST_DELAY, |last| {
            last.scale(GROWTH_FACTOR).min(LONGEST_DELAY)
        });
        self.last = Some(delay);
        delay
    }

    /// Records an answer; the next failure starts again with the first delay.
    pub fn reset(&mut self) {
        self.last = None;
    }
}
