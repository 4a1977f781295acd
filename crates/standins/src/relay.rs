//! A small TCP relay that injects faults between two programs.
//!
//! It forwards bytes between its clients and one upstream address. A test switches it to stop
//! forwarding on the connections that are open, to cut them, or to refuse new ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the relay does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RelayMode {
    /// Forwards everything.
    Forward = 0,
    /// Forwards nothing on connections opened before the switch; new ones work.
    SilenceOpen = 1,
    /// Closes open connections and refuses new ones.
    Cut = 2,
    /// Closes the connections opened before the switch; new ones work.
    CutOpen = 3,
}

/// Switch of a running relay.
#[derive(Debug, Default)]
pub struct RelaySwitch {
    mode: AtomicU8,
    /// Connections with a lower generation are silent after a switch to `SilenceOpen`.
    generation: AtomicU64,
    /// Connections with a lower generation are closed after a switch to `CutOpen`.
    first_open: AtomicU64,
}

impl RelaySwitch {
    /// Switches the relay.
    pub fn set_mode(&self, mode: RelayMode) {
        match mode {
            RelayMode::Forward | RelayMode::Cut => self.mode.store(mode as u8, Ordering::SeqCst),
            RelayMode::SilenceOpen => {
                self.generation.fetch_add(1, Ordering::SeqCst);
            }
            RelayMode::CutOpen => {
                let next = self.generation.fetch_add(1, Ordering::SeqCst) + 1;
                self.first_open.store(next, Ordering::SeqCst);
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.mode.load(Ordering::SeqCst) == RelayMode::Cut as u8
    }

    fn is_closed(&self, generation: u64) -> bool {
        self.is_cut() || generation < self.first_open.load(Ordering::SeqCst)
    }

    fn is_silent(&self, generation: u64) -> bool {
        generation < self.generation.load(Ordering::SeqCst)
    }
}

/// Starts a relay on a free loopback port of the current actix system.
pub async fn start_relay(upstream: SocketAddr) -> std::io::Result<(SocketAddr, Arc<RelaySwitch>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let state = Arc::new(RelaySwitch::default());
    let shared = state.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if shared.is_cut() {
                continue;
            }
            actix_rt::spawn(relay_connection(stream, upstream, shared.clone()));
        }
    });
    Ok((address, state))
}

async fn relay_connection(near: TcpStream, upstream: SocketAddr, state: Arc<RelaySwitch>) {
    let Ok(far) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let generation = state.generation.load(Ordering::SeqCst);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = forward(near_read, far_write, state.clone(), generation);
    let down = forward(far_read, near_write, state, generation);
    tokio::join!(up, down);
}

async fn forward(
    mut source: tokio::net::tcp::OwnedReadHalf,
    mut sink: tokio::net::tcp::OwnedWriteHalf,
    state: Arc<RelaySwitch>,
    generation: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = source.read(&mut buffer) => read,
            () = actix_rt::time::sleep(std::time::Duration::from_millis(20)) => {
                if state.is_closed(generation) {
                    return;
                }
                continue;
            }
        };
        let Ok(count) = read else { return };
        if count == 0 || state.is_closed(generation) {
            return;
        }
        if state.is_silent(generation) {
            continue;
        }
        if sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
