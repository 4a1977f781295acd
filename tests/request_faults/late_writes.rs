//! Claim writes that reach the table service after their calls were refused.

use crate::common::*;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Delay of each claim write, ms; longer than the hosts wait for the answer.
const DELAY_MS: u64 = 4_000;

/// State of a proxy that forwards calls to the platform and delays claim writes.
struct ClaimDelayProxy {
    platform: SocketAddr,
    /// Number of claim writes that were delayed.
    delayed: AtomicUsize,
    /// Number of delayed claim writes that the platform answered.
    answered: AtomicUsize,
    /// Number of delayed claim writes that the platform did not commit.
    refused: AtomicUsize,
}

/// Forwards a call to the platform, after `DELAY_MS` if it writes a claim.
async fn forward_call(
    proxy: web::Data<ClaimDelayProxy>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    let is_claim_write = text.contains("claims/") && !text.contains("released");
    let url = format!("http://{}{}", proxy.platform, request.uri());
    let method = request.method().clone();
    // A task of its own, so that the write continues after the host has closed its connection.
    let task = actix_rt::spawn(async move {
        if is_claim_write {
            proxy.delayed.fetch_add(1, Ordering::SeqCst);
            sleep_ms(DELAY_MS).await;
        }
        let call = awc::Client::default().request(method, url);
        let call = call.insert_header(("content-type", "application/json"));
        let Ok(mut answer) = call.send_body(body).await else {
            return HttpResponse::BadGateway().finish();
        };
        let body = answer.body().await.unwrap_or_default();
        if is_claim_write {
            proxy.answered.fetch_add(1, Ordering::SeqCst);
            let refused = String::from_utf8_lossy(&body).contains("\"committed\":false");
            proxy.refused.fetch_add(refused.into(), Ordering::SeqCst);
        }
        HttpResponse::build(answer.status())
            .content_type("application/json")
            .body(body)
    });
    task.await.expect("the call cannot be forwarded")
}

/// Guards against a key that stays in doubt for ever because its claim is written after the call
/// was refused with `not_run`.
#[actix_web::test]
async fn claim_that_arrives_after_its_release_leaves_the_key_free() {
    let mut deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("the deployment cannot start");
    let proxy = web::Data::new(ClaimDelayProxy {
        platform: deployment.platform.address,
        delayed: AtomicUsize::default(),
        answered: AtomicUsize::default(),
        refused: AtomicUsize::default(),
    });
    let state = proxy.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .default_service(web::to(forward_call))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .expect("no loopback address can be bound");
    let platform = deployment.platform.address;
    deployment.platform.address = server.addrs()[0];
    actix_rt::spawn(server.run());
    let slow_host = HostAddresses::pick(1);
    let _host = deployment
        .start_host(&slow_host, SETTINGS)
        .expect("the host cannot start");
    crocusyard_testbed::local::wait_ready(slow_host.callers)
        .await
        .expect("the host does not become ready");

    let client = TestClient::new("plazas");
    let refused = post_order(&client, slow_host.callers, "k1", "ours").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.json()["outcome"], "not_run");
    wait_until("all delayed writes have been answered", || async {
        proxy.answered.load(Ordering::SeqCst) == proxy.delayed.load(Ordering::SeqCst)
    })
    .await;
    assert!(proxy.delayed.load(Ordering::SeqCst) > 0);
    assert_eq!(
        proxy.refused.load(Ordering::SeqCst),
        proxy.delayed.load(Ordering::SeqCst)
    );
    assert_eq!(count_claims(platform).await, 1);

    let repeat = post_order(&client, deployment.entry(0), "k1", "ours").await;
    assert_eq!(repeat.status, 200, "{repeat:?}");
    let plain = deployment.targets[&TargetName::new("mostrador-1")].address;
    assert_eq!(read_runs(plain).await["plazas@k1"], 1);
}
