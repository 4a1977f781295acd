//! Helpers shared by the tests of deployments under faults: starting deployments, running operator
//! commands, waiting for conditions, and injecting faults.

// Each test program uses only some of these helpers.
#![allow(dead_code)]

use crocusyard_catalog::prelude::*;
use crocusyard_testbed::prelude::*;
use crocusyard_testbed::sample::OPERATOR_KEY;
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Time limit of every wait for a condition; far longer than an idle machine needs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Arguments of engines that start without resident models and know the adapters.
pub const EMPTY_ENGINE_ARGS: [&str; 10] = [
    "--token-ms",
    "20",
    "--prefill-rate",
    "100000",
    "--adapter",
    "chalk-pigments=chalk-small=50000000",
    "--adapter",
    "chalk-charcoal=chalk-small=60000000",
    "--adapter",
    "ink-indigo=ink=70000000",
];
/// Settings with a lease of 3 s, and with orders to engines that are late by 1 s at most.
pub const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n\
     membership: { suspicion_ms: 1000 }\n\
     lease: { length_ms: 3000, renew_ms: 500, order_lateness_ms: 1000 }\n";

/// Returns the catalogue in `fleet.yaml`.
pub fn fleet_catalog() -> CatalogSpec {
    CatalogSpec::from_yaml(include_str!("fleet.yaml")).expect("the catalogue is not valid")
}

/// Returns the path of the host program under test.
pub fn host_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_crocusyard"))
}

/// Starts hosts, and engines without resident models, from the catalogue in `fleet.yaml`.
pub async fn start_empty(hosts: usize) -> ProcessDeployment {
    ProcessDeployment::start(
        host_program(),
        hosts,
        fleet_catalog(),
        &EMPTY_ENGINE_ARGS,
        SETTINGS,
    )
    .await
    .expect("the deployment cannot start")
}

/// Models of the deployment that [`start_scarce`] starts; its only engine can hold two of them.
pub const SCARCE_MODELS: [&str; 3] = ["chalk-large", "quill", "slate"];

/// Starts three hosts and one engine that cannot hold all of [`SCARCE_MODELS`] at once.
pub async fn start_scarce() -> ProcessDeployment {
    let mut catalog = fleet_catalog();
    catalog
        .models
        .retain(|model| SCARCE_MODELS.contains(&model.name.as_str()));
    catalog.adapters.clear();
    let engines = ["asistente-2", "asistente-3", "asistente-4"];
    catalog
        .targets
        .retain(|target| !engines.contains(&target.name.as_str()));
    catalog.presets.truncate(1);
    catalog.presets[0].copies.clear();
    ProcessDeployment::start(host_program(), 3, catalog, &EMPTY_ENGINE_ARGS, SETTINGS)
        .await
        .expect("the deployment cannot start")
}

/// Exit code and output of an operator command.
#[derive(Debug)]
pub struct CommandResult {
    /// Exit code; `None` if a signal ended the command.
    pub code: Option<i32>,
    /// Standard output, followed by standard error.
    pub text: String,
}

/// Starts an operator command against a host without waiting for its end.
pub fn spawn_command(host: SocketAddr, args: &[&str]) -> Child {
    Command::new(host_program())
        .args(["--host", &host.to_string(), "--timeout-ms", "30000"])
        .args(args)
        .env("CROCUSYARD_OPERATOR_KEY", OPERATOR_KEY)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command cannot start")
}

/// Waits for the end of a command and returns its result.
pub fn wait_command(child: Child) -> CommandResult {
    let output = child
        .wait_with_output()
        .expect("the command cannot be awaited");
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    CommandResult {
        code: output.status.code(),
        text: text.into_owned(),
    }
}

/// Runs an operator command against a host to its end.
pub fn run_command(host: SocketAddr, args: &[&str]) -> CommandResult {
    wait_command(spawn_command(host, args))
}

/// Reads the status of a host with the command `status`; `None` if the command fails.
pub fn read_status_by_command(host: SocketAddr) -> Option<Value> {
    let result = run_command(host, &["--json", "status"]);
    (result.code == Some(0))
        .then(|| serde_json::from_str(&result.text).expect("the status is not JSON"))
}

/// Reads the status of a host over HTTP; `None` if it does not answer with JSON within 5 s.
pub async fn read_status(host: SocketAddr) -> Option<Value> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let request = client
        .get(format!("http://{host}/admin/status"))
        .insert_header(("authorization", format!("Bearer {OPERATOR_KEY}")));
    let mut response = request.send().await.ok()?;
    response.json().await.ok()
}

