//! Tuning of the admission queue.

/// Tuning of an [`AdmissionQueue`](crate::queue::AdmissionQueue).
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
    /// Sets the interval of aged takes: one of this many takes goes first to a class that has
    /// waited for at least its aging time.
    #[must_use]
    pub fn aging_interval(mut self, takes: u32) -> Self {
        self.tuning.aging_interval = takes.max(1);
        self
    }

    /// Sets the fraction of the time to the deadline that work may be expected to spend in the
    /// queue.
    #[must_use]
    pub fn deadline_share(mut self, fraction: f64) -> Self {
        self.tuning.deadline_share = fraction.clamp(0.0, 1.0);
        self
    }

    /// Sets the number of requests of one resource found not ready before it counts as blocked.
    #[must_use]
    pub fn probes_per_resource(mut self, probes: u32) -> Self {
        self.tuning.probes_per_resource = probes.max(1);
        self
    }

    /// Sets the number of flows with a drain rate above which those of idle flows are dropped.
    ///
    /// The same number applies to the drain rates of resources.
    #[must_use]
    pub fn tracked_flows(mut self, count: usize) -> Self {
        self.tuning.tracked_flows = count.max(1);
        self
    }

    /// Returns the finished tuning.
    pub fn build(self) -> AdmissionTuning {
        self.tuning
    }
}
