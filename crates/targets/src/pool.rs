//! Connection pools, one for each target.

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

/// Where attempts report what happens to them.
pub type UpdateSender = mpsc::UnboundedSender<AttemptUpdate>;

/// Time for which an idle connection is kept; below the keep-alive time of common servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle time after which the kernel probes a connection.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(15);

/// Connection pools and running attempts of one host.
pub struct TargetPools {
    updates: UpdateSender,
    connect_timeout: Duration,
    clients: HashMap<SocketAddr, Client>,
    running: HashMap<AttemptId, JoinHandle<()>>,
}

impl TargetPools {
    /// Makes empty pools whose connections must stand within a time.
    pub fn new(updates: UpdateSender, connect_timeout: Duration) -> Self {
        Self {
            updates,
            connect_timeout,
            clients: HashMap::new(),
            running: HashMap::new(),
        }
    }

    /// Returns the pooled client of a target.
    pub fn client(&mut self, address: SocketAddr) -> Client {
        let connect_timeout = self.connect_timeout;
        self.clients
            .entry(address)
            .or_insert_with(|| new_client(connect_timeout))
            .clone()
    }

    /// Starts an attempt.
    pub fn start(&mut self, address: SocketAddr, plan: AttemptPlan) {
        let client = self.client(address);
        let attempt = plan.attempt;
        let task = actix_rt::spawn(run_attempt(client, address, plan, self.updates.clone()));
        self.running.insert(attempt, task);
    }

    /// Drops an attempt and its connection.
    pub fn abort(&mut self, attempt: AttemptId) {
        if let Some(task) = self.running.remove(&attempt) {
            task.abort();
        }
    }

    /// Forgets an attempt that ended by itself.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Drops all pooled connections of a target; attempts that still run keep theirs.
    pub fn close(&mut self, address: SocketAddr) {
        self.clients.remove(&address);
    }
}

/// Makes a client with a pool of its own. The request reducer sets all time limits for answers.
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

/// Makes the kernel notice a peer that no longer answers.
///
/// Keepalive probes find an idle connection that has gone silent; the user timeout bounds how long
/// sent bytes may stay unacknowledged. Both are best effort: the connection works without them.
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
        log::debug!("socket options cannot be set: {error}");
    }
}
