//! Settings of presets.

use crocusyard_base::prelude::*;

/// Times of presets.
#[derive(Clone, Debug)]
pub struct PresetSettings {
    /// Mean time between two reads of the pointer.
    ///
    /// With 360 hosts, 4 s mean 90 reads a second of the platform's two thousand.
    pub poll: ClockTime,
    /// Longest wait before the first read.
    ///
    /// 360 hosts that start together read 720 times a second for half a second; a replaced host
    /// knows the version in force well within 2 s.
    pub first_poll: ClockTime,
    /// Longest mean time between reads while they fail.
    pub poll_backoff: ClockTime,
    /// Time after which a call counts as unanswered.
    pub call_timeout: ClockTime,
    /// First wait before a failed call is repeated; it doubles with each failure.
    pub retry: ClockTime,
    /// Longest wait before a failed call is repeated.
    pub retry_limit: ClockTime,
    /// Time after which an acceptance is given up.
    pub accept_timeout: ClockTime,
    /// Time without confirmation after which the host leaves the address answers.
    pub leave_after: ClockTime,
}

impl Default for PresetSettings {
    fn default() -> Self {
        Self {
            poll: ClockTime::from_secs(4),
            first_poll: ClockTime::from_ms(500),
            poll_backoff: ClockTime::from_secs(30),
            call_timeout: ClockTime::from_secs(2),
            retry: ClockTime::from_ms(200),
            retry_limit: ClockTime::from_secs(5),
            accept_timeout: ClockTime::from_secs(30),
            leave_after: ClockTime::from_secs(15),
        }
    }
}
