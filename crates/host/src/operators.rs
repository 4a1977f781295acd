//! HTTP handlers for operators, and for other hosts that fetch preset bodies.

use crate::actor::{HostActor, RequestDrain};
use crate::feature_settings::unix_ms;
use crate::preset_calls::{object_key, AcceptBody, FindBody};
use crate::problem::CallerProblem;
use crate::status::ReadStatus;
use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use crocusyard_base::prelude::*;
use crocusyard_border::admin::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::planning::check_preset;
use crocusyard_core::prelude::PresetBody;
use crocusyard_platform::prelude::{PlatformAddresses, PlatformClient, PlatformTimeouts};
use crocusyard_presets::prelude::*;
use serde::Deserialize;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Largest number of versions that one call of the history returns.
const MAX_HISTORY_VERSIONS: u64 = 50;

/// State shared by the operators' handlers.
#[derive(Clone)]
pub(crate) struct OperatorState {
    pub(crate) actor: Addr<HostActor>,
    /// Hash of the key that operators present.
    pub(crate) operator_key_hash: blake3::Hash,
    /// Key with which other hosts fetch preset bodies.
    pub(crate) peer_key: Arc<str>,
    pub(crate) platform: PlatformOptions,
}

/// Addresses and timeouts from which each thread builds its own platform client, because a client
/// cannot be shared between threads.
#[derive(Clone, Copy)]
pub(crate) struct PlatformOptions {
    pub(crate) addresses: PlatformAddresses,
    pub(crate) timeouts: PlatformTimeouts,
}

impl PlatformOptions {
    /// Builds a client for the current thread.
    pub(crate) fn client(&self) -> PlatformClient {
        PlatformClient::new(self.addresses, self.timeouts)
    }
}

/// Registers the routes for operators and for other hosts.
pub(crate) fn register(config: &mut web::ServiceConfig) {
    config
        .route("/admin/status", web::get().to(get_status))
        .route("/admin/presets", web::get().to(list_presets))
        .route("/admin/presets/history", web::get().to(get_history))
        .route("/admin/presets/apply", web::post().to(apply_catalog))
        .route("/admin/presets/activate", web::post().to(activate_preset))
        .route("/admin/presets/{version}", web::get().to(get_preset))
        .route("/admin/drain", web::post().to(start_drain))
        .route("/peer/bodies/{digest}", web::get().to(get_peer_body));
}

/// Refuses a request that does not carry the operator key.
fn check_operator_key(state: &OperatorState, request: &HttpRequest) -> Result<(), CallerProblem> {
    let presented_key = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    // Comparing hashes takes the same time wherever the first difference is, so the time of a
    // refusal reveals nothing about the key.
    if presented_key.is_some_and(|key| blake3::hash(key.as_bytes()) == state.operator_key_hash) {
        return Ok(());
    }
    let detail = "the operator key is missing or wrong";
    Err(CallerProblem::refused(
        StatusCode::UNAUTHORIZED,
        "unknown_operator",
        detail,
    ))
}

async fn get_status(
    state: web::Data<OperatorState>,
    request: HttpRequest,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    Ok(HttpResponse::Ok().json(read_status(&state).await?.reply))
}

async fn read_status(state: &OperatorState) -> Result<crate::status::HostStatus, CallerProblem> {
    state
        .actor
        .send(ReadStatus)
        .await
        .map_err(|_| crate::delivery::stopping())
}

async fn list_presets(
    state: web::Data<OperatorState>,
    request: HttpRequest,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    let status = read_status(&state).await?;
    let presets = status
        .body
        .catalog
        .presets
        .iter()
        .map(|preset| preset.name.to_string());
    Ok(HttpResponse::Ok().json(PresetListReply {
        version: status.reply.preset_version,
        in_force: status.reply.preset,
        presets: presets.collect(),
    }))
}

async fn get_preset(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    version: web::Path<u64>,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    let status = read_status(&state).await?;
    let version = version.into_inner();
    let (digest, body) = if version == status.reply.preset_version {
        (digest_hex(&status.body.encode()), status.body)
    } else {
        read_version(&state, version).await?
    };
    Ok(HttpResponse::Ok().json(PresetBodyReply {
        version,
        digest,
        in_force: body.in_force.to_string(),
        catalog: canonical_body(&body.catalog),
    }))
}

