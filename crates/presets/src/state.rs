//! State of presets, as data.

use crate::accept::AcceptState;
use crate::event::{AcceptId, PresetVersion};
use crate::follow::FetchState;
use crate::settings::PresetSettings;
use crocusyard_base::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;

/// State of presets on one host.
#[derive(Clone, Debug)]
pub struct PresetState {
    /// Settings.
    pub settings: PresetSettings,
    /// Version in force on this host.
    pub in_force: Option<PresetVersion>,
    /// Newest committed version that this host knows; its body may still be on its way.
    pub newest: Option<PresetVersion>,
    /// Fetch of the newest version's body.
    pub fetch: Option<FetchState>,
    /// Acceptances in progress.
    pub acceptances: BTreeMap<AcceptId, AcceptState>,
    /// Read of the pointer in progress: call number and time.
    pub poll: Option<(u64, ClockTime)>,
    /// Time of the next read of the pointer.
    pub poll_due: Option<ClockTime>,
    /// Failed reads in a row.
    pub poll_failures: u32,
    /// Last time the table or enough peers confirmed that the version in force is the newest.
    pub confirmed_at: Option<ClockTime>,
    /// Last contact with a peer of each failure domain that knew no newer version.
    pub contacts: BTreeMap<DomainName, ClockTime>,
    /// Number of failure domains with hosts, the own one included.
    pub domain_count: u32,
    /// Number of other hosts.
    pub peer_count: u32,
    /// Whether the host may appear in address answers.
    pub up_to_date: bool,
    calls: u64,
}

impl PresetState {
    /// Makes the state of a host without a preset.
    pub fn new(settings: PresetSettings) -> Self {
        Self {
            settings,
            in_force: None,
            newest: None,
            fetch: None,
            acceptances: BTreeMap::new(),
            poll: None,
            poll_due: None,
            poll_failures: 0,
            confirmed_at: None,
            contacts: BTreeMap::new(),
            domain_count: 1,
            peer_count: 0,
            up_to_date: false,
            calls: 0,
        }
    }

    /// Returns a new call number.
    pub fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }
}

/// Returns the wait before the next repetition: doubled with each failure, limited, and jittered
/// between half and one and a half of that.
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
