//! Starting and stopping a stand-in's HTTP server.

use actix_web::dev::ServerHandle;
use std::net::SocketAddr;

/// A running stand-in.
#[derive(Clone)]
pub struct RunningServer {
    /// Address it listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Wraps a started server.
    pub(crate) fn new(address: SocketAddr, handle: ServerHandle) -> Self {
        Self { address, handle }
    }

    /// Stops at once, cutting open connections, as when the process is killed.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }
}
