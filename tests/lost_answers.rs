//! Plain calls whose answers are lost after they ran.

mod support;

use awc::http::Method;
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use support::*;

/// Guards M4 and M5 against a connection that closes after the call ran and before its answer: the
/// call must not count as not run, so neither the host nor a repeat may run it again.
#[actix_web::test]
async fn call_whose_answer_is_lost_runs_once() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("deployment starts");
    let service = deployment.targets[&TargetName::new("mostrador-1")].address;
    let (path, key) = ("mostrador/bookings", Some("booking-1"));
    set_fault(service, "lose_answers").await;
    let client = TestClient::new("plazas");
    let lost = client
        .call(deployment.entry(0), Method::POST, path, key, "{}")
        .await;
    assert_ne!(lost.json()["outcome"], "not_run", "{lost:?}");
    set_fault(service, "none").await;
    let repeat = client
        .call(deployment.entry(1), Method::POST, path, key, "{}")
        .await;
    assert_ne!(repeat.json()["outcome"], "not_run", "{repeat:?}");
    let runs = read_json(service, "/runs").await;
    let counts = runs.as_object().expect("runs are counted by key").values();
    let total: u64 = counts.filter_map(serde_json::Value::as_u64).sum();
    assert_eq!(total, 1, "{runs}");
}
