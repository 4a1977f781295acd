//! Writes of claims that reach the table service after their calls were refused.

use crate::common::*;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use crocusyard_base::prelude::TargetName;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Time for which a write of a claim is held up, longer than the hosts wait for it.
const HOLD_MS: u64 = 4_000;

/// Passes calls on to the platform and holds up writes of claims.
struct SlowPath {
    platform: SocketAddr,
    held: AtomicUsize,
    landed: AtomicUsize,
    refused: AtomicUsize,
}

async fn pass_on(
    path: web::Data<SlowPath>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    let holds = text.contains("claims/") && !text.contains("released");
    let url = format!("http://{}{}", path.platform, request.uri());
    let method = request.method().clone();
    // The write goes on after the host has closed its connection.
    let task = actix_rt::spawn(async move {
        if holds {
            path.held.fetch_add(1, Ordering::SeqCst);
            pause(HOLD_MS).await;
        }
        let call = awc::Client::default().request(method, url);
        let call = call.insert_header(("content-type", "application/json"));
        let Ok(mut answer) = call.send_body(body).await else {
            return HttpResponse::BadGateway().finish();
        };
        let body = answer.body().await.unwrap_or_default();
        if holds {
            path.landed.fetch_add(1, Ordering::SeqCst);
            let refused = String::from_utf8_lossy(&body).contains("\"committed\":false");
            path.refused.fetch_add(refused.into(), Ordering::SeqCst);
        }
        HttpResponse::build(answer.status())
            .content_type("application/json")
            .body(body)
    });
    task.await.expect("call is passed on")
}

/// Guards against a key that stays in doubt for ever because a write of its claim arrives after the
/// call was refused with `not_run`.
#[actix_web::test]
async fn claim_that_arrives_after_its_release_leaves_the_key_free() {
    let mut deployment = LocalBuilder::default()
        .hosts(1)
        .start()
        .await
        .expect("deployment starts");
    let path = web::Data::new(SlowPath {
        platform: deployment.platform.address,
        held: AtomicUsize::default(),
        landed: AtomicUsize::default(),
        refused: AtomicUsize::default(),
    });
    let state = path.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .default_service(web::to(pass_on))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .expect("address is free");
    let direct = deployment.platform.address;
    deployment.platform.address = server.addrs()[0];
    actix_rt::spawn(server.run());
    let slow = HostAddresses::pick(1);
    let _host = deployment.start_host(&slow, SETTINGS).expect("host starts");
    crocusyard_testbed::local::wait_ready(slow.callers)
        .await
        .expect("host is ready");

    let client = TestClient::new("plazas");
    let refused = order(&client, slow.callers, "k1", "ours").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.json()["outcome"], "not_run");
    wait_until("late writes arrived", || async {
        path.landed.load(Ordering::SeqCst) == path.held.load(Ordering::SeqCst)
    })
    .await;
    assert!(path.held.load(Ordering::SeqCst) > 0);
    assert_eq!(
        path.refused.load(Ordering::SeqCst),
        path.held.load(Ordering::SeqCst)
    );
    assert_eq!(claims_in(direct).await, 1);

    let repeat = order(&client, deployment.entry(0), "k1", "ours").await;
    assert_eq!(repeat.status, 200, "{repeat:?}");
    let plain = deployment.targets[&TargetName::new("mostrador-1")].address;
    assert_eq!(runs_at(plain).await["plazas@k1"], 1);
}
