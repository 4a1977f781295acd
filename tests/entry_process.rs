//! The process of an entry host against stand-ins of the users' store and targets.

use bytes::Bytes;
use crocusyard_httpconn::prelude::*;
use crocusyard_platform_standin::prelude::*;
use crocusyard_testbed::ports::{unused_address, unused_range};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest time in which a started or changed host must serve; far above what it takes.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Time within which a new configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
const PAUSE: Duration = Duration::from_millis(50);
/// Time that callers wait, ms.
const PATIENCE_MS: u64 = 1_500;
/// Ports that the settings name for the host's own use.
const PORT_COUNT: u16 = 16;

struct EntryHost {
    child: Child,
    addresses: HostAddresses,
    metrics: SocketAddr,
    settings: tempfile::TempPath,
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryHost {
    fn start(store: SocketAddr) -> Self {
        // Addresses that no outgoing connection takes: a port of 127.0.0.1 that was free a moment
        // ago may be in use when the process binds it.
        let peer = unused_range(PORT_COUNT);
        let addresses = HostAddresses {
            entry: unused_address(),
            ready: unused_address(),
            directory: unused_address(),
            first_port: peer.port(),
        };
        // The metrics are served on the second port of the range.
        let metrics = SocketAddr::new(peer.ip(), peer.port() + 1);
        let text = settings_text("edge-1", &addresses, store);
        let mut file = tempfile::NamedTempFile::new().expect("file");
        file.write_all(text.as_bytes()).expect("written");
        let settings = file.into_temp_path();
        let child = Command::new(env!("CARGO_BIN_EXE_crocusyard"))
            .arg("entry")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        Self {
            child,
            addresses,
            metrics,
            settings,
        }
    }

    async fn until_ready(&self) {
        let begun = Instant::now();
        while get(self.addresses.ready, READY_PATH).await.0 != StatusCode::OK {
            assert!(
                begun.elapsed() < SETTLE_LIMIT,
                "not ready ({:?})",
                self.settings
            );
            actix_rt::time::sleep(PAUSE).await;
        }
    }
}

fn pool() -> ConnPool {
    ConnPool::new(PoolLimits {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
        max_idle: 4,
    })
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Bytes)> {
    let conn = pool().open(address).await.ok()?;
    conn.exchange(request).await.ok()
}

async fn get(address: SocketAddr, path: &str) -> (StatusCode, Bytes) {
    let request = Request::builder()
        .uri(path)
        .header("Host", "x")
        .body(Full::default());
    let answer = exchange(address, request.expect("request")).await;
    answer.unwrap_or((StatusCode::BAD_GATEWAY, Bytes::new()))
}

/// Sends a call of a caller; no answer at all counts as a closed connection.
async fn call(host: &EntryHost, path: &str, id: &str) -> Option<(StatusCode, Bytes)> {
    let request = caller_request(path, id, PATIENCE_MS).expect("request");
    exchange(host.addresses.entry, request).await
}

const fn route(prefix: &'static str, kind: RouteKind, attempts: u32) -> TestRoute {
    TestRoute {
        prefix,
        kind,
        attempts,
        service: "s",
    }
}

const ROUTES: [TestRoute; 2] = [
    route("/once/", RouteKind::NonIdempotent, 1),
    route("/many/", RouteKind::Idempotent, 2),
];
const NEW_ROUTE: TestRoute = route("/new/", RouteKind::Idempotent, 1);

async fn deployment(targets: usize) -> (StoreStandin, Vec<TargetStandin>, EntryHost) {
    let store = StoreStandin::start().await.expect("store");
    store.put_configuration(&configuration(1, &ROUTES));
    let mut standins = Vec::new();
    for number in 0..targets {
        let target = TargetStandin::start(&format!("i-{number}"))
            .await
            .expect("target");
        store.put_target(&target.name(), &target.record("s"));
        standins.push(target);
    }
    let host = EntryHost::start(store.address);
    host.until_ready().await;
    (store, standins, host)
}

/// Guards against a path that is broken anywhere between caller, host, store and target.
#[actix_rt::test]
async fn call_is_answered_by_its_target() {
    let (store, targets, host) = deployment(1).await;
    let (status, body) = call(&host, "/once/1", "r1").await.expect("answered");
    assert_eq!(
        (status, body.as_ref()),
        (StatusCode::OK, b"answer of i-0 to r1".as_ref())
    );
    assert_eq!(targets[0].runs("r1"), 1);
    assert_eq!(
        call(&host, "/none/1", "r2").await.expect("answered").0,
        StatusCode::NOT_FOUND
    );
    let (_, addresses) = get(host.addresses.directory, ADDRESS_PATH).await;
    assert!(String::from_utf8_lossy(&addresses).contains(&host.addresses.entry.to_string()));
    let (status, metrics) = get(host.metrics, "/metrics").await;
    assert_eq!(status, StatusCode::OK);
    assert!(String::from_utf8_lossy(&metrics).contains("crocusyard_entry_requests_total"));
    assert_eq!(store.host_names(), ["edge-1"]);
}

/// Guards against work that may run once being sent again after its answer was lost, and against a
/// status that says it was not run.
#[actix_rt::test]
async fn lost_answer_of_work_that_runs_once_is_not_repeated() {
    let (_store, targets, host) = deployment(2).await;
    for target in &targets {
        target.set_fault(TargetFault::LosesAnswer);
    }
    let answer = call(&host, "/once/1", "r1").await.expect("answered");
    assert_eq!(answer.0, StatusCode::BAD_GATEWAY);
    let runs: usize = targets.iter().map(|target| target.runs("r1")).sum();
    assert_eq!(runs, 1);
}

/// Guards against a failed answer to a call that another target could have answered.
#[actix_rt::test]
async fn lost_answer_of_repeatable_work_comes_from_another_target() {
    for fault in [
        TargetFault::LosesAnswer,
        TargetFault::NoSeal,
        TargetFault::WrongId,
    ] {
        let (_store, targets, host) = deployment(2).await;
        targets[0].set_fault(fault);
        for number in 0..4 {
            let id = format!("r{number}");
            let answer = call(&host, "/many/1", &id).await;
            let (status, body) = answer.expect("answered");
            assert_eq!(
                (status, body.as_ref()),
                (StatusCode::OK, answer_text("i-1", &id).as_bytes()),
                "{fault:?}"
            );
        }
    }
}

/// Guards against a refusal that a target made and that reaches the caller as an unknown failure.
#[actix_rt::test]
async fn refused_work_is_reported_as_not_run() {
    let (_store, targets, host) = deployment(1).await;
    targets[0].set_fault(TargetFault::Full);
    let (status, _) = call(&host, "/once/1", "r1").await.expect("answered");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(targets[0].runs("r1"), 0);
}

/// Guards against a configuration that is in force late.
#[actix_rt::test]
async fn new_configuration_is_in_force_in_time() {
    let (store, _targets, host) = deployment(1).await;
    let routes = [ROUTES[0], NEW_ROUTE];
    store.put_configuration(&configuration(2, &routes));
    actix_rt::time::sleep(APPLY_LIMIT).await;
    assert_eq!(
        call(&host, "/new/1", "r1").await.expect("answered").0,
        StatusCode::OK
    );
    assert_eq!(
        call(&host, "/many/1", "r2").await.expect("answered").0,
        StatusCode::NOT_FOUND
    );
    // An older version never comes back.
    store.put_configuration(&configuration(1, &ROUTES));
    actix_rt::time::sleep(APPLY_LIMIT).await;
    assert_eq!(
        call(&host, "/many/1", "r3").await.expect("answered").0,
        StatusCode::NOT_FOUND
    );
}

/// Guards against callers that fail because the store is away.
#[actix_rt::test]
async fn calls_are_served_while_the_store_is_away() {
    let (store, _targets, host) = deployment(1).await;
    store.set_fault(StoreFault::Down);
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(
        call(&host, "/once/1", "r1").await.expect("answered").0,
        StatusCode::OK
    );
    store.set_fault(StoreFault::None);
    store.put_configuration(&configuration(2, &[NEW_ROUTE]));
    let begun = Instant::now();
    while call(&host, "/new/1", "r2").await.expect("answered").0 != StatusCode::OK {
        assert!(
            begun.elapsed() < SETTLE_LIMIT,
            "the store is not followed again"
        );
        actix_rt::time::sleep(PAUSE).await;
    }
}

/// Guards against a deployment that restarts host by host and makes every host read the store at
/// each of these starts: the calls would grow with the square of the hosts.
#[actix_rt::test]
async fn starts_of_other_hosts_cause_no_reads() {
    let (store, _targets, _host) = deployment(1).await;
    let before = store.host_reads();
    for number in 0..20 {
        store.put_host(&format!("edge-{}", number + 2));
        actix_rt::time::sleep(PAUSE).await;
    }
    let reads = store.host_reads() - before;
    assert!(reads <= 1, "{reads} reads");
}

/// Guards against a request in progress that a planned stop cuts off.
#[actix_rt::test]
async fn planned_stop_cuts_off_no_request() {
    let (store, targets, mut host) = deployment(1).await;
    targets[0].set_fault(TargetFault::Slow(1_000));
    let pid = host.child.id().to_string();
    let slow = call(&host, "/once/1", "r1");
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let killed = Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill");
        assert!(killed.success());
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        get(host.addresses.ready, READY_PATH).await.0
    };
    let (answer, ready) = futures_util::future::join(slow, stop).await;
    assert_eq!(answer.expect("answered").0, StatusCode::OK);
    assert_ne!(ready, StatusCode::OK, "a stopping host is not ready");
    let begun = Instant::now();
    while host.child.try_wait().expect("status").is_none() {
        assert!(
            begun.elapsed() < Duration::from_secs(9),
            "the process has 8 s"
        );
        actix_rt::time::sleep(PAUSE).await;
    }
    assert!(store.host_names().is_empty(), "its row is removed");
}
