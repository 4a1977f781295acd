//! Unused loopback addresses.
//!
//! A port that the kernel hands out may be taken by an outgoing connection before a host listens on
//! it. Addresses for hosts therefore lie below the range of outgoing ports, on a loopback address
//! that depends on the process, so that tests in several processes do not use the same ones.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Listen address on loopback, with a free port that the kernel chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// First port for hosts; the kernel's outgoing ports begin at 32,768.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for hosts.
const PORT_COUNT: u16 = 20_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that no other call in this or another process returned.
pub fn unused_address() -> SocketAddr {
    unused_range(1)
}

/// Returns the first of `count` unused addresses with consecutive ports.
pub fn unused_range(count: u16) -> SocketAddr {
    let id = std::process::id();
    let [_, high, middle, low] = id.to_be_bytes();
    // 127.0.0.x is left to the stand-ins. Process ids have 22 bits, so no two processes share an
    // address; on loopback, an address that ends in 0 is like any other.
    let address = Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low);
    let port = FIRST_PORT + NEXT_PORT.fetch_add(count, Ordering::Relaxed) % PORT_COUNT;
    SocketAddr::new(IpAddr::V4(address), port)
}
