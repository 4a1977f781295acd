//! Overload and outages: refusals, the queue and the retry budget.

use crate::common::*;
use crocusyard_standins::prelude::{EngineOptions, RelayMode};
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};

const MODEL: &str = "chalk-small";
const QUEUED: &str = "crocusyard_requests_queued";
const CLASSES: [&str; 2] = ["interactive", "batch"];

/// Guards against hanging and late refusals, an unbounded queue and starved classes when three times
/// as much is asked for as the engines can serve.
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
        .expect("deployment starts");
    let entry = deployment.entry(0);
    let ends = RefCell::new(Vec::new());
    // Two engines with 4 slots and 0.2 s a request serve about 40 requests a second; 120 callers
    // that come again after a second ask for three times as much.
    let callers = (0..120).map(|number| {
        let ends = &ends;
        async move {
            let class = CLASSES[number % 2];
            let client = TestClient::new("plazas").header("x-request-class", class);
            let mut refused = 0;
            for round in 0..2 {
                let prompt = format!("prompt {number} {round}");
                refused += insist(&client, entry, (MODEL, &prompt, 20)).await;
                ends.borrow_mut().push(class);
            }
            refused
        }
    });
    let goes_on = Cell::new(true);
    let watch = async {
        let mut longest: f64 = 0.0;
        while goes_on.get() {
            longest = longest.max(metric(entry, QUEUED).await);
            pause(20).await;
        }
        longest
    };
    let serve = async {
        let refused: u32 = join_all(callers).await.into_iter().sum();
        goes_on.set(false);
        refused
    };
    let (refused, longest) = futures_util::join!(serve, watch);
    assert!(refused > 0, "the load was no overload");
    let ends = ends.into_inner();
    assert_eq!(ends.len(), 240);
    let early = ends[..60]
        .iter()
        .filter(|class| **class == CLASSES[0])
        .count();
    assert!(
        early > 30,
        "{early} of the first 60 answers were interactive"
    );
    assert!(longest > 0.0 && longest <= 40.0, "{longest} were queued");
    wait_until("the queue is empty", || async {
        metric(entry, QUEUED).await == 0.0
    })
    .await;
}

/// Guards against retries that multiply the load while every engine is down.
#[actix_web::test]
async fn retries_stay_within_the_budget_in_an_outage() {
    const REQUESTS: usize = 600;
    /// Retries that a host may have saved up, see `RequestLimits::retry_reserve`.
    const RESERVE: f64 = 10.0;
    let deployment = LocalBuilder::default()
        .hosts(1)
        .relayed()
        .start()
        .await
        .expect("deployment starts");
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
                pause(50).await;
            }
        }
    });
    join_all(workers).await;
    let attempts = metric(entry, "crocusyard_attempts_total").await;
    let requests = metric(entry, "crocusyard_requests_total").await;
    let retries = metric(entry, "crocusyard_retries_total").await;
    assert_eq!(requests, REQUESTS as f64);
    assert!(retries > 0.0, "no attempt was repeated");
    assert!(
        attempts <= 1.1 * requests + RESERVE,
        "{attempts} attempts for {requests} requests"
    );
    for relay in deployment.relays.values() {
        relay.set_mode(RelayMode::Forward);
    }
    wait_until("requests are served again", || async {
        client.stream(entry, MODEL, "after", 5).await.complete
    })
    .await;
}
