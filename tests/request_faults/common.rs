//! Helpers shared by the modules of this test program.

use awc::http::Method;
use crocusyard_base::prelude::TargetName;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time limit of every wait for a condition; only a fault makes a wait this long.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Settings of hosts that run in separate processes; local deployments have the same by default.
pub const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n";
/// Path of a route whose calls are not idempotent and must run at most once.
pub const ORDERS_PATH: &str = "mostrador/orders";

/// Polls a condition every 5 ms until it holds; `what` describes it in the failure message.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting until {what}"
        );
        sleep_ms(5).await;
    }
}

/// Sleeps for a number of milliseconds.
pub async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Clears all injected faults of a stand-in.
pub async fn clear_fault(standin: SocketAddr) {
    set_faults(standin, &json!({})).await;
}

/// Reads how often each call with an idempotency key ran at a plain stand-in, by `tenant@key`.
pub async fn read_runs(standin: SocketAddr) -> BTreeMap<String, u64> {
    let runs = read_json(standin, "/runs").await;
    serde_json::from_value(runs).expect("the runs are not counts by key")
}

/// Counts the claim rows in the table.
pub async fn count_claims(platform: SocketAddr) -> usize {
    let page = read_json(platform, "/table/rows?prefix=claims/&limit=1000").await;
    page["rows"].as_array().map_or(0, Vec::len)
}

/// Reads the sum of all series of a metric of one host.
pub async fn read_metric(entry: SocketAddr, name: &str) -> f64 {
    read_metric_with_label(entry, name, "").await
}

/// Reads the sum of the series of a metric whose lines contain the text `label`.
pub async fn read_metric_with_label(entry: SocketAddr, name: &str, label: &str) -> f64 {
    let url = format!("http://{entry}/metrics");
    let mut answer = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("the host does not answer");
    let body = answer
        .body()
        .limit(16 << 20)
        .await
        .expect("the body cannot be read");
    let text = String::from_utf8_lossy(&body).into_owned();
    let has_name = |line: &&str| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(['{', ' ']))
    };
    text.lines()
        .filter(has_name)
        .filter(|line| line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Sends a call that is not idempotent, with an idempotency key.
pub async fn post_order(
    client: &TestClient,
    entry: SocketAddr,
    key: &str,
    body: &str,
) -> PlainAnswer {
    client
        .call(entry, Method::POST, ORDERS_PATH, Some(key), body)
        .await
}

/// Repeats a stream request until it is served and returns how often it was refused.
///
/// Each refusal must report that the request was not run and after how many seconds to retry.
pub async fn stream_until_served(
    client: &TestClient,
    entry: SocketAddr,
    (model, prompt, tokens): (&str, &str, u32),
) -> u32 {
    let mut refusals = 0;
    loop {
        let answer = client.stream(entry, model, prompt, tokens).await;
        if answer.complete {
            assert_eq!(answer.text, answer_tokens(model, prompt, tokens));
            return refusals;
        }
        let error = answer.error.clone().unwrap_or_default();
        assert_eq!(error["outcome"], "not_run", "{answer:?}");
        let retry_after_s = answer.retry_after.unwrap_or_else(|| panic!("{answer:?}"));
        refusals += 1;
        sleep_ms(retry_after_s * 1000).await;
    }
}

/// Starts hosts and stand-ins in separate processes.
pub async fn start_processes(
    hosts: usize,
    catalog: crocusyard_catalog::prelude::CatalogSpec,
    engine_args: &[&str],
) -> ProcessDeployment {
    let program = Path::new(env!("CARGO_BIN_EXE_crocusyard"));
    ProcessDeployment::start(program, hosts, catalog, engine_args, SETTINGS)
        .await
        .expect("the deployment cannot start")
}

/// Returns the position of a target in the catalogue.
pub fn target_position(deployment: &ProcessDeployment, target: &str) -> usize {
    let targets = &deployment.catalog.targets;
    targets
        .iter()
        .position(|spec| spec.name == TargetName::new(target))
        .expect("the target is not in the catalogue")
}

/// Sends a stream request over a raw connection and returns the connection without reading from it.
pub async fn open_unread_stream(entry: SocketAddr, model: &str, tokens: u32) -> TcpStream {
    let body = serde_json::json!({
        "model": model,
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
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the host does not accept a connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request cannot be sent");
    stream
}
