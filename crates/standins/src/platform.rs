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
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Initial host list.
    pub listing: HostListing,
    /// Concurrent weight loads that run at full speed; if there are more, each slows down in
    /// proportion.
    pub loads_at_once: u32,
}

/// Calls since the start, for tests that limit how much hosts call the platform.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<String, StoredRow>,
    /// Last version of each key, kept after a deletion.
    versions: BTreeMap<String, u64>,
    objects: BTreeMap<String, web::Bytes>,
    counts: CallCounts,
    /// Weight loads in progress.
    loading: u32,
}

struct PlatformState {
    store: Mutex<StoreState>,
    listing: Mutex<HostListing>,
    loads_at_once: u32,
}

/// Starts the stand-in on the current actix system.
pub fn start_platform(options: PlatformOptions) -> std::io::Result<RunningServer> {
    let state = web::Data::new(PlatformState {
        store: Mutex::default(),
        listing: Mutex::new(options.listing),
        loads_at_once: options.loads_at_once.max(1),
    });
    let switch = web::Data::new(FaultSwitch::default());
    start_server(options.listen, KeepAlive::default(), move || {
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
    HttpResponse::Ok().json(
        state
            .store
            .lock()
            .expect("the store lock is poisoned")
            .counts,
    )
}

async fn get_row(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<RowQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let mut store = state.store.lock().expect("the store lock is poisoned");
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
    let mut store = state.store.lock().expect("the store lock is poisoned");
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
        let mut store = state.store.lock().expect("the store lock is poisoned");
        store.counts.writes += 1;
        apply_transaction(&mut store, &body.changes)
    };
    switch.answer_write(HttpResponse::Ok().json(result)).await
}

fn apply_transaction(store: &mut StoreState, changes: &[RowWrite]) -> TransactionResult {
    let matches_version = |change: &RowWrite| {
        let found = store.rows.get(&change.key).map_or(0, |row| row.version);
        change
            .expect_version
            .is_none_or(|expected| expected == found)
    };
    if !changes.iter().all(matches_version) {
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

/// Writes or deletes one row and returns its version, 0 after a deletion. Versions keep rising
/// after a deletion, so that a stale expected version never matches.
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
    let mut store = state.store.lock().expect("the store lock is poisoned");
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
    let mut store = state.store.lock().expect("the store lock is poisoned");
    store.counts.writes += 1;
    store.objects.insert(key.into_inner(), body);
    answer_or_lose(&switch, HttpResponse::NoContent().finish())
}

/// Answers once a load of weights would be complete. Loads beyond the limit slow down in proportion
/// to their number.
async fn load_weights(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
    query: web::Query<WeightsQuery>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let loading = {
        let mut store = state.store.lock().expect("the store lock is poisoned");
        store.loading += 1;
        store.loading
    };
    let slowdown = f64::from(loading.max(state.loads_at_once)) / f64::from(state.loads_at_once);
    let wait_ms = query.full_speed_ms as f64 * slowdown;
    actix_rt::time::sleep(Duration::from_millis(wait_ms as u64)).await;
    state
        .store
        .lock()
        .expect("the store lock is poisoned")
        .loading -= 1;
    HttpResponse::NoContent().finish()
}

async fn get_hosts(
    state: web::Data<PlatformState>,
    switch: web::Data<FaultSwitch>,
) -> HttpResponse {
    if switch.delay_or_refuse().await {
        return unavailable();
    }
    let listing = state
        .listing
        .lock()
        .expect("the host list lock is poisoned")
        .clone();
    answer_or_lose(&switch, HttpResponse::Ok().json(listing))
}

async fn put_hosts(state: web::Data<PlatformState>, body: web::Json<HostListing>) -> HttpResponse {
    *state
        .listing
        .lock()
        .expect("the host list lock is poisoned") = body.into_inner();
    HttpResponse::NoContent().finish()
}
