//! Stand-in for a model engine.
//!
//! It generates deterministic tokens at configured rates, keeps each stream for a while so that it
//! can be resumed, carries out load and unload orders within its memory, loads adapters on demand,
//! and reports load, residency and cache events. If enabled, a prompt that contains
//! [`CRASH_MARKER`] ends the process.

mod residency;
mod streams;

use crate::faults::{set_fault, FaultSwitch};
use crate::runs::print_run;
use crate::server::{start_server, RunningServer};
use actix_web::http::KeepAlive;
use actix_web::{web, App, HttpRequest, HttpResponse};
use crocusyard_border::engine::{
    CacheEvents, EngineOrder, FencingRaise, LoadCounts, LoadStatus, OrderState,
};
use residency::{Readiness, ResidencyState};
use serde::Deserialize;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use streams::{CompletionWork, StreamState};

/// Prompt text that ends the process of a stand-in started with `crashes_on_marker` set.
pub const CRASH_MARKER: &str = "crash-this-engine";

/// Keep-alive time of idle connections, longer than that of the hosts.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(75);

/// An adapter that the engine loads on demand, when a request needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadableAdapter {
    /// Name by which requests ask for the adapter.
    pub name: String,
    /// Base model, which must be resident.
    pub model: String,
    /// Accelerator memory that the adapter takes, bytes.
    pub memory_bytes: u64,
}

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Accelerator memory of the engine, bytes.
    pub memory_bytes: u64,
    /// Models resident at the start, with their memory in bytes.
    pub resident: Vec<(String, u64)>,
    /// Adapters that are loaded on demand while their base model is resident.
    pub adapters: Vec<LoadableAdapter>,
    /// Requests that can run at the same time; further ones wait inside the engine.
    pub concurrency: u32,
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// Time between tokens of one stream, milliseconds.
    pub token_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Weight store that determines how long loads take; without it a load takes its time at full
    /// speed.
    pub weight_store: Option<SocketAddr>,
    /// Whether a prompt with [`CRASH_MARKER`] ends the process.
    pub crashes_on_marker: bool,
    /// Age of the figures in load reports, milliseconds.
    pub report_lag_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_bytes: 16 << 30,
            resident: Vec::new(),
            adapters: Vec::new(),
            concurrency: 16,
            prefill_rate: 20_000.0,
            token_ms: 5,
            checks_fencing: true,
            weight_store: None,
            crashes_on_marker: false,
            report_lag_ms: 0,
        }
    }
}

/// State shared by the handlers of one engine.
pub(crate) struct EngineState {
    options: EngineOptions,
    incarnation: u64,
    residency: Mutex<ResidencyState>,
    streams: Mutex<StreamState>,
    /// One permit for each request that can run at the same time.
    slots: tokio::sync::Semaphore,
    report: Mutex<ReportHistory>,
}

/// Recent load reports, from which one of the configured age is served.
#[derive(Default)]
struct ReportHistory {
    /// Number of the last report.
    sequence: u64,
    /// Reports with the time they were made, oldest first.
    samples: std::collections::VecDeque<(std::time::Instant, LoadStatus)>,
}

