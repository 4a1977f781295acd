//! Sends and receives the messages between entry hosts.

use crate::clock;
use crate::crash_history::{receive_history, HistorySource};
use crate::follow::{apply_relayed_configuration, apply_relayed_hosts};
use crate::former_state::{receive_former_retries, send_history};
use crate::message::HostMessage;
use crate::moves;
use crate::shell::EdgeShell;
use crate::target_list::{self, ListSource};
use crocusyard_base::prelude::*;
use crocusyard_serving::host_news::NEWS_INTERVAL;
use crocusyard_serving::prelude::*;
use crocusyard_serving::state::USAGE_HEARTBEATS;
use log::{debug, warn};
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest message, bytes; it fits into one UDP datagram.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// Largest number of demands in a message, those with the highest rates; names of usual length fit
/// into one datagram.
const MAX_REPORTED_DEMANDS: usize = 800;

/// Pause after a failure to wait for messages.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Pause between two rounds of news.
const NEWS_PAUSE: Duration = Duration::from_millis(NEWS_INTERVAL.as_ms());

/// Time after the start in which a host hears all live hosts, also if it cannot read their rows from
/// the store.
const HOSTS_HEARD_TIME: ClockTime = ClockTime::from_secs(10);

/// Pause between two rounds of confirmation requests of the lease holder; a lost request is
/// repeated several times while the last confirmation is still valid.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(250);

/// UDP socket for messages to and from other hosts.
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

    /// Sends a message to one host. A message that does not fit the socket's buffer is lost like
    /// any datagram.
    pub(crate) fn send(&self, address: SocketAddr, message: &HostMessage) {
        self.send_all(&[address], message);
    }

    /// Sends a message to several hosts; it is serialized once.
    pub(crate) fn send_all(&self, addresses: &[SocketAddr], message: &HostMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => bytes,
            Ok(bytes) => {
                warn!(
                    "a message to other hosts was dropped: its {} bytes exceed the limit of {MAX_MESSAGE_BYTES}",
                    bytes.len()
                );
                return;
            }
            Err(error) => {
                warn!(
                    "a message to other hosts was dropped because it cannot be serialized: {error}"
                );
                return;
            }
        };
        for address in addresses {
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                debug!("a message to the host at {address} cannot be sent: {error}");
            }
        }
    }
}

/// Sends heartbeats to all hosts and demand to the lease holder, once per heartbeat interval.
pub(crate) async fn send_heartbeats(shell: Rc<EdgeShell>) {
    for number in 1_u32.. {
        send_heartbeat(&shell);
        if number % USAGE_HEARTBEATS == 0 {
            report_fair_shares(&shell);
        }
        report_demand(&shell);
        update_limit_hosts(&shell);
        let pause = shell.hosts.borrow().heartbeat_interval();
        actix_rt::time::sleep(Duration::from_millis(pause.as_ms())).await;
    }
}

/// Sends one heartbeat to all other hosts.
pub(crate) fn send_heartbeat(shell: &EdgeShell) {
    let lease = shell.lease_report();
    let host = shell.hosts.borrow().own().clone();
    let waiting = shell.serving.borrow().waiting_report();
    let retries = shell.serving.borrow_mut().retry_report(clock::now());
    shell.broadcast(&HostMessage::Heartbeat {
        host,
        leaving: shell.is_stopping(),
        lease,
        load: shell.serving.borrow().targets.own_load(),
        waiting,
        availability: shell.availability.borrow().report(clock::now()),
        retries,
    });
    let evidence = shell.serving.borrow().evidence_report(clock::now());
    if let Some(evidence) = evidence {
        shell.broadcast(&HostMessage::Evidence(evidence));
    }
    let now = clock::now();
    let reports = shell.serving.borrow_mut().targets.take_reports(now);
    if !reports.is_empty() {
        shell.broadcast(&HostMessage::TargetReports(reports));
    }
}

/// Reports the recent usage of tenants at this host to all other hosts, while there are tenants.
fn report_fair_shares(shell: &EdgeShell) {
    let usage = shell.serving.borrow().usage_report(clock::now());
    if let Some(usage) = usage {
        let host = shell.settings.name.clone();
        shell.broadcast(&HostMessage::TenantUsage { host, usage });
    }
}

/// Passes news on to a few hosts, drawn anew in each round, where hosts are many.
pub(crate) async fn spread_news(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(NEWS_PAUSE).await;
        let salt = shell.rng.borrow_mut().random::<u64>();
        let round = shell.hosts.borrow().news_round(salt, clock::now());
        if let Some((receivers, hosts)) = round {
            let message = news_message(&shell, hosts);
            shell.peers.send_all(&receivers, &message);
        }
    }
}

