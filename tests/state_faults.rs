//! Leases and moves of models in separate processes: engines that start empty, a lease holder that
//! is killed or frozen, and a platform that is down.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::*;

/// Streams a request for every model and adapter through a host and checks the complete answers.
async fn check_reachable(deployment: &ProcessDeployment, entry: SocketAddr, prompt: &str) {
    let models = deployment
        .catalog
        .models
        .iter()
        .map(|model| model.name.as_str());
    let adapters = deployment
        .catalog
        .adapters
        .iter()
        .map(|adapter| adapter.name.as_str());
    let calls = models.chain(adapters).map(|name| async move {
        let answer = TestClient::new("plazas")
            .stream(entry, name, prompt, 5)
            .await;
        assert!(answer.complete, "{name}: {answer:?}");
        assert_eq!(answer.text, answer_tokens(name, prompt, 5));
    });
    futures_util::future::join_all(calls).await;
}

/// Guards against models and adapters that cannot be reached after a cold start.
///
/// No model is resident at the start. Every host must serve every model and adapter, and no engine
/// may ever be asked to hold more than its memory.
#[actix_web::test]
async fn empty_engines_are_filled_by_orders() {
    let deployment = start_empty(3).await;
    for (index, entry) in caller_addresses(&deployment).into_iter().enumerate() {
        check_reachable(&deployment, entry, &format!("prompt {index}")).await;
    }
    wait_all_resident(&deployment, 0).await;
    check_engine_memory(&deployment).await;
    let status = wait_until("the status of a host shows a lease holder", || async {
        let found = read_status_by_command(deployment.addresses[1].callers)?;
        (!found["leases"][0]["holder"].as_str()?.is_empty()).then_some(found)
    })
    .await;
    let members = status["members"]
        .as_array()
        .expect("the status lists no members");
    assert!(members.iter().all(|member| member["state"] == "alive"));
    assert!(members.len() >= 2, "{status}");
    assert_eq!(status["targets"].as_array().map(Vec::len), Some(5));
    assert!(is_resident(&status, "quill"), "{status}");
}

/// Guards against requests that are refused because their adapter is resident on no engine.
///
/// An engine that holds the base model must load the adapter and answer.
#[actix_web::test]
async fn adapter_without_copy_is_loaded_where_its_model_is() {
    let deployment = start_empty(1).await;
    wait_all_resident(&deployment, 0).await;
    let entry = deployment.addresses[0].callers;
    // The planner may have placed the adapter on some engines already. The router may choose any
    // engine with a copy of the base model, also one without the adapter.
    let calls = (0..40).map(|number| async move {
        let prompt = format!("prompt {number}");
        let answer = TestClient::new("plazas")
            .stream(entry, "chalk-charcoal", &prompt, 20)
            .await;
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-charcoal", &prompt, 20));
    });
    futures_util::future::join_all(calls).await;
    check_engine_memory(&deployment).await;
}

/// Waits until a host reports a lease holder other than `previous`, and returns the holder's index.
async fn wait_lease_holder(
    deployment: &ProcessDeployment,
    host_index: usize,
    previous: Option<usize>,
) -> usize {
    wait_until("there is a new lease holder", || async {
        let found = lease_holder(deployment, host_index).await?;
        (Some(found) != previous).then_some(found)
    })
    .await
}

/// Waits until an engine is loading a copy, and returns the index of the lease holder.
async fn wait_load_in_progress(deployment: &ProcessDeployment) -> usize {
    wait_until("an engine is loading a copy", || async {
        for target in &deployment.targets[..4] {
            let load = read_json(target.address, "/load").await;
            let copies = load["copies"].as_array()?.clone();
            if copies.iter().any(|copy| copy["state"] == "loading") {
                return Some(());
            }
        }
        None
    })
    .await;
    wait_lease_holder(deployment, 0, None).await
}

