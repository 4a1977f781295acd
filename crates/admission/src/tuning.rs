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
    /// Sets the interval of aged dequeues: one of this many dequeues goes first to a class that
    /// has waited for at least its aging time.
    #[must_use]
    pub fn aging_interval(mut self, dequeues: u32) -> Self {
        self.tuning.aging_interval = dequeues.max(1);
        self
    }

    /// Sets the fraction of the time to the deadline that work may be expected to spend in the
    /// queue.
    #[must_use]
    pub fn deadline_share(mut self, fraction: f64) -> Self {
        self.tuning.deadline_share = fraction.clamp(0.0, 1.0);
        self
    }

    /// Sets how many requests of a resource have to be found not ready before the resource counts
    /// as blocked.
    #[must_use]
    pub fn probes_per_resource(mut self, probes: u32) -> Self {
        self.tuning.probes_per_resource = probes.max(1);
        self
    }

    /// Sets the largest number of flows with a recorded drain rate; beyond it, the rates of idle
    /// flows are dropped.
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
