//! Free loopback addresses.
//!
//! A port that the kernel hands out may be taken by an outgoing connection before a host listens on
//! it. Addresses for hosts therefore lie below the range of outgoing ports, on a loopback address of
//! this process alone, so that tests in several processes do not meet.

use std::hash::{BuildHasher, RandomState};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;

/// Any free port on loopback.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// First port for hosts; the kernel's outgoing ports begin at 32,768.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for hosts.
const PORT_COUNT: u16 = 20_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that no other call in this or another process returned.
pub fn unused_address() -> SocketAddr {
    let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
    SocketAddr::new(own_loopback(), port)
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