/// Reads an earlier version: its row from the history, its body from the object store.
async fn read_version(
    state: &OperatorState,
    version: u64,
) -> Result<(String, PresetBody), CallerProblem> {
    let platform = state.platform.client();
    let row = match platform
        .call_table(&TableCall::Get {
            key: history_key(version),
        })
        .await
    {
        TableAnswer::Row(Some(row)) => PresetRow::parse(&row),
        TableAnswer::Row(None) => None,
        _ => return Err(platform_unavailable()),
    };
    let row = row.ok_or_else(|| unknown_version(version))?;
    let object = platform
        .get_object(&row.digest)
        .await
        .map_err(|_| platform_unavailable())?;
    let body = object.and_then(|object| PresetBody::decode(&object));
    Ok((row.digest, body.ok_or_else(|| unknown_version(version))?))
}

/// Query parameters of `GET /admin/presets/history`.
#[derive(Deserialize)]
struct HistoryParams {
    #[serde(default = "default_history")]
    limit: u64,
}

fn default_history() -> u64 {
    20
}

async fn get_history(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    params: web::Query<HistoryParams>,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    let newest = read_status(&state).await?.reply.preset_version;
    let oldest = newest.saturating_sub(params.limit.min(MAX_HISTORY_VERSIONS)) + 1;
    let platform = state.platform.client();
    let mut entries = Vec::new();
    for version in (oldest..=newest).rev() {
        let call = TableCall::Get {
            key: history_key(version),
        };
        let row = match platform.call_table(&call).await {
            TableAnswer::Row(row) => row.as_ref().and_then(PresetRow::parse),
            _ => return Err(platform_unavailable()),
        };
        let Some(row) = row else { continue };
        let object = platform.get_object(&row.digest).await.ok().flatten();
        let body = object.and_then(|object| PresetBody::decode(&object));
        entries.push(HistoryEntry {
            version,
            digest: row.digest,
            in_force: body
                .map(|body| body.in_force.to_string())
                .unwrap_or_default(),
            author: row.author.to_string(),
            unix_ms: row.at_ms,
        });
    }
    Ok(HttpResponse::Ok().json(HistoryReply { entries }))
}

async fn apply_catalog(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    command: web::Json<ApplyCommand>,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    let catalog = match CatalogSpec::from_yaml(&command.catalog) {
        Ok(catalog) => catalog,
        Err(error) => return Ok(invalid_catalog_reply(error.problems)),
    };
    let status = read_status(&state).await?;
    let keeps_preset = catalog
        .presets
        .iter()
        .any(|preset| preset.name == status.body.in_force);
    let in_force = match catalog.presets.first() {
        Some(first) if !keeps_preset => first.name.clone(),
        _ => status.body.in_force.clone(),
    };
    let body = PresetBody::new(in_force, catalog);
    commit_body(&state, body, command.base_version, &command.author).await
}

async fn activate_preset(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    command: web::Json<ActivateCommand>,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    let status = read_status(&state).await?;
    let name = PresetName::new(&command.name);
    if !status
        .body
        .catalog
        .presets
        .iter()
        .any(|preset| preset.name == name)
    {
        let detail = format!("the catalogue has no preset {:?}", command.name);
        return Err(CallerProblem::refused(
            StatusCode::NOT_FOUND,
            "unknown_preset",
            detail,
        ));
    }
    let body = PresetBody::new(name, status.body.catalog);
    commit_body(&state, body, command.base_version, &command.author).await
}

/// Checks a preset body and puts it in force as a new version.
///
/// A change whose `base` version is not the one in force is refused with the differences between
/// them.
async fn commit_body(
    state: &OperatorState,
    body: PresetBody,
    base: Option<u64>,
    author: &str,
) -> Result<HttpResponse, CallerProblem> {
    let status = read_status(state).await?;
    let version = status.reply.preset_version;
    let diff = diff_catalogs(&status.body.catalog, &body.catalog).lines();
    if let Some(base) = base.filter(|base| *base != version) {
        return conflict_reply(state, base, version, &status.body).await;
    }
    if version > 0 && body == status.body {
        return Ok(HttpResponse::Ok().json(ChangeReply {
            version,
            changed: false,
            diff,
        }));
    }
    if let Err(expected) = check_preset(&body) {
        return Ok(invalid_catalog_reply(vec![InputProblem::new(
            1, "presets", expected,
        )]));
    }
    let (waiter, result) = oneshot::channel();
    let request = AcceptRequest {
        accept: AcceptId(random_id()),
        body: body.encode(),
        author: Arc::from(author),
        at_ms: unix_ms(),
        base_version: Some(version),
    };
    state
        .actor
        .send(AcceptBody { request, waiter })
        .await
        .map_err(|_| crate::delivery::stopping())?;
    match result.await {
        Ok(AcceptResult::Committed(preset)) => Ok(HttpResponse::Ok().json(ChangeReply {
            version: preset.version,
            changed: true,
            diff,
        })),
        Ok(AcceptResult::Conflict { found }) => {
            let found = found.map_or(0, |preset| preset.version);
            conflict_reply(state, version, found, &status.body).await
        }
        Ok(AcceptResult::Unknown { preset }) => Err(change_unknown(preset.version)),
        Ok(AcceptResult::Unavailable) | Err(_) => Err(platform_unavailable()),
    }
}

