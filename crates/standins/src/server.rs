//! HTTP server that every stand-in runs on.

use actix_web::body::MessageBody;
use actix_web::dev::{ServerHandle, ServiceFactory, ServiceRequest, ServiceResponse};
use actix_web::http::KeepAlive;
use actix_web::{App, Error, HttpServer};
use std::net::SocketAddr;

/// Handle of a running stand-in.
#[derive(Clone)]
pub struct RunningServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl RunningServer {
    /// Stops at once, cutting open connections, as when the process is killed.
    pub async fn kill(&self) {
        self.handle.stop(false).await;
    }
}

/// Starts a server with one worker on the current actix system; port 0 picks a free port.
pub(crate) fn start_server<F, T, B>(
    listen: SocketAddr,
    keep_alive: KeepAlive,
    app: F,
) -> std::io::Result<RunningServer>
where
    F: Fn() -> App<T> + Send + Clone + 'static,
    T: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    B: MessageBody + 'static,
{
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        // Without this option, the first token waits up to 40 ms until the response head is
        // acknowledged.
        .tcp_nodelay(true)
        .keep_alive(keep_alive)
        .bind(listen)?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(RunningServer { address, handle })
}
