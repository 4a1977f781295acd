//! Helpers of the tests of state under failure: the operators' commands, conditions and faults.

// Each test program uses its own part of this module.
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

/// Time within which a condition must hold; far above what an idle machine needs.
pub const LIMIT: Duration = Duration::from_secs(60);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);
/// Engine arguments: no model is resident at the start.
pub const EMPTY_ENGINE: [&str; 10] = [
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
/// Settings with a short lease; the engines' orders are late by a second at most.
pub const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n\
     membership: { suspicion_ms: 1000 }\n\
     lease: { length_ms: 3000, renew_ms: 500, order_lateness_ms: 1000 }\n";

/// Returns the catalogue of the tests.
pub fn fleet_catalog() -> CatalogSpec {
    CatalogSpec::from_yaml(include_str!("fleet.yaml")).expect("catalogue is valid")
}

/// Returns the binary under test.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_crocusyard"))
}

/// Starts hosts and engines without any resident model.
pub async fn start(hosts: usize) -> ProcessDeployment {
    ProcessDeployment::start(program(), hosts, fleet_catalog(), &EMPTY_ENGINE, SETTINGS)
        .await
        .expect("deployment starts")
}

/// Models of a deployment whose only engine holds two of them.
pub const SCARCE_MODELS: [&str; 3] = ["chalk-large", "quill", "slate"];

/// Starts three hosts and one engine that cannot hold all models.
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
    ProcessDeployment::start(program(), 3, catalog, &EMPTY_ENGINE, SETTINGS)
        .await
        .expect("deployment starts")
}

/// What a command gave.
#[derive(Debug)]
pub struct CommandResult {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output and standard error.
    pub text: String,
}

/// Starts a command against a host without waiting for it.
pub fn spawn_command(host: SocketAddr, args: &[&str]) -> Child {
    Command::new(program())
        .args(["--host", &host.to_string(), "--timeout-ms", "30000"])
        .args(args)
        .env("CROCUSYARD_OPERATOR_KEY", OPERATOR_KEY)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("command starts")
}

/// Waits for a command.
pub fn finish(child: Child) -> CommandResult {
    let output = child.wait_with_output().expect("command ends");
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    CommandResult {
        code: output.status.code(),
        text: text.into_owned(),
    }
}

/// Runs a command against a host.
pub fn run(host: SocketAddr, args: &[&str]) -> CommandResult {
    finish(spawn_command(host, args))
}

/// Reads the status of a host by the command line; `None` if the command fails.
pub fn status(host: SocketAddr) -> Option<Value> {
    let result = run(host, &["--json", "status"]);
    (result.code == Some(0)).then(|| serde_json::from_str(&result.text).expect("status is JSON"))
}

/// Reads `GET /admin/status` of a host.
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

/// Waits until a condition holds and returns what it found.
pub async fn until<T, F, W>(what: &str, mut look: F) -> T
where
    F: FnMut() -> W,
    W: Future<Output = Option<T>>,
{
    let poll = async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            actix_rt::time::sleep(LOOK).await;
        }
    };
    match actix_rt::time::timeout(LIMIT, poll).await {
        Ok(found) => found,
        Err(_) => panic!("{what}: not within {LIMIT:?}"),
    }
}

/// Waits until every listed host has a preset version and preset in force.
pub async fn until_in_force(hosts: &[SocketAddr], version: u64, preset: &str) {
    let what = format!("version {version} with {preset} on every host");
    until(&what, || async {
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

/// Returns the addresses for callers of all hosts.
pub fn entries(deployment: &ProcessDeployment) -> Vec<SocketAddr> {
    deployment
        .addresses
        .iter()
        .map(|host| host.callers)
        .collect()
}

/// Returns the index of the host that holds the lease, as a host tells.
pub async fn holder(deployment: &ProcessDeployment, asked: usize) -> Option<usize> {
    let status = read_status(deployment.addresses[asked].callers).await?;
    let name = status["leases"][0]["holder"].as_str()?.to_owned();
    deployment
        .addresses
        .iter()
        .position(|host| host.name.as_str() == name)
}

/// Returns whether a name is resident on a target, in a status.
pub fn is_resident(status: &Value, name: &str) -> bool {
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    targets.iter().any(|target| {
        let copies = target["copies"].as_array().cloned().unwrap_or_default();
        copies
            .iter()
            .any(|copy| copy["name"] == name && copy["state"] == "resident")
    })
}

/// Waits until a host sees every model of the catalogue resident.
pub async fn until_resident(deployment: &ProcessDeployment, asked: usize) {
    let host = deployment.addresses[asked].callers;
    let models = &deployment.catalog.models;
    until("every model resident", || async {
        let status = read_status(host).await?;
        let all = models
            .iter()
            .all(|model| is_resident(&status, model.name.as_str()));
        all.then_some(())
    })
    .await;
}

/// Sets the kind of fault of a stand-in.
pub async fn set_fault(standin: SocketAddr, mode: &str) {
    set_faults(standin, &json!({ "mode": mode })).await;
}

/// Returns the use of every engine, in the order of the catalogue.
pub async fn engine_usage(deployment: &ProcessDeployment) -> Vec<Value> {
    let mut usage = Vec::new();
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.kind == TargetKind::Engine {
            usage.push(read_json(target.address, "/usage").await);
        }
    }
    usage
}

/// Checks that no engine was ever asked to hold more than its memory.
pub async fn check_memory(deployment: &ProcessDeployment) {
    for (usage, spec) in engine_usage(deployment)
        .await
        .iter()
        .zip(&deployment.catalog.targets)
    {
        let peak = usage["peak_bytes"].as_u64().expect("peak is a number");
        assert!(peak <= spec.memory_bytes, "{}: {usage}", spec.name);
        assert_eq!(usage["refused_full"], 0, "{}: {usage}", spec.name);
    }
}

/// Returns how many orders the engines carried out.
pub async fn orders_taken(deployment: &ProcessDeployment) -> u64 {
    let usage = engine_usage(deployment).await;
    let orders = usage.iter().filter_map(|usage| usage["accepted"].as_u64());
    orders.sum()
}

/// Returns the entry addresses that a host names for a model.
pub async fn ask(entry: SocketAddr, model: &str) -> Vec<SocketAddr> {
    ask_for(entry, &format!("model={model}")).await
}

/// Returns the entry addresses that a host names for `model=NAME` or `service=NAME`.
pub async fn ask_for(entry: SocketAddr, query: &str) -> Vec<SocketAddr> {
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

/// Writes an edited catalogue beside a host's settings and returns its path.
pub fn write_catalog(
    deployment: &ProcessDeployment,
    name: &str,
    edit: impl FnOnce(&mut CatalogSpec),
) -> PathBuf {
    let mut catalog = deployment.catalog.clone();
    edit(&mut catalog);
    let path = deployment.settings_file(0).with_file_name(name);
    std::fs::write(&path, canonical_body(&catalog)).expect("catalogue is written");
    path
}
