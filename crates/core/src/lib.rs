//! The reducer of one entry host: it takes every event and returns the effects as data.
//!
//! Each feature of the host, such as routing or membership, is a crate with a reducer of its own.
//! This crate owns the states of all features, passes every event to the feature that handles it,
//! and turns effects of one feature into events of another. Each module below [`features`]
//! connects one feature with the others.

pub mod body;
mod demand;
pub mod effect;
pub mod event;
pub mod features;
pub mod planning;
pub mod state;

/// Types and functions that users of this crate usually import.
pub mod prelude {
    pub use crate::body::PresetBody;
    pub use crate::effect::HostEffect;
    pub use crate::event::HostEvent;
    pub use crate::features::reduce;
    pub use crate::state::{FeatureSettings, HostIdentity, HostState};
}
