//! Stand-in for one instance of a plain service.
//!
//! It answers every call below any path with a JSON body that names the call, keeps a record of
//! keyed calls, and counts how often each key ran, so that tests can see a call that ran twice.

use crate::faults::{set_fault, FaultSwitch};
use crate::runs::note_run;
use crate::server::{start_server, RunningServer};
use actix_web::http::KeepAlive;
use actix_web::{web, App, HttpRequest, HttpResponse};
use crocusyard_border::engine::{CallRecord, LoadStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Settings of the plain service stand-in.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that a call takes, milliseconds.
    pub service_ms: u64,
}

#[derive(Default)]
struct CallState {
    records: BTreeMap<String, CallRecord>,
    runs: BTreeMap<String, u64>,
    running: u32,
    sequence: u64,
    calls: u64,
}

struct PlainState {
    calls: Mutex<CallState>,
    service_ms: u64,
    incarnation: u64,
}

/// Starts the stand-in on the current actix system.
pub fn start_plain(settings: PlainOptions) -> std::io::Result<RunningServer> {
    let state = web::Data::new(PlainState {
        calls: Mutex::default(),
        service_ms: settings.service_ms,
        incarnation: crate::engine::new_incarnation(),
    });
    let switch = web::Data::new(FaultSwitch::default());
    start_server(settings.listen, KeepAlive::default(), move || {
        App::new()
            .app_data(state.clone())
            .app_data(switch.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .route("/fault", web::post().to(set_fault))
            .route("/load", web::get().to(get_load))
            .route("/records/{key}", web::get().to(get_record))
            .route("/runs", web::get().to(get_runs))
            .default_service(web::to(run_call))
    })
}

async fn get_load(state: web::Data<PlainState>) -> HttpResponse {
    let mut calls = state.calls.lock().expect("call lock");
    calls.sequence += 1;
    HttpResponse::Ok().json(LoadStatus {
        sequence: calls.sequence,
        incarnation: state.incarnation,
        age_ms: 0,
        running: calls.running,
        waiting: 0,
        queued_tokens: 0,
        prefill_rate: 1000.0,
        decode_rate: 1000.0,
        memory_bytes: 0,
        copies: Vec::new(),
        leaving: false,
        finished_orders: Vec::new(),
        residency: None,
    })
}

async fn get_record(state: web::Data<PlainState>, key: web::Path<String>) -> HttpResponse {
    match state
        .calls
        .lock()
        .expect("call lock")
        .records
        .get(key.as_str())
    {
        Some(record) => HttpResponse::Ok().json(record),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_runs(state: web::Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.calls.lock().expect("call lock").runs)
}

async fn run_call(
    state: web::Data<PlainState>,
    switch: web::Data<FaultSwitch>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    note_run(&format!(
        "{} {} {}",
        request.method(),
        request.path(),
        key.as_deref().unwrap_or("-")
    ));
    let number = begin_call(&state, key.as_deref());
    let answer = serde_json::json!({
        "method": request.method().as_str(),
        "path": request.path(),
        "query": request.query_string(),
        "body": String::from_utf8_lossy(&body),
        "run": number,
    })
    .to_string();
    // A call that has begun runs to its end even if its connection breaks.
    let run = actix_rt::spawn(finish_call(state, key, answer.clone()));
    if run.await.is_err() {
        return HttpResponse::InternalServerError().finish();
    }
    let response = HttpResponse::Ok()
        .content_type("application/json")
        .body(answer);
    switch.answer_write(response).await
}

async fn finish_call(state: web::Data<PlainState>, key: Option<String>, answer: String) {
    actix_rt::time::sleep(Duration::from_millis(state.service_ms)).await;
    end_call(&state, key, &answer);
}

fn begin_call(state: &PlainState, key: Option<&str>) -> u64 {
    let mut calls = state.calls.lock().expect("call lock");
    calls.running += 1;
    calls.calls += 1;
    if let Some(key) = key {
        *calls.runs.entry(key.to_owned()).or_insert(0) += 1;
    }
    calls.calls
}

fn end_call(state: &PlainState, key: Option<String>, answer: &str) {
    let mut calls = state.calls.lock().expect("call lock");
    calls.running -= 1;
    if let Some(key) = key {
        let record = CallRecord {
            status: 200,
            content_type: "application/json".to_owned(),
            body: answer.to_owned(),
        };
        calls.records.insert(key, record);
    }
}
