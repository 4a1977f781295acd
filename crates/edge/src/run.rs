//! Start and stop of the process.

use crate::clock;
use crate::decision_log;
use crate::entry::{accept, ListenerRole};
use crate::follow::{follow_hosts, follow_rules};
use crate::gossip::{ask_hosts, beat, receive, send_beats, PeerSocket};
use crate::lease_keeper::{keep_lease, release_lease};
use crate::moves::give_orders;
use crate::shell::EdgeShell;
use crate::target_list::follow_targets;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::listen_on;
use crocusyard_serving::prelude::*;
use log::warn;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Pause between looks at waiting requests.
const TICK_PAUSE: Duration = Duration::from_millis(25);
/// Pause between looks for idle connections that are too old.
const PRUNE_PAUSE: Duration = Duration::from_secs(2);
/// Time kept back from the time to stop, for the end of the process itself.
const STOP_MARGIN: ClockTime = ClockTime::from_ms(400);
/// Time for which a host that is told to stop still takes connections: callers keep an address
/// answer for its lifetime, some for three times as long.
const LINGER_TIME: ClockTime = ClockTime::from_ms(6_000);
/// Longest time for the removal of the own row; a row that stays is removed by the other hosts.
const LAST_WRITE_LIMIT: Duration = Duration::from_millis(300);
/// Pause between looks at the requests in progress while stopping.
const STOP_PAUSE: Duration = Duration::from_millis(50);

/// The process cannot run.
#[derive(Debug, Snafu)]
pub enum EdgeError {
    /// An address cannot be used.
    #[snafu(display("{address}: {source}"))]
    Address {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A signal cannot be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// Fails if an address of the settings cannot be used.
pub async fn run_edge(settings: HostSettings) -> Result<(), EdgeError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let peer = settings.peer;
    let peers = PeerSocket::bind(peer)
        .await
        .context(AddressSnafu { address: peer })?;
    decision_log::belief(
        "process",
        "started",
        json!({
            "host": settings.name.as_str(),
            "domain": settings.domain.as_str(),
            "metrics": settings.metrics.to_string(),
        }),
    );
    let shell = EdgeShell::new(settings, peers);
    let (stop_sender, stop) = watch::channel(false);
    open_listeners(&shell, &stop)?;
    start_tasks(&shell);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => decision_log::belief("settings", "reloaded", json!({"changed": false})),
        }
    }
    stop_process(&shell, &stop_sender).await;
    Ok(())
}

fn open_listeners(shell: &Rc<EdgeShell>, stop: &watch::Receiver<bool>) -> Result<(), EdgeError> {
    let settings = &shell.settings;
    let addresses = [
        (settings.entry, ListenerRole::Requests),
        (settings.ready, ListenerRole::Questions),
        (settings.directory, ListenerRole::Questions),
        (settings.metrics, ListenerRole::Questions),
    ];
    for (address, role) in addresses {
        let listener = listen_on(address).context(AddressSnafu { address })?;
        actix_rt::spawn(accept(shell.clone(), listener, role, stop.clone()));
    }
    Ok(())
}

fn start_tasks(shell: &Rc<EdgeShell>) {
    actix_rt::spawn(follow_rules(shell.clone()));
    actix_rt::spawn(follow_targets(shell.clone()));
    actix_rt::spawn(follow_hosts(shell.clone()));
    actix_rt::spawn(receive(shell.clone()));
    actix_rt::spawn(send_beats(shell.clone()));
    actix_rt::spawn(ask_hosts(shell.clone()));
    actix_rt::spawn(keep_lease(shell.clone()));
    actix_rt::spawn(give_orders(shell.clone()));
    actix_rt::spawn(tick(shell.clone()));
    actix_rt::spawn(prune(shell.clone()));
}

async fn tick(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(TICK_PAUSE).await;
        if shell.serving.borrow().waiting_count() > 0 {
            shell.dispatch(ServingEvent::Tick);
        }
    }
}

async fn prune(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(PRUNE_PAUSE).await;
        shell.pool.prune();
    }
}

/// Lets requests in progress end, within the time that the platform gives.
async fn stop_process(shell: &Rc<EdgeShell>, stop: &watch::Sender<bool>) {
    let begun = clock::now();
    shell.stopping.set(Some(begun));
    shell.dispatch(ServingEvent::Stop);
    shell.hosts.borrow_mut().leave();
    decision_log::belief(
        "process",
        "stopping",
        json!({"requests": shell.request_count()}),
    );
    beat(shell);
    let limit = shell.settings.stop_time.since(STOP_MARGIN);
    // Idle connections close now; callers open new ones elsewhere.
    stop.send_replace(true);
    release_lease(shell).await;
    remove_own_row(shell).await;
    loop {
        let spent = clock::now().since(begun);
        let idle = shell.request_count() == 0 && spent >= LINGER_TIME.min(limit);
        if idle || spent >= limit {
            break;
        }
        actix_rt::time::sleep(STOP_PAUSE).await;
    }
    decision_log::belief(
        "process",
        "stopped",
        json!({"requests": shell.request_count()}),
    );
}

async fn remove_own_row(shell: &EdgeShell) {
    let write = StoreWrite {
        table: StoreTable::Hosts,
        key: shell.settings.name.as_str().to_owned(),
        value: None,
        expected: None,
    };
    if let Err(error) = shell.store.write(&write, LAST_WRITE_LIMIT).await {
        warn!("own row stays: {error}");
    }
}
