//! Plain calls that ran and whose answers were lost.

mod support;

use awc::http::Method;
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use support::*;

/// Guards against a second run of a call, by a retry of the host or by a repeat of the caller, when
/// the connection to the target closes after the call ran and before its answer.
///
/// Such a call must never be reported as not run.
#[actix_web::test]
async fn call_whose_answer_is_lost_runs_once() {
    let deployment = LocalBuilder::default()
        .start()
        .await
        .expect("the deployment cannot start");
    let service = deployment.targets[&TargetName::new("mostrador-1")].address;
    let (path, key) = ("mostrador/bookings", Some("booking-1"));
    set_fault_mode(service, "lose_answers").await;
    let client = TestClient::new("plazas");
    let lost = client
        .call(deployment.entry(0), Method::POST, path, key, "{}")
        .await;
    assert_ne!(lost.json()["outcome"], "not_run", "{lost:?}");
    set_fault_mode(service, "none").await;
    let repeat = client
        .call(deployment.entry(1), Method::POST, path, key, "{}")
        .await;
    assert_ne!(repeat.json()["outcome"], "not_run", "{repeat:?}");
    let runs = read_json(service, "/runs").await;
    let counts = runs
        .as_object()
        .expect("the runs are not counted by key")
        .values();
    let total: u64 = counts.filter_map(serde_json::Value::as_u64).sum();
    assert_eq!(total, 1, "{runs}");
}
