//! An outage of the platform while there is a reason to move models.

mod support;

use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::time::Duration;
use support::*;

/// Time for which the outage lasts: several times the lease of 3 s.
const OUTAGE: Duration = Duration::from_secs(9);

/// Returns whether the lease holder has no move in progress.
async fn is_settled(deployment: &ProcessDeployment) -> Option<bool> {
    let index = holder(deployment, 0).await?;
    let status = read_status(deployment.addresses[index].callers).await?;
    Some(status["moves"].as_array()?.is_empty())
}

/// Returns whether the engine holds a model or loads it.
async fn is_held(deployment: &ProcessDeployment, model: &str) -> bool {
    let load = read_json(deployment.targets[0].address, "/load").await;
    let copies = load["copies"].as_array().cloned().unwrap_or_default();
    copies.iter().any(|copy: &Value| copy["name"] == model)
}

/// Guards M1 against orders without an intent in the table: a model that every host is asked for
/// while the platform is down must not be loaded, nor another one unloaded for it, before the
/// platform is back, and then it must be served.
#[actix_web::test]
async fn wanted_model_waits_for_the_platform() {
    let deployment = start_scarce().await;
    let hosts = entries(&deployment);
    until_in_force(&hosts, 1, "ordinary").await;
    for name in ["slate", "quill"] {
        let client = TestClient::new("plazas");
        let answer = client.stream(hosts[0], name, "before", 5).await;
        assert!(answer.complete, "{name}: {answer:?}");
    }
    let wanted = "chalk-large";
    until("no move in progress", || async {
        let held = is_held(&deployment, wanted).await;
        (!held && is_settled(&deployment).await?).then_some(())
    })
    .await;
    let platform = deployment.platform.address;
    set_fault(platform, "down").await;
    let orders = orders_taken(&deployment).await;
    let callers = hosts.iter().map(|host| async move {
        let client = TestClient::new("plazas");
        let mut refusals = 0;
        loop {
            let answer = client.stream(*host, wanted, "wanted", 5).await;
            if answer.complete {
                assert_eq!(answer.text, answer_tokens(wanted, "wanted", 5));
                return refusals;
            }
            let error = answer.error.clone().unwrap_or_default();
            assert_eq!(error["outcome"], "not_run", "{answer:?}");
            // A request whose deadline has passed in the queue is told no time to come again.
            let is_late = error["code"] == "deadline";
            assert!(answer.retry_after.is_some() || is_late, "{answer:?}");
            refusals += 1;
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
    });
    let outage = async {
        actix_rt::time::sleep(OUTAGE).await;
        assert_eq!(
            orders_taken(&deployment).await,
            orders,
            "an order in the outage"
        );
        assert!(!is_held(&deployment, wanted).await);
        set_fault(platform, "none").await;
    };
    let callers = async {
        let served = futures_util::future::join_all(callers);
        let served = actix_rt::time::timeout(2 * LIMIT, served).await;
        served.expect("the wanted model is served at every host")
    };
    let (refusals, ()) = futures_util::join!(callers, outage);
    println!("refusals of {wanted} by host: {refusals:?}");
    assert!(orders_taken(&deployment).await > orders);
    check_memory(&deployment).await;
}
