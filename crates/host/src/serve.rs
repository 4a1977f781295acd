//! Starts an entry host and stops it in a planned way.

use crate::actor::{HostActor, HostParts, IsDrained, IsReady, ReadListing, StartDrain};
use crate::callers::{self, CallerState};
use crate::catalog_view::SharedCatalog;
use crate::intake::BodyLimits;
use crate::problem::CallerProblem;
use crate::resume::ResumeKey;
use actix::{Actor, Addr};
use actix_web::body::MessageBody;
use actix_web::dev::{ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::{from_fn, Next};
use actix_web::{web, App, Error, HttpResponse, HttpServer};
use crocusyard_base::invariants::violation_counts;
use crocusyard_base::prelude::*;
use crocusyard_border::callers::{AddressList, EntryAddress};
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::HostState;
use crocusyard_metrics::prelude::*;
use crocusyard_platform::prelude::*;
use crocusyard_requests::prelude::{RequestLimits, RequestSettings};
use crocusyard_routing::prelude::RouteSettings;
use crocusyard_settings::prelude::{HostSettings, SecretText};
use crocusyard_targets::pool::set_liveness_options;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at whether a planned stop is through.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// An entry host could not be started.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// The address for callers cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// Keys of a host, as read from its settings' sources.
#[derive(Clone, Debug)]
pub struct HostKeys {
    /// Key that operators present.
    pub operator: SecretText,
    /// Key shared by the hosts.
    pub gossip: SecretText,
}

/// A running entry host.
#[derive(Clone)]
pub struct HostHandle {
    /// Address for callers.
    pub address: SocketAddr,
    actor: Addr<HostActor>,
    server: ServerHandle,
}

impl HostHandle {
    /// Starts a planned stop and waits until it is through.
    pub async fn drain(&self) {
        let _ = self.actor.send(StartDrain).await;
        while !self.actor.send(IsDrained).await.unwrap_or(true) {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
        self.server.stop(true).await;
    }

    /// Stops at once, as when the process is killed.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Starts an entry host on the current actix system.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub fn start_host(
    settings: HostSettings,
    keys: &HostKeys,
    catalog: CatalogSpec,
) -> Result<HostHandle, HostError> {
    let settings = Arc::new(settings);
    let shared = SharedCatalog::default();
    let metrics = Arc::new(MetricSet::new());
    let mut actor = HostActor::new(HostParts {
        settings: settings.clone(),
        state: HostState::new(core_parts(&settings)),
        platform: platform_client(&settings),
        catalog: shared.clone(),
        metrics: metrics.clone(),
    });
    let catalog = Arc::new(catalog);
    let actor = HostActor::create(move |context| {
        actor.use_catalog(catalog, context);
        actor
    });
    let state = CallerState {
        actor: actor.clone(),
        catalog: shared,
        resume: ResumeKey::derive(keys.gossip.reveal()),
        tenant_from: settings.requests.tenant_from,
        keepalive: Duration::from_millis(settings.requests.keepalive_ms.as_ms()),
        body: BodyLimits {
            bytes: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
            wait: Duration::from_millis(settings.limits.header_read_ms.as_ms()),
        },
    };
    let (address, server) = start_server(&settings, state, metrics)?;
    Ok(HostHandle {
        address,
        actor,
        server,
    })
}

/// Runs an entry host until it has been told to stop and has stopped in a planned way.
///
/// # Errors
///
/// Fails if the host cannot be started.
pub async fn serve(
    settings: HostSettings,
    keys: HostKeys,
    catalog: CatalogSpec,
) -> Result<(), HostError> {
    let host = start_host(settings, &keys, catalog)?;
    log::info!("listening on {}", host.address);
    wait_for_stop().await;
    log::info!("planned stop begins");
    host.drain().await;
    Ok(())
}

async fn wait_for_stop() {
    use tokio::signal::unix::{signal, SignalKind};
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}

fn core_parts(settings: &HostSettings) -> crocusyard_core::prelude::HostParts {
    let seed = start_seed();
    crocusyard_core::prelude::HostParts {
        routes: RouteSettings {
            domain: settings.domain.clone(),
        },
        requests: RequestSettings {
            id_seed: seed,
            limits: request_limits(&settings.requests),
        },
        seed,
    }
}

/// Takes the limits that operators set; the others keep their defaults.
fn request_limits(settings: &crocusyard_settings::prelude::RequestSettings) -> RequestLimits {
    RequestLimits {
        retry_ratio: settings.retry_budget,
        retries: settings.attempts.saturating_sub(1),
        backoff: settings.retry_pause_ms,
        first_chunk: settings.first_byte_ms,
        plain_silence: settings.first_byte_ms,
        between_chunks: settings.between_tokens_ms,
        probe_timeout: settings.probe_timeout_ms,
        crash_expiry: settings.crash_suspect_ms,
        ..RequestLimits::default()
    }
}

/// Returns a seed that differs between processes, so that their identifiers differ.
fn start_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

fn platform_client(settings: &HostSettings) -> PlatformClient {
    let addresses = PlatformAddresses {
        table: settings.platform.table,
        objects: settings.platform.objects,
        hosts: settings.platform.hosts,
    };
    let timeout = Duration::from_millis(settings.platform.table_timeout_ms.as_ms());
    PlatformClient::new(addresses, timeout)
}

fn start_server(
    settings: &HostSettings,
    state: CallerState,
    metrics: Arc<MetricSet>,
) -> Result<(SocketAddr, ServerHandle), HostError> {
    let ttl = settings.address.ttl_ms;
    let head_bytes = settings.limits.header_bytes;
    let state = web::Data::new(state);
    let metrics = web::Data::from(metrics);
    let listen = settings.listen.callers;
    let server = HttpServer::new(move || {
        App::new()
            .wrap(from_fn(limit_head))
            .app_data(web::Data::new(HeadLimit(head_bytes)))
            .app_data(state.clone())
            .app_data(web::Data::new(ttl))
            .app_data(metrics.clone())
            .route(
                "/v1/chat/completions",
                web::post().to(callers::chat_completion),
            )
            .route("/v1/completions", web::post().to(callers::text_completion))
            .route("/v1/models", web::get().to(callers::list_models))
            .route("/v1/addresses", web::get().to(list_addresses))
            .route(
                "/services/{service}/{path:.*}",
                web::to(callers::plain_call),
            )
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(get_ready))
            .route("/metrics", web::get().to(get_metrics))
            .default_service(web::to(not_found))
    })
    .on_connect(|connection, _| {
        if let Some(stream) = connection.downcast_ref::<tokio::net::TcpStream>() {
            set_liveness_options(stream);
        }
    })
    .workers(1)
    .disable_signals()
    .client_request_timeout(Duration::from_millis(
        settings.limits.header_read_ms.as_ms(),
    ))
    .max_connections(settings.limits.connections as usize)
    .shutdown_timeout(30)
    .bind(listen)
    .context(ListenSnafu { address: listen })?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}

async fn list_addresses(
    state: web::Data<CallerState>,
    ttl: web::Data<ClockTime>,
) -> Result<HttpResponse, CallerProblem> {
    let listing = state.actor.send(ReadListing).await.map_err(|_| {
        CallerProblem::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the host is stopping",
        )
    })?;
    let hosts = listing.hosts.into_iter().filter(|host| !host.leaving);
    let addresses = hosts.filter_map(|host| {
        Some(EntryAddress {
            address: host.caller_address?,
            weight: 1,
            domain: host.domain,
        })
    });
    Ok(HttpResponse::Ok().json(AddressList {
        addresses: addresses.collect(),
        ttl_ms: ttl.as_ms(),
    }))
}

/// Largest head of a request, bytes.
struct HeadLimit(u64);

/// Refuses requests whose headers are larger than the settings allow.
async fn limit_head(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let sizes = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let size = sizes.sum::<usize>() as u64;
    let limit = request
        .app_data::<web::Data<HeadLimit>>()
        .map_or(u64::MAX, |limit| limit.0);
    if size > limit {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let detail = format!("the headers are larger than {limit} bytes");
        return Err(CallerProblem::refused(status, "head_too_large", detail).into());
    }
    next.call(request).await
}

/// Tells whether the host takes new work.
async fn get_ready(state: web::Data<CallerState>) -> HttpResponse {
    match state.actor.send(IsReady).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn get_metrics(metrics: web::Data<MetricSet>) -> HttpResponse {
    metrics.record_violations(&violation_counts());
    HttpResponse::Ok()
        .content_type(CONTENT_TYPE)
        .body(metrics.encode_text())
}

async fn not_found() -> Result<HttpResponse, CallerProblem> {
    Err(CallerProblem::refused(
        StatusCode::NOT_FOUND,
        "not_found",
        "there is no such path",
    ))
}
