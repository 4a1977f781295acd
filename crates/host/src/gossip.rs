//! Sending and receiving of gossip packets between hosts over UDP.

use crate::actor::HostActor;
use actix::{Addr, AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_metrics::prelude::TrafficDirection;
use crocusyard_wire::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Size of the receive buffer, bytes: one more than the largest packet, so that longer packets are
/// refused by their length.
const RECEIVE_BUFFER_BYTES: usize = PACKET_LIMIT + 1;

/// Socket, keys and replay protection of the packets between hosts.
pub(crate) struct GossipLink {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) keys: KeyRing,
    pub(crate) replays: ReplayTable,
}

impl GossipLink {
    /// Wraps a bound socket and derives the packet key from the hosts' shared secret.
    pub(crate) fn new(socket: std::net::UdpSocket, secret: &str) -> std::io::Result<Self> {
        socket.set_nonblocking(true)?;
        let key = blake3::derive_key("crocusyard 2026 packets between hosts", secret.as_bytes());
        Ok(Self {
            socket: Arc::new(UdpSocket::from_std(socket)?),
            keys: KeyRing {
                current: key,
                previous: None,
            },
            replays: ReplayTable::default(),
        })
    }
}

/// A datagram that was received.
#[derive(Message)]
#[rtype(result = "()")]
struct DatagramArrived {
    from: SocketAddr,
    bytes: Vec<u8>,
}

/// Receives datagrams and sends them to the actor until it has stopped.
pub(crate) async fn receive_datagrams(socket: Arc<UdpSocket>, actor: Addr<HostActor>) {
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    while actor.connected() {
        // An error concerns a single datagram, for example one sent to a port that nobody listens
        // on.
        let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        actor.do_send(DatagramArrived {
            from,
            bytes: buffer[..size].to_vec(),
        });
    }
}

impl Handler<DatagramArrived> for HostActor {
    type Result = ();

    fn handle(&mut self, datagram: DatagramArrived, context: &mut Context<Self>) {
        let size = datagram.bytes.len() + DATAGRAM_OVERHEAD;
        self.metrics
            .record_traffic(TrafficDirection::Received, size as u64);
        let name = self.state.identity.name.clone();
        let gossip = &mut self.gossip;
        match open(&gossip.keys, &name, &mut gossip.replays, &datagram.bytes) {
            Ok(packet) => {
                let event = MembershipEvent::PacketReceived {
                    from: datagram.from,
                    packet,
                };
                self.apply_event(HostEvent::Membership(event), context);
            }
            Err(error) => log::debug!("the packet from {} was refused: {error}", datagram.from),
        }
    }
}

impl HostActor {
    /// Starts the task that receives datagrams.
    pub(crate) fn start_gossip(&mut self, context: &mut Context<Self>) {
        let receive_task = receive_datagrams(self.gossip.socket.clone(), context.address());
        self.gossip_task = Some(actix_rt::spawn(receive_task));
    }

    /// Seals a packet and sends it. A datagram that the kernel cannot take counts as lost.
    pub(crate) fn send_packet(&mut self, recipient: &HostName, to: SocketAddr, packet: &Packet) {
        match seal(&self.gossip.keys, recipient, packet) {
            Ok(bytes) => {
                let size = bytes.len() + DATAGRAM_OVERHEAD;
                self.metrics
                    .record_traffic(TrafficDirection::Sent, size as u64);
                if let Err(error) = self.gossip.socket.try_send_to(&bytes, to) {
                    log::debug!("the packet to {recipient} cannot be sent: {error}");
                }
            }
            Err(error) => log::error!("the packet to {recipient} cannot be sealed: {error}"),
        }
    }
}
