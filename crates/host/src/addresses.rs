//! The address question: which entry hosts a caller should use.

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

/// Query of `GET /v1/addresses`.
#[derive(Debug, Deserialize)]
pub struct AddressParams {
    model: Option<String>,
    service: Option<String>,
    last: Option<SocketAddr>,
}

/// The question, for the actor.
#[derive(Message)]
#[rtype(result = "AddressList")]
struct AskAddresses {
    key: String,
    caller: u64,
    last: Option<SocketAddr>,
}

impl Handler<AskAddresses> for HostActor {
    type Result = actix::MessageResult<AskAddresses>;

    fn handle(&mut self, ask: AskAddresses, _context: &mut Context<Self>) -> Self::Result {
        let query = AddressQuery {
            now: self.now(),
            key: &ask.key,
            caller_hash: ask.caller,
            last_address: ask.last,
        };
        let answer = self.state.entry_directory.answer(&query);
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
    let ask = AskAddresses {
        key,
        caller,
        last: params.last,
    };
    let list = state.actor.send(ask).await.map_err(|_| stopping())?;
    if list.addresses.is_empty() {
        return Err(no_host());
    }
    Ok(HttpResponse::Ok().json(list))
}

/// Returns the name under which callers are spread: an adapter goes with its base model.
fn resource_key(state: &CallerState, params: &AddressParams) -> Result<String, CallerProblem> {
    use crocusyard_routing::prelude::WorkKind;
    let view = state.catalog.current();
    match (&params.model, &params.service) {
        (Some(name), None) => match view.work_kind(name) {
            Some(WorkKind::Model { model, .. }) => Ok(model.to_string()),
            _ => Err(unknown("unknown_model", name)),
        },
        (None, Some(name)) => match view.service(name) {
            Some(service) => Ok(service.name.to_string()),
            None => Err(unknown("unknown_service", name)),
        },
        _ => Err(CallerProblem::refused(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "exactly one of model and service is expected",
        )),
    }
}

/// Hashes what identifies a caller, so that callers spread over the hosts of a key.
fn caller_hash(request: &HttpRequest) -> u64 {
    let peer = request
        .peer_addr()
        .map(|address| address.ip().to_string())
        .unwrap_or_default();
    let hash = blake3::hash(peer.as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("hash has 32 bytes"))
}

fn unknown(code: &'static str, name: &str) -> CallerProblem {
    CallerProblem::refused(
        StatusCode::NOT_FOUND,
        code,
        format!("{name:?} is not deployed"),
    )
}

fn no_host() -> CallerProblem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut problem = CallerProblem::refused(status, "no_host", "no entry host takes work now");
    problem.retry_after = Some(crocusyard_base::prelude::ClockTime::from_secs(1));
    problem
}
