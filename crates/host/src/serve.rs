//! Start of an entry host, and its planned stop.

use crate::actor::{HostActor, HostParts, IsDrained, IsReady, StartDrain};
use crate::addresses;
use crate::callers::{self, CallerState};
use crate::catalog_view::SharedCatalog;
use crate::feature_settings::{feature_settings, unix_ms};
use crate::gossip::GossipLink;
use crate::intake::{BodyLimits, CallerIntake};
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
use crocusyard_intake::prelude::*;
use crocusyard_metrics::prelude::*;
use crocusyard_platform::prelude::*;
use crocusyard_settings::prelude::{HostSettings, SecretText};
use crocusyard_targets::pool::set_liveness_options;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether a planned stop is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Memory of the buffers of a connection that carries a long body, bytes: actix-web reads up to 128 KB
/// ahead and queues 32 KB for the handler.
const READ_BUFFER_BYTES: usize = 160 * 1_024;
/// The same for a body in chunks: actix-web queues all chunks that it has read ahead, in 128 KB up to
/// 14,000 of 4 bytes with 32 bytes each for their place.
const CHUNK_BUFFER_BYTES: usize = 640 * 1_024;

/// The error of an entry host that cannot be started.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// The host cannot listen on its address for callers or for gossip.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the system call.
        source: std::io::Error,
    },
}

/// Secret keys of a host, as read from the sources that its settings name.
#[derive(Clone, Debug)]
pub struct HostKeys {
    /// Key that operators present.
    pub operator: SecretText,
    /// Secret that all hosts share, from which the other keys are derived.
    pub gossip: SecretText,
}

/// A running entry host.
#[derive(Clone)]
pub struct HostHandle {
    /// Address on which the host listens for callers.
    pub address: SocketAddr,
    actor: Addr<HostActor>,
    server: ServerHandle,
    drain_request: Arc<tokio::sync::Notify>,
}

impl HostHandle {
    /// Starts a planned stop and waits until it is complete.
    pub async fn drain(&self) {
        let _ = self.actor.send(StartDrain).await;
        while !self.actor.send(IsDrained).await.unwrap_or(true) {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.server.stop(true).await;
    }

    /// Stops the server at once, as if the process were killed.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Starts an entry host on the current actix system.
///
/// # Errors
///
/// Fails if the host cannot listen on one of its addresses.
pub fn start_host(
    settings: HostSettings,
    keys: &HostKeys,
    catalog: CatalogSpec,
) -> Result<HostHandle, HostError> {
    let settings = Arc::new(settings);
    let shared = SharedCatalog::default();
    let metrics = Arc::new(MetricSet::new());
    let drain_request = Arc::new(tokio::sync::Notify::new());
    // Both sockets are bound before the actor starts, so that an address in use is a plain error.
    let listen = settings.listen.callers;
    let listener = std::net::TcpListener::bind(listen).context(ListenSnafu { address: listen })?;
    let gossip_listen = settings.listen.gossip;
    let gossip_link = std::net::UdpSocket::bind(gossip_listen)
        .and_then(|socket| GossipLink::new(socket, keys.gossip.reveal()))
        .context(ListenSnafu {
            address: gossip_listen,
        })?;
    let peer_key = peer_key(keys);
    let platform = platform_options(&settings);
    let mut actor = HostActor::new(HostParts {
        settings: settings.clone(),
        state: HostState::new(feature_settings(&settings)),
        platform: platform.client(),
        catalog: shared.clone(),
        metrics: metrics.clone(),
        gossip: gossip_link,
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
    let body_bytes = usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX);
    let memory = IntakeLimits {
        read_buffer_bytes: READ_BUFFER_BYTES,
        chunk_buffer_bytes: CHUNK_BUFFER_BYTES,
        ..IntakeLimits::for_memory(settings.limits.memory_mb).covering(body_bytes)
    };
    let state = CallerState {
        intake: CallerIntake::new(IntakeBudget::new(memory), metrics.clone()),
        actor: actor.clone(),
        catalog: shared,
        resume_key: ResumeKey::derive(keys.gossip.reveal()),
        tenant_from: settings.requests.tenant_from,
        keepalive_interval: Duration::from_millis(settings.requests.keepalive_ms.as_ms()),
        body_limits: BodyLimits {
            max_bytes: body_bytes,
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

/// Runs an entry host until a signal or a request stops it, and its planned stop is complete.
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
    log::info!("listening for callers on {}", host.address);
    tokio::select! {
        () = wait_for_signal() => {}
        () = host.drain_request.notified() => {}
    }
    log::info!("a planned stop begins");
    host.drain().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT; waits forever if they cannot be handled.
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

/// Derives the key with which hosts fetch preset bodies from each other.
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
    .max_connections(max_connections(settings))
    .shutdown_timeout(30)
    .listen(listener)
    .context(ListenSnafu { address: listen })?;
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((address, handle))
}

/// Returns the largest number of open connections from callers: the one of the settings, unless the
/// descriptors allow fewer.
fn max_connections(settings: &HostSettings) -> usize {
    let descriptors = settings.limits.descriptors as usize;
    let limit = ConnLimits::for_descriptors(descriptors).callers;
    limit.min(settings.limits.connections as usize)
}

/// Largest total size of a request's header names and values, bytes.
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

/// Answers 200 if the host takes new work, and 503 if not.
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
        "this host serves no such path",
    ))
}
