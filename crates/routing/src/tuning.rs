//! Tuning of the route table.

use crocusyard_base::prelude::*;

/// Targets that are scored as candidates of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateMode {
    /// This number of random candidates, plus those with a cached prefix or the adapter.
    Sampled(u32),
    /// All targets that have the model or service.
    Full,
}

/// Tuning of a [`RouteTable`](crate::table::RouteTable).
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
            // With more candidates, hosts with the same view of the load would choose the same
            // target.
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
            // Half of the first-token limit of 1.7 s leaves time for the wait in the admission
            // queue.
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
        /// Sets the targets that are scored as candidates.
        mode: CandidateMode,
        /// Sets the number of targets with the model up to which sampled mode scores them all.
        scan_limit: usize,
        /// Sets the largest random increase of a score, as a fraction of the score.
        jitter: f64,
        /// Sets the time added to the score of a target for one recent failure.
        failure_penalty: ClockTime,
        /// Sets the time after which a failure penalty has halved.
        failure_half_life: ClockTime,
        /// Sets the time added to the score of a target in another failure domain.
        domain_distance: ClockTime,
        /// Sets the time added to the score of a target in another region.
        region_distance: ClockTime,
        /// Sets the time of one adapter load while the region is within its limit.
        adapter_load_time: ClockTime,
        /// Sets the age at which a prefix hint counts one half.
        prefix_half_life: ClockTime,
        /// Sets the largest number of prefix hints held.
        prefix_hint_capacity: usize,
        /// Sets the smoothed time to the first token above which a target's concurrency limit
        /// falls.
        first_token_goal: ClockTime,
        /// Sets the time added to the score of a target filled to its limit.
        ///
        /// A partly filled target gets a proportional part, which spreads requests over idle
        /// targets.
        occupancy_cost: ClockTime,
        /// Sets the number of entry hosts that load adapters in the region.
        host_count: u32,
    }

    /// Returns the finished tuning, with values out of range clamped.
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
