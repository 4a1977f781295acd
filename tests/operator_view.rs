//! What operators see of a running deployment.

use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

async fn read(entry: SocketAddr, path: &str, key: Option<&str>) -> (u16, String) {
    let mut request = awc::Client::default().get(format!("http://{entry}{path}"));
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let mut response = request.send().await.expect("host answers");
    let body = response.body().await.expect("body is readable");
    (
        response.status().as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    )
}

/// Reads the metrics until a line appears; the gauges lag by a second.
async fn wait_for_line(entry: SocketAddr, line: &str) {
    let appears = async {
        loop {
            let (_, text) = read(entry, "/metrics", None).await;
            if text.lines().any(|found| found == line) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let found = actix_rt::time::timeout(Duration::from_secs(30), appears).await;
    assert!(found.is_ok(), "{line} does not appear");
}

/// Guards histograms and counters against requests that are not recorded, or recorded twice.
#[actix_web::test]
async fn metrics_count_every_request_once() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("it starts");
    let entry = deployment.entry(0);
    let client = TestClient::new("plazas");
    for number in 0..3 {
        let answer = client
            .stream(entry, "chalk-small", &format!("prompt {number}"), 5)
            .await;
        assert!(answer.complete, "{answer:?}");
    }
    let labels = "tenant=\"plazas\",class=\"interactive\"";
    for line in [
        format!("crocusyard_first_token_seconds_count{{{labels}}} 3"),
        format!("crocusyard_token_gap_seconds_count{{{labels}}} 12"),
        format!("crocusyard_request_time_seconds_count{{{labels}}} 3"),
        format!("crocusyard_requests_total{{{labels},outcome=\"completed\"}} 3"),
        "crocusyard_attempts_total 3".to_owned(),
        "crocusyard_requests_in_progress{class=\"interactive\"} 0".to_owned(),
        "crocusyard_preset_version 1".to_owned(),
    ] {
        wait_for_line(entry, &line).await;
    }
}

/// Guards the member gauge, and hosts against not finding each other.
#[actix_web::test]
async fn metrics_show_the_other_hosts() {
    let deployment = LocalBuilder::default()
        .hosts(3)
        .start()
        .await
        .expect("it starts");
    for index in 0..3 {
        wait_for_line(
            deployment.entry(index),
            "crocusyard_members{state=\"alive\"} 2",
        )
        .await;
    }
}

/// Guards the operators' paths, and the bodies for peers, against callers without the key.
#[actix_web::test]
async fn operators_need_their_key() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("it starts");
    let entry = deployment.entry(0);
    for path in [
        "/admin/status",
        "/admin/presets",
        "/admin/presets/1",
        "/admin/presets/history",
    ] {
        for key in [None, Some(""), Some("wrong"), Some("test-operator-ke")] {
            assert_eq!(read(entry, path, key).await.0, 401, "{path} with {key:?}");
        }
        assert_eq!(
            read(entry, path, Some("test-operator-key")).await.0,
            200,
            "{path}"
        );
    }
    assert_eq!(
        read(entry, "/peer/bodies/00", Some("test-operator-key"))
            .await
            .0,
        401
    );
}

/// Guards the message for an address that is taken; the host used to panic instead.
#[actix_web::test]
async fn taken_address_is_a_plain_error() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("it starts");
    let again = deployment.start_host(&deployment.addresses[0], "");
    let error = again.err().expect("the second host cannot start");
    let cause = std::error::Error::source(&error)
        .map(ToString::to_string)
        .unwrap_or_default();
    assert!(cause.starts_with("cannot listen on 127."), "{cause}");
}
