//! Free loopback ports.
//!
//! A host's ports are chosen before its process listens on them. They lie on a loopback address of
//! this process alone, so that in between no other deployment and no outgoing connection, which has
//! the source address 127.0.0.1, takes them.

use std::hash::{BuildHasher, RandomState};
use std::io::{Error, ErrorKind};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;

/// Any free port on loopback.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// First port that is tried.
const FIRST_PORT: u16 = 10_000;
/// Ports that are tried before giving up.
const TRIES_MAX: u16 = 1000;

/// Next port; none is given twice before the numbers run out.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns an address whose TCP port is free and kept for the caller.
pub fn free_tcp() -> std::io::Result<SocketAddr> {
    next_free(|address| TcpListener::bind(address).map(drop))
}

/// Returns an address whose UDP port is free and kept for the caller.
pub fn free_udp() -> std::io::Result<SocketAddr> {
    next_free(|address| UdpSocket::bind(address).map(drop))
}

fn next_free(try_bind: impl Fn(SocketAddr) -> std::io::Result<()>) -> std::io::Result<SocketAddr> {
    let mut last = Error::from(ErrorKind::AddrInUse);
    for _ in 0..TRIES_MAX {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed).max(FIRST_PORT);
        let address = SocketAddr::new(own_loopback(), port);
        match try_bind(address) {
            Ok(()) => return Ok(address),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Returns the loopback address of this process. It is random, since process ids repeat where
/// processes have separate process id spaces and one network.
fn own_loopback() -> IpAddr {
    static OWN: OnceLock<Ipv4Addr> = OnceLock::new();
    let own = OWN.get_or_init(|| {
        let [first, second, third, ..] = RandomState::new().hash_one(0_u64).to_be_bytes();
        // 127.0.x.x is left to everything else.
        Ipv4Addr::new(127, 1 + first % 127, second, 1 + third % 254)
    });
    IpAddr::V4(*own)
}
