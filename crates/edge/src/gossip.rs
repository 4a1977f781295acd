//! Messages between entry hosts.

use crate::clock;
use crate::message::HostMessage;
use crate::moves;
use crate::shell::EdgeShell;
use crate::target_list;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::{debug, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest message, bytes; fits into one datagram of any link.
const MESSAGE_BYTES: usize = 60_000;

/// Pause between two rounds of questions of the lease holder; a lost one is repeated several times
/// while the last answer holds.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// Socket for messages to other hosts.
#[derive(Clone)]
pub(crate) struct PeerSocket {
    socket: Rc<UdpSocket>,
}

impl PeerSocket {
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            socket: Rc::new(UdpSocket::bind(address).await?),
        })
    }

    /// Sends a message; one that does not fit the socket's buffer is lost like any datagram.
    pub(crate) fn send(&self, address: SocketAddr, message: &HostMessage) {
        self.send_all(&[address], message);
    }

    pub(crate) fn send_all(&self, addresses: &[SocketAddr], message: &HostMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MESSAGE_BYTES => bytes,
            Ok(bytes) => {
                warn!("message of {} bytes dropped: too long", bytes.len());
                return;
            }
            Err(error) => {
                warn!("message dropped: {error}");
                return;
            }
        };
        for address in addresses {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                debug!("message to {address} lost: {error}");
            }
        }
    }
}

/// Sends beats and demand.
pub(crate) async fn send_beats(shell: Rc<EdgeShell>) {
    loop {
        beat(&shell);
        report_demand(&shell);
        let pause = shell.hosts.borrow().heartbeat_interval();
        actix_rt::time::sleep(Duration::from_millis(pause.as_ms())).await;
    }
}

pub(crate) fn beat(shell: &EdgeShell) {
    let lease = shell.lease_report();
    let host = shell.hosts.borrow().own().clone();
    let waiting = shell.serving.borrow().waiting_report();
    shell.tell_all(&HostMessage::Beat {
        host,
        leaving: shell.is_stopping(),
        lease,
        load: shell.serving.borrow().targets.own_load(),
        waiting,
    });
}

fn report_demand(shell: &EdgeShell) {
    let now = clock::now();
    let share = shell.hosts.borrow().share(now);
    shell.dispatch(ServingEvent::Hosts(share));
    let demands = shell.serving.borrow_mut().demand_report(now);
    let own = shell.settings.name.clone();
    if shell.lease.borrow().is_holder() {
        shell.demands.borrow_mut().update(&own, demands, now);
        return;
    }
    let holder = shell.lease.borrow().holder().cloned();
    let address = holder.and_then(|holder| shell.hosts.borrow().peer_address(&holder));
    if let Some(address) = address {
        let message = HostMessage::Demand { host: own, demands };
        shell.peers.send(address, &message);
    }
}

/// Receives messages.
pub(crate) async fn receive(shell: Rc<EdgeShell>) {
    let mut buffer = vec![0; MESSAGE_BYTES];
    loop {
        let length = match shell.peers.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // An unreachable peer shows here; the next message is not affected.
                debug!("receive: {error}");
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => take(&shell, message),
            Err(error) => warn!("message of {length} bytes cannot be read: {error}"),
        }
    }
}

fn take(shell: &Rc<EdgeShell>, message: HostMessage) {
    let now = clock::now();
    match message {
        HostMessage::Beat {
            host,
            leaving,
            lease,
            load,
            waiting,
        } => {
            shell
                .hosts
                .borrow_mut()
                .receive_heartbeat(&host, leaving, now);
            if let Some(report) = &lease {
                shell
                    .lease
                    .borrow_mut()
                    .receive_report(&host.name, report, now);
            }
            shell.dispatch(ServingEvent::PeerWaiting {
                host: host.name.clone(),
                waiting,
            });
            shell.dispatch(ServingEvent::PeerLoad {
                host: host.name,
                load,
            });
        }
        HostMessage::Lease { host, report } => {
            shell.lease.borrow_mut().receive_report(&host, &report, now);
            if matches!(report, LeaseReport::Holds { .. }) {
                answer_holder(shell, &host);
            }
        }
        HostMessage::Demand { host, demands } => {
            shell.demands.borrow_mut().update(&host, demands, now);
        }
        HostMessage::Want { service, need } => moves::want_copy(shell, service, need),
        HostMessage::Notice {
            version,
            target,
            incarnation,
            models,
        } => {
            if is_current(shell, version) {
                shell.dispatch(ServingEvent::Holdings {
                    target,
                    incarnation,
                    models,
                });
            }
        }
        HostMessage::Targets {
            after,
            version,
            upserts,
            removed,
        } => {
            let fresh = shell.list.borrow_mut().accept_relayed(after, version, now);
            if fresh {
                target_list::log_targets(shell, &upserts, &removed, version);
                shell.dispatch(ServingEvent::Targets { upserts, removed });
            }
        }
        HostMessage::Crash(report) => shell.dispatch(ServingEvent::Crash(report)),
    }
}

/// Asks all hosts whether they hear this one, while the store confirms it late.
pub(crate) async fn ask_hosts(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(ASK_PAUSE).await;
        if !shell.lease.borrow().is_holder() {
            continue;
        }
        let others = shell.hosts.borrow().other_names();
        let report = shell
            .lease
            .borrow()
            .confirmation_request(&others, clock::now());
        if let Some(report) = report {
            let host = shell.settings.name.clone();
            shell.tell_all(&HostMessage::Lease { host, report });
        }
    }
}

/// Tells the holder that this host has heard it.
fn answer_holder(shell: &EdgeShell, holder: &HostName) {
    let report = shell.lease_report();
    let address = shell.hosts.borrow().peer_address(holder);
    if let (Some(report @ LeaseReport::Acknowledged { .. }), Some(address)) = (report, address) {
        let host = shell.settings.name.clone();
        let message = HostMessage::Lease { host, report };
        shell.peers.send(address, &message);
    }
}

/// Returns whether a notice is not from an earlier holder.
fn is_current(shell: &EdgeShell, version: u64) -> bool {
    shell
        .lease
        .borrow()
        .version()
        .is_none_or(|seen| version >= seen)
        || !shell.lease.borrow().is_holder()
}
