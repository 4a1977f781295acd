//! What the tests of one deployment share.

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

/// Limit on every wait for a condition; only a fault uses it up.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Settings of hosts in processes of their own; local deployments have the same by default.
pub const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n";
/// Path of the calls that may run once only.
pub const ORDERS: &str = "mostrador/orders";

/// Waits until a condition holds.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < WAIT_LIMIT, "{what}: still not so");
        pause(5).await;
    }
}

pub async fn pause(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Removes the faults of a stand-in.
pub async fn clear_fault(standin: SocketAddr) {
    set_faults(standin, &json!({})).await;
}

/// Returns how often each keyed call ran at a plain stand-in, by tenant and key.
pub async fn runs_at(standin: SocketAddr) -> BTreeMap<String, u64> {
    let runs = read_json(standin, "/runs").await;
    serde_json::from_value(runs).expect("runs are counts")
}

/// Returns the number of claims in the table.
pub async fn claims_in(platform: SocketAddr) -> usize {
    let page = read_json(platform, "/table/rows?prefix=claims/&limit=1000").await;
    page["rows"].as_array().map_or(0, Vec::len)
}

/// Returns the sum of all series of a metric on one host.
pub async fn metric(entry: SocketAddr, name: &str) -> f64 {
    metric_with(entry, name, "").await
}

/// Returns the sum of the series of a metric whose lines contain a label.
pub async fn metric_with(entry: SocketAddr, name: &str, label: &str) -> f64 {
    let url = format!("http://{entry}/metrics");
    let mut answer = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("host answers");
    let body = answer.body().limit(16 << 20).await.expect("body is whole");
    let text = String::from_utf8_lossy(&body).into_owned();
    let is_named = |line: &&str| {
        line.strip_prefix(name)
            .is_some_and(|rest| rest.starts_with(['{', ' ']))
    };
    text.lines()
        .filter(is_named)
        .filter(|line| line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Sends a call that may run once only.
pub async fn order(client: &TestClient, entry: SocketAddr, key: &str, body: &str) -> PlainAnswer {
    client
        .call(entry, Method::POST, ORDERS, Some(key), body)
        .await
}

/// Sends a request until it is served; a refusal must say that it was not run and when to come
/// again. Returns how often it was refused.
pub async fn insist(
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
        let wait = answer.retry_after.unwrap_or_else(|| panic!("{answer:?}"));
        refusals += 1;
        pause(wait * 1000).await;
    }
}

/// Starts hosts and stand-ins in processes of their own.
pub async fn start_processes(
    hosts: usize,
    catalog: crocusyard_catalog::prelude::CatalogSpec,
    engine_args: &[&str],
) -> ProcessDeployment {
    let program = Path::new(env!("CARGO_BIN_EXE_crocusyard"));
    ProcessDeployment::start(program, hosts, catalog, engine_args, SETTINGS)
        .await
        .expect("deployment starts")
}

/// Returns the position of a target in the catalogue.
pub fn position_of(deployment: &ProcessDeployment, target: &str) -> usize {
    let targets = &deployment.catalog.targets;
    targets
        .iter()
        .position(|spec| spec.name == TargetName::new(target))
        .expect("target is declared")
}
