//! A relay of the packets between hosts, which can cut groups of hosts from each other.
//!
//! Each host advertises an address of the relay. A packet goes on from the address that its sender
//! advertises, so that hosts see each other at their advertised addresses only.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Buffer for one packet, bytes; packets between hosts are smaller.
const BUFFER_BYTES: usize = 4096;
/// Time between two looks at whether the relay has been dropped.
const STOP_LOOK: Duration = Duration::from_millis(100);

/// Addresses of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedHost {
    /// Address that the host listens on.
    pub host: SocketAddr,
    /// Address of the relay that the host advertises.
    pub advertised: SocketAddr,
}

/// Switch of a running packet relay; hosts are named by their position.
#[derive(Debug)]
pub struct PacketRelay {
    links: Vec<RelayedHost>,
    sockets: Vec<UdpSocket>,
    cuts: Mutex<BTreeSet<(usize, usize)>>,
}

impl PacketRelay {
    /// Drops all packets between hosts of one group and hosts of the other.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        let mut cuts = self.cuts.lock().expect("cut lock");
        for left in one {
            for right in other {
                cuts.insert((*left, *right));
                cuts.insert((*right, *left));
            }
        }
    }

    /// Forwards everything again.
    pub fn heal(&self) {
        self.cuts.lock().expect("cut lock").clear();
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.lock().expect("cut lock").contains(&(from, to))
    }
}

/// Starts a relay on the advertised addresses. It runs in threads of its own until it is dropped, so
/// that a busy test delays no packet.
pub fn start_packet_relay(links: Vec<RelayedHost>) -> std::io::Result<Arc<PacketRelay>> {
    let mut sockets = Vec::new();
    for link in &links {
        let socket = UdpSocket::bind(link.advertised)?;
        socket.set_read_timeout(Some(STOP_LOOK))?;
        sockets.push(socket);
    }
    let count = links.len();
    let relay = Arc::new(PacketRelay {
        links,
        sockets,
        cuts: Mutex::default(),
    });
    for to in 0..count {
        let relay = Arc::downgrade(&relay);
        std::thread::spawn(move || {
            let mut buffer = [0; BUFFER_BYTES];
            while let Some(relay) = relay.upgrade() {
                relay_packet(&relay, to, &mut buffer);
            }
        });
    }
    Ok(relay)
}

/// Takes one packet to a host and sends it on unless the hosts are cut from each other.
fn relay_packet(relay: &PacketRelay, to: usize, buffer: &mut [u8]) {
    // An error is a time-out or concerns one packet, such as a port that nobody listens on.
    let Ok((size, source)) = relay.sockets[to].recv_from(buffer) else {
        return;
    };
    let from = relay.links.iter().position(|link| link.host == source);
    let Some(from) = from.filter(|from| !relay.is_cut(*from, to)) else {
        return;
    };
    let _ = relay.sockets[from].send_to(&buffer[..size], relay.links[to].host);
}
