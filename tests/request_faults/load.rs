//! Overload of a host and outages of all engines: refusals, the queue and the retry budget.

use crate::common::*;
use crocusyard_standins::prelude::{EngineOptions, RelayMode};
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};

const MODEL: &str = "chalk-small";
const QUEUED: &str = "crocusyard_requests_queued";
const CLASSES: [&str; 2] = ["interactive", "batch"];

/// Guards against late or missing refusals, an unbounded queue and starvation of a class under an
/// overload of three times the capacity of the engines.
#[actix_web::test]
async fn overload_is_refused_early_and_served_in_the_end() {
    let mut catalog = sample_catalog();
    for class in &mut catalog.classes {
        class.queue_limit = 20;
    }
    for target in &mut catalog.targets {
        target.concurrency = 4;
    }
    let deployment = LocalBuilder::default()
        .hosts(1)
        .catalog(catalog)
        .engine(EngineOptions {
            resident: vec![(MODEL.to_owned(), 4_000_000_000)],
            concurrency: 4,
            token_ms: 10,
            ..EngineOptions::default()
        })
        .start()
        .await
        .expect("the deployment cannot start");
    let entry = deployment.entry(0);
    let completed_classes = RefCell::new(Vec::new());
    // Two engines with 4 slots and 0.2 s per request serve about 40 requests/s; 120 callers that
    // retry after 1 s send three times as many.
    let callers = (0..120).map(|number| {
        let completed_classes = &completed_classes;
        async move {
            let class = CLASSES[number % 2];
            let client = TestClient::new("plazas").header("x-request-class", class);
            let mut refused = 0;
            for round in 0..2 {
                let prompt = format!("prompt {number} {round}");
                refused += stream_until_served(&client, entry, (MODEL, &prompt, 20)).await;
                completed_classes.borrow_mut().push(class);
            }
            refused
        }
    });
    let is_running = Cell::new(true);
    let watch_queue = async {
        let mut longest_queue: f64 = 0.0;
        while is_running.get() {
            longest_queue = longest_queue.max(read_metric(entry, QUEUED).await);
            sleep_ms(20).await;
        }
        longest_queue
    };
    let serve_callers = async {
        let refused: u32 = join_all(callers).await.into_iter().sum();
        is_running.set(false);
        refused
    };
    let (refused, longest_queue) = futures_util::join!(serve_callers, watch_queue);
    assert!(
        refused > 0,
        "no request was refused, so the load was no overload"
    );
    let completed_classes = completed_classes.into_inner();
    assert_eq!(completed_classes.len(), 240);
    let early_interactive = completed_classes[..60]
        .iter()
        .filter(|class| **class == CLASSES[0])
        .count();
    assert!(
        early_interactive > 30,
        "{early_interactive} of the first 60 answers were interactive, expected more than 30"
    );
    assert!(
        longest_queue > 0.0 && longest_queue <= 40.0,
        "the longest queue had {longest_queue} requests, expected 1 to 40"
    );
    wait_until("the queue is empty", || async {
        read_metric(entry, QUEUED).await == 0.0
    })
    .await;
}

/// Guards against retries that multiply the load while no engine can be reached.
#[actix_web::test]
async fn retries_stay_within_the_budget_in_an_outage() {
    const REQUESTS: usize = 600;
    /// Retries that a host may have in reserve, see `RequestLimits::retry_reserve`.
    const RESERVE: f64 = 10.0;
    let deployment = LocalBuilder::default()
        .hosts(1)
        .relayed()
        .start()
        .await
        .expect("the deployment cannot start");
    let entry = deployment.entry(0);
    for relay in deployment.relays.values() {
        relay.set_mode(RelayMode::Cut);
    }
    let client = TestClient::new("plazas");
    let workers = (0..30).map(|worker| {
        let client = client.clone();
        async move {
            for number in 0..REQUESTS / 30 {
                let prompt = format!("prompt {worker} {number}");
                let answer = client.stream(entry, MODEL, &prompt, 5).await;
                assert!(!answer.complete, "{answer:?}");
                sleep_ms(50).await;
            }
        }
    });
    join_all(workers).await;
    let attempts = read_metric(entry, "crocusyard_attempts_total").await;
    let requests = read_metric(entry, "crocusyard_requests_total").await;
    let retries = read_metric(entry, "crocusyard_retries_total").await;
    assert_eq!(requests, REQUESTS as f64);
    assert!(retries > 0.0, "no attempt was retried");
    assert!(
        attempts <= 1.1 * requests + RESERVE,
        "{attempts} attempts for {requests} requests exceed the retry budget"
    );
    for relay in deployment.relays.values() {
        relay.set_mode(RelayMode::Forward);
    }
    wait_until("requests are served again", || async {
        client.stream(entry, MODEL, "after", 5).await.complete
    })
    .await;
}
