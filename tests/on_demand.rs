//! Models and adapters that are loaded on demand because engine memory cannot hold them all.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::time::Instant;
use support::*;

/// Guards against models that are not served because the engine cannot hold all of them.
///
/// Each model must be loaded on demand, also for a host that does not hold the lease, and the
/// engine must never be asked to hold more than its memory.
#[actix_web::test]
async fn models_beyond_memory_load_on_demand() {
    let deployment = start_scarce().await;
    let hosts = caller_addresses(&deployment);
    wait_in_force(&hosts, 1, "ordinary").await;
    for round in 0..2 {
        for host in &hosts {
            for name in SCARCE_MODELS {
                let prompt = format!("round {round}");
                let started = Instant::now();
                let answer = TestClient::new("plazas")
                    .stream(*host, name, &prompt, 1)
                    .await;
                println!("{host} {name}: {:?}", started.elapsed());
                assert!(answer.complete, "{name}: {answer:?}");
                assert_eq!(answer.text, answer_tokens(name, &prompt, 1));
            }
        }
    }
    check_engine_memory(&deployment).await;
}

/// Guards against refusals of requests whose adapter is resident on one engine only.
///
/// Another engine with the base model must serve them too, whatever the retry budget is.
#[actix_web::test]
async fn adapter_is_served_by_every_engine_with_its_model() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("the deployment cannot start");
    let calls = (0..60).map(|number| {
        let entry = deployment.entry(number % 3);
        async move {
            let prompt = format!("prompt {number}");
            let client = TestClient::new("plazas");
            let answer = client.stream(entry, "chalk-pigments", &prompt, 3).await;
            assert!(answer.complete, "{answer:?}");
            assert_eq!(answer.text, answer_tokens("chalk-pigments", &prompt, 3));
        }
    });
    futures_util::future::join_all(calls).await;
}
