//! Settings of the preset feature.

use crocusyard_base::prelude::*;

/// Intervals and timeouts of the preset feature.
#[derive(Clone, Debug)]
pub struct PresetSettings {
    /// Mean time between two reads of the pointer row.
    ///
    /// With 360 hosts, an interval of 4 s causes 90 reads a second; the platform serves two
    /// thousand.
    pub poll_interval: ClockTime,
    /// Longest wait before the first read of the pointer row.
    ///
    /// 360 hosts that start together cause 720 reads a second for half a second. A replaced host
    /// knows the version in force well within 2 s.
    pub first_poll_delay: ClockTime,
    /// Longest mean time between two reads of the pointer row while the reads fail.
    pub max_poll_interval: ClockTime,
    /// Time after which a call without an answer has failed.
    pub call_timeout: ClockTime,
    /// Mean wait before a call is repeated after its first failure; the wait doubles with each
    /// failure.
    pub retry_delay: ClockTime,
    /// Longest mean wait before a failed call is repeated.
    pub max_retry_delay: ClockTime,
    /// Time after which an unfinished acceptance is abandoned.
    pub accept_timeout: ClockTime,
    /// Time without a confirmation that the version in force is the newest, after which the host
    /// leaves the address answers.
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
