//! Calls that may run once only.

use crate::common::*;
use awc::http::Method;
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use futures_util::future::join_all;
use serde_json::json;
use std::net::SocketAddr;

/// Deadline of a repeat whose first call may never be settled.
const SHORT_DEADLINE_MS: &str = "4000";

fn counter_of(deployment: &LocalDeployment) -> SocketAddr {
    deployment.targets[&TargetName::new("mostrador-1")].address
}

async fn start_local(service_ms: u64) -> LocalDeployment {
    LocalBuilder::default()
        .service_ms(service_ms)
        .start()
        .await
        .expect("deployment starts")
}

/// Guards against a second dispatch, and against another tenant's answer, when a host dies after it
/// wrote the claim and before it sent the call.
#[actix_web::test]
async fn call_stays_in_doubt_if_its_host_dies_before_the_dispatch() {
    let deployment = start_processes(2, sample_catalog(), &[]).await;
    let (first, second) = (
        deployment.addresses[0].callers,
        deployment.addresses[1].callers,
    );
    let plain = deployment.targets[position_of(&deployment, "mostrador-1")].address;
    let other = TestClient::new("catalogue");
    assert_eq!(order(&other, second, "k1", "theirs").await.status, 200);

    let platform = deployment.platform.address;
    // Shorter than the hosts' time limit on table calls, so that the host waits for this answer.
    set_faults(platform, &json!({"answer_delay_ms": 900})).await;
    let client = TestClient::new("plazas").header("x-request-deadline-ms", SHORT_DEADLINE_MS);
    let call = order(&client, first, "k1", "ours");
    let kill = async {
        wait_until("claim is written", || async {
            claims_in(platform).await == 2
        })
        .await;
        deployment.hosts[0].signal("KILL").expect("signal is sent");
    };
    let (answer, ()) = futures_util::join!(call, kill);
    assert_eq!(answer.status, 0, "{answer:?}");
    clear_fault(platform).await;

    let repeat = order(&client, second, "k1", "ours").await;
    let ran = runs_at(plain).await.get("plazas@k1").copied();
    match ran {
        None => {
            assert_eq!(repeat.status, 409, "{repeat:?}");
            assert_eq!(repeat.json()["code"], "in_doubt");
            assert_eq!(repeat.json()["outcome"], "unknown");
            assert!(repeat.retry_after.is_some(), "{repeat:?}");
        }
        // The kill came after the dispatch, which a busy machine allows.
        Some(count) => {
            assert_eq!(count, 1);
            assert_eq!(repeat.json()["body"], "ours");
        }
    }
}

/// Guards against a second run, and against an answer that stays in doubt although the target has a
/// record of it, when a host dies after the call ran and before its answer was recorded.
#[actix_web::test]
async fn target_record_settles_a_call_whose_host_died() {
    let deployment = start_processes(2, sample_catalog(), &[]).await;
    let (first, second) = (
        deployment.addresses[0].callers,
        deployment.addresses[1].callers,
    );
    let plain = deployment.targets[position_of(&deployment, "mostrador-1")].address;
    set_faults(plain, &json!({"answer_delay_ms": 5000})).await;
    let client = TestClient::new("plazas");
    let call = order(&client, first, "k1", "ours");
    let kill = async {
        wait_until("call ran", || async { !runs_at(plain).await.is_empty() }).await;
        deployment.hosts[0].signal("KILL").expect("signal is sent");
    };
    let (answer, ()) = futures_util::join!(call, kill);
    assert_eq!(answer.status, 0, "{answer:?}");
    let repeat = order(&client, second, "k1", "ours").await;
    assert_eq!(repeat.status, 200, "{repeat:?}");
    assert_eq!(repeat.json()["body"], "ours");
    let again = order(&client, second, "k1", "ours").await;
    assert_eq!(again.body, repeat.body);
    let runs = runs_at(plain).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1]);
}

/// Guards against an answer given to another body under the same key, during and after the call.
#[actix_web::test]
async fn same_key_with_another_body_is_a_conflict() {
    let deployment = start_local(400).await;
    let plain = counter_of(&deployment);
    let client = TestClient::new("plazas");
    let first = order(&client, deployment.entry(0), "k1", "one");
    let others = async {
        wait_until("call runs", || async { !runs_at(plain).await.is_empty() }).await;
        let at_host = |index| order(&client, deployment.entry(index), "k1", "two");
        join_all((0..3).map(at_host)).await
    };
    let (first, others) = futures_util::join!(first, others);
    assert_eq!(first.status, 200, "{first:?}");
    let mut conflicts = others;
    for index in 0..3 {
        conflicts.push(order(&client, deployment.entry(index), "k1", "two").await);
    }
    for conflict in conflicts {
        assert_eq!(conflict.status, 409, "{conflict:?}");
        assert_eq!(conflict.json()["code"], "key_conflict");
        assert_eq!(conflict.json()["outcome"], "not_run");
    }
    assert_eq!(runs_at(plain).await["plazas@k1"], 1);
}

