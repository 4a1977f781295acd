//! Forecast of the load of each model from its present load and the time of day.

use crate::input::PROFILE_SLOTS;
use crocusyard_base::prelude::*;

/// Length of a day.
const DAY: ClockTime = ClockTime::from_secs(24 * 3600);

/// Weight of a new sample in the mean load of a part of the day.
const SAMPLE_WEIGHT: f32 = 0.2;

/// Largest factor by which the load is expected to rise. A burst on one day raises the mean of its
/// part of the day far above the load of the next day.
const MAX_RISE: f64 = 2.0;

/// Load of every model by part of the day, learnt from samples.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    /// Mean load of each model in each part of the day, accelerators; negative if there is no
    /// sample.
    slot_loads: Vec<[f32; PROFILE_SLOTS]>,
}

impl DemandForecast {
    /// Creates a forecast without samples for a number of models.
    pub fn new(models: usize) -> Self {
        Self {
            slot_loads: vec![[-1.0; PROFILE_SLOTS]; models],
        }
    }

    /// Adds a sample: the load of a model at a time since midnight.
    pub fn observe(&mut self, model: usize, time: ClockTime, load: f64) {
        let slot = &mut self.slot_loads[model][slot_of(time)];
        let load = load as f32;
        *slot = if *slot < 0.0 {
            load
        } else {
            *slot + SAMPLE_WEIGHT * (load - *slot)
        };
    }

    /// Returns the load expected at `time + ahead` if the present load is `load`. It rises in
    /// proportion to the usual load of the later part of the day, and is never lower than `load`.
    pub fn expected_load(&self, model: usize, load: f64, time: ClockTime, ahead: ClockTime) -> f64 {
        let slot_loads = &self.slot_loads[model];
        let now = f64::from(slot_loads[slot_of(time)]);
        let later = f64::from(slot_loads[slot_of(time + ahead)]);
        if now <= 0.0 || later <= now {
            return load;
        }
        load * (later / now).min(MAX_RISE)
    }

    /// Returns the mean load in each part of the day, accelerators; 0 where there is no sample.
    pub fn profile(&self, model: usize) -> [f32; PROFILE_SLOTS] {
        self.slot_loads[model].map(|load| load.max(0.0))
    }

    /// Returns the mean load over the parts of the day that have samples, accelerators.
    pub fn mean_load(&self, model: usize) -> f64 {
        let observed = self.slot_loads[model].iter().filter(|load| **load >= 0.0);
        let count = observed.clone().count().max(1);
        f64::from(observed.sum::<f32>()) / count as f64
    }
}

/// Returns the part of the day of a time since midnight.
fn slot_of(time: ClockTime) -> usize {
    let time_of_day = time.as_ms() % DAY.as_ms();
    (time_of_day * PROFILE_SLOTS as u64 / DAY.as_ms()) as usize
}
