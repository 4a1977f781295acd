//! Pauses between calls to a store that fails.

use crocusyard_base::prelude::*;

/// Pause after the first failed call; one lost answer delays a change by little.
const FIRST_PAUSE: ClockTime = ClockTime::from_ms(250);
/// Longest pause. The bounds on changes hold from 3 s after the return of the store on, so that a
/// call and its answer fit in between.
const LONGEST_PAUSE: ClockTime = ClockTime::from_ms(1_000);
/// Factor between two pauses.
const PAUSE_GROWTH: f64 = 2.0;

/// Pause that grows while calls fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallBackoff {
    last: Option<ClockTime>,
}

impl CallBackoff {
    /// Returns how long to wait after a failed call.
    pub fn next_pause(&mut self) -> ClockTime {
        let pause = self.last.map_or(FIRST_PAUSE, |last| {
            last.scale(PAUSE_GROWTH).min(LONGEST_PAUSE)
        });
        self.last = Some(pause);
        pause
    }

    /// Notes an answer; the next failure waits briefly again.
    pub fn reset(&mut self) {
        self.last = None;
    }
}