/// Answers with the version in force and what another operator changed since the base version.
async fn conflict_reply(
    state: &OperatorState,
    base: u64,
    found: u64,
    present: &PresetBody,
) -> Result<HttpResponse, CallerProblem> {
    let before = match base {
        0 => None,
        base => read_version(state, base).await.ok().map(|(_, body)| body),
    };
    let after = read_version(state, found).await.ok().map(|(_, body)| body);
    let after = after.as_ref().unwrap_or(present);
    let mut diff = match &before {
        Some(before) => diff_catalogs(&before.catalog, &after.catalog).lines(),
        None => diff_catalogs(&CatalogSpec::default(), &after.catalog).lines(),
    };
    diff.push(format!("preset in force: {}", after.in_force));
    Ok(HttpResponse::Conflict().json(ConflictReply {
        version: found,
        diff,
    }))
}

fn invalid_catalog_reply(problems: Vec<InputProblem>) -> HttpResponse {
    let problems = problems.into_iter().map(|problem| CatalogProblem {
        line: problem.line,
        path: problem.path,
        expected: problem.expected,
    });
    HttpResponse::UnprocessableEntity().json(ProblemsReply {
        problems: problems.collect(),
    })
}

async fn start_drain(
    state: web::Data<OperatorState>,
    request: HttpRequest,
) -> Result<HttpResponse, CallerProblem> {
    check_operator_key(&state, &request)?;
    state
        .actor
        .send(RequestDrain)
        .await
        .map_err(|_| crate::delivery::stopping())?;
    Ok(HttpResponse::Accepted().json(DrainCommand {}))
}

/// Handles `GET /peer/bodies/{digest}`, which needs the key between hosts instead of the
/// operator's.
async fn get_peer_body(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    digest: web::Path<String>,
) -> Result<HttpResponse, CallerProblem> {
    let presented_key = request
        .headers()
        .get("x-peer-key")
        .and_then(|value| value.to_str().ok());
    let hash = |key: &str| blake3::hash(key.as_bytes());
    if presented_key.map(hash) != Some(hash(&state.peer_key)) {
        let detail = "the key of the other host is missing or wrong";
        return Err(CallerProblem::refused(
            StatusCode::UNAUTHORIZED,
            "unknown_peer",
            detail,
        ));
    }
    let body = state.actor.send(FindBody(digest.into_inner())).await;
    match body.ok().flatten() {
        Some(body) => Ok(HttpResponse::Ok().body(body.to_vec())),
        None => Err(CallerProblem::refused(
            StatusCode::NOT_FOUND,
            "not_found",
            "this host does not have a body with this digest",
        )),
    }
}

fn unknown_version(version: u64) -> CallerProblem {
    let detail = format!("there is no preset version {version}");
    CallerProblem::refused(StatusCode::NOT_FOUND, "unknown_version", detail)
}

fn platform_unavailable() -> CallerProblem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let detail = "the platform does not answer; nothing was changed";
    let mut problem = CallerProblem::refused(status, "platform_unavailable", detail);
    problem.retry_after = Some(ClockTime::from_secs(5));
    problem
}

fn change_unknown(version: u64) -> CallerProblem {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let detail = format!(
        "it is unknown whether preset version {version} was committed; look at the history"
    );
    let mut problem = CallerProblem::refused(status, "change_unknown", detail);
    problem.outcome = crocusyard_requests::prelude::RequestOutcome::Unknown;
    problem
}

fn random_id() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(unix_ms())
}

/// Returns the hexadecimal digest of a body.
fn digest_hex(body: &[u8]) -> String {
    object_key(&crocusyard_presets::row::digest_of(body))
}
