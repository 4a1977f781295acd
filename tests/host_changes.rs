//! Hosts that come and go: a new host beside running ones, and a drain by the command line.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::time::{Duration, Instant};
use support::*;

/// Guards the replacement of hosts: a new host must become ready and be named by the others soon.
///
/// The design page allows 2 s from the start; the time is printed, and the limit of the test leaves
/// room for a busy machine.
#[actix_web::test]
async fn new_host_serves_soon() {
    let mut deployment = start(3).await;
    until_resident(&deployment, 0).await;
    deployment.addresses.push(HostAddresses::pick(3));
    deployment
        .publish_listing(|_| false)
        .await
        .expect("list is published");
    let started = Instant::now();
    let host = deployment.spawn_host(3, SETTINGS).expect("host starts");
    deployment.hosts.push(host);
    let new = deployment.addresses[3].callers;
    crocusyard_testbed::local::wait_ready(new)
        .await
        .expect("new host is ready");
    println!("new host ready after {:?}", started.elapsed());
    let old = entries(&deployment);
    until("the new host in the answers of all", || async {
        for entry in &old {
            let mut named = Vec::new();
            for model in &deployment.catalog.models {
                named.extend(ask(*entry, model.name.as_str()).await);
            }
            if !named.contains(&new) {
                return None;
            }
        }
        Some(())
    })
    .await;
    println!("new host named by all after {:?}", started.elapsed());
    let answer = TestClient::new("plazas").stream(new, "ink", "new", 5).await;
    assert!(answer.complete, "{answer:?}");
}

/// Guards `drain`: the host must exit with code 0, cut no request, and be named by no other host.
#[actix_web::test]
async fn drain_command_ends_a_host_gracefully() {
    let mut deployment = start(3).await;
    until_resident(&deployment, 0).await;
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
    until("streams run", || async {
        let status = read_status(entry).await?;
        let targets = status["targets"].as_array()?.clone();
        let running: u64 = targets
            .iter()
            .filter_map(|target| target["running"].as_u64())
            .sum();
        (running > 0).then_some(())
    })
    .await;
    let drained = run(entry, &["drain"]);
    assert_eq!(drained.code, Some(0), "{drained:?}");
    for stream in streams {
        let (prompt, answer) = stream.await.expect("caller ends");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("ink", &prompt, 100));
    }
    assert_eq!(deployment.hosts[0].wait().expect("host ends"), Some(0));
    for other in &entries(&deployment)[1..] {
        let named = ask(*other, "ink").await;
        assert!(!named.is_empty() && !named.contains(&entry), "{named:?}");
    }
    actix_rt::time::sleep(Duration::from_millis(100)).await;
}
