//! Connection pools, one for each target address.

use crate::attempt::{run_attempt, AttemptPlan, AttemptUpdate};
use crate::connection::TargetConnection;
use actix_rt::task::JoinHandle;
use actix_service::ServiceExt;
use actix_tls::connect::ConnectorService;
use awc::{Client, Connector};
use crocusyard_base::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Channel over which attempts report their progress.
pub type UpdateSender = mpsc::UnboundedSender<AttemptUpdate>;

/// Time after which an idle connection is closed; shorter than the keep-alive time of common
/// servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without received data after which the kernel starts to probe a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two of the kernel's probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which the kernel closes a connection with unacknowledged bytes.
const USER_TIMEOUT: Duration = Duration::from_secs(15);

/// Connection pools and running attempts of this host.
pub struct TargetPools {
    updates: UpdateSender,
    connect_timeout: Duration,
    clients: HashMap<SocketAddr, Client>,
    running: HashMap<AttemptId, JoinHandle<()>>,
}

impl TargetPools {
    /// Makes empty pools whose connections must be established within `connect_timeout`.
    pub fn new(updates: UpdateSender, connect_timeout: Duration) -> Self {
        Self {
            updates,
            connect_timeout,
            clients: HashMap::new(),
            running: HashMap::new(),
        }
    }

    /// Returns the client of a target's pool, which is made on first use.
    pub fn client(&mut self, address: SocketAddr) -> Client {
        let connect_timeout = self.connect_timeout;
        self.clients
            .entry(address)
            .or_insert_with(|| new_client(connect_timeout))
            .clone()
    }

    /// Starts an attempt as a local task.
    pub fn start(&mut self, address: SocketAddr, plan: AttemptPlan) {
        let client = self.client(address);
        let attempt = plan.attempt;
        let task = actix_rt::spawn(run_attempt(client, address, plan, self.updates.clone()));
        self.running.insert(attempt, task);
    }

    /// Aborts an attempt and closes its connection.
    pub fn abort(&mut self, attempt: AttemptId) {
        if let Some(task) = self.running.remove(&attempt) {
            task.abort();
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Drops the pool of a target with its idle connections; running attempts keep theirs.
    pub fn close(&mut self, address: SocketAddr) {
        self.clients.remove(&address);
    }
}

/// Makes a client with its own pool.
///
/// The client has no timeout for answers, since the request reducer sets these timeouts.
pub fn new_client(connect_timeout: Duration) -> Client {
    let connect = ConnectorService::default().map(|connection| {
        set_liveness_options(connection.io_ref());
        let (stream, connection) = connection.replace_io(());
        connection.replace_io(TargetConnection(stream)).1
    });
    let connector = Connector::new()
        .connector(connect)
        .timeout(connect_timeout)
        .conn_keep_alive(IDLE_TIMEOUT)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Sets the socket options by which the kernel detects a peer that no longer answers.
///
/// Keepalive probes detect a silent peer on an idle connection; the user timeout limits how long sent
/// bytes may stay unacknowledged. Also disables Nagle's algorithm. A failure is only logged, since
/// the connection works without these options.
pub fn set_liveness_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    let options = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| stream.set_nodelay(true));
    if let Err(error) = options {
        log::debug!("the socket options of a connection cannot be set: {error}");
    }
}
