//! Stand-in for the platform: table service, object store, weight store and host list.

use crate::faults::{answer_or_lose, set_fault, FaultSwitch};
use crate::server::{start_server, RunningServer};
use actix_web::http::KeepAlive;
use actix_web::{web, App, HttpResponse};
use crocusyard_border::platform::{
    HostListing, RowPage, RowWrite, StoredRow, TableTransaction, TransactionResult,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Host list to start with.
    pub listing: HostListing,
    /// Weight loads at once at full speed; more are slowed in proportion.
    pub loads_at_once: u32,
}

/// Counts of calls, for tests of the platform's budget.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<String, StoredRow>,
    versions: BTreeMap<String, u64>,
    objects: BTreeMap<String, web::Bytes>,
    counts: CallCounts,
    loading: u32,
}

struct PlatformState {
    store: Mutex<StoreState>,
    listing: Mutex<HostListing>,
    loads_at_once: u32,
}

/// Starts the stand-in on the current actix system.
pub fn start_platform(settings: PlatformOptions) -> std::io::Result<RunningServer> {
    let state = web::Data::new(PlatformState {
        store: Mutex::default(),
        listing: Mutex::new(settings.listing),
        loads_at_once: settings.loads_at_once.max(1),
    });
    let switch = web::Data::new(FaultSwitch::default());
    start_server(settings.listen, KeepAlive::default(), move || {
        App::new()
            .app_data(state.clone())
            .app_data(switch.clone())
            .app_data(web::PayloadConfig::new(64 << 20))
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/fault", web::post().to(set_fault))
            .route("/counts", web::get().to(get_counts))
            .route("/table/row", web::get().to(get_row))
            .route("/table/rows", web::get().to(scan_rows))
            .route("/table/transact", web::post().to(transact))
            .route("/objects/{key:.*}", web::get().to(get_object))
            .route("/objects/{key:.*}", web::put().to(put_object))
            .route("/weights/{name}", web::post().to(load_weights))
            .route("/hosts", web::get().to(get_hosts))
            .route("/hosts", web::put().to(put_hosts))
    })
}

#[derive(Deserialize)]
struct RowQuery {
    key: String,
}

#[derive(Deserialize)]
struct ScanQuery {
    prefix: String,
    after: Option<String>,
    limit: usize,
}

#[derive(Deserialize)]
struct WeightsQuery {
    full_speed_ms: u64,
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

async fn get_counts(state: web::Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(state.store.lock().expect("store lock").counts)
}

async fn get_row(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<RowQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let mut store = state.store.lock().expect("store lock");
    store.counts.reads += 1;
    let answer = match store.rows.get(&query.key) {
        Some(row) => HttpResponse::Ok().json(row),
        None => HttpResponse::NotFound().finish(),
    };
    answer_or_lose(&switch, answer)
}

async fn scan_rows(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<ScanQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let mut store = state.store.lock().expect("store lock");
    store.counts.reads += 1;
    let start = query
        .after
        .clone()
        .unwrap_or_default()
        .max(query.prefix.clone());
    let mut matching = store
        .rows
        .range(start..)
        .map(|(_, row)| row)
        .take_while(|row| row.key.starts_with(&query.prefix))
        .filter(|row| query.after.as_deref() != Some(row.key.as_str()));
    let rows: Vec<_> = matching.by_ref().take(query.limit).cloned().collect();
    let more = matching.next().is_some();
    answer_or_lose(&switch, HttpResponse::Ok().json(RowPage { rows, more }))
}

async fn transact(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    body: web::Json<TableTransaction>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let result = {
        let mut store = state.store.lock().expect("store lock");
        store.counts.writes += 1;
        apply(&mut store, &body.changes)
    };
    switch.answer_write(HttpResponse::Ok().json(result)).await
}

fn apply(store: &mut StoreState, changes: &[RowWrite]) -> TransactionResult {
    let holds = |change: &RowWrite| {
        let found = store.rows.get(&change.key).map_or(0, |row| row.version);
        change
            .expect_version
            .is_none_or(|expected| expected == found)
    };
    if !changes.iter().all(holds) {
        let found = changes
            .iter()
            .filter_map(|change| store.rows.get(&change.key))
            .cloned();
        return TransactionResult {
            committed: false,
            versions: Vec::new(),
            found: found.collect(),
        };
    }
    let versions = changes
        .iter()
        .map(|change| write_row(store, change))
        .collect();
    TransactionResult {
        committed: true,
        versions,
        found: Vec::new(),
    }
}

/// Writes one row. Versions keep rising after a deletion, so that a stale expectation never matches.
fn write_row(store: &mut StoreState, change: &RowWrite) -> u64 {
    let Some(value) = &change.value else {
        store.rows.remove(&change.key);
        return 0;
    };
    let version = store.versions.entry(change.key.clone()).or_insert(0);
    *version += 1;
    let row = StoredRow {
        key: change.key.clone(),
        version: *version,
        value: value.clone(),
    };
    store.rows.insert(change.key.clone(), row);
    *version
}

async fn get_object(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    key: web::Path<String>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let mut store = state.store.lock().expect("store lock");
    store.counts.reads += 1;
    let answer = match store.objects.get(key.as_str()) {
        Some(object) => HttpResponse::Ok().body(object.clone()),
        None => HttpResponse::NotFound().finish(),
    };
    answer_or_lose(&switch, answer)
}

async fn put_object(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    key: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let mut store = state.store.lock().expect("store lock");
    store.counts.writes += 1;
    store.objects.insert(key.into_inner(), body);
    answer_or_lose(&switch, HttpResponse::NoContent().finish())
}

/// Answers when a load of weights would be through; loads beyond the limit slow in proportion.
async fn load_weights(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<WeightsQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let loading = {
        let mut store = state.store.lock().expect("store lock");
        store.loading += 1;
        store.loading
    };
    let slowdown = f64::from(loading.max(state.loads_at_once)) / f64::from(state.loads_at_once);
    let wait = query.full_speed_ms as f64 * slowdown;
    actix_rt::time::sleep(Duration::from_millis(wait as u64)).await;
    state.store.lock().expect("store lock").loading -= 1;
    HttpResponse::NoContent().finish()
}

async fn get_hosts(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let listing = state.listing.lock().expect("listing lock").clone();
    answer_or_lose(&switch, HttpResponse::Ok().json(listing))
}

async fn put_hosts(state: web::Data<PlatformState>, body: web::Json<HostListing>) -> HttpResponse {
    *state.listing.lock().expect("listing lock") = body.into_inner();
    HttpResponse::NoContent().finish()
}
