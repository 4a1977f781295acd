//! Effects of the host reducer.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// An effect of the host reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEffect {
    /// Effect of the request feature.
    Request(RequestEffect),
    /// Effect of the preset feature that concerns the platform, a peer or an operator.
    Preset(PresetEffect),
    /// Effect of the move feature.
    Move(MoveEffect),
    /// Seal a packet and send it.
    SendPacket {
        /// Recipient, for the hash.
        recipient: HostName,
        /// Address.
        address: SocketAddr,
        /// Packet.
        packet: Packet,
    },
    /// Another catalogue is in force.
    CatalogInForce {
        /// Version; 0 for the catalogue that the host started from.
        version: u64,
        /// Preset in force.
        preset: PresetName,
        /// Catalogue.
        catalog: Arc<CatalogSpec>,
    },
    /// Start a planned stop, since this host is listed as leaving.
    StartDrain,
    /// The process was paused for so long.
    PauseDetected(ClockTime),
}
