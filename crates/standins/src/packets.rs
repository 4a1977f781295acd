//! A UDP relay between hosts, which can simulate network partitions.
//!
//! Each host advertises an address of the relay. The relay forwards a packet from the address that
//! its sender advertises, so that hosts see each other only at their advertised addresses.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Size of the receive buffer, bytes; packets between hosts are smaller.
const BUFFER_BYTES: usize = 4096;
/// Interval at which the relay threads check whether the relay was dropped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses of a host behind the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedHost {
    /// Address that the host listens on.
    pub host: SocketAddr,
    /// Address of the relay that the host advertises.
    pub advertised: SocketAddr,
}

/// A running packet relay. Hosts are identified by their index in the list that
/// [`start_packet_relay`] was given.
#[derive(Debug)]
pub struct PacketRelay {
    hosts: Vec<RelayedHost>,
    /// Sockets bound to the advertised addresses, by host index.
    sockets: Vec<UdpSocket>,
    /// Pairs of sender and receiver whose packets are dropped.
    blocked: Mutex<BTreeSet<(usize, usize)>>,
}

impl PacketRelay {
    /// Drops all packets between hosts of one group and hosts of the other.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        let mut blocked = self.blocked.lock().expect("the partition lock is poisoned");
        for left in one {
            for right in other {
                blocked.insert((*left, *right));
                blocked.insert((*right, *left));
            }
        }
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.blocked
            .lock()
            .expect("the partition lock is poisoned")
            .clear();
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked
            .lock()
            .expect("the partition lock is poisoned")
            .contains(&(from, to))
    }
}

/// Starts a relay on the advertised addresses of the hosts. The relay runs until it is dropped, in
/// threads of its own, so that a busy test does not delay packets.
pub fn start_packet_relay(hosts: Vec<RelayedHost>) -> std::io::Result<Arc<PacketRelay>> {
    let mut sockets = Vec::new();
    for host in &hosts {
        let socket = UdpSocket::bind(host.advertised)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        sockets.push(socket);
    }
    let count = hosts.len();
    let relay = Arc::new(PacketRelay {
        hosts,
        sockets,
        blocked: Mutex::default(),
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

/// Receives one packet for the host at index `to` and forwards it unless a partition separates it
/// from the sender.
fn relay_packet(relay: &PacketRelay, to: usize, buffer: &mut [u8]) {
    // An error is a timeout or concerns one packet, such as a port without a listener.
    let Ok((size, source)) = relay.sockets[to].recv_from(buffer) else {
        return;
    };
    let from = relay.hosts.iter().position(|host| host.host == source);
    let Some(from) = from.filter(|from| !relay.is_blocked(*from, to)) else {
        return;
    };
    let _ = relay.sockets[from].send_to(&buffer[..size], relay.hosts[to].host);
}
