//! Calls that are not idempotent: each idempotency key must run at most once.

use crate::common::*;
use awc::http::Method;
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use serde_json::json;
use std::net::SocketAddr;

/// Deadline of a call whose outcome may stay unknown, ms.
const SHORT_DEADLINE_MS: &str = "4000";

/// Returns the address of the plain service, which counts the runs of each key.
fn orders_target(deployment: &LocalDeployment) -> SocketAddr {
    deployment.targets[&TargetName::new("mostrador-1")].address
}

/// Starts hosts and stand-ins in this process; the plain service takes `service_ms` for each call.
async fn start_local(service_ms: u64) -> LocalDeployment {
    LocalBuilder::default()
        .service_ms(service_ms)
        .start()
        .await
        .expect("the deployment cannot start")
}

/// Guards against a second dispatch, and against an answer of another tenant under the same key.
///
/// The host is killed after it wrote the claim and before it sent the call to the target.
#[actix_web::test]
async fn call_stays_in_doubt_if_its_host_dies_before_the_dispatch() {
    let deployment = start_processes(2, sample_catalog(), &[]).await;
    let (first, second) = (
        deployment.addresses[0].callers,
        deployment.addresses[1].callers,
    );
    let plain = deployment.targets[target_position(&deployment, "mostrador-1")].address;
    let other_tenant = TestClient::new("catalogue");
    assert_eq!(
        post_order(&other_tenant, second, "k1", "theirs")
            .await
            .status,
        200
    );

    let platform = deployment.platform.address;
    // Shorter than the hosts' timeout of table calls, so that the host waits for the delayed
    // answer.
    set_faults(platform, &json!({"answer_delay_ms": 900})).await;
    let client = TestClient::new("plazas").header("x-request-deadline-ms", SHORT_DEADLINE_MS);
    let call = post_order(&client, first, "k1", "ours");
    let kill = async {
        wait_until("the claim is written", || async {
            count_claims(platform).await == 2
        })
        .await;
        deployment.hosts[0]
            .signal("KILL")
            .expect("the signal cannot be sent");
    };
    let (answer, ()) = futures_util::join!(call, kill);
    assert_eq!(answer.status, 0, "{answer:?}");
    clear_fault(platform).await;

    let repeat = post_order(&client, second, "k1", "ours").await;
    let ran = read_runs(plain).await.get("plazas@k1").copied();
    match ran {
        None => {
            assert_eq!(repeat.status, 409, "{repeat:?}");
            assert_eq!(repeat.json()["code"], "in_doubt");
            assert_eq!(repeat.json()["outcome"], "unknown");
            assert!(repeat.retry_after.is_some(), "{repeat:?}");
        }
        // On a busy machine, the host may have dispatched the call before it was killed.
        Some(count) => {
            assert_eq!(count, 1);
            assert_eq!(repeat.json()["body"], "ours");
        }
    }
}

/// Guards against a second run, and against a call reported as in doubt although its target keeps a
/// record of the answer.
///
/// The host is killed after the call ran and before the host recorded the answer.
#[actix_web::test]
async fn target_record_settles_a_call_whose_host_died() {
    let deployment = start_processes(2, sample_catalog(), &[]).await;
    let (first, second) = (
        deployment.addresses[0].callers,
        deployment.addresses[1].callers,
    );
    let plain = deployment.targets[target_position(&deployment, "mostrador-1")].address;
    set_faults(plain, &json!({"answer_delay_ms": 5000})).await;
    let client = TestClient::new("plazas");
    let call = post_order(&client, first, "k1", "ours");
    let kill = async {
        wait_until("the call ran", || async {
            !read_runs(plain).await.is_empty()
        })
        .await;
        deployment.hosts[0]
            .signal("KILL")
            .expect("the signal cannot be sent");
    };
    let (answer, ()) = futures_util::join!(call, kill);
    assert_eq!(answer.status, 0, "{answer:?}");
    let repeat = post_order(&client, second, "k1", "ours").await;
    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(repeat.json()["body"], "ours");
    let again = post_order(&client, second, "k1", "ours").await;
    assert_eq!(again.body, repeat.body);
    let runs = read_runs(plain).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1]);
}

/// Guards against the answer of one call being returned to a call with the same key and another
/// body, while the first call runs and after it ended.
#[actix_web::test]
async fn same_key_with_another_body_is_a_conflict() {
    let deployment = start_local(400).await;
    let plain = orders_target(&deployment);
    let client = TestClient::new("plazas");
    let first = post_order(&client, deployment.entry(0), "k1", "one");
    let conflicts_during_call = async {
        wait_until("the call runs", || async {
            !read_runs(plain).await.is_empty()
        })
        .await;
        let at_host = |index| post_order(&client, deployment.entry(index), "k1", "two");
        join_all((0..3).map(at_host)).await
    };
    let (first, conflicts_during_call) = futures_util::join!(first, conflicts_during_call);
    assert_eq!(first.status, 200, "{first:?}");
    let mut conflicts = conflicts_during_call;
    for index in 0..3 {
        conflicts.push(post_order(&client, deployment.entry(index), "k1", "two").await);
    }
    for conflict in conflicts {
        assert_eq!(conflict.status, 409, "{conflict:?}");
        assert_eq!(conflict.json()["code"], "key_conflict");
        assert_eq!(conflict.json()["outcome"], "not_run");
    }
    assert_eq!(read_runs(plain).await["plazas@k1"], 1);
}

