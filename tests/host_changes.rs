//! Changes of the set of hosts: a host that is added to running ones, and a host that is drained by
//! command.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::time::{Duration, Instant};
use support::*;

/// Guards against a new host that does not become ready, or that the other hosts do not name in
/// their address answers.
///
/// This should take 2 s at most from the start of the host. The test prints the measured time; its
/// limit is longer to allow for a busy machine.
#[actix_web::test]
async fn new_host_serves_soon() {
    let mut deployment = start_empty(3).await;
    wait_all_resident(&deployment, 0).await;
    deployment.addresses.push(HostAddresses::pick(3));
    deployment
        .publish_listing(|_| false)
        .await
        .expect("the host list cannot be published");
    let started = Instant::now();
    let host = deployment
        .spawn_host(3, SETTINGS)
        .expect("the host cannot start");
    deployment.hosts.push(host);
    let new = deployment.addresses[3].callers;
    crocusyard_testbed::local::wait_ready(new)
        .await
        .expect("the new host does not become ready");
    println!("new host ready after {:?}", started.elapsed());
    let all_hosts = caller_addresses(&deployment);
    wait_until(
        "all hosts name the new host in their address answers",
        || async {
            for entry in &all_hosts {
                let mut addresses = Vec::new();
                for model in &deployment.catalog.models {
                    addresses.extend(addresses_for_model(*entry, model.name.as_str()).await);
                }
                if !addresses.contains(&new) {
                    return None;
                }
            }
            Some(())
        },
    )
    .await;
    println!("new host named by all after {:?}", started.elapsed());
    let answer = TestClient::new("plazas").stream(new, "ink", "new", 5).await;
    assert!(answer.complete, "{answer:?}");
}

/// Guards against requests that are cut off by the command `drain`.
///
/// The drained host must complete its requests, exit with code 0, and be named by no other host.
#[actix_web::test]
async fn drain_command_ends_a_host_gracefully() {
    let mut deployment = start_empty(3).await;
    wait_all_resident(&deployment, 0).await;
    let entry = deployment.addresses[0].callers;
    let streams: Vec<_> = (0..20)
        .map(|number| {
            actix_rt::spawn(async move {
                let prompt = format!("prompt {number}");
                let client = TestClient::new("plazas");
                let answer = client.stream(entry, "ink", &prompt, 100).await;
                (prompt, answer)
            })
        })
        .collect();
    wait_until("streams are in progress", || async {
        let status = read_status(entry).await?;
        let targets = status["targets"].as_array()?.clone();
        let running: u64 = targets
            .iter()
            .filter_map(|target| target["running"].as_u64())
            .sum();
        (running > 0).then_some(())
    })
    .await;
    let drained = run_command(entry, &["drain"]);
    assert_eq!(drained.code, Some(0), "{drained:?}");
    for stream in streams {
        let (prompt, answer) = stream.await.expect("the task of a caller has failed");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("ink", &prompt, 100));
    }
    assert_eq!(
        deployment.hosts[0]
            .wait()
            .expect("the exit code of the host cannot be read"),
        Some(0)
    );
    for other in &caller_addresses(&deployment)[1..] {
        let addresses = addresses_for_model(*other, "ink").await;
        assert!(
            !addresses.is_empty() && !addresses.contains(&entry),
            "{addresses:?}"
        );
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
}
