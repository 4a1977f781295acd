//! Address queries: which entry hosts a caller should use.

use crate::actor::HostActor;
use crate::callers::CallerState;
use crate::delivery::stopping;
use crate::problem::CallerProblem;
use actix::{Context, Handler, Message};
use actix_web::http::StatusCode;
use actix_web::{web, HttpRequest, HttpResponse};
use crocusyard_border::callers::{AddressList, EntryAddress};
use crocusyard_routing::prelude::AddressQuery;
use serde::Deserialize;
use std::net::SocketAddr;

/// Query parameters of `GET /v1/addresses`.
#[derive(Debug, Deserialize)]
pub struct AddressParams {
    model: Option<String>,
    service: Option<String>,
    last: Option<SocketAddr>,
}

/// Asks the actor for the entry addresses of one caller.
#[derive(Message)]
#[rtype(result = "AddressList")]
struct QueryAddresses {
    /// Model or service under which callers are spread.
    key: String,
    /// Hash that identifies the caller.
    caller: u64,
    /// Entry address that the caller used last; it stays first while it is a primary one.
    last: Option<SocketAddr>,
}

impl Handler<QueryAddresses> for HostActor {
    type Result = actix::MessageResult<QueryAddresses>;

    fn handle(&mut self, query: QueryAddresses, _context: &mut Context<Self>) -> Self::Result {
        let address_query = AddressQuery {
            now: self.now(),
            key: &query.key,
            caller_hash: query.caller,
            last_address: query.last,
        };
        let answer = self.state.entry_directory.answer(&address_query);
        let addresses = answer.addresses.into_iter().map(|entry| EntryAddress {
            address: entry.address.to_string(),
            weight: entry.weight,
            domain: self
                .state
                .domain_of(&entry.host)
                .map_or_else(String::new, |domain| domain.to_string()),
            host: entry.host.to_string(),
        });
        let addresses = addresses.collect();
        actix::MessageResult(AddressList {
            addresses,
            ttl_ms: answer.ttl.as_ms(),
        })
    }
}

/// Handles `GET /v1/addresses`.
pub async fn list_addresses(
    state: web::Data<CallerState>,
    request: HttpRequest,
    params: web::Query<AddressParams>,
) -> Result<HttpResponse, CallerProblem> {
    let params = params.into_inner();
    let key = resource_key(&state, &params)?;
    let caller = caller_hash(&request);
    let query = QueryAddresses {
        key,
        caller,
        last: params.last,
    };
    let list = state.actor.send(query).await.map_err(|_| stopping())?;
    if list.addresses.is_empty() {
        return Err(no_host());
    }
    Ok(HttpResponse::Ok().json(list))
}

/// Returns the name under which callers are spread over hosts; an adapter uses that of its base
/// model.
fn resource_key(state: &CallerState, params: &AddressParams) -> Result<String, CallerProblem> {
    use crocusyard_routing::prelude::WorkKind;
    let view = state.catalog.current();
    match (&params.model, &params.service) {
        (Some(name), None) => match view.work_kind(name) {
            Some(WorkKind::Model { model, .. }) => Ok(model.to_string()),
            _ => Err(not_deployed("unknown_model", name)),
        },
        (None, Some(name)) => match view.service(name) {
            Some(service) => Ok(service.name.to_string()),
            None => Err(not_deployed("unknown_service", name)),
        },
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "exactly one of the parameters model and service is expected",
        )),
    }
}

/// Hashes the caller's IP address, so that the callers of a key spread over its hosts.
fn caller_hash(request: &HttpRequest) -> u64 {
    let peer = request
        .peer_addr()
        .map(|address| address.ip().to_string())
        .unwrap_or_default();
    let hash = blake3::hash(peer.as_bytes());
    u64::from_le_bytes(
        hash.as_bytes()[..8]
            .try_into()
            .expect("a BLAKE3 hash has 32 bytes"),
    )
}

fn not_deployed(code: &'static str, name: &str) -> CallerProblem {
    CallerProblem::refused(
        StatusCode::NOT_FOUND,
        code,
        format!("{name:?} is not deployed"),
    )
}

fn no_host() -> CallerProblem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut problem = CallerProblem::refused(status, "no_host", "no entry host accepts work now");
    problem.retry_after = Some(crocusyard_base::prelude::ClockTime::from_secs(1));
    problem
}
