//! Management calls to targets: load, cache events, orders, records, cancellation and probes.

use crate::error::TargetError;
use awc::Client;
use crocusyard_base::prelude::*;
use crocusyard_border::engine::{
    CacheEvents, CallRecord, EngineOrder, FencingRaise, LoadStatus, OrderStatus,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer to a management call.
const BODY_LIMIT: usize = 8 << 20;

/// Reads a target's load.
pub async fn read_load(
    client: &Client,
    address: SocketAddr,
    timeout: Duration,
) -> Result<LoadStatus, TargetError> {
    get_json(client, &format!("http://{address}/load"), timeout).await
}

/// Reads an engine's cache events after a sequence number.
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

/// Raises the lowest fencing number that an engine accepts.
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

/// Reads the record of a keyed call; `None` if the target has none.
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

/// Cancels a stream at its engine.
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

/// Returns whether a target answers on a new connection.
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

async fn read_json<T: DeserializeOwned, S>(
    response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    timeout: Duration,
) -> Result<T, TargetError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = response.map_err(|error| TargetError::Unreachable {
        reason: error.to_string(),
    })?;
    if !response.status().is_success() {
        return Err(TargetError::Status {
            status: response.status().as_u16(),
        });
    }
    let body = response.json::<T>().limit(BODY_LIMIT);
    match actix_rt::time::timeout(timeout, body).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(TargetError::Malformed {
            reason: error.to_string(),
        }),
        Err(_) => Err(TargetError::Unreachable {
            reason: "answer timed out".to_owned(),
        }),
    }
}
