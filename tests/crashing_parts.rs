//! Prompt parts that crash targets, played against entry host processes.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{call, get, prompt_call, route, EntryHost, POLL_INTERVAL};
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

/// Time in which hosts tell each other, and the store, of a crash.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time limit for a host to learn of earlier crashes.
const LEARN_LIMIT: Duration = Duration::from_secs(5);

/// A target that ends its connection when it runs a call, and then starts again.
struct CrashingTarget {
    standin: TargetStandin,
    store: StoreStandin,
    starts: u64,
}

impl CrashingTarget {
    async fn start(store: &StoreStandin) -> Self {
        let standin = TargetStandin::start("i-0").await.expect("a target");
        standin.set_fault(TargetFault::LosesAnswer);
        let mut target = Self {
            standin,
            store: store.clone(),
            starts: 0,
        };
        target.restart();
        target
    }

    /// Writes the record of the next incarnation.
    fn restart(&mut self) {
        self.starts += 1;
        let record = self.standin.record_start("s", self.starts);
        self.store.put_target("i-0", &record);
    }

    /// Sends the call that crashes the target; returns whether it ran.
    async fn crash(&mut self, host: &EntryHost) -> bool {
        let id = format!("crashing-{}", self.starts);
        call(host, "/once/crashing", &id).await;
        let ran = self.standin.runs(&id) > 0;
        self.restart();
        actix_rt::time::sleep(REPORT_TIME).await;
        ran
    }
}

/// Starts a host whose target crashes twice with the same call.
async fn crash_twice() -> (StoreStandin, CrashingTarget, EntryHost) {
    let store = StoreStandin::start()
        .await
        .expect("the store stand-in cannot start");
    store.put_configuration(&configuration(1, &ROUTES));
    let mut target = CrashingTarget::start(&store).await;
    let host = EntryHost::start("edge-0", store.address);
    host.wait_ready().await;
    assert!(target.crash(&host).await);
    assert!(target.crash(&host).await);
    (store, target, host)
}

/// Waits until a host suspects a cause of crashes that it has not seen itself.
async fn wait_suspects(host: &EntryHost) {
    let start = Instant::now();
    loop {
        let (_, text) = get(host.metrics, "/metrics").await;
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut lines = text.lines();
        if lines.any(|line| line == "crocusyard_entry_suspected_causes 1") {
            return;
        }
        assert!(
            start.elapsed() < LEARN_LIMIT,
            "the host knows of no earlier crash"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a call that goes on crashing targets when hosts are replaced one after the other: a
/// host that starts after a crash has to count it.
#[actix_rt::test]
async fn host_that_replaces_another_counts_its_crashes() {
    let (store, mut target, first) = crash_twice().await;
    // The next host hears of the crashes from the first one only.
    store.remove_crashes();
    let second = EntryHost::start("edge-1", store.address);
    second.wait_ready().await;
    wait_suspects(&second).await;
    drop(first);
    assert!(target.crash(&second).await, "two crashes are not enough");
    assert!(!target.crash(&second).await, "a fourth target crashed");
}

/// Guards against the same when all hosts end at the same time.
#[actix_rt::test]
async fn hosts_that_start_together_count_earlier_crashes() {
    let (store, mut target, first) = crash_twice().await;
    drop(first);
    let next = EntryHost::start("edge-0", store.address);
    next.wait_ready().await;
    wait_suspects(&next).await;
    assert!(target.crash(&next).await, "two crashes are not enough");
    assert!(!target.crash(&next).await, "a fourth target crashed");
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
