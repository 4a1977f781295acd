//! The limit on connections from callers.

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
/// Limit on the wait for a place; only a fault uses it up.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);
/// Connections that the host under test serves at once.
const PLACES: usize = 6;
const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n\
    limits: { connections: 6, header_read_ms: 500 }\n";

/// Starts one host, the places of which streams of `PLACES` callers fill.
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
        .expect("deployment starts")
}

/// Waits until the engines have started a number of streams; this takes no connection of the host.
async fn wait_started(deployment: &LocalDeployment, wanted: u64) {
    wait_until("streams are started", || async {
        let mut started = 0;
        for name in ["asistente-1", "asistente-2"] {
            let engine = deployment.targets[&TargetName::new(name)].address;
            let count = read_json(engine, "/started").await;
            started += count.as_u64().expect("count is a number");
        }
        started >= wanted
    })
    .await;
}

/// Asks for the health of a host on a connection of its own and returns the answer's first line.
async fn ask_health(entry: SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connection waits");
    let request = format!("GET /healthz HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\n\r\n");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("request is sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = actix_rt::time::timeout(ANSWER_LIMIT, read).await;
    read.expect("a place is free").expect("answer is whole");
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards the memory of a host against more connections than the limit: connections beyond it must
/// wait and be answered once others end, and the streams in progress must go on whole.
#[actix_web::test]
async fn connections_beyond_the_limit_wait_for_a_place() {
    let deployment = start_limited().await;
    let entry = deployment.entry(0);
    let ended = Cell::new(0);
    let streams = (0..PLACES).map(|number| {
        let ended = &ended;
        async move {
            let prompt = format!("prompt {number}");
            let client = TestClient::new("plazas");
            let answer = client.stream(entry, MODEL, &prompt, 150).await;
            // Counted before the connection is closed, and so before its place is free.
            ended.set(ended.get() + 1);
            drop(client);
            assert!(answer.complete, "{answer:?}");
            assert_eq!(answer.text, answer_tokens(MODEL, &prompt, 150));
        }
    });
    let beyond = async {
        wait_started(&deployment, PLACES as u64).await;
        let asks = (0..2 * PLACES).map(|_| async {
            let status = ask_health(entry).await;
            assert_eq!(status, "HTTP/1.1 200 OK");
            assert!(ended.get() > 0, "answered while every place was taken");
        });
        join_all(asks).await;
    };
    futures_util::join!(join_all(streams), beyond);
    let client = TestClient::new("plazas");
    assert!(client.stream(entry, MODEL, "after", 5).await.complete);
}

/// Guards against places that are lost for good: connections that send nothing, and callers that
/// break off in the middle of a stream, must free theirs.
#[actix_web::test]
async fn idle_and_broken_connections_free_their_places() {
    let deployment = start_limited().await;
    let entry = deployment.entry(0);
    for _ in 0..2 {
        let connects = (0..PLACES).map(|_| TcpStream::connect(entry));
        let idle = join_all(connects).await;
        assert_eq!(ask_health(entry).await, "HTTP/1.1 200 OK");
        drop(idle);
    }
    let client = TestClient::new("plazas");
    let callers = (0..PLACES).map(|number| {
        let prompt = format!("broken {number}");
        let client = TestClient::new("plazas");
        actix_rt::spawn(async move { client.stream(entry, MODEL, &prompt, 100_000).await })
    });
    let callers: Vec<_> = callers.collect();
    wait_started(&deployment, PLACES as u64).await;
    for caller in &callers {
        caller.abort();
    }
    assert_eq!(ask_health(entry).await, "HTTP/1.1 200 OK");
    let answer = client.stream(entry, MODEL, "after", 5).await;
    assert!(answer.complete, "{answer:?}");
}
