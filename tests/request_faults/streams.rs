//! Complete answers of streams whose connections fail, and callers that stop reading.

use crate::common::*;
use crocusyard_standins::prelude::{answer_tokens, EngineOptions, RelayMode};
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::sync::Mutex;

const MODEL: &str = "chalk-small";
/// Settings with short timeouts for silent targets, so that a test can wait for them.
const SHORT_LIMITS: &str = "requests: { tenant_from: header, load_poll_ms: 100, \
    first_byte_ms: 1000, between_tokens_ms: 500 }\n";

/// Returns the options of an engine that takes `token_ms` for each token.
fn slow_engine(token_ms: u64) -> EngineOptions {
    EngineOptions {
        resident: vec![(MODEL.to_owned(), 4_000_000_000)],
        token_ms,
        ..EngineOptions::default()
    }
}

/// Starts hosts whose connections to the targets pass relays, with [`SHORT_LIMITS`].
async fn start_relayed() -> LocalDeployment {
    LocalBuilder::default()
        .engine(slow_engine(20))
        .settings(SHORT_LIMITS)
        .relayed()
        .start()
        .await
        .expect("the deployment cannot start")
}

/// Streams answers with different prompts through all hosts and checks that each is complete.
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

/// Waits until at least 20 streams are in progress and switches the mode of every relay.
async fn switch_relays(deployment: &LocalDeployment, mode: RelayMode) {
    wait_until("at least 20 streams are in progress", || async {
        let mut running = 0;
        for target in deployment.targets.values() {
            let load = read_json(target.address, "/load").await;
            running += load["running"].as_u64().unwrap_or(0);
        }
        running >= 20
    })
    .await;
    sleep_ms(200).await;
    for relay in deployment.relays.values() {
        relay.set_mode(mode);
    }
}

/// Guards against answers that hang or are cut short when all open connections to the targets
/// become silent for good while new connections work.
#[actix_web::test]
async fn streams_survive_silent_connections() {
    let deployment = start_relayed().await;
    let streams = check_streams(&deployment, 24, 60);
    let silence_connections = switch_relays(&deployment, RelayMode::SilenceOpen);
    futures_util::join!(streams, silence_connections);
    // The discarded connections must not affect later requests.
    check_streams(&deployment, 6, 5).await;
}

/// Guards against missing tokens, repeated tokens and answers that reach the wrong caller when
/// connections to the targets are cut in the middle of streams.
#[actix_web::test]
async fn streams_survive_cut_connections() {
    let deployment = start_relayed().await;
    let streams = check_streams(&deployment, 24, 60);
    let cut_connections = switch_relays(&deployment, RelayMode::CutOpen);
    futures_util::join!(streams, cut_connections);
    check_streams(&deployment, 6, 5).await;
}

/// Guards against answers that reach the wrong caller among many concurrent streams.
#[actix_web::test]
async fn each_stream_gets_its_own_answer() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("the deployment cannot start");
    check_streams(&deployment, 150, 20).await;
}

/// Guards against a stream that cannot be resumed after its host was killed, and against resumption
/// by another tenant.
///
/// The tenant's caller must get the rest of the answer from another host, and another tenant must
/// get no tokens.
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
    let cut_stream = client.read_stream(first, (MODEL, "hello", 150), None, &mut answer);
    let kill = async {
        sleep_ms(800).await;
        deployment.hosts[0]
            .signal("KILL")
            .expect("the signal cannot be sent");
    };
    futures_util::join!(cut_stream, kill);
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    let last_id = answer.last_id.clone();
    let other_tenants_answer = TestClient::new("catalogue")
        .resume(second, MODEL, "hello", 150, last_id.as_deref())
        .await;
    assert_eq!(other_tenants_answer.status, 400, "{other_tenants_answer:?}");
    assert_eq!(other_tenants_answer.tokens, 0);
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

/// Guards against unbounded memory use of a host, and against slow answers to others, when a caller
/// stops reading.
///
/// The host must end the stream once a bounded part of the answer is unread.
#[actix_web::test]
async fn caller_that_stops_reading_is_dropped() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .engine(slow_engine(0))
        .start()
        .await
        .expect("the deployment cannot start");
    let entry = deployment.entry(0);
    // About 30 MB, more than the sockets and the host buffer for one caller.
    let unread = open_unread_stream(entry, MODEL, 120_000).await;
    wait_until("the stream is in progress", || async {
        read_metric(entry, "crocusyard_requests_in_progress").await >= 1.0
    })
    .await;
    check_streams(&deployment, 10, 20).await;
    wait_until("the unread stream is ended", || async {
        read_metric(entry, "crocusyard_requests_in_progress").await == 0.0
    })
    .await;
    check_streams(&deployment, 10, 20).await;
    let completed = r#"outcome="completed""#;
    let completed = read_metric_with_label(entry, "crocusyard_requests_total", completed).await;
    assert_eq!(
        completed, 20.0,
        "the unread stream counts as completed, so the host buffered the whole answer"
    );
    // The kernel aborts the connection, which frees the buffers of this caller. It sends no reset,
    // so the caller detects this only from the answer to the next bytes that it sends.
    let unread = Mutex::new(unread);
    wait_until("the connection is closed", || async {
        sleep_ms(100).await;
        unread.lock().await.write_all(b"x").await.is_err()
    })
    .await;
}
