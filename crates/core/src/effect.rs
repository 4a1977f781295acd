//! Effects of the host reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request of the host reducer to the shell.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEffect {
    /// An effect of the request feature.
    Request(RequestEffect),
    /// An effect of the preset feature that concerns the platform, a peer or an operator.
    Preset(PresetEffect),
    /// An effect of the move feature.
    Move(MoveEffect),
    /// Seal a packet and send it.
    SendPacket {
        /// Host that the packet is sealed for.
        recipient: HostName,
        /// Gossip address of the recipient.
        address: SocketAddr,
        /// Packet to seal.
        packet: Packet,
    },
    /// Another catalogue was put in force.
    CatalogInForce {
        /// Version of the catalogue; 0 for the one that the host started from.
        version: u64,
        /// Preset in force.
        preset: PresetName,
        /// Content of the catalogue.
        catalog: Arc<CatalogSpec>,
    },
    /// Start a planned stop, because the host list or a peer names this host as leaving.
    StartDrain,
    /// The process was paused; the value is the length of the pause.
    PauseDetected(ClockTime),
}
