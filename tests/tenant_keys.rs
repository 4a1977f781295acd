//! Keys of callers: who is let in, and what targets and the log get to see.

mod entry_support;

use bytes::Bytes;
use crocusyard_platform_standin::prelude::*;
use entry_support::{exchange, pool, route, EntryHost, POLL_INTERVAL};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::fs::File;
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time after which a new configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(3_000);
/// Time within which a host answers a request whose body does not arrive; far longer than it needs,
/// and shorter than the timeouts for heads and bodies.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);

const ROUTES: [TestRoute; 4] = [
    route("/once/", RouteKind::NonIdempotent, 1),
    route("/many/", RouteKind::Idempotent, 2),
    route("/open/", RouteKind::Idempotent, 2),
    route(STREAM_PATH, RouteKind::Resumable, 2),
];
const ANONYMOUS: [&str; 1] = ["/open/"];

const KEY_A: &str = "asnmgkcuyj8pjbvk9m68";
const KEY_A2: &str = "k7b2ex5wa5xwyhks8nbk";
const KEY_B: &str = "w3qz7d0lv9t1xr5mphc2";
const FORGED_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";
const ALL_KEYS: [&str; 4] = [KEY_A, KEY_A2, KEY_B, FORGED_KEY];

const TENANT_A: TestTenant = TestTenant {
    name: "tenant-a",
    keys: &[KEY_A, KEY_A2],
};
const TENANT_B: TestTenant = TestTenant {
    name: "tenant-b",
    keys: &[KEY_B],
};

/// Configuration with two tenants.
fn tenants_configuration(version: u64) -> serde_json::Value {
    with_tenants(
        configuration(version, &ROUTES),
        &[TENANT_A, TENANT_B],
        &ANONYMOUS,
    )
}

/// A store, targets with a common log, and one host whose output is recorded.
struct Deployment {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
    host: EntryHost,
    output: File,
}