/// Guards against a second run when repeats arrive at every host while the call runs.
#[actix_web::test]
async fn concurrent_repeats_at_all_hosts_run_once() {
    let deployment = start_local(300).await;
    let client = TestClient::new("plazas");
    let calls = (0..45).map(|number| {
        let (client, entry) = (client.clone(), deployment.entry(number % 3));
        async move { order(&client, entry, &format!("k{}", number % 5), "same").await }
    });
    let answers = join_all(calls).await;
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, answers[number % 5].body);
    }
    let runs = runs_at(counter_of(&deployment)).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1; 5]);
}

/// Guards the record of a call whose caller gave up: it goes on, and a repeat gets its answer from
/// the same host and from another one. The target keeps no records that could settle it.
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
        .expect("deployment starts");
    let hasty = TestClient::new("plazas").header("x-request-deadline-ms", "500");
    let first = order(&hasty, deployment.entry(0), "k1", "same").await;
    assert_eq!(first.status, 504, "{first:?}");
    assert_eq!(first.json()["outcome"], "unknown");
    let client = TestClient::new("plazas");
    for index in 0..2 {
        let repeat = order(&client, deployment.entry(index), "k1", "same").await;
        assert_eq!(repeat.status, 200, "{repeat:?}");
        assert_eq!(repeat.json()["run"], 1);
    }
    assert_eq!(runs_at(counter_of(&deployment)).await["plazas@k1"], 1);
}

/// Guards against a second run when the table service carries writes out and loses its answers.
#[actix_web::test]
async fn lost_table_answers_do_not_repeat_a_call() {
    let deployment = start_local(20).await;
    let platform = deployment.platform.address;
    let client = TestClient::new("plazas");
    for mode in ["lose_write_answers", "lose_answers"] {
        set_faults(platform, &json!({ "mode": mode })).await;
        let calls = (0..9).map(|number| {
            let (client, entry) = (client.clone(), deployment.entry(number % 3));
            async move { order(&client, entry, &format!("{mode}-{}", number % 3), "same").await }
        });
        let answers = join_all(calls).await;
        clear_fault(platform).await;
        for (number, answer) in answers.iter().enumerate() {
            let key = format!("{mode}-{}", number % 3);
            // The claim is read back unless reads fail as well.
            if mode == "lose_answers" {
                assert_eq!(answer.json()["outcome"], "not_run", "{answer:?}");
                assert!(answer.retry_after.is_some(), "{answer:?}");
            } else {
                assert_eq!(answer.status, 200, "{answer:?}");
            }
            let repeat = order(&client, deployment.entry((number + 1) % 3), &key, "same").await;
            assert_eq!(repeat.status, 200, "{repeat:?}");
            if answer.status == 200 {
                assert_eq!(repeat.json(), answer.json());
            }
        }
    }
    let runs = runs_at(counter_of(&deployment)).await;
    assert_eq!(runs.into_values().collect::<Vec<_>>(), [1; 6]);
}

/// Guards against keyed calls without a claim while the table service is down, and against chats
/// that need the table service.
#[actix_web::test]
async fn table_outage_refuses_keyed_calls_only() {
    let deployment = start_local(2).await;
    let (platform, plain) = (deployment.platform.address, counter_of(&deployment));
    set_faults(platform, &json!({"mode": "down"})).await;
    let client = TestClient::new("plazas");
    for index in 0..3 {
        let entry = deployment.entry(index);
        let refused = order(&client, entry, "k1", "same").await;
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
    assert!(runs_at(plain).await.is_empty());
    clear_fault(platform).await;
    let served = order(&client, deployment.entry(0), "k1", "same").await;
    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(runs_at(plain).await["plazas@k1"], 1);
}

/// Guards against a 503 that is recorded as the answer of a keyed call and replayed for good, and
/// against a second dispatch after it.
#[actix_web::test]
async fn refusal_by_the_service_is_not_recorded() {
    let deployment = start_local(10).await;
    let plain = counter_of(&deployment);
    set_faults(plain, &json!({"mode": "down"})).await;
    let client = TestClient::new("plazas").header("x-request-deadline-ms", SHORT_DEADLINE_MS);
    let refused = order(&client, deployment.entry(0), "k1", "one").await;
    assert_eq!(refused.status, 502, "{refused:?}");
    assert_eq!(refused.json()["code"], "answer_lost");
    assert_eq!(refused.json()["outcome"], "unknown");
    let keyless = client.call(deployment.entry(0), Method::POST, ORDERS, None, "one");
    assert_eq!(keyless.await.status, 503);
    clear_fault(plain).await;
    let repeat = order(&client, deployment.entry(1), "k1", "one").await;
    assert_eq!(repeat.json()["code"], "in_doubt", "{repeat:?}");
    assert!(runs_at(plain).await.is_empty());
}
