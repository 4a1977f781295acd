//! The whole path in separate processes, with hosts and targets killed and frozen.

mod support;

use crocusyard_catalog::prelude::CatalogSpec;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use support::{ask, program};

const ENGINE: [&str; 6] = [
    "--resident",
    "chalk-small=4000000000",
    "--token-ms",
    "20",
    "--prefill-rate",
    "100000",
];
const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n";

async fn start(hosts: usize, catalog: CatalogSpec) -> ProcessDeployment {
    ProcessDeployment::start(program(), hosts, catalog, &ENGINE, SETTINGS)
        .await
        .expect("deployment starts")
}

/// Guards the thin path: ask any host, connect where it says, get the whole streamed answer.
#[actix_web::test]
async fn request_is_served_end_to_end() {
    let deployment = start(3, sample_catalog()).await;
    let addresses = ask(deployment.addresses[2].callers, "chalk-small").await;
    let answer = TestClient::new("plazas")
        .stream(addresses[0], "chalk-small", "hello", 20)
        .await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, answer_tokens("chalk-small", "hello", 20));
}

/// Guards planned stops: a host under load that gets SIGTERM must cut no request in progress, must
/// leave the address answers of the others, and must exit with code 0.
#[actix_web::test]
async fn planned_stop_cuts_no_request() {
    let mut deployment = start(3, sample_catalog()).await;
    let entry = deployment.addresses[0].callers;
    let streams: Vec<_> = (0..30)
        .map(|number| {
            actix_rt::spawn(async move {
                let prompt = format!("prompt {number}");
                let client = TestClient::new("plazas");
                let answer = client.stream(entry, "chalk-small", &prompt, 100).await;
                (prompt, answer)
            })
        })
        .collect();
    actix_rt::time::sleep(std::time::Duration::from_millis(500)).await;
    deployment.hosts[0].signal("TERM").expect("signal is sent");
    for stream in streams {
        let (prompt, answer) = stream.await.expect("caller ends");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-small", &prompt, 100));
    }
    assert_eq!(deployment.hosts[0].wait().expect("host ends"), Some(0));
    let addresses = ask(deployment.addresses[1].callers, "chalk-small").await;
    assert!(!addresses.is_empty(), "no host is named");
    assert!(!addresses.contains(&entry), "{addresses:?}");
}

/// Guards whole answers: when the entry host of a stream is killed, its caller gets the rest of the
/// same answer from another host, without a gap and without a repeated token.
#[actix_web::test]
async fn stream_goes_on_at_another_host() {
    let deployment = start(3, sample_catalog()).await;
    let first = deployment.addresses[0].callers;
    let second = deployment.addresses[1].callers;
    let client = TestClient::new("plazas");
    let mut answer = StreamedAnswer::default();
    let request = ("chalk-small", "hello", 100);
    let cut = client.read_stream(first, request, None, &mut answer);
    let kill = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(700)).await;
        deployment.hosts[0].signal("KILL").expect("signal is sent");
    };
    futures_util::join!(cut, kill);
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    let last_id = answer.last_id.clone();
    client
        .read_stream(second, request, last_id.as_deref(), &mut answer)
        .await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, answer_tokens("chalk-small", "hello", 100));
}

/// Guards retries: when a target is killed, requests that had no token yet are served by another
/// target, and no caller gets a wrong answer.
#[actix_web::test]
async fn target_that_dies_costs_no_request_without_tokens() {
    let deployment = start(1, sample_catalog()).await;
    let entry = deployment.addresses[0].callers;
    deployment.targets[0]
        .process
        .signal("KILL")
        .expect("signal is sent");
    for number in 0..20 {
        let prompt = format!("prompt {number}");
        let answer = TestClient::new("plazas")
            .stream(entry, "chalk-small", &prompt, 5)
            .await;
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-small", &prompt, 5));
    }
}

/// Guards callers against a frozen target: requests to it must be served by another one.
#[actix_web::test]
async fn frozen_target_is_left_alone() {
    let deployment = start(1, sample_catalog()).await;
    let entry = deployment.addresses[0].callers;
    deployment.targets[0]
        .process
        .signal("STOP")
        .expect("signal is sent");
    let calls = (0..10).map(|number| async move {
        let prompt = format!("prompt {number}");
        TestClient::new("plazas")
            .stream(entry, "chalk-small", &prompt, 5)
            .await
    });
    for answer in futures_util::future::join_all(calls).await {
        assert!(answer.complete, "{answer:?}");
    }
}
