//! An outage of the platform while a model that is not resident is requested.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::time::Duration;
use support::*;

/// Length of the outage, several times the lease of 3 s.
const OUTAGE: Duration = Duration::from_secs(9);

/// Returns whether the lease holder has no move in progress; `None` without a holder or its status.
async fn has_no_moves(deployment: &ProcessDeployment) -> Option<bool> {
    let index = lease_holder(deployment, 0).await?;
    let status = read_status(deployment.addresses[index].callers).await?;
    Some(status["moves"].as_array()?.is_empty())
}

/// Returns whether the engine lists a copy of a model in any state.
async fn is_on_engine(deployment: &ProcessDeployment, model: &str) -> bool {
    let load = read_json(deployment.targets[0].address, "/load").await;
    let copies = load["copies"].as_array().cloned().unwrap_or_default();
    copies.iter().any(|copy: &Value| copy["name"] == model)
}

/// Guards against orders that are sent to engines without a recorded intent in the table.
///
/// While the platform is down, every host is asked for a model that is not resident. Until the
/// platform is back, this model must not be loaded, and no other one may be unloaded for it.
/// Afterwards it must be served.
#[actix_web::test]
async fn requested_model_is_loaded_after_the_outage() {
    let deployment = start_scarce().await;
    let hosts = caller_addresses(&deployment);
    wait_in_force(&hosts, 1, "ordinary").await;
    for name in ["slate", "quill"] {
        let client = TestClient::new("plazas");
        let answer = client.stream(hosts[0], name, "before", 5).await;
        assert!(answer.complete, "{name}: {answer:?}");
    }
    let requested = "chalk-large";
    wait_until(
        "no move is in progress and the model is not resident",
        || async {
            let on_engine = is_on_engine(&deployment, requested).await;
            (!on_engine && has_no_moves(&deployment).await?).then_some(())
        },
    )
    .await;
    let platform = deployment.platform.address;
    set_fault_mode(platform, "down").await;
    let orders = count_accepted_orders(&deployment).await;
    let callers = hosts.iter().map(|host| async move {
        let client = TestClient::new("plazas");
        let mut refusals = 0;
        loop {
            let answer = client.stream(*host, requested, "wanted", 5).await;
            if answer.complete {
                assert_eq!(answer.text, answer_tokens(requested, "wanted", 5));
                return refusals;
            }
            let error = answer.error.clone().unwrap_or_default();
            assert_eq!(error["outcome"], "not_run", "{answer:?}");
            // A refusal of a request whose deadline passed in the queue has no `Retry-After`.
            let is_expired = error["code"] == "deadline";
            assert!(answer.retry_after.is_some() || is_expired, "{answer:?}");
            refusals += 1;
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
    });
    let outage = async {
        actix_rt::time::sleep(OUTAGE).await;
        assert_eq!(
            count_accepted_orders(&deployment).await,
            orders,
            "an engine accepted an order during the outage"
        );
        assert!(!is_on_engine(&deployment, requested).await);
        set_fault_mode(platform, "none").await;
    };
    let callers = async {
        let served = futures_util::future::join_all(callers);
        let served = actix_rt::time::timeout(2 * WAIT_LIMIT, served).await;
        served.expect("the requested model is not served at every host in time")
    };
    let (refusals, ()) = futures_util::join!(callers, outage);
    println!("refusals of {requested} by host: {refusals:?}");
    assert!(count_accepted_orders(&deployment).await > orders);
    check_engine_memory(&deployment).await;
}