/// Tells the limits of tenants which hosts there are, while there are limits.
pub(crate) fn update_limit_hosts(shell: &EdgeShell) {
    let now = clock::now();
    let knows_hosts = shell.knows_hosts() || now.since(shell.started) >= HOSTS_HEARD_TIME;
    let mut serving = shell.serving.borrow_mut();
    if knows_hosts && serving.limits.has_limits() {
        serving.limits.set_hosts(&shell.hosts.borrow(), now);
    }
}

/// Reports the usage of tenants to all other hosts if they need new figures.
pub(crate) fn report_usage(shell: &EdgeShell) {
    let mut serving = shell.serving.borrow_mut();
    if !serving.limits.has_limits() {
        return;
    }
    let report = serving.limits.report(clock::now());
    drop(serving);
    if let Some(report) = report {
        shell.broadcast(&HostMessage::Usage(report));
    }
}

/// Builds the message that passes on news of hosts and what else this host has heard.
fn news_message(shell: &EdgeShell, hosts: Vec<HostNews>) -> HostMessage {
    let now = clock::now();
    let others = shell.hosts.borrow().other_names();
    let holder = shell.lease.borrow().holder_news(&others, now);
    HostMessage::News {
        hosts,
        holder,
        leaving: shell.serving.borrow().targets.leaving_notices(now),
    }
}

/// Tells all other hosts at once that a target is leaving, while hosts are few; many hosts hear it
/// with the next rounds of news.
pub(crate) fn report_leaving(shell: &EdgeShell, notice: LeavingNotice) {
    let is_small = shell.hosts.borrow().is_small();
    if is_small {
        shell.broadcast(&leaving_message(vec![notice]));
    }
}

/// Builds the message that tells only of leaving targets.
pub(crate) fn leaving_message(leaving: Vec<LeavingNotice>) -> HostMessage {
    HostMessage::News {
        hosts: Vec::new(),
        holder: None,
        leaving,
    }
}

/// Reports this host's demand to the lease holder, which may be this host.
fn report_demand(shell: &EdgeShell) {
    let now = clock::now();
    let share = shell.hosts.borrow().share(now);
    shell.dispatch(ServingEvent::Hosts(share));
    let mut demands = shell.serving.borrow_mut().demand_report(now);
    if demands.len() > MAX_REPORTED_DEMANDS {
        // Callers choose the names of adapters; a message that is too long would be dropped whole.
        demands.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        demands.truncate(MAX_REPORTED_DEMANDS);
    }
    let own = shell.settings.name.clone();
    if shell.lease.borrow().is_holder() {
        shell.demands.borrow_mut().update(&own, demands, now);
        return;
    }
    let holder = shell.lease.borrow().holder().cloned();
    let address = holder.and_then(|holder| shell.hosts.borrow().peer_address(&holder));
    if let Some(address) = address {
        let work = demands.iter().map(|demand| demand.work).collect();
        let message = HostMessage::Demand {
            host: own,
            demands,
            work,
        };
        shell.peers.send(address, &message);
    }
}

/// Receives messages of other hosts until the process ends.
pub(crate) async fn receive(shell: Rc<EdgeShell>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    // Time at which no message was left to handle; those handled next arrived later.
    let mut idle_at = clock::now();
    loop {
        let length = match shell.peers.socket.try_recv_from(&mut buffer) {
            Ok((length, _)) => length,
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    // An earlier send to an unreachable peer is reported here; the next message is
                    // not affected.
                    debug!("a message from another host cannot be received: {error}");
                    continue;
                }
                idle_at = clock::now();
                if let Err(error) = shell.peers.socket.readable().await {
                    warn!("the socket for messages of other hosts cannot be awaited: {error}");
                    actix_rt::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
                continue;
            }
        };
        match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => handle_message(&shell, message, idle_at),
            Err(error) => warn!("a message of {length} bytes cannot be decoded: {error}"),
        }
    }
}

