//! Versions of the preset in force: acceptance, distribution, and whether a host is up to date.
//!
//! The body of a version holds the whole catalogue and the name of the preset. An acceptance
//! commits a new version in the platform's table service. Every host then fetches the version's
//! body and puts the version in force. The newest committed version replaces all earlier ones.
//!
//! A pure reducer: [`reduce`](reduce::reduce) takes a [`PresetState`](state::PresetState), the
//! time, a random generator and one [`PresetEvent`](event::PresetEvent), and appends
//! [`PresetEffect`](effect::PresetEffect)s.
//!
//! # How the shell drives the reducer
//!
//! 1. Call `PresetState::new(settings)`, then pass a `Tick` event about every 250 ms.
//! 2. `Table`, `StoreBody` and `FetchBody` effects carry a call number. Answer each with exactly
//!    one event that has the same number. The reducer times out a call without an answer and
//!    ignores its late answer.
//! 3. Pass membership's `PresetReceived` as `PeerVersion`, and `Announce` to membership as
//!    `PresetInForce`. Pass `PeersChanged` when membership's hosts change.
//! 4. Put the body of `PutInForce` in force, and serve it to peers by digest.
//! 5. Add the host to the address answers or remove it when `UpToDateChanged` says so.
//!
//! # Acceptance
//!
//! First, the body is stored by its digest. Then the pointer `presets/current` is read, and one
//! transaction moves it from version n to n + 1 and writes `presets/history/<n + 1>`, both by
//! compare-and-set. Both rows carry the id of the acceptance, so that a lost answer is resolved by
//! reading the history row back. If that row is absent, the same transaction is sent again. Its
//! preconditions make it commit at most once, even if the first copy arrives later.
//!
//! # Distribution
//!
//! A host learns of a version from peers or by polling the pointer. It fetches the body from the
//! peer that announced the version, then from other peers, then from the object store, and checks
//! the digest. Only then does it put the version in force and announce it. So peers are asked only
//! for bodies that they have, and the load of fetching spreads over the hosts. Polls are spread by
//! jitter. After a failure, the wait doubles up to a limit, so that a recovering platform meets
//! no burst of polls.
//!
//! # Being up to date
//!
//! A host is up to date if the table service or enough of its peers have confirmed, within
//! `settings.confirmation_timeout`, that its version in force is the newest. A host that knows no
//! other host confirms this itself. Only a host that is up to date appears in address answers.

pub mod accept;
pub mod effect;
pub mod event;
pub mod follow;
pub mod reduce;
pub mod row;
pub mod settings;
pub mod state;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::effect::{AcceptResult, BodySource, PresetEffect};
    pub use crate::event::{AcceptId, AcceptRequest, PresetEvent, PresetVersion};
    pub use crate::reduce::reduce;
    pub use crate::row::{digest_of, history_key, PresetRow, CURRENT_KEY};
    pub use crate::settings::PresetSettings;
    pub use crate::state::PresetState;
}