/// Guards against moves that stop, or overfill an engine, when the lease holder dies while they are
/// in progress.
///
/// Another host must take the lease over and finish the moves, and no engine may ever be asked to
/// hold more than its memory.
#[actix_web::test]
async fn killed_lease_holder_is_replaced_during_moves() {
    let deployment = start_empty(3).await;
    let first = wait_load_in_progress(&deployment).await;
    deployment.hosts[first]
        .signal("KILL")
        .expect("the signal cannot be sent");
    let host_index = (first + 1) % 3;
    let second = wait_lease_holder(&deployment, host_index, Some(first)).await;
    assert_ne!(first, second);
    wait_all_resident(&deployment, host_index).await;
    check_reachable(
        &deployment,
        deployment.addresses[host_index].callers,
        "after",
    )
    .await;
    check_engine_memory(&deployment).await;
}

/// Guards against overfilled engines when a lease holder freezes until its lease has expired and
/// then goes on beside its successor.
///
/// Some of the engines check fencing numbers and some do not. An order that was in transit when the
/// process froze may still arrive, so this test checks the engines' memory only; the tests of the
/// moves check that no new order is sent.
#[actix_web::test]
async fn frozen_lease_holder_leaves_engines_within_memory() {
    let deployment = start_empty(3).await;
    let first = wait_load_in_progress(&deployment).await;
    deployment.hosts[first]
        .signal("STOP")
        .expect("the signal cannot be sent");
    let host_index = (first + 1) % 3;
    wait_lease_holder(&deployment, host_index, Some(first)).await;
    deployment.hosts[first]
        .signal("CONT")
        .expect("the signal cannot be sent");
    wait_all_resident(&deployment, host_index).await;
    wait_until("the resumed host reports the new lease holder", || async {
        let seen = lease_holder(&deployment, first).await?;
        (Some(seen) == lease_holder(&deployment, host_index).await && seen != first).then_some(())
    })
    .await;
    check_reachable(&deployment, deployment.addresses[first].callers, "thawed").await;
    check_engine_memory(&deployment).await;
}

/// Guards against an outage of the platform that stops more than moves, and against a burst of
/// calls after it.
///
/// During the outage, resident models must be served, hosts must stay in the address answers, and
/// no order may be sent.
#[actix_web::test]
async fn platform_outage_stops_moves_only() {
    let deployment = start_empty(3).await;
    wait_all_resident(&deployment, 0).await;
    let platform = deployment.platform.address;
    set_fault_mode(platform, "down").await;
    // With the loop below, the outage is longer than the lease of 3 s and than the 5 s after which
    // a host without confirmation of its preset version leaves the address answers.
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let before = count_accepted_orders(&deployment).await;
    let calls_before = read_json(platform, "/counts").await;
    for _ in 0..4 {
        for entry in caller_addresses(&deployment) {
            let answer = TestClient::new("plazas")
                .stream(entry, "ink", "down", 5)
                .await;
            assert!(answer.complete, "{answer:?}");
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    for entry in caller_addresses(&deployment) {
        let named = addresses_for_model(entry, "ink").await;
        assert_eq!(named.len(), 3, "{entry} names {named:?}");
    }
    assert_eq!(count_accepted_orders(&deployment).await, before);
    assert_eq!(read_json(platform, "/counts").await, calls_before);
    set_fault_mode(platform, "none").await;
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let calls_after = read_json(platform, "/counts").await;
    let increase = |key: &str| {
        calls_after[key].as_u64().unwrap_or(0) - calls_before[key].as_u64().unwrap_or(0)
    };
    println!(
        "calls to the platform in the 2 s after the outage: {} reads, {} writes",
        increase("reads"),
        increase("writes")
    );
    // Three hosts read the preset pointer twice a second and the lease; the limits are several
    // times that, so more calls are a burst.
    assert!(
        increase("reads") <= 90 && increase("writes") <= 30,
        "{calls_after}"
    );
    let host_index = wait_lease_holder(&deployment, 0, None).await;
    wait_all_resident(&deployment, host_index).await;
    check_engine_memory(&deployment).await;
}
