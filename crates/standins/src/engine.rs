//! Stand-in for a model engine.
//!
//! It generates deterministic tokens at set rates, keeps every stream for a while so that it can be
//! resumed, carries out load and unload orders within its memory, loads adapters for requests, and
//! reports load, residency and cache events. A prompt that contains the crash marker ends the process.

mod residency;
mod streams;

use crate::faults::{set_fault, FaultSwitch};
use crate::runs::note_run;
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
use streams::{GenerationWork, StreamState};

/// Prompt text that ends the process of a stand-in started with `crashes_on_marker` set.
pub const CRASH_MARKER: &str = "crash-this-engine";

/// Time for which an idle connection is kept, longer than hosts keep theirs.
const CONNECTION_KEPT: Duration = Duration::from_secs(75);

/// An adapter that the engine can load by itself when a request asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadableAdapter {
    /// Name.
    pub name: String,
    /// Base model.
    pub model: String,
    /// Accelerator memory, bytes.
    pub memory_bytes: u64,
}

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Accelerator memory, bytes.
    pub memory_bytes: u64,
    /// Models resident at the start, with their memory in bytes.
    pub resident: Vec<(String, u64)>,
    /// Adapters that can be loaded for a request while their base model is resident.
    pub adapters: Vec<LoadableAdapter>,
    /// Requests that run at once; more wait inside the engine.
    pub concurrency: u32,
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// Time between tokens of one stream, milliseconds.
    pub token_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Weight store through which loads go; without it a load takes its full-speed time.
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
    settings: EngineOptions,
    incarnation: u64,
    residency: Mutex<ResidencyState>,
    streams: Mutex<StreamState>,
    slots: tokio::sync::Semaphore,
    report: Mutex<ReportHistory>,
}

/// Reports of the recent past, from which the lagged one is given.
#[derive(Default)]
struct ReportHistory {
    sequence: u64,
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
pub fn start_engine(settings: EngineOptions) -> std::io::Result<RunningServer> {
    let listen = settings.listen;
    let state = web::Data::new(EngineState {
        incarnation: new_incarnation(),
        residency: Mutex::new(ResidencyState::new(&settings)),
        streams: Mutex::default(),
        slots: tokio::sync::Semaphore::new(settings.concurrency as usize),
        report: Mutex::default(),
        settings,
    });
    let switch = web::Data::new(FaultSwitch::default());
    start_server(listen, KeepAlive::Timeout(CONNECTION_KEPT), move || {
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
            .route("/orders", web::post().to(take_order))
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
    let Some(work) = GenerationWork::parse(&request, &body) else {
        return HttpResponse::BadRequest().finish();
    };
    if state.settings.crashes_on_marker && work.prompt.contains(CRASH_MARKER) {
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
        .expect("residency lock")
        .note_request();
    note_run(&format!("{} {}", work.model, work.prompt));
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
    state.streams.lock().expect("stream lock").cancel(&attempt);
    HttpResponse::NoContent().finish()
}

async fn get_started(state: web::Data<EngineState>) -> web::Json<u64> {
    web::Json(state.streams.lock().expect("stream lock").started())
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
    let report = lagged_report(&state);
    if query.residency.is_some() && query.residency == report.residency {
        return HttpResponse::Ok().json(counts_of(&report));
    }
    HttpResponse::Ok().json(report)
}

fn counts_of(report: &LoadStatus) -> LoadCounts {
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

/// Returns the tag of everything in a report but its counts.
fn residency_tag(report: &LoadStatus) -> String {
    let mut hasher = DefaultHasher::new();
    (report.incarnation, report.memory_bytes, report.leaving).hash(&mut hasher);
    report.finished_orders.hash(&mut hasher);
    for copy in &report.copies {
        (&copy.name, copy.memory_bytes, copy.state).hash(&mut hasher);
    }
    format!("{:016x}", hasher.finish())
}

/// Adds the present figures to the history and returns the newest report that is old enough.
fn lagged_report(state: &EngineState) -> LoadStatus {
    let now = std::time::Instant::now();
    let lag = Duration::from_millis(state.settings.report_lag_ms);
    let mut history = state.report.lock().expect("report lock");
    history.sequence += 1;
    let sequence = history.sequence;
    history
        .samples
        .push_back((now, present_report(state, sequence)));
    while history.samples.len() > 1 && now.duration_since(history.samples[1].0) >= lag {
        history.samples.pop_front();
    }
    let (taken, mut report) = history.samples[0].clone();
    report.age_ms = u64::try_from(now.duration_since(taken).as_millis()).unwrap_or(u64::MAX);
    report
}

fn present_report(state: &EngineState, sequence: u64) -> LoadStatus {
    let (running, waiting, queued_tokens) = state.streams.lock().expect("stream lock").load();
    let residency = state.residency.lock().expect("residency lock");
    let mut report = LoadStatus {
        sequence,
        incarnation: state.incarnation,
        age_ms: 0,
        running,
        waiting,
        queued_tokens,
        prefill_rate: state.settings.prefill_rate,
        decode_rate: 1000.0 / state.settings.token_ms.max(1) as f64,
        memory_bytes: state.settings.memory_bytes,
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
            .expect("stream lock")
            .cache_events(query.after),
    )
}

async fn take_order(
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
        .expect("residency lock")
        .accept(&order);
    if accepted {
        actix_rt::spawn(carry_out(state.clone().into_inner(), order));
    }
    let status = state.residency.lock().expect("residency lock").status(&id);
    crate::faults::answer_or_lose(&switch, HttpResponse::Accepted().json(status))
}

async fn carry_out(state: Arc<EngineState>, order: EngineOrder) {
    residency::transfer(state.settings.weight_store, &order).await;
    let mut residency = state.residency.lock().expect("residency lock");
    residency.finish(&order);
}

async fn get_order(state: web::Data<EngineState>, id: web::Path<String>) -> HttpResponse {
    let status = state.residency.lock().expect("residency lock").status(&id);
    HttpResponse::Ok().json(status)
}

async fn get_usage(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.residency.lock().expect("residency lock").usage())
}

async fn raise_fencing(
    state: web::Data<EngineState>,
    raise: web::Json<FencingRaise>,
) -> HttpResponse {
    let mut residency = state.residency.lock().expect("residency lock");
    residency.raise_fencing(raise.fencing);
    let mut status = residency.status("");
    status.state = OrderState::Unseen;
    HttpResponse::Ok().json(status)
}
