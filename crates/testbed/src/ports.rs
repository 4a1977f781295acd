//! Free loopback ports.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Any free port on loopback.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns an address whose TCP port was free a moment ago.
pub fn free_tcp() -> std::io::Result<SocketAddr> {
    TcpListener::bind(LOOPBACK)?.local_addr()
}

/// Returns an address whose UDP port was free a moment ago.
pub fn free_udp() -> std::io::Result<SocketAddr> {
    UdpSocket::bind(LOOPBACK)?.local_addr()
}
