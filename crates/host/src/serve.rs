//! Starts an entry host and stops it in a planned way.

use crate::actor::{HostActor, HostParts, IsDrained, IsReady, StartDrain};
use crate::addresses;
use crate::callers::{self, CallerState};
use crate::catalog_view::SharedCatalog;
use crate::feature_settings::{feature_settings, unix_ms};
use crate::gossip::GossipLink;
use crate::intake::BodyLimits;
use crate::operators::{self, OperatorState, PlatformOptions};
use crate::problem::CallerProblem;
use crate::resume::ResumeKey;
use actix::{Actor, Addr};
use actix_web::body::MessageBody;
use actix_web::dev::{ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::{from_fn, Next};
use actix_web::{web, App, Error, HttpResponse, HttpServer};
use crocusyard_base::invariants::violation_counts;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::{HostEvent, HostState};
use crocusyard_metrics::prelude::*;
use crocusyard_platform::prelude::*;
use crocusyard_settings::prelude::{HostSettings, SecretText};
use crocusyard_targets::pool::set_liveness_options;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at whether a planned stop is through.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

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
    drain_request: Arc<tokio::sync::Notify>,
}

impl HostHandle {
    /// Starts a planned stop and waits until it is through.
    pub async fn drain(&self) {
        let _ = self.actor.send(StartDrain).await;
        while !self.actor.send(IsDrained).await.unwrap_or(true) {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
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
    let drain_request = Arc::new(tokio::sync::Notify::new());
    // Both addresses are taken before the actor starts, so that a taken one is a plain error.
    let listen = settings.listen.callers;
    let listener = std::net::TcpListener::bind(listen).context(ListenSnafu { address: listen })?;
    let gossip = settings.listen.gossip;
    let link = std::net::UdpSocket::bind(gossip)
        .and_then(|socket| GossipLink::new(socket, keys.gossip.reveal()))
        .context(ListenSnafu { address: gossip })?;
    let peer_key = peer_key(keys);
    let platform = platform_options(&settings);
    let mut actor = HostActor::new(HostParts {
        settings: settings.clone(),
        state: HostState::new(feature_settings(&settings)),
        platform: platform.client(),
        catalog: shared.clone(),
        metrics: metrics.clone(),
        gossip: link,
        peer_key: peer_key.clone(),
        drain_request: drain_request.clone(),
    });
    let catalog = Arc::new(catalog);
    let actor = HostActor::create(move |context| {
        actor.apply_event(
            HostEvent::CatalogLoaded {
                catalog,
                unix_ms: unix_ms(),
            },
            context,
        );
        actor
    });
    let operators = OperatorState {
        actor: actor.clone(),
        operator_key_hash: blake3::hash(keys.operator.reveal().as_bytes()),
        peer_key,
        platform,
    };
    let state = CallerState {
        actor: actor.clone(),
        catalog: shared,
        resume_key: ResumeKey::derive(keys.gossip.reveal()),
        tenant_from: settings.requests.tenant_from,
        keepalive_interval: Duration::from_millis(settings.requests.keepalive_ms.as_ms()),
        body_limits: BodyLimits {
            max_bytes: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
            part_timeout: Duration::from_millis(settings.limits.header_read_ms.as_ms()),
        },
    };
    let (address, server) = start_server(&settings, listener, state, operators, metrics)?;
    Ok(HostHandle {
        address,
        actor,
        server,
        drain_request,
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
    tokio::select! {
        () = wait_for_signal() => {}
        () = host.drain_request.notified() => {}
    }
    log::info!("planned stop begins");
    host.drain().await;
    Ok(())
}

async fn wait_for_signal() {
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

fn peer_key(keys: &HostKeys) -> Arc<str> {
    let secret = keys.gossip.reveal().as_bytes();
    let key = blake3::derive_key("crocusyard 2026 bodies between hosts", secret);
    Arc::from(blake3::Hash::from_bytes(key).to_hex().as_str())
}

fn platform_options(settings: &HostSettings) -> PlatformOptions {
    PlatformOptions {
        addresses: PlatformAddresses {
            table: settings.platform.table,
            objects: settings.platform.objects,
            hosts: settings.platform.hosts,
        },
        timeouts: PlatformTimeouts {
            table: Duration::from_millis(settings.platform.table_timeout_ms.as_ms()),
            objects: Duration::from_millis(settings.platform.object_timeout_ms.as_ms()),
            hosts: Duration::from_millis(settings.platform.host_timeout_ms.as_ms()),
        },
    }
}

fn start_server(
    settings: &HostSettings,
    listener: std::net::TcpListener,
    state: CallerState,
    operators: OperatorState,
    metrics: Arc<MetricSet>,
) -> Result<(SocketAddr, ServerHandle), HostError> {
    let header_bytes = settings.limits.header_bytes;
    let state = web::Data::new(state);
    let operators = web::Data::new(operators);
    let metrics = web::Data::from(metrics);
    let listen = settings.listen.callers;
    let server = HttpServer::new(move || {
        App::new()
            .wrap(from_fn(limit_headers))
            .app_data(web::Data::new(HeaderLimit(header_bytes)))
            .app_data(state.clone())
            .app_data(operators.clone())
            .app_data(metrics.clone())
            .route(
                "/v1/chat/completions",
                web::post().to(callers::chat_completion),
            )
            .route("/v1/completions", web::post().to(callers::text_completion))
            .route("/v1/models", web::get().to(callers::list_models))
            .route("/v1/addresses", web::get().to(addresses::list_addresses))
            .route(
                "/services/{service}/{path:.*}",
                web::to(callers::plain_call),
            )
            .configure(operators::register)
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
    .listen(listener)
    .context(ListenSnafu { address: listen })?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}

/// Largest head of a request, bytes.
struct HeaderLimit(u64);

/// Refuses requests whose headers are larger than the settings allow.
async fn limit_headers(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let sizes = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let size = sizes.sum::<usize>() as u64;
    let limit = request
        .app_data::<web::Data<HeaderLimit>>()
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
