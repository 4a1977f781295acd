//! Management calls to targets: load reports, cache events, orders, fencing, call records,
//! cancellation and probes.

use crate::error::TargetError;
use awc::Client;
use crocusyard_base::prelude::*;
use crocusyard_border::engine::{
    CacheEvents, CallRecord, EngineOrder, FencingRaise, LoadCounts, LoadStatus, OrderStatus,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer to a management call, bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Longest tag that is sent back to a target, bytes; targets choose the tags of their load reports.
const TAG_LIMIT: usize = 64;

/// Reads a target's whole load report.
pub async fn read_load(
    client: &Client,
    address: SocketAddr,
    timeout: Duration,
) -> Result<LoadStatus, TargetError> {
    get_json(client, &format!("http://{address}/load"), timeout).await
}

/// Answer to [`read_load_since`].
#[derive(Clone, Debug, PartialEq)]
pub enum LoadAnswer {
    /// The whole load report.
    Whole(Box<LoadStatus>),
    /// The counts only; the rest of the report is the same as in the report with the known tag.
    Counts(LoadCounts),
}

/// Reads a target's load report, or only its counts if the rest of the report still has the tag
/// `known`.
///
/// The whole report is read if `known` is `None` or no valid tag. A target that does not support
/// tags ignores the query and sends the whole report.
pub async fn read_load_since(
    client: &Client,
    address: SocketAddr,
    known: Option<&str>,
    timeout: Duration,
) -> Result<LoadAnswer, TargetError> {
    let Some(known) = known.filter(|known| is_tag(known)) else {
        let status = read_load(client, address, timeout).await?;
        return Ok(LoadAnswer::Whole(Box::new(status)));
    };
    let url = format!("http://{address}/load?residency={known}");
    let sent = client.get(url).timeout(timeout).send().await;
    let mut response = check_status(sent)?;
    let body = read_within(timeout, response.body().limit(BODY_LIMIT)).await?;
    // A whole report has all fields of the counts too, so it is tried first.
    if let Ok(status) = serde_json::from_slice(&body) {
        return Ok(LoadAnswer::Whole(Box::new(status)));
    }
    serde_json::from_slice(&body)
        .map(LoadAnswer::Counts)
        .map_err(|error| TargetError::Malformed {
            reason: error.to_string(),
        })
}

/// Returns whether a tag can be put into a query without escaping.
fn is_tag(text: &str) -> bool {
    (1..=TAG_LIMIT).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

/// Reads an engine's cache events with sequence numbers higher than `after`.
pub async fn read_cache_events(
    client: &Client,
    address: SocketAddr,
    after: u64,
    timeout: Duration,
) -> Result<CacheEvents, TargetError> {
    get_json(
        client,
        &format!("http://{address}/cache-events?after={after}"),
        timeout,
    )
    .await
}

/// Sends an order to an engine.
pub async fn send_order(
    client: &Client,
    address: SocketAddr,
    order: &EngineOrder,
    timeout: Duration,
) -> Result<OrderStatus, TargetError> {
    post_json(client, &format!("http://{address}/orders"), order, timeout).await
}

/// Reads the state of an order.
pub async fn read_order(
    client: &Client,
    address: SocketAddr,
    order: OrderId,
    timeout: Duration,
) -> Result<OrderStatus, TargetError> {
    get_json(client, &format!("http://{address}/orders/{order}"), timeout).await
}

/// Raises the lowest fencing number from which an engine accepts orders.
pub async fn raise_fencing(
    client: &Client,
    address: SocketAddr,
    fencing: FencingNumber,
    timeout: Duration,
) -> Result<OrderStatus, TargetError> {
    let raise = FencingRaise { fencing: fencing.0 };
    post_json(
        client,
        &format!("http://{address}/fencing"),
        &raise,
        timeout,
    )
    .await
}

/// Reads a plain service's record of the call with an idempotency key; `None` if it has none.
pub async fn read_record(
    client: &Client,
    address: SocketAddr,
    key: &str,
    timeout: Duration,
) -> Result<Option<CallRecord>, TargetError> {
    match get_json(client, &format!("http://{address}/records/{key}"), timeout).await {
        Ok(record) => Ok(Some(record)),
        Err(TargetError::Status { status: 404 }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Cancels the stream of an attempt at its engine.
pub async fn cancel_stream(
    client: &Client,
    address: SocketAddr,
    attempt: AttemptId,
    timeout: Duration,
) -> Result<(), TargetError> {
    client
        .delete(format!("http://{address}/v1/streams/{attempt}"))
        .timeout(timeout)
        .send()
        .await
        .map(|_| ())
        .map_err(|error| TargetError::Unreachable {
            reason: error.to_string(),
        })
}

/// Returns whether a target answers a load read on a new connection.
pub async fn probe(address: SocketAddr, timeout: Duration) -> bool {
    let client = crate::pool::new_client(timeout);
    read_load(&client, address, timeout).await.is_ok()
}

async fn get_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    timeout: Duration,
) -> Result<T, TargetError> {
    let request = client.get(url).timeout(timeout);
    read_json(request.send().await, timeout).await
}

async fn post_json<T: DeserializeOwned>(
    client: &Client,
    url: &str,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<T, TargetError> {
    let request = client.post(url).timeout(timeout);
    read_json(request.send_json(body).await, timeout).await
}

/// Checks the status of a response and parses its body.
async fn read_json<T: DeserializeOwned, S>(
    response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    timeout: Duration,
) -> Result<T, TargetError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = check_status(response)?;
    read_within(timeout, response.json::<T>().limit(BODY_LIMIT)).await
}

/// Returns an error if the call failed or was answered with an error status.
fn check_status<S>(
    response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> Result<awc::ClientResponse<S>, TargetError> {
    let response = response.map_err(|error| TargetError::Unreachable {
        reason: error.to_string(),
    })?;
    if !response.status().is_success() {
        return Err(TargetError::Status {
            status: response.status().as_u16(),
        });
    }
    Ok(response)
}

/// Reads a body within a timeout.
async fn read_within<T, E: std::fmt::Display>(
    timeout: Duration,
    body: impl Future<Output = Result<T, E>>,
) -> Result<T, TargetError> {
    match actix_rt::time::timeout(timeout, body).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(TargetError::Malformed {
            reason: error.to_string(),
        }),
        Err(_) => Err(TargetError::Unreachable {
            reason: "the answer timed out".to_owned(),
        }),
    }
}
