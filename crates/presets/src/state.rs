//! State of the preset feature, as data.

use crate::accept::AcceptState;
use crate::event::{AcceptId, PresetVersion};
use crate::follow::FetchState;
use crate::settings::PresetSettings;
use crocusyard_base::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;

/// State of the preset feature on one host.
#[derive(Clone, Debug)]
pub struct PresetState {
    /// Intervals and timeouts.
    pub settings: PresetSettings,
    /// Version in force on this host; `None` until the first one.
    pub in_force: Option<PresetVersion>,
    /// Newest committed version that this host knows; its body may not have arrived yet.
    pub newest: Option<PresetVersion>,
    /// Fetch of the newest version's body; `None` once the version is in force.
    pub fetch: Option<FetchState>,
    /// Acceptances in progress.
    pub acceptances: BTreeMap<AcceptId, AcceptState>,
    /// Call number and start of the pending read of the pointer row.
    pub pending_poll: Option<(u64, ClockTime)>,
    /// Time of the next read of the pointer row; `None` before the first tick.
    pub next_poll: Option<ClockTime>,
    /// Number of failed reads of the pointer row since the last successful one.
    pub poll_failures: u32,
    /// Last time at which the table or enough peers confirmed that the version in force is the
    /// newest.
    pub confirmed_at: Option<ClockTime>,
    /// Time of the last contact, in each failure domain, with a peer that had no newer version.
    pub contacts: BTreeMap<DomainName, ClockTime>,
    /// Number of failure domains with hosts, this host's included.
    pub domain_count: u32,
    /// Number of other hosts.
    pub peer_count: u32,
    /// Whether it is confirmed that this host has the newest version in force; only then may it
    /// appear in address answers.
    pub up_to_date: bool,
    /// Number of the last call.
    last_call: u64,
}

impl PresetState {
    /// Creates the state of a host that has no preset.
    pub fn new(settings: PresetSettings) -> Self {
        Self {
            settings,
            in_force: None,
            newest: None,
            fetch: None,
            acceptances: BTreeMap::new(),
            pending_poll: None,
            next_poll: None,
            poll_failures: 0,
            confirmed_at: None,
            contacts: BTreeMap::new(),
            domain_count: 1,
            peer_count: 0,
            up_to_date: false,
            last_call: 0,
        }
    }

    /// Returns a new call number.
    pub fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }
}

/// Returns the wait before the next attempt.
///
/// The wait is `first`, doubled with each failure up to `limit`, and multiplied by a random factor
/// between 0.5 and 1.5.
pub fn backoff(
    first: ClockTime,
    limit: ClockTime,
    failures: u32,
    rng: &mut SeededRng,
) -> ClockTime {
    let factor = 1u64 << failures.min(16);
    let wait = first.as_ms().saturating_mul(factor).min(limit.as_ms());
    ClockTime::from_ms(wait).scale(rng.random_range(0.5..1.5))
}
