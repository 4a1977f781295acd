//! Prompt parts that crash targets, played against entry host processes.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{prompt_call, route, EntryHost, POLL_INTERVAL};
use hyper::StatusCode;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const ROUTES: [TestRoute; 1] = [route("/once/", RouteKind::NonIdempotent, 1)];
/// Part that has crashed targets.
const DEADLY: u64 = 0xab;
/// Part that has not.
const SOUND: u64 = 0xcd;

/// Lease row whose holder blamed the part.
fn lease_row() -> Value {
    let crashes: Vec<Value> = (0..3)
        .map(|number| {
            let age = 4_000 - number * 1_000;
            json!({"target": format!("t{number}"), "incarnation": 1, "age": age,
                "sent_age": age + 100})
        })
        .collect();
    json!({"holder": "edge-before", "released": true, "evidence": {
        "blamed": [{"cause": {"Part": DEADLY}, "crashes": crashes, "trials": 0, "trial_in": 0}],
        "sound": [], "alive": []}})
}

/// Guards against hosts that all start at the same time and have to lose targets again before they
/// refuse a part.
#[actix_rt::test]
async fn host_that_starts_alone_knows_the_blamed_parts() {
    let store = StoreStandin::start()
        .await
        .expect("the store stand-in cannot start");
    store.put_configuration(&configuration(1, &ROUTES));
    store.put_lease(&lease_row());
    let target = TargetStandin::start("i-0").await.expect("a target");
    store.put_target("i-0", &target.record("s"));
    let host = EntryHost::start("edge-0", store.address);
    host.wait_ready().await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let status = prompt_call(&host, "/once/1", "deadly", &[SOUND, DEADLY, 1]).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(target.runs("deadly"), 0);
    let status = prompt_call(&host, "/once/1", "sound", &[SOUND, 2]).await;
    assert_eq!(status, StatusCode::OK);
}

/// Guards against a new holder of the lease that drops the evidence which its predecessor stored.
#[actix_rt::test]
async fn next_holder_of_the_lease_keeps_the_evidence() {
    let store = StoreStandin::start()
        .await
        .expect("the store stand-in cannot start");
    store.put_configuration(&configuration(1, &ROUTES));
    store.put_lease(&lease_row());
    let host = EntryHost::start("edge-0", store.address);
    let start = Instant::now();
    loop {
        let row = store.lease().unwrap_or_default();
        if row["holder"] == "edge-0" {
            let cause = &row["evidence"]["blamed"][0]["cause"];
            assert_eq!(*cause, json!({"Part": DEADLY}), "{row}");
            break;
        }
        assert!(
            start.elapsed() < Duration::from_secs(15),
            "the host {:?} does not take the lease: {row}",
            host.addresses.entry
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