/// Guards against a second run when the same call arrives at every host while it runs.
#[actix_web::test]
async fn concurrent_repeats_at_all_hosts_run_once() {
    let deployment = start_local(300).await;
    let client = TestClient::new("plazas");
    let calls = (0..45).map(|number| {
        let (client, entry) = (client.clone(), deployment.entry(number % 3));
        async move { post_order(&client, entry, &format!("k{}", number % 5), "same").await }
    });
    let answers = join_all(calls).await;
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, answers[number % 5].body);
    }
    let runs = read_runs(orders_target(&deployment)).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1; 5]);
}

/// Guards against the loss of an answer whose caller gave up at its deadline.
///
/// The call must go on, and repeats at the same host and at another one must get its answer. The
/// target keeps no records, so the answer can come only from the record of the host.
#[actix_web::test]
async fn call_is_recorded_after_its_caller_gave_up() {
    let mut catalog = sample_catalog();
    for target in &mut catalog.targets {
        target.keeps_records = false;
    }
    let deployment = LocalBuilder::default()
        .catalog(catalog)
        .service_ms(1500)
        .start()
        .await
        .expect("the deployment cannot start");
    let impatient_client = TestClient::new("plazas").header("x-request-deadline-ms", "500");
    let first = post_order(&impatient_client, deployment.entry(0), "k1", "same").await;
    assert_eq!(first.status, 504, "{first:?}");
    assert_eq!(first.json()["outcome"], "unknown");
    let client = TestClient::new("plazas");
    for index in 0..2 {
        let repeat = post_order(&client, deployment.entry(index), "k1", "same").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(repeat.json()["run"], 1);
    }
    assert_eq!(read_runs(orders_target(&deployment)).await["plazas@k1"], 1);
}

/// Guards against a second run when the table service applies writes but its answers are lost.
#[actix_web::test]
async fn lost_table_answers_do_not_repeat_a_call() {
    let deployment = start_local(20).await;
    let platform = deployment.platform.address;
    let client = TestClient::new("plazas");
    for mode in ["lose_write_answers", "lose_answers"] {
        set_faults(platform, &json!({ "mode": mode })).await;
        let calls =
            (0..9).map(|number| {
                let (client, entry) = (client.clone(), deployment.entry(number % 3));
                async move {
                    post_order(&client, entry, &format!("{mode}-{}", number % 3), "same").await
                }
            });
        let answers = join_all(calls).await;
        clear_fault(platform).await;
        for (number, answer) in answers.iter().enumerate() {
            let key = format!("{mode}-{}", number % 3);
            // The host reads the claim back after a lost answer, unless answers to reads are lost
            // too.
            if mode == "lose_answers" {
                assert_eq!(answer.json()["outcome"], "not_run", "{answer:?}");
                assert!(answer.retry_after.is_some(), "{answer:?}");
            } else {
                assert_eq!(answer.status, 200, "{answer:?}");
            }
            let repeat =
                post_order(&client, deployment.entry((number + 1) % 3), &key, "same").await;
            assert_eq!(repeat.status, 200, "{repeat:?}");
            if answer.status == 200 {
                assert_eq!(repeat.json(), answer.json());
            }
        }
    }
    let runs = read_runs(orders_target(&deployment)).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1; 6]);
}

/// Guards against calls with a key that run without a claim while the table service is down, and
/// against chats and idempotent reads that fail although they need no claim.
#[actix_web::test]
async fn table_outage_refuses_keyed_calls_only() {
    let deployment = start_local(2).await;
    let (platform, plain) = (deployment.platform.address, orders_target(&deployment));
    set_faults(platform, &json!({"mode": "down"})).await;
    let client = TestClient::new("plazas");
    for index in 0..3 {
        let entry = deployment.entry(index);
        let refused = post_order(&client, entry, "k1", "same").await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(refused.json()["outcome"], "not_run");
        assert!(refused.retry_after.is_some(), "{refused:?}");
        let chat = client.stream(entry, "chalk-small", "hello", 10).await;
        assert!(chat.complete, "{chat:?}");
        let read = client
            .call(entry, Method::GET, "mostrador/opening", None, "")
            .await;
        assert_eq!(read.status, 200, "{read:?}");
    }
    assert!(read_runs(plain).await.is_empty());
    clear_fault(platform).await;
    let served = post_order(&client, deployment.entry(0), "k1", "same").await;
    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(read_runs(plain).await["plazas@k1"], 1);
}

/// Guards against a 503 of the service that is recorded as the answer of a call with a key and then
/// replayed to every repeat, and against a second dispatch after it.
#[actix_web::test]
async fn refusal_by_the_service_is_not_recorded() {
    let deployment = start_local(10).await;
    let plain = orders_target(&deployment);
    set_faults(plain, &json!({"mode": "down"})).await;
    let client = TestClient::new("plazas").header("x-request-deadline-ms", SHORT_DEADLINE_MS);
    let refused = post_order(&client, deployment.entry(0), "k1", "one").await;
    assert_eq!(refused.status, 502, "{refused:?}");
    assert_eq!(refused.json()["code"], "answer_lost");
    assert_eq!(refused.json()["outcome"], "unknown");
    let keyless = client.call(deployment.entry(0), Method::POST, ORDERS_PATH, None, "one");
    assert_eq!(keyless.await.status, 503);
    clear_fault(plain).await;
    let repeat = post_order(&client, deployment.entry(1), "k1", "one").await;
    assert_eq!(repeat.json()["code"], "in_doubt", "{repeat:?}");
    assert!(read_runs(plain).await.is_empty());
}
