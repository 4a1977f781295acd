//! The limit on open connections from callers to a host.

use crate::common::*;
use crocusyard_base::prelude::TargetName;
use crocusyard_standins::prelude::{answer_tokens, EngineOptions};
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MODEL: &str = "chalk-small";
/// Time limit of the wait for an answer; only a fault makes a wait this long.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// Number of connections that the host under test serves at once, as set in `SETTINGS`.
const CONNECTION_SLOTS: usize = 6;
const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n\
    limits: { connections: 6, header_read_ms: 500 }\n";

/// Starts one host whose connection limit is reached by `CONNECTION_SLOTS` streams.
async fn start_limited() -> LocalDeployment {
    LocalBuilder::default()
        .hosts(1)
        .engine(EngineOptions {
            resident: vec![(MODEL.to_owned(), 4_000_000_000)],
            token_ms: 20,
            ..EngineOptions::default()
        })
        .settings(SETTINGS)
        .start()
        .await
        .expect("the deployment cannot start")
}

/// Waits until the engines have started a number of streams; asks the engines, so that it opens no
/// connection to the host.
async fn wait_streams_started(deployment: &LocalDeployment, expected: u64) {
    wait_until("the streams are started", || async {
        let mut started = 0;
        for name in ["asistente-1", "asistente-2"] {
            let engine = deployment.targets[&TargetName::new(name)].address;
            let count = read_json(engine, "/started").await;
            started += count.as_u64().expect("the count is not a number");
        }
        started >= expected
    })
    .await;
}

/// Reads the health of a host over a new connection and returns the status line of the answer.
async fn read_health(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the host does not accept a connection");
    let request = format!("GET /healthz HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request cannot be sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = actix_rt::time::timeout(ANSWER_LIMIT, read).await;
    read.expect("no connection slot became free in time")
        .expect("the answer cannot be read");
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against unbounded memory use of a host that serves more connections than its limit.
///
/// Connections beyond the limit must wait and be answered once others end, and the streams in
/// progress must complete.
#[actix_web::test]
async fn connections_beyond_the_limit_wait_for_a_slot() {
    let deployment = start_limited().await;
    let entry = deployment.entry(0);
    let ended = Cell::new(0);
    let streams = (0..CONNECTION_SLOTS).map(|number| {
        let ended = &ended;
        async move {
            let prompt = format!("prompt {number}");
            let client = TestClient::new("plazas");
            let answer = client.stream(entry, MODEL, &prompt, 150).await;
            // Counted before the connection is closed, and so before its slot is free.
            ended.set(ended.get() + 1);
            drop(client);
            assert!(answer.complete, "{answer:?}");
            assert_eq!(answer.text, answer_tokens(MODEL, &prompt, 150));
        }
    });
    let waiting = async {
        wait_streams_started(&deployment, CONNECTION_SLOTS as u64).await;
        let health_checks = (0..2 * CONNECTION_SLOTS).map(|_| async {
            let status = read_health(entry).await;
            assert_eq!(status, "HTTP/1.1 200 OK");
            assert!(
                ended.get() > 0,
                "a connection beyond the limit was answered before any stream ended"
            );
        });
        join_all(health_checks).await;
    };
    futures_util::join!(join_all(streams), waiting);
    let client = TestClient::new("plazas");
    assert!(client.stream(entry, MODEL, "after", 5).await.complete);
}

/// Guards against connection slots that leak.
///
/// Connections that send nothing, and callers that disconnect in the middle of a stream, must free
/// their slots.
#[actix_web::test]
async fn idle_and_broken_connections_free_their_slots() {
    let deployment = start_limited().await;
    let entry = deployment.entry(0);
    for _ in 0..2 {
        let connects = (0..CONNECTION_SLOTS).map(|_| TcpStream::connect(entry));
        let idle = join_all(connects).await;
        assert_eq!(read_health(entry).await, "HTTP/1.1 200 OK");
        drop(idle);
    }
    let client = TestClient::new("plazas");
    let callers = (0..CONNECTION_SLOTS).map(|number| {
        let prompt = format!("broken {number}");
        let client = TestClient::new("plazas");
        actix_rt::spawn(async move { client.stream(entry, MODEL, &prompt, 100_000).await })
    });
    let callers: Vec<_> = callers.collect();
    wait_streams_started(&deployment, CONNECTION_SLOTS as u64).await;
    for caller in &callers {
        caller.abort();
    }
    assert_eq!(read_health(entry).await, "HTTP/1.1 200 OK");
    let answer = client.stream(entry, MODEL, "after", 5).await;
    assert!(answer.complete, "{answer:?}");
}
