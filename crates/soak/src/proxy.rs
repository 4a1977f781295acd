//! A proxy on loopback whose connections can be disturbed.

use crate::plan::LinkFault;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are read at once; a buffer for each direction of each connection.
const BUFFER_BYTES: usize = 16 * 1024;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

/// Proxy of one destination.
pub struct LoopbackProxy {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Rc<watch::Sender<Option<LinkFault>>>,
}

impl LoopbackProxy {
    /// Listens on a free port and passes connections on to `destination`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(destination: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Rc::new(watch::Sender::new(None));
        let sender = fault.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve_conn(stream, destination, sender.subscribe()));
            }
        });
        Ok(Self { address, fault })
    }

    /// Sets what happens to its connections.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

/// Passes the bytes of a connection on until an end closes or a fault resets it.
async fn serve_conn(
    mut client: TcpStream,
    destination: SocketAddr,
    mut fault: watch::Receiver<Option<LinkFault>>,
) {
    if *fault.borrow() == Some(LinkFault::Reset) {
        reset_on_drop(&client);
        return;
    }
    let Ok(mut server) = TcpStream::connect(destination).await else {
        reset_on_drop(&client);
        return;
    };
    let must_reset = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let forward = relay_bytes(client_read, server_write, fault.clone(), Direction::Forward);
        let backward = relay_bytes(
            server_read,
            client_write,
            fault.clone(),
            Direction::Backward,
        );
        tokio::select! {
            // A connection that fails on one side fails on the other.
            ended = async { tokio::try_join!(forward, backward) } => ended.is_err(),
            _ = fault.wait_for(|fault| *fault == Some(LinkFault::Reset)) => true,
        }
    };
    if must_reset {
        reset_on_drop(&client);
        reset_on_drop(&server);
    }
}

/// Lets the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // Fails only for a connection that is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn is_held(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        Some(LinkFault::CutBoth) => true,
        Some(LinkFault::CutForward) => direction == Direction::Forward,
        Some(LinkFault::CutBackward) => direction == Direction::Backward,
        Some(LinkFault::Delayed(_) | LinkFault::Reset) | None => false,
    }
}

async fn relay_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<Option<LinkFault>>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let held = fault.wait_for(|fault| !is_held(*fault, direction)).await;
        let delay = match held.map_err(io::Error::other)?.as_ref() {
            Some(LinkFault::Delayed(ms)) => Duration::from_millis(*ms),
            _ => Duration::ZERO,
        };
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}