/// Returns an incarnation number that rises with each start of a process.
pub(crate) fn new_incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Starts the stand-in on the current actix system.
pub fn start_engine(options: EngineOptions) -> std::io::Result<RunningServer> {
    let listen = options.listen;
    let state = web::Data::new(EngineState {
        incarnation: new_incarnation(),
        residency: Mutex::new(ResidencyState::new(&options)),
        streams: Mutex::default(),
        slots: tokio::sync::Semaphore::new(options.concurrency as usize),
        report: Mutex::default(),
        options,
    });
    let switch = web::Data::new(FaultSwitch::default());
    start_server(listen, KeepAlive::Timeout(KEEP_ALIVE_TIME), move || {
        App::new()
            .app_data(state.clone())
            .app_data(switch.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .route("/fault", web::post().to(set_fault))
            .route("/v1/chat/completions", web::post().to(start_completion))
            .route("/v1/completions", web::post().to(start_completion))
            .route("/v1/streams/{attempt}", web::get().to(resume_stream))
            .route("/v1/streams/{attempt}", web::delete().to(cancel_stream))
            .route("/load", web::get().to(get_load))
            .route("/started", web::get().to(get_started))
            .route("/cache-events", web::get().to(get_cache_events))
            .route("/orders", web::post().to(receive_order))
            .route("/orders/{id}", web::get().to(get_order))
            .route("/fencing", web::post().to(raise_fencing))
            .route("/usage", web::get().to(get_usage))
    })
}

async fn start_completion(
    state: web::Data<EngineState>,
    switch: web::Data<FaultSwitch>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let Some(work) = CompletionWork::parse(&request, &body) else {
        return HttpResponse::BadRequest().finish();
    };
    if state.options.crashes_on_marker && work.prompt.contains(CRASH_MARKER) {
        std::process::exit(3);
    }
    match residency::prepare(&state, &work.model).await {
        Readiness::Ready => {}
        Readiness::Absent => return HttpResponse::NotFound().body("model is not resident"),
        Readiness::Full => return HttpResponse::ServiceUnavailable().body("memory is full"),
    }
    state
        .residency
        .lock()
        .expect("the residency lock is poisoned")
        .count_request();
    print_run(&format!("{} {}", work.model, work.prompt));
    let attempt = work.attempt.clone();
    streams::start(state.clone().into_inner(), work);
    streams::respond(&state.into_inner(), &attempt, 0)
}

#[derive(Deserialize)]
struct ResumeQuery {
    from: u32,
}

async fn resume_stream(
    state: web::Data<EngineState>,
    switch: web::Data<FaultSwitch>,
    attempt: web::Path<String>,
    query: web::Query<ResumeQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    streams::respond(&state.into_inner(), &attempt, query.from)
}

async fn cancel_stream(state: web::Data<EngineState>, attempt: web::Path<String>) -> HttpResponse {
    state
        .streams
        .lock()
        .expect("the stream lock is poisoned")
        .cancel(&attempt);
    HttpResponse::NoContent().finish()
}

async fn get_started(state: web::Data<EngineState>) -> web::Json<u64> {
    web::Json(
        state
            .streams
            .lock()
            .expect("the stream lock is poisoned")
            .started(),
    )
}

#[derive(Deserialize)]
struct LoadQuery {
    residency: Option<String>,
}

async fn get_load(
    state: web::Data<EngineState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<LoadQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let report = delayed_report(&state);
    if query.residency.is_some() && query.residency == report.residency {
        return HttpResponse::Ok().json(load_counts(&report));
    }
    HttpResponse::Ok().json(report)
}

fn load_counts(report: &LoadStatus) -> LoadCounts {
    LoadCounts {
        sequence: report.sequence,
        age_ms: report.age_ms,
        running: report.running,
        waiting: report.waiting,
        queued_tokens: report.queued_tokens,
        prefill_rate: report.prefill_rate,
        decode_rate: report.decode_rate,
    }
}

/// Returns a hash of everything in a report but its counts. While the hash is unchanged, a host
/// that sends it back gets only the counts.
fn residency_tag(report: &LoadStatus) -> String {
    let mut hasher = DefaultHasher::new();
    (report.incarnation, report.memory_bytes, report.leaving).hash(&mut hasher);
    report.finished_orders.hash(&mut hasher);
    for copy in &report.copies {
        (&copy.name, copy.memory_bytes, copy.state).hash(&mut hasher);
    }
    format!("{:016x}", hasher.finish())
}

/// Adds the current report to the history and returns the newest one that has at least the
/// configured age, or the oldest one if none is that old.
fn delayed_report(state: &EngineState) -> LoadStatus {
    let now = std::time::Instant::now();
    let lag = Duration::from_millis(state.options.report_lag_ms);
    let mut history = state.report.lock().expect("the report lock is poisoned");
    history.sequence += 1;
    let sequence = history.sequence;
    history
        .samples
        .push_back((now, current_report(state, sequence)));
    while history.samples.len() > 1 && now.duration_since(history.samples[1].0) >= lag {
        history.samples.pop_front();
    }
    let (taken, mut report) = history.samples[0].clone();
    report.age_ms = u64::try_from(now.duration_since(taken).as_millis()).unwrap_or(u64::MAX);
    report
}

fn current_report(state: &EngineState, sequence: u64) -> LoadStatus {
    let (running, waiting, queued_tokens) = state
        .streams
        .lock()
        .expect("the stream lock is poisoned")
        .request_counts();
    let residency = state
        .residency
        .lock()
        .expect("the residency lock is poisoned");
    let mut report = LoadStatus {
        sequence,
        incarnation: state.incarnation,
        age_ms: 0,
        running,
        waiting,
        queued_tokens,
        prefill_rate: state.options.prefill_rate,
        decode_rate: 1000.0 / state.options.token_ms.max(1) as f64,
        memory_bytes: state.options.memory_bytes,
        copies: residency.copies(),
        leaving: false,
        finished_orders: residency.finished_orders(),
        residency: None,
    };
    report.residency = Some(residency_tag(&report));
    report
}

#[derive(Deserialize)]
struct EventQuery {
    after: u64,
}

async fn get_cache_events(
    state: web::Data<EngineState>,
    query: web::Query<EventQuery>,
) -> web::Json<CacheEvents> {
    web::Json(
        state
            .streams
            .lock()
            .expect("the stream lock is poisoned")
            .cache_events(query.after),
    )
}

async fn receive_order(
    state: web::Data<EngineState>,
    switch: web::Data<FaultSwitch>,
    order: web::Json<EngineOrder>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let order = order.into_inner();
    let id = order.order_id.clone();
    let accepted = state
        .residency
        .lock()
        .expect("the residency lock is poisoned")
        .accept(&order);
    if accepted {
        actix_rt::spawn(execute_order(state.clone().into_inner(), order));
    }
    let status = state
        .residency
        .lock()
        .expect("the residency lock is poisoned")
        .status(&id);
    crate::faults::answer_or_lose(&switch, HttpResponse::Accepted().json(status))
}

async fn execute_order(state: Arc<EngineState>, order: EngineOrder) {
    residency::transfer(state.options.weight_store, &order).await;
    let mut residency = state
        .residency
        .lock()
        .expect("the residency lock is poisoned");
    residency.finish_order(&order);
}

async fn get_order(state: web::Data<EngineState>, id: web::Path<String>) -> HttpResponse {
    let status = state
        .residency
        .lock()
        .expect("the residency lock is poisoned")
        .status(&id);
    HttpResponse::Ok().json(status)
}

async fn get_usage(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(
        state
            .residency
            .lock()
            .expect("the residency lock is poisoned")
            .usage(),
    )
}

async fn raise_fencing(
    state: web::Data<EngineState>,
    raise: web::Json<FencingRaise>,
) -> HttpResponse {
    let mut residency = state
        .residency
        .lock()
        .expect("the residency lock is poisoned");
    residency.raise_fencing(raise.fencing);
    // The answer concerns no order; it only carries the fencing number.
    let mut status = residency.status("");
    status.state = OrderState::Unseen;
    HttpResponse::Ok().json(status)
}
