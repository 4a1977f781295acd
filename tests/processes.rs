//! Requests from caller to target in separate processes, with hosts stopped or killed and targets
//! killed or frozen.

mod support;

use crocusyard_catalog::prelude::CatalogSpec;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use support::{addresses_for_model, host_program};

/// Arguments of engines that start with one resident model.
const ENGINE_ARGS: [&str; 6] = [
    "--resident",
    "chalk-small=4000000000",
    "--token-ms",
    "20",
    "--prefill-rate",
    "100000",
];
const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n";

async fn start(hosts: usize, catalog: CatalogSpec) -> ProcessDeployment {
    ProcessDeployment::start(host_program(), hosts, catalog, &ENGINE_ARGS, SETTINGS)
        .await
        .expect("the deployment cannot start")
}

/// Guards against a broken path of a request in a deployment without faults.
///
/// A caller asks any host for an address, connects to it, and must get the complete streamed
/// answer.
#[actix_web::test]
async fn request_is_served_end_to_end() {
    let deployment = start(3, sample_catalog()).await;
    let addresses = addresses_for_model(deployment.addresses[2].callers, "chalk-small").await;
    let answer = TestClient::new("plazas")
        .stream(addresses[0], "chalk-small", "hello", 20)
        .await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, answer_tokens("chalk-small", "hello", 20));
}

/// Guards against requests that are cut off by a planned stop.
///
/// A host under load that gets SIGTERM must complete its requests in progress, leave the address
/// answers of the other hosts, and exit with code 0.
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
    deployment.hosts[0]
        .signal("TERM")
        .expect("the signal cannot be sent");
    for stream in streams {
        let (prompt, answer) = stream.await.expect("the task of a caller has failed");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-small", &prompt, 100));
    }
    assert_eq!(
        deployment.hosts[0]
            .wait()
            .expect("the exit code of the host cannot be read"),
        Some(0)
    );
    let addresses = addresses_for_model(deployment.addresses[1].callers, "chalk-small").await;
    assert!(!addresses.is_empty(), "the address answer names no host");
    assert!(!addresses.contains(&entry), "{addresses:?}");
}

/// Guards against missing or repeated tokens when the entry host of a stream is killed.
///
/// The caller must get the rest of the same answer from another host.
#[actix_web::test]
async fn stream_resumes_at_another_host() {
    let deployment = start(3, sample_catalog()).await;
    let first = deployment.addresses[0].callers;
    let second = deployment.addresses[1].callers;
    let client = TestClient::new("plazas");
    let mut answer = StreamedAnswer::default();
    let request = ("chalk-small", "hello", 100);
    let cut_stream = client.read_stream(first, request, None, &mut answer);
    let kill = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(700)).await;
        deployment.hosts[0]
            .signal("KILL")
            .expect("the signal cannot be sent");
    };
    futures_util::join!(cut_stream, kill);
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    let last_id = answer.last_id.clone();
    client
        .read_stream(second, request, last_id.as_deref(), &mut answer)
        .await;
    assert!(answer.complete, "{answer:?}");
    assert_eq!(answer.text, answer_tokens("chalk-small", "hello", 100));
}

/// Guards against failed or wrong answers after a target is killed.
///
/// Requests without tokens so far must be served by another target.
#[actix_web::test]
async fn requests_survive_a_killed_target() {
    let deployment = start(1, sample_catalog()).await;
    let entry = deployment.addresses[0].callers;
    deployment.targets[0]
        .process
        .signal("KILL")
        .expect("the signal cannot be sent");
    for number in 0..20 {
        let prompt = format!("prompt {number}");
        let answer = TestClient::new("plazas")
            .stream(entry, "chalk-small", &prompt, 5)
            .await;
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens("chalk-small", &prompt, 5));
    }
}

/// Guards against requests that hang at a frozen target; another target must serve them.
#[actix_web::test]
async fn requests_to_a_frozen_target_are_retried() {
    let deployment = start(1, sample_catalog()).await;
    let entry = deployment.addresses[0].callers;
    deployment.targets[0]
        .process
        .signal("STOP")
        .expect("the signal cannot be sent");
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
