//! Metrics, operator routes and start errors of running hosts.

use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Reads a path with an optional operator key; returns status and body.
async fn read(entry: SocketAddr, path: &str, key: Option<&str>) -> (u16, String) {
    let mut request = awc::Client::default().get(format!("http://{entry}{path}"));
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let mut response = request.send().await.expect("the host does not answer");
    let body = response.body().await.expect("the body cannot be read");
    (
        response.status().as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    )
}

/// Reads the metrics until they contain a line; gauges are updated up to 1 s late.
async fn wait_for_line(entry: SocketAddr, line: &str) {
    let wait_line = async {
        loop {
            let (_, text) = read(entry, "/metrics", None).await;
            if text.lines().any(|found| found == line) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let found = actix_rt::time::timeout(Duration::from_secs(30), wait_line).await;
    assert!(
        found.is_ok(),
        "the metrics of {entry} do not contain the line {line}"
    );
}

/// Guards against requests that are missing from histograms and counters, or counted twice.
#[actix_web::test]
async fn metrics_count_every_request_once() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("the deployment cannot start");
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

/// Guards against a wrong gauge of members, and against hosts that do not find each other.
#[actix_web::test]
async fn metrics_show_the_other_hosts() {
    let deployment = LocalBuilder::default()
        .hosts(3)
        .start()
        .await
        .expect("the deployment cannot start");
    for index in 0..3 {
        wait_for_line(
            deployment.entry(index),
            "crocusyard_members{state=\"alive\"} 2",
        )
        .await;
    }
}

/// Guards against callers without the operator key on operator routes, and against the operator key
/// on routes for peers.
#[actix_web::test]
async fn operators_need_their_key() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("the deployment cannot start");
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

/// Guards against a panic, instead of an error message, when the listen address is in use.
#[actix_web::test]
async fn address_in_use_is_a_plain_error() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("the deployment cannot start");
    let second_host = deployment.start_host(&deployment.addresses[0], "");
    let error = second_host
        .err()
        .expect("the second host started on an address in use");
    let cause = std::error::Error::source(&error)
        .map(ToString::to_string)
        .unwrap_or_default();
    assert!(cause.starts_with("cannot listen on 127."), "{cause}");
}
