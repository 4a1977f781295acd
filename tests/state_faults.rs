//! Leases and moves with real processes: empty engines, a lost or frozen lease holder, and a
//! platform that is down.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::*;

/// Streams a request for every model and adapter and checks the whole answers.
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

/// Guards M1 and M2 from a cold start: with nothing resident, every model and adapter must be
/// served by every host, and the engines must never be asked for more than their memory.
#[actix_web::test]
async fn empty_engines_are_filled_by_orders() {
    let deployment = start(3).await;
    for (index, entry) in entries(&deployment).into_iter().enumerate() {
        check_reachable(&deployment, entry, &format!("prompt {index}")).await;
    }
    until_resident(&deployment, 0).await;
    check_memory(&deployment).await;
    let status = until("a lease in every status", || async {
        let found = status(deployment.addresses[1].callers)?;
        (!found["leases"][0]["holder"].as_str()?.is_empty()).then_some(found)
    })
    .await;
    let members = status["members"].as_array().expect("members are listed");
    assert!(members.iter().all(|member| member["state"] == "alive"));
    assert!(members.len() >= 2, "{status}");
    assert_eq!(status["targets"].as_array().map(Vec::len), Some(5));
    assert!(is_resident(&status, "quill"), "{status}");
}

/// Guards M2 for the rest of the adapters: a request for an adapter that is resident nowhere must be
/// answered by an engine that holds its base model.
#[actix_web::test]
async fn adapter_without_copy_is_loaded_where_its_model_is() {
    let deployment = start(1).await;
    until_resident(&deployment, 0).await;
    let entry = deployment.addresses[0].callers;
    // Full speed for the planner means that it may have placed the adapters already; the engines
    // are asked for each adapter on whichever copy of its base the router chooses.
    let calls = (0..40).map(|number| async move {
        let prompt = format!("prompt {number}");
        let answer = TestClient::new("plazas")
            .stream(entry, "chalk-charcoal", &prompt, 20)
            .await;
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-charcoal", &prompt, 20));
    });
    futures_util::future::join_all(calls).await;
    check_memory(&deployment).await;
}

async fn wait_holder(deployment: &ProcessDeployment, asked: usize, not: Option<usize>) -> usize {
    until("a lease holder", || async {
        let found = holder(deployment, asked).await?;
        (Some(found) != not).then_some(found)
    })
    .await
}

/// Waits until an engine carries out a load, and returns the index of the lease holder.
async fn wait_moves(deployment: &ProcessDeployment) -> usize {
    until("a load in progress", || async {
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
    wait_holder(deployment, 0, None).await
}

/// Guards M1 when the lease holder dies while moves are in progress: another host must take over,
/// finish them, and never ask an engine for more than its memory.
#[actix_web::test]
async fn killed_holder_is_replaced_during_moves() {
    let deployment = start(3).await;
    let first = wait_moves(&deployment).await;
    deployment.hosts[first]
        .signal("KILL")
        .expect("signal is sent");
    let asked = (first + 1) % 3;
    let second = wait_holder(&deployment, asked, Some(first)).await;
    assert_ne!(first, second);
    until_resident(&deployment, asked).await;
    check_reachable(&deployment, deployment.addresses[asked].callers, "after").await;
    check_memory(&deployment).await;
}

/// Guards M1 against a holder that sleeps past its lease and goes on beside its successor, at
/// engines of both kinds. An order that was on its way when the process froze may still arrive, so
/// that this test looks at memory; the tests of the moves show that no new order is sent.
#[actix_web::test]
async fn frozen_holder_leaves_engines_within_memory() {
    let deployment = start(3).await;
    let first = wait_moves(&deployment).await;
    deployment.hosts[first]
        .signal("STOP")
        .expect("signal is sent");
    let asked = (first + 1) % 3;
    wait_holder(&deployment, asked, Some(first)).await;
    deployment.hosts[first]
        .signal("CONT")
        .expect("signal is sent");
    until_resident(&deployment, asked).await;
    until("the frozen host knows the new holder", || async {
        let seen = holder(&deployment, first).await?;
        (Some(seen) == holder(&deployment, asked).await && seen != first).then_some(())
    })
    .await;
    check_reachable(&deployment, deployment.addresses[first].callers, "thawed").await;
    check_memory(&deployment).await;
}

/// Guards serving against an outage of the platform: resident models are served and hosts stay in
/// the answers, no order is sent, and the return of the platform causes no burst of calls.
#[actix_web::test]
async fn platform_outage_stops_moves_only() {
    let deployment = start(3).await;
    until_resident(&deployment, 0).await;
    let platform = deployment.platform.address;
    set_fault(platform, "down").await;
    // Longer than the lease of 3 s and than the 5 s after which a host without confirmation leaves.
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let before = orders_taken(&deployment).await;
    let calls_before = read_json(platform, "/counts").await;
    for _ in 0..4 {
        for entry in entries(&deployment) {
            let answer = TestClient::new("plazas")
                .stream(entry, "ink", "down", 5)
                .await;
            assert!(answer.complete, "{answer:?}");
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    for entry in entries(&deployment) {
        let named = ask(entry, "ink").await;
        assert_eq!(named.len(), 3, "{entry} names {named:?}");
    }
    assert_eq!(orders_taken(&deployment).await, before);
    assert_eq!(read_json(platform, "/counts").await, calls_before);
    set_fault(platform, "none").await;
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let calls_after = read_json(platform, "/counts").await;
    let rise = |key: &str| {
        calls_after[key].as_u64().unwrap_or(0) - calls_before[key].as_u64().unwrap_or(0)
    };
    println!(
        "calls in the 2 s after the outage: {} reads, {} writes",
        rise("reads"),
        rise("writes")
    );
    // Three hosts poll the pointer twice a second and the lease; several times that would be a burst.
    assert!(rise("reads") <= 90 && rise("writes") <= 30, "{calls_after}");
    let asked = wait_holder(&deployment, 0, None).await;
    until_resident(&deployment, asked).await;
    check_memory(&deployment).await;
}
