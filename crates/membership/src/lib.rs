//! Which hosts are alive, suspected or leaving, and what they tell each other.
//!
//! A pure reducer: [`reduce`](reduce::reduce) takes a [`MembershipState`](state::MembershipState),
//! the time, a random generator and one [`MembershipEvent`](event::MembershipEvent), and appends
//! [`MembershipEffect`](effect::MembershipEffect)s.
//!
//! # How the shell drives it
//!
//! 1. `MembershipState::new(settings)`; the incarnation at the start is the wall clock in
//!    milliseconds, so that a restarted process has a higher one than its predecessor.
//! 2. A `HostList` event from the settings' seed hosts or the platform's host list.
//! 3. A `Tick` event every `settings.tick_interval`; a late tick is recognised as a pause of the process.
//! 4. For each datagram that `crocusyard_wire::packet::open` accepts, a `Received` event.
//! 5. For each `Send` effect, `seal` and send. All other effects go to other features.
//!
//! # Liveness
//!
//! Every tick one host of the own failure domain is pinged in shuffled order, and every second tick
//! a random host of another one. Without an ack, the host is pinged again, and so do one host of
//! its failure domain and two of others; see [`probes`]. A host that remains silent becomes a
//! suspect, which is enough to leave it out of address answers. It is declared dead only after
//! `settings.suspicion_timeout`, with an observer in its own failure domain and one in another. Across a
//! cut no observer in the suspect's failure domain can be heard, so its hosts stay suspects,
//! however long the cut lasts. A suspect learns of the suspicion from the next packet it gets, and
//! refutes it with a higher incarnation.
//!
//! # Dissemination
//!
//! News (deaths, leaving, leases, crash digests) is sent at once to a few hosts, each of which does
//! the same when it first hears of it, and is repeated in the following packets ([`rumours`]). A
//! preset version is sent at once when `PresetKnown` tells that it is in force, and in every packet
//! from then on; `PresetSeen` tells what peers have in force. Suspicions and refutations are sent at
//! once by the observer and the refuting host alone. Every packet carries a hash of the sender's view; while views differ, packets also
//! carry pages of the view, which heals whatever was lost, without a burst.
//!
//! Load deltas travel as records of single hosts within a failure domain, and as one summary per
//! failure domain between them ([`records`]). `docs/measurements-membership.md` has the measurements
//! behind this choice.
//!
//! Every byte is taken from a budget ([`budget`]). When it runs low, records and summaries are left
//! out first; probes and news come last.

pub mod budget;
pub mod compose;
pub mod demand;
pub mod effect;
pub mod event;
pub mod loads;
pub mod members;
pub mod probes;
pub mod reduce;
pub mod settings;
pub mod state;
pub mod update_queue;
pub mod updates;

/// The common names of this crate.
pub mod prelude {
    pub use crate::effect::{DemandSource, HostView, MembershipEffect};
    pub use crate::event::{ListedHost, MembershipEvent};
    pub use crate::reduce::reduce;
    pub use crate::settings::{DisseminationLayout, MembershipSettings};
    pub use crate::state::{host_view, host_views, MembershipState, TargetRecord};
}
