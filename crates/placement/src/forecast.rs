//! Forecast of the demand of each model from the time of day and its present level.

use crate::input::PROFILE_SLOTS;
use crocusyard_base::prelude::*;

/// Length of a day.
const DAY: ClockTime = ClockTime::from_secs(24 * 3600);

/// Weight of a new sample in a slot of the day.
const SLOT_WEIGHT: f32 = 0.2;

/// Largest rise that is foreseen; a burst of yesterday raises a slot far beyond what returns today.
const RISE_MAX: f64 = 2.0;

/// Demand of every model, learnt from samples.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    slots: Vec<[f32; PROFILE_SLOTS]>,
}

impl DemandForecast {
    /// Makes a forecast for a number of models that has seen nothing.
    pub fn new(models: usize) -> Self {
        Self {
            slots: vec![[-1.0; PROFILE_SLOTS]; models],
        }
    }

    /// Takes the load of a model at a time since midnight.
    pub fn observe(&mut self, model: usize, time: ClockTime, load: f64) {
        let slot = &mut self.slots[model][slot_of(time)];
        let load = load as f32;
        *slot = if *slot < 0.0 {
            load
        } else {
            *slot + SLOT_WEIGHT * (load - *slot)
        };
    }

    /// Returns the load expected at `time + ahead` if it is `load` now: raised in the proportion in
    /// which the part of the day that follows is usually busier, and never lowered.
    pub fn expected_load(&self, model: usize, load: f64, time: ClockTime, ahead: ClockTime) -> f64 {
        let slots = &self.slots[model];
        let now = f64::from(slots[slot_of(time)]);
        let coming = f64::from(slots[slot_of(time + ahead)]);
        if now <= 0.0 || coming <= now {
            return load;
        }
        load * (coming / now).min(RISE_MAX)
    }

    /// Returns the load by part of the day.
    pub fn profile(&self, model: usize) -> [f32; PROFILE_SLOTS] {
        self.slots[model].map(|load| load.max(0.0))
    }

    /// Returns the mean load over the parts of the day that were seen.
    pub fn mean_load(&self, model: usize) -> f64 {
        let seen = self.slots[model].iter().filter(|load| **load >= 0.0);
        let count = seen.clone().count().max(1);
        f64::from(seen.sum::<f32>()) / count as f64
    }
}

fn slot_of(time: ClockTime) -> usize {
    let part = time.as_ms() % DAY.as_ms();
    (part * PROFILE_SLOTS as u64 / DAY.as_ms()) as usize
}
