//! Settings of presets.

use crocusyard_base::prelude::*;

/// Times of presets.
#[derive(Clone, Debug)]
pub struct PresetSettings {
    /// Mean time between two reads of the pointer.
    ///
    /// With 360 hosts, 4 s mean 90 reads a second of the platform's two thousand.
    pub poll_interval: ClockTime,
    /// Longest wait before the first read.
    ///
    /// 360 hosts that start together read 720 times a second for half a second; a replaced host
    /// knows the version in force well within 2 s.
    pub first_poll_delay: ClockTime,
    /// Longest mean time between reads while they fail.
    pub max_poll_interval: ClockTime,
    /// Time after which a call counts as unanswered.
    pub call_timeout: ClockTime,
    /// First wait before a failed call is repeated; it doubles with each failure.
    pub retry_delay: ClockTime,
    /// Longest wait before a failed call is repeated.
    pub max_retry_delay: ClockTime,
    /// Time after which an acceptance is given up.
    pub accept_timeout: ClockTime,
    /// Time without confirmation after which the host leaves the address answers.
    pub confirmation_timeout: ClockTime,
}

impl Default for PresetSettings {
    fn default() -> Self {
        Self {
            poll_interval: ClockTime::from_secs(4),
            first_poll_delay: ClockTime::from_ms(500),
            max_poll_interval: ClockTime::from_secs(30),
            call_timeout: ClockTime::from_secs(2),
            retry_delay: ClockTime::from_ms(200),
            max_retry_delay: ClockTime::from_secs(5),
            accept_timeout: ClockTime::from_secs(30),
            confirmation_timeout: ClockTime::from_secs(15),
        }
    }
}
