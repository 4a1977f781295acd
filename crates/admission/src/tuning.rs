//! Tuning of the queue.

/// Tuning of the queue; defaults come from `docs/measurements.md`.
#[derive(Clone, Debug)]
pub struct AdmissionTuning {
    pub(crate) aging_interval: u32,
    pub(crate) deadline_share: f64,
    pub(crate) probes_per_resource: u32,
    pub(crate) tracked_flows: usize,
}

impl Default for AdmissionTuning {
    fn default() -> Self {
        Self {
            aging_interval: 8,
            deadline_share: 0.5,
            probes_per_resource: 4,
            tracked_flows: 4_096,
        }
    }
}

impl AdmissionTuning {
    /// Starts from the defaults.
    pub fn builder() -> AdmissionTuningBuilder {
        AdmissionTuningBuilder {
            tuning: Self::default(),
        }
    }
}

/// Builder of [`AdmissionTuning`].
#[derive(Clone, Debug)]
pub struct AdmissionTuningBuilder {
    tuning: AdmissionTuning,
}

impl AdmissionTuningBuilder {
    /// Sets that one of this many takes goes to a class that has waited for its aging time.
    #[must_use]
    pub fn aging_interval(mut self, takes: u32) -> Self {
        self.tuning.aging_interval = takes.max(1);
        self
    }

    /// Sets the share of the time to the deadline that may pass in the queue.
    #[must_use]
    pub fn deadline_share(mut self, share: f64) -> Self {
        self.tuning.deadline_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how many requests of one resource are probed before it counts as blocked.
    #[must_use]
    pub fn probes_per_resource(mut self, probes: u32) -> Self {
        self.tuning.probes_per_resource = probes.max(1);
        self
    }

    /// Sets the number of lanes whose drain rate is remembered.
    #[must_use]
    pub fn tracked_flows(mut self, count: usize) -> Self {
        self.tuning.tracked_flows = count.max(1);
        self
    }

    /// Finishes the tuning.
    pub fn build(self) -> AdmissionTuning {
        self.tuning
    }
}
