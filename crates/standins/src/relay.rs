//! A TCP relay that injects faults between two programs.
//!
//! It forwards bytes between its clients and one upstream address. A test can stop the forwarding
//! on open connections, close them, or have new ones refused.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the relay does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayMode {
    /// Forwards everything.
    Forward = 0,
    /// Keeps the connections that are open when the mode is set, but forwards nothing on them; new
    /// ones work.
    SilenceOpen = 1,
    /// Closes open connections and refuses new ones.
    Cut = 2,
    /// Closes the connections that are open when the mode is set; new ones work.
    CutOpen = 3,
}

/// Controls a running relay.
#[derive(Debug, Default)]
pub struct RelaySwitch {
    mode: AtomicU8,
    /// Generation of new connections; nothing is forwarded on connections of a lower generation.
    generation: AtomicU64,
    /// Lowest generation whose connections `CutOpen` has not closed.
    min_open_generation: AtomicU64,
}

impl RelaySwitch {
    /// Applies a mode, to all connections or to those that are open now.
    pub fn set_mode(&self, mode: RelayMode) {
        match mode {
            RelayMode::Forward | RelayMode::Cut => self.mode.store(mode as u8, Ordering::SeqCst),
            RelayMode::SilenceOpen => {
                self.generation.fetch_add(1, Ordering::SeqCst);
            }
            RelayMode::CutOpen => {
                let next = self.generation.fetch_add(1, Ordering::SeqCst) + 1;
                self.min_open_generation.store(next, Ordering::SeqCst);
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.mode.load(Ordering::SeqCst) == RelayMode::Cut as u8
    }

    fn is_closed(&self, generation: u64) -> bool {
        self.is_cut() || generation < self.min_open_generation.load(Ordering::SeqCst)
    }

    fn is_silent(&self, generation: u64) -> bool {
        generation < self.generation.load(Ordering::SeqCst)
    }
}

/// Starts a relay to `upstream` on a free loopback port; it runs on the current actix system.
pub async fn start_relay(upstream: SocketAddr) -> std::io::Result<(SocketAddr, Arc<RelaySwitch>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let switch = Arc::new(RelaySwitch::default());
    let acceptor_switch = switch.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if acceptor_switch.is_cut() {
                continue;
            }
            actix_rt::spawn(relay_connection(stream, upstream, acceptor_switch.clone()));
        }
    });
    Ok((address, switch))
}

async fn relay_connection(client: TcpStream, upstream: SocketAddr, switch: Arc<RelaySwitch>) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let generation = switch.generation.load(Ordering::SeqCst);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward(client_read, server_write, switch.clone(), generation);
    let to_client = forward(server_read, client_write, switch, generation);
    tokio::join!(to_server, to_client);
}

async fn forward(
    mut source: tokio::net::tcp::OwnedReadHalf,
    mut sink: tokio::net::tcp::OwnedWriteHalf,
    switch: Arc<RelaySwitch>,
    generation: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = source.read(&mut buffer) => read,
            () = actix_rt::time::sleep(std::time::Duration::from_millis(20)) => {
                if switch.is_closed(generation) {
                    return;
                }
                continue;
            }
        };
        let Ok(count) = read else { return };
        if count == 0 || switch.is_closed(generation) {
            return;
        }
        if switch.is_silent(generation) {
            continue;
        }
        if sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
