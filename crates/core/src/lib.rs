//! The reducer of one entry host: every event goes in, effects come out as data.
//!
//! Each feature of the host is a crate with a reducer of its own. This crate owns their states,
//! hands every event to its feature, and turns the effects of one feature into events of another.
//! The modules below [`features`] hold one such connection each.

pub mod body;
mod demand;
pub mod effect;
pub mod event;
pub mod features;
pub mod planning;
pub mod state;

/// The common names of this crate.
pub mod prelude {
    pub use crate::body::PresetBody;
    pub use crate::effect::HostEffect;
    pub use crate::event::HostEvent;
    pub use crate::features::reduce;
    pub use crate::state::{FeatureSettings, HostIdentity, HostState};
}