/// Polls a condition until it returns a value, and returns this value.
///
/// `what` describes the condition in the failure message.
pub async fn wait_until<T, F, W>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> W,
    W: Future<Output = Option<T>>,
{
    let poll = async {
        loop {
            if let Some(found) = condition().await {
                return found;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    };
    match actix_rt::time::timeout(WAIT_LIMIT, poll).await {
        Ok(found) => found,
        Err(_) => panic!("timed out after {WAIT_LIMIT:?} waiting until {what}"),
    }
}

/// Waits until a preset version, with the given preset active, is in force on all listed hosts.
pub async fn wait_in_force(hosts: &[SocketAddr], version: u64, preset: &str) {
    let what = format!("version {version} with preset {preset} is in force on every host");
    wait_until(&what, || async {
        for host in hosts {
            let status = read_status(*host).await?;
            if status["preset_version"] != version || status["preset"] != preset {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Returns the addresses at which the hosts listen for callers.
pub fn caller_addresses(deployment: &ProcessDeployment) -> Vec<SocketAddr> {
    deployment
        .addresses
        .iter()
        .map(|host| host.callers)
        .collect()
}

/// Returns the index of the lease holder according to the status of the host with index
/// `host_index`.
pub async fn lease_holder(deployment: &ProcessDeployment, host_index: usize) -> Option<usize> {
    let status = read_status(deployment.addresses[host_index].callers).await?;
    let name = status["leases"][0]["holder"].as_str()?.to_owned();
    deployment
        .addresses
        .iter()
        .position(|host| host.name.as_str() == name)
}

/// Returns whether a status shows a model or adapter as resident on any target.
pub fn is_resident(status: &Value, name: &str) -> bool {
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|target| {
        let copies = target["copies"].as_array().cloned().unwrap_or_default();
        copies
            .iter()
            .any(|copy| copy["name"] == name && copy["state"] == "resident")
    })
}

/// Waits until the status of the host with index `host_index` shows every model as resident.
pub async fn wait_all_resident(deployment: &ProcessDeployment, host_index: usize) {
    let host = deployment.addresses[host_index].callers;
    let models = &deployment.catalog.models;
    wait_until("every model is resident", || async {
        let status = read_status(host).await?;
        let all = models
            .iter()
            .all(|model| is_resident(&status, model.name.as_str()));
        all.then_some(())
    })
    .await;
}

/// Sets the fault mode of a stand-in; `none` clears its faults.
pub async fn set_fault_mode(standin: SocketAddr, mode: &str) {
    set_faults(standin, &json!({ "mode": mode })).await;
}

/// Reads the usage counters of every engine, in the order of the catalogue.
pub async fn engine_usage(deployment: &ProcessDeployment) -> Vec<Value> {
    let mut usage = Vec::new();
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.kind == TargetKind::Engine {
            usage.push(read_json(target.address, "/usage").await);
        }
    }
    usage
}

/// Checks that no engine ever held, or was asked to hold, more than its memory.
pub async fn check_engine_memory(deployment: &ProcessDeployment) {
    for (usage, spec) in engine_usage(deployment)
        .await
        .iter()
        .zip(&deployment.catalog.targets)
    {
        let peak = usage["peak_bytes"]
            .as_u64()
            .expect("`peak_bytes` is not a number");
        assert!(peak <= spec.memory_bytes, "{}: {usage}", spec.name);
        assert_eq!(usage["refused_full"], 0, "{}: {usage}", spec.name);
    }
}

/// Returns the number of orders that the engines have accepted.
pub async fn count_accepted_orders(deployment: &ProcessDeployment) -> u64 {
    let usage = engine_usage(deployment).await;
    let orders = usage.iter().filter_map(|usage| usage["accepted"].as_u64());
    orders.sum()
}

/// Asks a host for the entry addresses of a model.
pub async fn addresses_for_model(entry: SocketAddr, model: &str) -> Vec<SocketAddr> {
    query_addresses(entry, &format!("model={model}")).await
}

/// Asks a host for the entry addresses for a query `model=NAME` or `service=NAME`; empty if it does
/// not answer.
pub async fn query_addresses(entry: SocketAddr, query: &str) -> Vec<SocketAddr> {
    let url = format!("http://{entry}/v1/addresses?{query}");
    let Ok(mut response) = awc::Client::default().get(url).send().await else {
        return Vec::new();
    };
    let answer: Value = response.json().await.unwrap_or_default();
    let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
    addresses
        .iter()
        .filter_map(|address| address["address"].as_str()?.parse().ok())
        .collect()
}

/// Writes an edited catalogue to the directory of the hosts' settings and returns its path.
pub fn write_catalog(
    deployment: &ProcessDeployment,
    name: &str,
    edit: impl FnOnce(&mut CatalogSpec),
) -> PathBuf {
    let mut catalog = deployment.catalog.clone();
    edit(&mut catalog);
    let path = deployment.settings_file(0).with_file_name(name);
    std::fs::write(&path, canonical_body(&catalog)).expect("the catalogue file cannot be written");
    path
}
