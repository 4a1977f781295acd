//! Tuning of the choice; every value has a default taken from `docs/measurements.md`.

use crocusyard_base::prelude::*;

/// Which candidates are scored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateMode {
    /// This many random candidates, besides those with a cached prefix or a resident adapter.
    Sampled(u32),
    /// All candidates.
    Full,
}

/// Tuning of the choice.
#[derive(Clone, Debug)]
pub struct RouteTuning {
    pub(crate) mode: CandidateMode,
    pub(crate) scan_limit: usize,
    pub(crate) jitter: f64,
    pub(crate) failure_penalty: ClockTime,
    pub(crate) failure_half_life: ClockTime,
    pub(crate) domain_distance: ClockTime,
    pub(crate) region_distance: ClockTime,
    pub(crate) adapter_load_time: ClockTime,
    pub(crate) prefix_half_life: ClockTime,
    pub(crate) prefix_hint_capacity: usize,
    pub(crate) first_token_goal: ClockTime,
    pub(crate) occupancy_cost: ClockTime,
    pub(crate) host_count: u32,
}

impl Default for RouteTuning {
    fn default() -> Self {
        Self {
            // More candidates make hosts that share a view agree on the same target.
            mode: CandidateMode::Sampled(2),
            scan_limit: 0,
            jitter: 0.1,
            failure_penalty: ClockTime::from_ms(2_000),
            failure_half_life: ClockTime::from_secs(10),
            domain_distance: ClockTime::from_ms(2),
            region_distance: ClockTime::from_ms(100),
            adapter_load_time: ClockTime::from_ms(15),
            prefix_half_life: ClockTime::from_secs(60),
            prefix_hint_capacity: 65_536,
            // Half of the first-token limit of 1.7 s leaves room for the entry queue.
            first_token_goal: ClockTime::from_ms(850),
            occupancy_cost: ClockTime::from_ms(40),
            host_count: 1,
        }
    }
}

impl RouteTuning {
    /// Starts from the defaults.
    pub fn builder() -> RouteTuningBuilder {
        RouteTuningBuilder {
            tuning: Self::default(),
        }
    }
}

/// Builder of [`RouteTuning`].
#[derive(Clone, Debug)]
pub struct RouteTuningBuilder {
    tuning: RouteTuning,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {$(
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.tuning.$name = $name;
            self
        }
    )*};
}

impl RouteTuningBuilder {
    setters! {
        /// Sets which candidates are scored.
        mode: CandidateMode,
        /// Sets the number of candidates up to which all are scored in sampled mode.
        scan_limit: usize,
        /// Sets the largest random increase of a score, as a share of it.
        jitter: f64,
        /// Sets the penalty of one recent failure.
        failure_penalty: ClockTime,
        /// Sets the time in which the failure penalty halves.
        failure_half_life: ClockTime,
        /// Sets the cost of leaving this host's failure domain.
        domain_distance: ClockTime,
        /// Sets the cost of leaving this host's region.
        region_distance: ClockTime,
        /// Sets the time of one adapter load below the transit limit.
        adapter_load_time: ClockTime,
        /// Sets the age at which a prefix hint counts half.
        prefix_half_life: ClockTime,
        /// Sets the largest number of prefix hints.
        prefix_hint_capacity: usize,
        /// Sets the smoothed time to the first token above which a target's limit falls.
        first_token_goal: ClockTime,
        /// Sets the cost of a target filled to its limit; it spreads requests over idle targets.
        occupancy_cost: ClockTime,
        /// Sets the number of entry hosts that load adapters in the region.
        host_count: u32,
    }

    /// Finishes the tuning; values out of range are moved into it.
    pub fn build(mut self) -> RouteTuning {
        let tuning = &mut self.tuning;
        tuning.jitter = tuning.jitter.clamp(0.0, 1.0);
        tuning.host_count = tuning.host_count.max(1);
        tuning.prefix_hint_capacity = tuning.prefix_hint_capacity.max(1);
        if let CandidateMode::Sampled(count) = &mut tuning.mode {
            *count = (*count).max(1);
        }
        self.tuning
    }
}