/// Handles a message that arrived at `arrived` or later, as it may have waited at this host.
fn handle_message(shell: &Rc<EdgeShell>, message: HostMessage, arrived: ClockTime) {
    let now = clock::now();
    match message {
        heartbeat @ HostMessage::Heartbeat { .. } => receive_heartbeat(shell, heartbeat, arrived),
        HostMessage::Lease { host, report } => {
            shell.lease.borrow_mut().receive_report(&host, &report, now);
            if matches!(report, LeaseReport::Holds { .. }) {
                acknowledge_holder(shell, &host);
            }
        }
        HostMessage::Demand {
            host,
            mut demands,
            work,
        } => {
            for (demand, work) in demands.iter_mut().zip(work) {
                demand.work = work;
            }
            shell.demands.borrow_mut().update(&host, demands, now);
        }
        HostMessage::CopyRequest { service, need } => moves::request_copy(shell, service, need),
        HostMessage::Holdings {
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
        targets @ HostMessage::Targets { .. } => receive_targets(shell, targets),
        HostMessage::Crash(report) => shell.dispatch(ServingEvent::Crash(report)),
        HostMessage::Evidence(evidence) => shell.dispatch(ServingEvent::Evidence(evidence)),
        HostMessage::TenantUsage { host, usage } => {
            shell.dispatch(ServingEvent::PeerUsage { host, usage });
        }
        HostMessage::TargetReports(reports) => {
            shell.dispatch(ServingEvent::PeerTargets(reports));
        }
        HostMessage::News {
            hosts,
            holder,
            leaving,
        } => {
            shell.hosts.borrow_mut().receive_news(&hosts, arrived);
            if let Some(news) = holder.filter(|news| news.holder != shell.settings.name) {
                shell.lease.borrow_mut().receive_holder_news(&news, now);
            }
            for notice in leaving {
                shell.dispatch(ServingEvent::Leaving(notice));
            }
        }
        HostMessage::Configuration {
            version,
            compressed,
        } => apply_relayed_configuration(shell, version, &compressed),
        HostMessage::Hosts {
            upserts,
            removed,
            version,
        } => apply_relayed_hosts(shell, upserts, &removed, version),
        HostMessage::HistoryRequest { host, reply_to } => {
            send_history(shell, &host, reply_to);
        }
        HostMessage::FormerRetries(counts) => receive_former_retries(shell, counts),
        HostMessage::CrashHistory(history) => {
            receive_history(shell, history, HistorySource::Host);
        }
        HostMessage::Usage(report) => shell.serving.borrow_mut().limits.receive(&report, now),
    }
}

/// Applies a heartbeat of another host that arrived at `arrived` or later.
fn receive_heartbeat(shell: &EdgeShell, heartbeat: HostMessage, arrived: ClockTime) {
    let HostMessage::Heartbeat {
        host,
        leaving,
        lease,
        load,
        waiting,
        availability,
        retries,
    } = heartbeat
    else {
        return;
    };
    let now = clock::now();
    shell
        .hosts
        .borrow_mut()
        .receive_heartbeat(&host, leaving, arrived);
    shell.serving.borrow_mut().limits.hear(&host.name, arrived);
    if let Some(report) = &lease {
        shell
            .lease
            .borrow_mut()
            .receive_report(&host.name, report, now);
    }
    if let Some(report) = &availability {
        shell.availability.borrow_mut().receive_report(report, now);
    }
    if let Some(counts) = retries {
        shell
            .former_retries
            .borrow_mut()
            .record(&host.name, counts, now);
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

/// Applies changes of the target list that the reader of the failure domain has relayed.
fn receive_targets(shell: &EdgeShell, targets: HostMessage) {
    let HostMessage::Targets {
        after,
        version,
        upserts,
        removed,
        age,
        configuration,
    } = targets
    else {
        return;
    };
    shell.hear_configuration(configuration);
    let accepted =
        shell
            .target_list
            .borrow_mut()
            .accept_relayed(after, version, clock::now() - age);
    if accepted {
        let source = ListSource::Relay { age };
        target_list::log_target_changes(shell, &upserts, &removed, version, source);
        shell.dispatch(ServingEvent::Targets { upserts, removed });
    }
}

/// Asks all other hosts to confirm the lease of this host while the store confirms it late.
pub(crate) async fn request_confirmations(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(CONFIRMATION_INTERVAL).await;
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
            shell.broadcast(&HostMessage::Lease { host, report });
        }
    }
}

/// Acknowledges the lease report of the holder.
fn acknowledge_holder(shell: &EdgeShell, holder: &HostName) {
    let report = shell.lease_report();
    let address = shell.hosts.borrow().peer_address(holder);
    if let (Some(report @ LeaseReport::Acknowledged { .. }), Some(address)) = (report, address) {
        let host = shell.settings.name.clone();
        let message = HostMessage::Lease { host, report };
        shell.peers.send(address, &message);
    }
}

/// Returns whether a holdings message is to be applied: a holder of the lease ignores a message from
/// an earlier holder.
fn is_current(shell: &EdgeShell, version: u64) -> bool {
    shell
        .lease
        .borrow()
        .version()
        .is_none_or(|seen| version >= seen)
        || !shell.lease.borrow().is_holder()
}
