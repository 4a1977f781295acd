//! Whole answers: streams over connections that fail, and callers that do not read.

use crate::common::*;
use crocusyard_standins::prelude::{answer_tokens, EngineOptions, RelayMode};
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::sync::Mutex;

const MODEL: &str = "chalk-small";
/// Silence limits that a test can wait for.
const SHORT_LIMITS: &str = "requests: { tenant_from: header, load_poll_ms: 100, \
    first_byte_ms: 1000, between_tokens_ms: 500 }\n";

fn slow_engine(token_ms: u64) -> EngineOptions {
    EngineOptions {
        resident: vec![(MODEL.to_owned(), 4_000_000_000)],
        token_ms,
        ..EngineOptions::default()
    }
}

async fn start_relayed() -> LocalDeployment {
    LocalBuilder::default()
        .engine(slow_engine(20))
        .settings(SHORT_LIMITS)
        .relayed()
        .start()
        .await
        .expect("deployment starts")
}

/// Streams answers with different prompts through all hosts and checks each.
async fn check_streams(deployment: &LocalDeployment, streams: usize, tokens: u32) {
    let calls = (0..streams).map(|number| {
        let entry = deployment.entry(number % deployment.hosts.len());
        async move {
            let prompt = format!("prompt {number}");
            let client = TestClient::new("plazas");
            let answer = client.stream(entry, MODEL, &prompt, tokens).await;
            assert!(answer.complete, "stream {number}: {answer:?}");
            assert_eq!(answer.text, answer_tokens(MODEL, &prompt, tokens));
        }
    });
    join_all(calls).await;
}

/// Waits until all streams are in their middle and switches every relay.
async fn switch_relays(deployment: &LocalDeployment, mode: RelayMode) {
    wait_until("streams run", || async {
        let mut running = 0;
        for target in deployment.targets.values() {
            let load = read_json(target.address, "/load").await;
            running += load["running"].as_u64().unwrap_or(0);
        }
        running >= 20
    })
    .await;
    pause(200).await;
    for relay in deployment.relays.values() {
        relay.set_mode(mode);
    }
}

/// Guards against hanging and cut answers when all open connections to the targets go silent for
/// good while new ones work.
#[actix_web::test]
async fn streams_survive_silent_connections() {
    let deployment = start_relayed().await;
    let streams = check_streams(&deployment, 24, 60);
    let silence = switch_relays(&deployment, RelayMode::SilenceOpen);
    futures_util::join!(streams, silence);
    // The closed pools leave nothing behind that harms later requests.
    check_streams(&deployment, 6, 5).await;
}

/// Guards against gaps, repeated tokens and crossed answers when connections to the targets are cut
/// in the middle of streams.
#[actix_web::test]
async fn streams_survive_cut_connections() {
    let deployment = start_relayed().await;
    let streams = check_streams(&deployment, 24, 60);
    let cut = switch_relays(&deployment, RelayMode::CutOpen);
    futures_util::join!(streams, cut);
    check_streams(&deployment, 6, 5).await;
}

/// Guards against crossed answers among many concurrent streams.
#[actix_web::test]
async fn each_stream_gets_its_own_answer() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("deployment starts");
    check_streams(&deployment, 150, 20).await;
}

/// Guards the resumption of a stream after its host was killed: the tenant's caller gets the rest
/// at another host, and another tenant gets nothing.
#[actix_web::test]
async fn killed_hosts_stream_resumes_for_its_tenant_only() {
    let engine = [
        "--resident",
        "chalk-small=4000000000",
        "--token-ms",
        "20",
        "--prefill-rate",
        "100000",
    ];
    let deployment = start_processes(2, sample_catalog(), &engine).await;
    let (first, second) = (
        deployment.addresses[0].callers,
        deployment.addresses[1].callers,
    );
    let client = TestClient::new("plazas");
    let mut answer = StreamedAnswer::default();
    let cut = client.read_stream(first, (MODEL, "hello", 150), None, &mut answer);
    let kill = async {
        pause(800).await;
        deployment.hosts[0].signal("KILL").expect("signal is sent");
    };
    futures_util::join!(cut, kill);
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    let last_id = answer.last_id.clone();
    let stolen = TestClient::new("catalogue")
        .resume(second, MODEL, "hello", 150, last_id.as_deref())
        .await;
    assert_eq!(stolen.status, 400, "{stolen:?}");
    assert_eq!(stolen.tokens, 0);
    client
        .read_stream(
            second,
            (MODEL, "hello", 150),
            last_id.as_deref(),
            &mut answer,
        )
        .await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, answer_tokens(MODEL, "hello", 150));
}

async fn open_unread(entry: SocketAddr, tokens: u32) -> tokio::net::TcpStream {
    let body = serde_json::json!({
        "model": MODEL,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "never read"}],
    })
    .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {entry}\r\nx-tenant: plazas\r\n\
         x-request-deadline-ms: 600000\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = tokio::net::TcpStream::connect(entry)
        .await
        .expect("host accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("request is sent");
    stream
}

/// Guards the memory of a host and its other callers against a caller that stops reading: its
/// stream is ended once a bounded part of the answer is unread.
#[actix_web::test]
async fn caller_that_stops_reading_is_dropped() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .engine(slow_engine(0))
        .start()
        .await
        .expect("deployment starts");
    let entry = deployment.entry(0);
    // About 30 MB, more than the sockets and the host hold for one caller.
    let unread = open_unread(entry, 120_000).await;
    wait_until("the stream is in progress", || async {
        metric(entry, "crocusyard_requests_in_progress").await >= 1.0
    })
    .await;
    check_streams(&deployment, 10, 20).await;
    wait_until("the unread stream is ended", || async {
        metric(entry, "crocusyard_requests_in_progress").await == 0.0
    })
    .await;
    check_streams(&deployment, 10, 20).await;
    let completed = r#"outcome="completed""#;
    let completed = metric_with(entry, "crocusyard_requests_total", completed).await;
    assert_eq!(completed, 20.0, "the unread answer was kept as a whole");
    // The kernel gives the connection up, which frees what was kept for its caller. It sends no
    // reset, so the caller learns of it only from the answer to its next bytes.
    let unread = Mutex::new(unread);
    wait_until("the connection is closed", || async {
        pause(100).await;
        unread.lock().await.write_all(b"x").await.is_err()
    })
    .await;
}
