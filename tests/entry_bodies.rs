//! Bodies of callers at an entry host, in calm: what is served, and what is refused unread.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{get, request_head, route, EntryHost};
use hyper::StatusCode;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest body in the configuration, bytes.
const BODY_BYTES: usize = 4_194_304;
/// Time limit for the beginning of an answer, far longer than it takes.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Timeout of calls in these tests, ms.
const CALL_TIMEOUT_MS: u64 = 20_000;
const PATH: &str = "/once/1";

struct Deployment {
    _store: StoreStandin,
    target: TargetStandin,
    host: EntryHost,
}

impl Deployment {
    /// Starts one target and a host of the smallest size.
    async fn start() -> Self {
        Self::start_with("limits.memory_mb=120\nlimits.max_fds=3075\n").await
    }

    /// Starts one target and a host with further lines in its settings.
    async fn start_with(further: &str) -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        let mut slow = route("/once/", RouteKind::NonIdempotent, 1);
        slow.timeout_ms = Some(CALL_TIMEOUT_MS);
        let mut rules = configuration(1, &[slow]);
        rules["limits"]["max_body_bytes"] = json!(BODY_BYTES);
        store.put_configuration(&rules);
        let target = TargetStandin::start("i-1")
            .await
            .expect("the target stand-in cannot start");
        store.put_target(&target.name(), &target.record("s"));
        let host = EntryHost::start_with("edge-1", store.address, further);
        host.wait_ready().await;
        Self {
            _store: store,
            target,
            host,
        }
    }

    /// Sends the head of a call that ends with `lines`.
    async fn open(&self, id: &str, lines: &str) -> TcpStream {
        let head = request_head(PATH, id, CALL_TIMEOUT_MS) + lines + "\r\n";
        let mut stream = TcpStream::connect(self.host.addresses.entry)
            .await
            .expect("the host does not accept the connection");
        let sent = stream.write_all(head.as_bytes()).await;
        sent.expect("the head cannot be sent");
        stream
    }
}

/// Reads the first line that the host answers.
async fn first_line(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 512];
    let read = tokio::time::timeout(ANSWER_LIMIT, stream.read(&mut bytes));
    let count = read.await.expect("there is no answer in time");
    let text = String::from_utf8_lossy(&bytes[..count.expect("the answer cannot be read")]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a host of the smallest size that refuses a single body of the largest legal size.
#[actix_rt::test]
async fn largest_body_is_served_in_calm() {
    let deployment = Deployment::start().await;
    for (id, is_chunked) in [("announced", false), ("chunked", true)] {
        let mut stream = if is_chunked {
            deployment.open(id, "transfer-encoding: chunked\r\n").await
        } else {
            let length = format!("content-length: {BODY_BYTES}\r\n");
            deployment.open(id, &length).await
        };
        if is_chunked {
            let size = format!("{BODY_BYTES:x}\r\n");
            stream.write_all(size.as_bytes()).await.expect("a chunk");
        }
        let body = vec![b'x'; BODY_BYTES];
        stream.write_all(&body).await.expect("the body");
        if is_chunked {
            stream.write_all(b"\r\n0\r\n\r\n").await.expect("the end");
        }
        assert_eq!(first_line(&mut stream).await, "HTTP/1.1 200 OK", "{id}");
        let arrivals = deployment.target.arrivals();
        let arrivals = arrivals.borrow();
        let arrival = arrivals.iter().find(|arrival| arrival.id == id);
        let arrived = arrival.expect("the call has not reached the target");
        assert_eq!(arrived.body.as_ref(), body, "{id}");
    }
}

/// Guards against bodies that are awaited although their announced length is over the limit.
#[actix_rt::test]
async fn announced_length_over_the_limit_is_refused_unread() {
    let deployment = Deployment::start().await;
    let length = format!("content-length: {}\r\n", BODY_BYTES + 1);
    let mut stream = deployment.open("over", &length).await;
    let line = first_line(&mut stream).await;
    assert_eq!(line, "HTTP/1.1 413 Payload Too Large");
    assert_eq!(deployment.target.runs("over"), 0);
}

/// Guards against callers that are told to go on with a body that is refused, and against others that
/// wait for that in vain.
#[actix_rt::test]
async fn continue_is_sent_only_for_bodies_that_are_read() {
    let deployment = Deployment::start().await;
    let lines = |length: usize| format!("expect: 100-continue\r\ncontent-length: {length}\r\n");
    let mut refused = deployment.open("over", &lines(BODY_BYTES + 1)).await;
    let line = first_line(&mut refused).await;
    assert_eq!(line, "HTTP/1.1 413 Payload Too Large");
    let mut stream = deployment.open("body", &lines(4)).await;
    assert_eq!(first_line(&mut stream).await, "HTTP/1.1 100 Continue");
    stream.write_all(b"body").await.expect("the body");
    assert_eq!(first_line(&mut stream).await, "HTTP/1.1 200 OK");
}

/// Guards against heads over the limit of the configuration, which take memory for as long as their
/// calls last.
#[actix_rt::test]
async fn head_over_the_limit_is_refused() {
    let deployment = Deployment::start().await;
    let filler = format!("x-filler: {}\r\n", "x".repeat(20_000));
    let mut stream = deployment.open("long", &filler).await;
    let line = first_line(&mut stream).await;
    assert_eq!(line, "HTTP/1.1 431 Request Header Fields Too Large");
    assert_eq!(deployment.target.runs("long"), 0);
}

/// Guards against ordinary callers whose connections are reset while unfinished heads fill the memory
/// budget, and against a readiness check that fails for it.
#[actix_rt::test]
async fn full_budget_refuses_heads_with_an_answer() {
    // The budget is 30 % of the memory, and each unfinished head takes 8 KB.
    let deployment = Deployment::start_with("limits.memory_mb=1\nlimits.max_fds=3075\n").await;
    let mut unfinished = Vec::new();
    for _ in 0..40 {
        let stream = TcpStream::connect(deployment.host.addresses.entry).await;
        let mut stream = stream.expect("the host does not accept the connection");
        stream.write_all(b"P").await.expect("a byte of a head");
        unfinished.push(stream);
    }
    for number in 0..10 {
        let mut stream = deployment.open(&format!("call-{number}"), "").await;
        let line = first_line(&mut stream).await;
        assert!(
            line == "HTTP/1.1 200 OK" || line == "HTTP/1.1 503 Service Unavailable",
            "call {number} got {line:?}"
        );
        let ready = get(deployment.host.addresses.ready, READY_PATH).await.0;
        assert_eq!(ready, StatusCode::OK);
    }
}
