//! Callers that leave while a target has not answered them yet.

use crate::common::*;
use crocusyard_standins::prelude::EngineOptions;
use crocusyard_testbed::prelude::*;
use std::time::{Duration, Instant};

const MODEL: &str = "chalk-small";
/// Time that the engine takes for each token, ms.
const TOKEN_MS: u64 = 4_000;
/// Gauge of the requests that a host has not ended.
const IN_PROGRESS: &str = "crocusyard_requests_in_progress";
/// Time after which a request is cancelled whose caller has left.
const LEFT_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which a host updates its gauges.
const GAUGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Guards against requests that go on, at hosts and targets, for callers that left before the first
/// token of their streams.
#[actix_web::test]
async fn request_is_cancelled_when_its_caller_leaves_before_the_first_token() {
    let options = EngineOptions {
        resident: vec![(MODEL.to_owned(), 4_000_000_000)],
        token_ms: TOKEN_MS,
        ..EngineOptions::default()
    };
    let deployment = LocalBuilder::default()
        .engine(options)
        .start()
        .await
        .expect("the deployment cannot start");
    let entry = deployment.entry(0);
    let caller = open_unread_stream(entry, MODEL, 100).await;
    wait_until("the request is in progress", || async {
        read_metric(entry, IN_PROGRESS).await == 1.0
    })
    .await;
    drop(caller);
    let left = Instant::now();
    while read_metric(entry, IN_PROGRESS).await > 0.0 {
        assert!(
            left.elapsed() < LEFT_LIMIT + GAUGE_INTERVAL,
            "the request of a caller that left {LEFT_LIMIT:?} ago is still in progress"
        );
        sleep_ms(20).await;
    }
}