impl Deployment {
    /// Starts a deployment with a configuration; the host may never become ready.
    async fn start_unready(configuration: &serde_json::Value) -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        store.put_configuration(configuration);
        let arrivals = ArrivalLog::default();
        let mut targets = Vec::new();
        for number in 0..2 {
            let target = TargetStandin::start_with_log(&format!("i-{number}"), arrivals.clone())
                .await
                .expect("the target stand-in cannot start");
            store.put_target(&target.name(), &target.record("s"));
            targets.push(target);
        }
        let output = tempfile::NamedTempFile::new().expect("the output file cannot be created");
        let written = output.reopen().expect("the output file cannot be opened");
        let host = EntryHost::start_with_output("edge-1", store.address, Stdio::from(written));
        Self {
            store,
            targets,
            host,
            output: output.into_file(),
        }
    }

    async fn start(configuration: &serde_json::Value) -> Self {
        let deployment = Self::start_unready(configuration).await;
        deployment.host.wait_ready().await;
        deployment
    }

    /// Sends a call with these keys; returns its status.
    async fn call(&self, path: &str, id: &str, keys: &[&str]) -> StatusCode {
        self.send(request(path, id, keys)).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> StatusCode {
        let answer = exchange(self.host.addresses.entry, request).await;
        answer.expect("the call got no answer").0
    }

    /// Repeats a call until it gets the status, which it must within the time to apply a
    /// configuration.
    async fn wait_for(&self, path: &str, keys: &[&str], status: StatusCode) {
        let start = Instant::now();
        let mut number = 0;
        loop {
            let id = format!("wait{number}");
            let seen = self.call(path, &id, keys).await;
            if seen == status {
                return;
            }
            assert!(
                start.elapsed() < APPLY_LIMIT,
                "calls on {path} still get {seen} instead of {status}"
            );
            number += 1;
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the arrivals of a call at targets.
    fn arrivals(&self, id: &str) -> Vec<TargetArrival> {
        let arrivals = self.targets[0].arrivals();
        let arrivals = arrivals.borrow();
        arrivals.iter().filter(|a| a.id == id).cloned().collect()
    }

    /// Asserts that a call reached targets, each time with this tenant and without a key.
    fn check_arrivals(&self, id: &str, count: usize, tenant: Option<&str>) {
        let arrivals = self.arrivals(id);
        assert_eq!(arrivals.len(), count, "arrivals of {id}: {arrivals:?}");
        for arrival in arrivals {
            let expected: Vec<&str> = tenant.into_iter().collect();
            assert_eq!(arrival.tenants, expected, "tenant of {id}");
            assert!(arrival.keys.is_empty(), "a target got the key of {id}");
        }
    }

    /// Returns what the host has written so far; no key may be in it.
    fn output(&self) -> String {
        use std::io::Seek;
        let mut file = &self.output;
        file.rewind().expect("the output cannot be read again");
        let mut text = String::new();
        file.read_to_string(&mut text)
            .expect("the output cannot be read");
        for key in ALL_KEYS {
            assert!(!text.contains(key), "the host wrote the key {key}");
        }
        text
    }
}

fn request(path: &str, id: &str, keys: &[&str]) -> Request<Full<Bytes>> {
    keyed_request(path, id, STREAM_TIMEOUT_MS, keys).expect("the request is not valid")
}

/// Guards against calls without a valid key that run at a target, also if the only fault is a second
/// key that is valid itself.
#[actix_rt::test]
async fn call_without_a_valid_key_is_refused_and_reaches_no_target() {
    let deployment = Deployment::start(&tenants_configuration(1)).await;
    let faults: [(&str, &[&str]); 6] = [
        ("missing", &[]),
        ("forged", &[FORGED_KEY]),
        ("empty", &[""]),
        ("prefix", &[&KEY_A[..19]]),
        ("repeated", &[KEY_A, KEY_A2]),
        ("twice", &[KEY_A, KEY_A]),
    ];
    for (id, keys) in faults {
        for path in ["/once/1", "/many/1", "/flow/1"] {
            let status = deployment.call(path, id, keys).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{id} key on {path}");
        }
        deployment.check_arrivals(id, 0, None);
    }
    let status = deployment.call("/once/1", "valid", &[KEY_A]).await;
    assert_eq!(status, StatusCode::OK);
    let output = deployment.output();
    assert_eq!(output.matches("unauthorized").count(), faults.len() * 3);
    assert!(output.contains("missing_key"), "no reason in the log");
    let (_, metrics) = entry_support::get(deployment.host.metrics, "/metrics").await;
    let metrics = String::from_utf8_lossy(&metrics);
    for line in [
        "crocusyard_entry_unauthorized_total{reason=\"repeated_key\"} 6",
        "crocusyard_entry_tenant_requests_total{tenant=\"tenant-a\"} 1",
        "crocusyard_entry_tenant_admitted_total{tenant=\"tenant-a\"} 1",
        "crocusyard_entry_tenant_queueing_seconds_count{tenant=\"tenant-a\"} 1",
    ] {
        assert!(metrics.contains(line), "the metrics lack {line}");
    }
    for key in ALL_KEYS {
        assert!(!metrics.contains(key), "the metrics contain the key {key}");
    }
}

/// Guards against a host that reads the body of a call before it checks the key: 401 has to arrive
/// although the announced body never does.
#[actix_rt::test]
async fn key_is_checked_before_the_body_is_read() {
    let deployment = Deployment::start(&tenants_configuration(1)).await;
    let (head, _) = request("/once/1", "r1", &[FORGED_KEY]).into_parts();
    let mut text = "POST /once/1 HTTP/1.1\r\nContent-Length: 4000\r\n".to_owned();
    for (name, value) in &head.headers {
        let value = value.to_str().expect("a header of text");
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut stream = tokio::net::TcpStream::connect(deployment.host.addresses.entry)
        .await
        .expect("the host does not accept the connection");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the head cannot be sent");
    let mut answer = [0; 12];
    actix_rt::time::timeout(ANSWER_LIMIT, stream.read_exact(&mut answer))
        .await
        .expect("the host waits for the body")
        .expect("the connection ended without an answer");
    assert_eq!(&answer, b"HTTP/1.1 401");
}

/// Guards against targets that get a key, or a tenant other than that of the key: from a caller that
/// names a tenant itself, on an anonymous route, in a second attempt and in a resumed stream.
#[actix_rt::test]
async fn target_gets_the_tenant_of_the_key_and_no_key() {
    let deployment = Deployment::start(&tenants_configuration(1)).await;
    for (id, key, tenant) in [
        ("a1", KEY_A, "tenant-a"),
        ("a2", KEY_A2, "tenant-a"),
        ("b1", KEY_B, "tenant-b"),
    ] {
        assert_eq!(deployment.call("/once/1", id, &[key]).await, StatusCode::OK);
        deployment.check_arrivals(id, 1, Some(tenant));
    }
    let mut claim = request("/once/1", "claim", &[KEY_B]);
    claim_tenant(&mut claim, "tenant-a");
    claim_tenant(&mut claim, "tenant-a");
    assert_eq!(deployment.send(claim).await, StatusCode::OK);
    deployment.check_arrivals("claim", 1, Some("tenant-b"));

    let mut open = request("/open/1", "open", &[]);
    claim_tenant(&mut open, "tenant-a");
    assert_eq!(deployment.send(open).await, StatusCode::OK);
    deployment.check_arrivals("open", 1, None);
    let mut forged = request("/open/1", "open-forged", &[FORGED_KEY, KEY_A]);
    claim_tenant(&mut forged, "tenant-a");
    assert_eq!(deployment.send(forged).await, StatusCode::OK);
    deployment.check_arrivals("open-forged", 1, None);
    let status = deployment.call("/open/1", "open-key", &[KEY_B]).await;
    assert_eq!(status, StatusCode::OK);
    deployment.check_arrivals("open-key", 1, Some("tenant-b"));

    for target in &deployment.targets {
        target.set_fault(TargetFault::LosesAnswer);
    }
    let mut again = request("/many/1", "again", &[KEY_A]);
    claim_tenant(&mut again, "tenant-b");
    assert_eq!(deployment.send(again).await, StatusCode::BAD_GATEWAY);
    deployment.check_arrivals("again", 2, Some("tenant-a"));

    for target in &deployment.targets {
        target.set_fault(TargetFault::BreaksStreams);
    }
    let mut resumed = request("/flow/1", "resumed", &[KEY_A]);
    claim_tenant(&mut resumed, "tenant-b");
    // The stream breaks off again after it was resumed.
    let _ = exchange(deployment.host.addresses.entry, resumed).await;
    deployment.check_arrivals("resumed", 2, Some("tenant-a"));
    deployment.output();
}

/// Guards against a deployment without tenants that refuses calls or loses headers of its callers.
#[actix_rt::test]
async fn both_headers_are_forwarded_without_tenants() {
    let deployment = Deployment::start(&configuration(1, &ROUTES)).await;
    let mut call = request("/once/1", "r1", &[FORGED_KEY]);
    claim_tenant(&mut call, "other");
    assert_eq!(deployment.send(call).await, StatusCode::OK);
    let arrivals = deployment.arrivals("r1");
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].keys, [FORGED_KEY]);
    assert_eq!(arrivals[0].tenants, ["other"]);
}

/// Guards against a revoked key that still works on a connection that was open before, or after a
/// restart of the host while the store is down; and against 401 from a host that has no
/// configuration.
#[actix_rt::test]
async fn revoked_key_stays_refused() {
    let mut deployment = Deployment::start(&tenants_configuration(1)).await;
    let pool = pool();
    let mut conn = pool
        .open(deployment.host.addresses.entry)
        .await
        .expect("the host does not accept the connection");
    let answer = conn.send(request("/once/1", "before", &[KEY_A])).await;
    let answer = answer.expect("the call got no answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let body = conn.read_body(answer.into_body()).await;
    body.expect("the answer is not complete");
    let remaining = TestTenant {
        name: "tenant-a",
        keys: &[KEY_A2],
    };
    let without_key = with_tenants(
        configuration(2, &ROUTES),
        &[remaining, TENANT_B],
        &ANONYMOUS,
    );
    deployment.store.put_configuration(&without_key);
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let answer = conn.send(request("/once/1", "after", &[KEY_A])).await;
    let answer = answer.expect("the call got no answer");
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    deployment.check_arrivals("after", 0, None);
    let status = deployment.call("/once/1", "other", &[KEY_A2]).await;
    assert_eq!(status, StatusCode::OK);
    // An older version must not bring the key back.
    deployment
        .store
        .put_configuration(&tenants_configuration(1));
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let status = deployment.call("/once/1", "older", &[KEY_A]).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    deployment.output();

    deployment.store.set_fault(StoreFault::Down);
    deployment.host = EntryHost::start("edge-1", deployment.store.address);
    let start = Instant::now();
    while start.elapsed() < APPLY_LIMIT {
        let call = request("/once/1", "restarted", &[KEY_A]);
        // Until the process listens, there is no answer.
        if let Some((status, _)) = exchange(deployment.host.addresses.entry, call).await {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    deployment.check_arrivals("restarted", 0, None);
}

/// Sends a signal to the process of a host.
fn signal(host: &EntryHost, name: &str) {
    let status = Command::new("kill")
        .args([name, &host.child.id().to_string()])
        .status()
        .expect("the command `kill` cannot start");
    assert!(status.success());
}

/// Guards against a host that was suspended while a key was revoked and serves the calls with this key
/// that have arrived meanwhile, before it has read the configuration again.
#[actix_rt::test]
async fn suspended_host_refuses_a_key_that_was_revoked_meanwhile() {
    let deployment = Deployment::start(&tenants_configuration(1)).await;
    let address = deployment.host.addresses.entry;
    signal(&deployment.host, "-STOP");
    let without_a = with_tenants(configuration(2, &ROUTES), &[TENANT_B], &ANONYMOUS);
    deployment.store.put_configuration(&without_a);
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let call = request("/once/1", &format!("stopped{number}"), &[KEY_A]);
            actix_rt::spawn(exchange(address, call))
        })
        .collect();
    actix_rt::time::sleep(POLL_INTERVAL).await;
    signal(&deployment.host, "-CONT");
    for (number, call) in calls.into_iter().enumerate() {
        let answer = call.await.expect("the task ends");
        let (status, _) = answer.expect("the call got no answer");
        let expected = [StatusCode::UNAUTHORIZED, StatusCode::SERVICE_UNAVAILABLE];
        assert!(expected.contains(&status), "call {number} got {status}");
        deployment.check_arrivals(&format!("stopped{number}"), 0, None);
    }
    deployment
        .wait_for("/once/1", &[KEY_B], StatusCode::OK)
        .await;
    let status = deployment.call("/once/1", "later", &[KEY_A]).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert!(deployment.output().contains("suspended"));
}

/// Guards against an invalid list of tenants that replaces a valid one, wholly or in part, and
/// against keys in the log line about it.
#[actix_rt::test]
async fn invalid_version_keeps_the_previous_one_in_force() {
    let deployment = Deployment::start(&tenants_configuration(1)).await;
    // The new route shows that no part of the invalid version is used.
    let mut routes = ROUTES.to_vec();
    routes.push(route("/new/", RouteKind::Idempotent, 1));
    let shared_key = TestTenant {
        name: "tenant-c",
        keys: &[KEY_B],
    };
    let invalid = with_tenants(
        configuration(2, &routes),
        &[TENANT_A, TENANT_B, shared_key],
        &["/new/"],
    );
    deployment.store.put_configuration(&invalid);
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let status = deployment.call("/new/1", "new", &[]).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    for (id, key) in [("a", KEY_A), ("b", KEY_B)] {
        let status = deployment.call("/once/1", id, &[key]).await;
        assert_eq!(status, StatusCode::OK);
    }
    let output = deployment.output();
    let lines = output
        .lines()
        .filter(|line| line.contains("is not put in force"));
    let lines: Vec<&str> = lines.collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    for part in ["tenants[2].api_keys[0]", "a repeated key", "expected"] {
        assert!(lines[0].contains(part), "no {part} in {}", lines[0]);
    }
    let valid = with_tenants(configuration(3, &routes), &[TENANT_B], &["/new/"]);
    deployment.store.put_configuration(&valid);
    deployment.wait_for("/new/1", &[], StatusCode::OK).await;
    let status = deployment.call("/once/1", "gone", &[KEY_A]).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
}

/// Guards against a host that serves calls without checking keys because its first configuration has
/// invalid tenants.
#[actix_rt::test]
async fn invalid_first_version_leaves_the_host_unready() {
    let nameless = TestTenant {
        name: "",
        keys: &[KEY_A],
    };
    let invalid = with_tenants(configuration(1, &ROUTES), &[nameless], &ANONYMOUS);
    let deployment = Deployment::start_unready(&invalid).await;
    actix_rt::time::sleep(APPLY_LIMIT).await;
    let ready = entry_support::get(deployment.host.addresses.ready, READY_PATH).await;
    assert_eq!(ready.0, StatusCode::SERVICE_UNAVAILABLE);
    for (id, path, keys) in [("a", "/once/1", [KEY_A]), ("b", "/open/1", [FORGED_KEY])] {
        let status = deployment.call(path, id, &keys).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        deployment.check_arrivals(id, 0, None);
    }
    deployment.output();
    deployment
        .store
        .put_configuration(&tenants_configuration(2));
    deployment.host.wait_ready().await;
    let status = deployment.call("/once/1", "c", &[KEY_A]).await;
    assert_eq!(status, StatusCode::OK);
}
