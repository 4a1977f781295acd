//! The one preset in force: versions, acceptance and distribution.
//!
//! A pure reducer: [`reduce`](reduce::reduce) takes a [`PresetState`](state::PresetState), the time,
//! a random generator and one [`PresetEvent`](event::PresetEvent), and appends
//! [`PresetEffect`](effect::PresetEffect)s.
//!
//! # How the shell drives it
//!
//! 1. `PresetState::new(settings)`, then a `Tick` event about every 250 ms.
//! 2. `Table`, `StoreBody` and `FetchBody` effects carry a call number; exactly one event with the
//!    same number answers each. A call without an answer times out here, and its late answer is
//!    ignored.
//! 3. Membership's `PresetSeen` becomes `PeerVersion`; `Announce` becomes membership's `PresetKnown`.
//!    `PeersChanged` follows membership's host changes.
//! 4. `InForce` gives the body to put in force; hosts serve bodies to peers by digest.
//! 5. `CurrencyChanged` tells whether the host belongs into address answers.
//!
//! # Acceptance
//!
//! The body is stored by digest first. Then the pointer `presets/current` is read, and one
//! transaction moves it from version n to n + 1 and writes `presets/history/<n + 1>`, both by
//! compare-and-set. Both rows carry the id of the acceptance, so a lost answer is resolved by
//! reading the history row back. If that row is absent, the same transaction is sent again: with
//! its preconditions it commits at most once, even if the first copy arrives later.
//!
//! # Distribution
//!
//! A host learns of a version from peers or by polling the pointer, fetches the body from the peer
//! that told it, then other peers, then the object store, and checks the digest. Only then it puts
//! the version in force and announces it, so peers are asked only for bodies that they have, and
//! the load of fetching spreads over hosts. Polls are spread by jitter; after a failure the wait
//! doubles up to a limit, so that the platform's recovery meets no burst.

pub mod accept;
pub mod effect;
pub mod event;
pub mod follow;
pub mod reduce;
pub mod row;
pub mod settings;
pub mod state;

/// The common names of this crate.
pub mod prelude {
    pub use crate::effect::{AcceptResult, BodySource, PresetEffect};
    pub use crate::event::{AcceptId, AcceptRequest, PresetEvent, PresetVersion};
    pub use crate::reduce::reduce;
    pub use crate::row::{digest_of, history_key, PresetRow, CURRENT_KEY};
    pub use crate::settings::PresetSettings;
    pub use crate::state::PresetState;
}
