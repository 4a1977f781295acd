//! Faults of whole failure domains, in separate processes: a domain that is killed under load, and
//! domains that cannot reach each other.

mod callers;
mod cut;
mod loss;
#[path = "../support/mod.rs"]
mod support;

use crocusyard_catalog::prelude::*;
use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use support::*;

/// Number of entry hosts in each test; host `n` is in failure domain `n % 3`.
pub const HOSTS: usize = 6;

/// Returns a catalogue of three failure domains with an engine and a plain service each.
///
/// `engine_bytes` is the accelerator memory of each engine.
pub fn domain_catalog(engine_bytes: u64) -> CatalogSpec {
    let text = include_str!("domains.yaml");
    let mut catalog = CatalogSpec::from_yaml(text).expect("the catalogue is not valid");
    for target in &mut catalog.targets {
        if target.kind == TargetKind::Engine {
            target.memory_bytes = engine_bytes;
        }
    }
    catalog
}

/// Returns a builder of hosts and stand-ins from the catalogue of [`domain_catalog`].
///
/// `resident` lists the models that are resident at the start, by target and as `NAME=BYTES`.
pub fn build_domains(engine_bytes: u64, resident: &[(&str, &[&str])]) -> ProcessBuilder {
    let builder = ProcessBuilder::new(host_program(), domain_catalog(engine_bytes))
        .hosts(HOSTS)
        .engine_args(&["--token-ms", "20", "--prefill-rate", "100000"])
        .settings(SETTINGS);
    resident.iter().fold(builder, |builder, (target, copies)| {
        let args: Vec<_> = copies
            .iter()
            .flat_map(|copy| ["--resident", *copy])
            .collect();
        builder.target_args(target, &args)
    })
}

/// Returns the failure domains in which each model is resident, as reported by the engines that
/// `is_up` selects.
pub async fn domains_by_model(
    deployment: &ProcessDeployment,
    is_up: impl Fn(&TargetSpec) -> bool,
) -> BTreeMap<String, BTreeSet<String>> {
    let mut found: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for model in &deployment.catalog.models {
        found.insert(model.name.to_string(), BTreeSet::new());
    }
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.kind != TargetKind::Engine || !is_up(spec) {
            continue;
        }
        let load = read_json(target.address, "/load").await;
        for copy in load["copies"].as_array().into_iter().flatten() {
            let domains = copy["name"].as_str().and_then(|name| found.get_mut(name));
            if let Some(domains) = domains.filter(|_| copy["state"] == "resident") {
                domains.insert(spec.domain.to_string());
            }
        }
    }
    found
}

/// Waits until neither the lease holder nor any engine has a move in progress.
pub async fn wait_moves_ended(deployment: &ProcessDeployment) {
    wait_until("no move is in progress", || async {
        let index = lease_holder(deployment, 0).await?;
        let status = read_status(deployment.addresses[index].callers).await?;
        if !status["moves"].as_array()?.is_empty() {
            return None;
        }
        for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
            let load = read_json(target.address, "/load").await;
            let is_moving = |copy: &Value| copy["state"] != "resident";
            if spec.kind == TargetKind::Engine && load["copies"].as_array()?.iter().any(is_moving) {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Checks that no engine that `is_up` selects ever held, or was asked to hold, more than its
/// memory.
pub async fn check_engine_memory_of(
    deployment: &ProcessDeployment,
    is_up: impl Fn(&TargetSpec) -> bool,
) {
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.kind != TargetKind::Engine || !is_up(spec) {
            continue;
        }
        let usage = read_json(target.address, "/usage").await;
        let peak = usage["peak_bytes"]
            .as_u64()
            .expect("`peak_bytes` is not a number");
        assert!(peak <= spec.memory_bytes, "{}: {usage}", spec.name);
        assert_eq!(usage["refused_full"], 0, "{}: {usage}", spec.name);
    }
}
