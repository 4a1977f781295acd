//! Membership of hosts and gossip between them, in the manner of the SWIM protocol.
//!
//! Membership finds out which hosts are alive, suspected, dead or leaving, and spreads load,
//! demand, leases, crash reports, leaving targets and the preset version.
//!
//! A pure reducer: [`reduce`](reduce::reduce) takes a [`MembershipState`](state::MembershipState),
//! the time, a random generator and one [`MembershipEvent`](event::MembershipEvent), and appends
//! [`MembershipEffect`](effect::MembershipEffect)s.
//!
//! # How the shell drives the reducer
//!
//! 1. Call `MembershipState::new(settings)`. The incarnation at the start is the wall clock in
//!    milliseconds, so that a restarted process has a higher incarnation than its predecessor.
//! 2. Pass a `HostList` event with the seed hosts of the settings or the platform's host list.
//! 3. Pass a `Tick` event every `settings.tick_interval`. The reducer recognises a late tick as a
//!    pause of the process.
//! 4. Pass a `PacketReceived` event for each datagram that `crocusyard_wire::packet::open` accepts.
//! 5. Seal and send the packet of each `Send` effect. All other effects go to other features.
//!
//! # Liveness
//!
//! Every tick, a host pings one host of its own failure domain in shuffled order, and every second
//! tick a random host of another failure domain. A host that sends no ack is pinged again, also by
//! one host of its failure domain and two of others; see [`probes`]. A host that remains silent
//! becomes a suspect and is left out of address answers. The hosts that got no answer from it are
//! its observers. It is declared dead only after `settings.suspicion_timeout`, and only if it has
//! an observer in its own failure domain and one in another. While a failure domain is cut off, the
//! hosts outside receive nothing from the observers in it, so they keep its hosts as suspects,
//! however long the cut lasts. The next packet to a suspect carries the suspicion, and the suspect
//! refutes it with a higher incarnation.
//!
//! # Dissemination
//!
//! Gossip updates (deaths, leaving hosts and targets, leases, crash reports) are sent at once to a
//! few hosts. Each host that receives an update for the first time does the same, and piggybacks
//! the update on its following packets ([`update_queue`]). A preset version is sent at once when
//! `PresetInForce` reports it, and in every packet from then on; `PresetReceived` reports the
//! versions that peers have in force. Only the observer sends a suspicion at once, and only the
//! suspect its refutation; other hosts piggyback them. Every packet carries a hash of the sender's
//! view. While two views differ, packets also carry pages of the view, which repairs lost updates
//! without a burst of traffic.
//!
//! Within a failure domain, load deltas travel as records of single hosts. Between failure domains,
//! they travel as one summary of each failure domain ([`loads`]).
//!
//! Every byte is taken from a budget ([`budget`]). When the budget runs low, records and summaries
//! are left out first; probes and updates are left out last.

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

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::effect::{DemandSource, HostView, MembershipEffect};
    pub use crate::event::{ListedHost, MembershipEvent};
    pub use crate::reduce::reduce;
    pub use crate::settings::{DisseminationLayout, MembershipSettings};
    pub use crate::state::{host_view, host_views, MembershipState, TargetRecord};
}
