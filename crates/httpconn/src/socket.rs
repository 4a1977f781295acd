//! TCP sockets with options that detect a silent peer.

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Idle time before the first keep-alive probe, s; a silent peer is detected in about 3 s.
const KEEPALIVE_IDLE_S: u64 = 1;
/// Pause between keep-alive probes, s.
const KEEPALIVE_PAUSE_S: u64 = 1;
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which written bytes may stay unacknowledged, ms; three packets lost in a row
/// take less.
const UNACKED_LIMIT_MS: u64 = 3_000;
/// Number of connections that may wait to be accepted; enough for a burst of callers.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Sets the options of an open connection: small writes are not delayed, and a silent peer is
/// detected.
///
/// # Errors
///
/// Fails if an option cannot be set.
pub fn set_stream_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_IDLE_S))
        .with_interval(Duration::from_secs(KEEPALIVE_PAUSE_S))
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_LIMIT_MS)))
}

/// Opens a listener on an address, also right after another process has listened on it.
///
/// # Errors
///
/// Fails if the process cannot listen on the address.
pub fn listen_on(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
