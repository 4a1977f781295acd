//! Starts and stops the process.

use crate::caller_conns::SWEEP_INTERVAL;
use crate::clock;
use crate::crash_history::{keep_history, store_history};
use crate::decision_log;
use crate::entry::{accept, ListenerRole};
use crate::follow::{follow_hosts, follow_rules};
use crate::former_state::learn_history;
use crate::gossip::{
    receive, report_usage, request_confirmations, send_heartbeat, send_heartbeats, spread_news,
    PeerSocket,
};
use crate::lease_keeper::{keep_lease, release_lease};
use crate::moves::give_orders;
use crate::own_row::remove_own_row;
use crate::shell::EdgeShell;
use crate::store_calls::log_calls;
use crate::target_list::follow_targets;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::listen_on;
use crocusyard_serving::prelude::*;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// Interval at which the reducer re-examines waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which idle connections that are too old are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the answers to the last requests are written before the process ends.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Time after the stop signal for which a host still accepts connections: callers keep an address
/// answer for its lifetime, some for three times as long.
const LINGER_TIME: ClockTime = ClockTime::from_ms(6_000);
/// Time limit of heads before the configuration is known.
const INITIAL_HEAD_TIMEOUT: ClockTime = ClockTime::from_secs(15);
/// Interval at which a stopping host checks whether requests are still in progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Error that keeps the process from running.
#[derive(Debug, Snafu)]
pub enum EdgeError {
    /// The process cannot listen on an address of its settings.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Address {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs an entry host until it receives the stop signal and has stopped.
///
/// # Errors
///
/// Fails if an address of the settings cannot be listened on or the signal handlers cannot be
/// installed.
pub async fn run_edge(settings: HostSettings) -> Result<(), EdgeError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let peer = settings.peer;
    let peers = PeerSocket::bind(peer)
        .await
        .context(AddressSnafu { address: peer })?;
    decision_log::log_change(
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
            _ = hangup.recv() => decision_log::log_change("settings", "reloaded", json!({"changed": false})),
        }
    }
    stop_process(&shell, &stop_sender).await;
    Ok(())
}

fn open_listeners(shell: &Rc<EdgeShell>, stop: &watch::Receiver<bool>) -> Result<(), EdgeError> {
    let settings = &shell.settings;
    let addresses = [
        (settings.entry, ListenerRole::Requests),
        (settings.ready, ListenerRole::Operator),
        (settings.directory, ListenerRole::Addresses),
        (settings.metrics, ListenerRole::Operator),
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
    actix_rt::spawn(send_heartbeats(shell.clone()));
    actix_rt::spawn(spread_news(shell.clone()));
    actix_rt::spawn(request_confirmations(shell.clone()));
    actix_rt::spawn(keep_lease(shell.clone()));
    actix_rt::spawn(learn_history(shell.clone()));
    actix_rt::spawn(keep_history(shell.clone()));
    actix_rt::spawn(give_orders(shell.clone()));
    actix_rt::spawn(tick(shell.clone()));
    actix_rt::spawn(prune(shell.clone()));
    actix_rt::spawn(log_calls(shell.clone()));
    actix_rt::spawn(sweep(shell.clone()));
}

async fn tick(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        shell.record_turn(clock::now());
        report_usage(&shell);
        let needs_tick = {
            let serving = shell.serving.borrow();
            serving.waiting_count() > 0 || serving.has_crash_work()
        };
        if needs_tick {
            shell.dispatch(ServingEvent::Tick);
        }
    }
}

async fn prune(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(PRUNE_INTERVAL).await;
        shell.pool.prune();
    }
}

/// Closes callers' connections that hold resources without progress.
async fn sweep(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        let head_timeout = shell
            .serving
            .borrow()
            .rules()
            .map_or(INITIAL_HEAD_TIMEOUT, |rules| rules.limits.head_timeout);
        for conns in [&shell.caller_conns, &shell.operator_conns] {
            for reason in conns.sweep(head_timeout) {
                shell.count_intake_refusal(reason);
            }
        }
        let held_bytes = shell.intake.counts().held_bytes;
        shell
            .intake_log
            .write(held_bytes, shell.caller_conns.count());
    }
}

/// Lets the requests in progress end, within the stop time that the platform gives.
async fn stop_process(shell: &Rc<EdgeShell>, stop: &watch::Sender<bool>) {
    let stop_began = clock::now();
    shell.stopping_since.set(Some(stop_began));
    shell.dispatch(ServingEvent::Stop);
    shell.hosts.borrow_mut().leave();
    decision_log::log_change(
        "process",
        "stopping",
        json!({"requests": shell.request_count()}),
    );
    send_heartbeat(shell);
    let limit = shell.stop_limit();
    // This closes idle connections; their callers open new ones to other hosts.
    stop.send_replace(true);
    store_history(shell).await;
    actix_rt::spawn(release_lease(shell.clone()));
    actix_rt::spawn(remove_own_row(shell.clone()));
    loop {
        let elapsed = clock::now().since(stop_began);
        let idle = shell.request_count() == 0 && elapsed >= LINGER_TIME.min(limit);
        if idle || elapsed >= limit {
            break;
        }
        actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    if shell.request_count() > 0 {
        // A caller that gets an answer knows that its call may have run.
        shell.dispatch(ServingEvent::EndAll);
        actix_rt::time::sleep(LAST_ANSWERS_TIME).await;
    }
    shell.metrics.store_calls.log();
    decision_log::log_change(
        "process",
        "stopped",
        json!({"requests": shell.request_count()}),
    );
}
