//! Callers that look up host addresses, reuse connections and record the outcome of each call.

use crate::history::{CallKind, CallOutcome, CallRecord};
use crate::run::RunState;
use crate::tenants::{draw_key, LIMITED_TENANT};
use bytes::{Bytes, BytesMut};
use crocusyard_httpconn::prelude::*;
use crocusyard_platform_standin::prelude::{
    claim_tenant, keyed_request, read_addresses, read_answer, ADDRESS_PATH, STREAM_PATH,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Path prefix of calls that must not run more than once.
pub const ONCE_PATH: &str = "/once/";
/// Path prefix of calls that may be repeated.
pub const REPEATABLE_PATH: &str = "/many/";
/// Timeout of callers for plain calls, ms; longer than the timeout of the routes, so that callers
/// see the answer that the host gives at that timeout.
const CALLER_TIMEOUT_MS: u64 = 2_500;
/// Timeout of callers for streams, ms.
const STREAM_CALLER_TIMEOUT_MS: u64 = 6_000;
/// Shortest time after which a caller cancels a call, ms.
const MIN_LEAVE_MS: u64 = 60;
/// Longest time after which a caller cancels a call, ms.
const MAX_LEAVE_MS: u64 = 900;
/// One call in this many is cancelled.
const LEAVE_ONE_IN: u32 = 12;
/// One call in this many with a key claims to be of the limited tenant.
const CLAIM_ONE_IN: u32 = 10;
/// One call in this many uses a new connection.
const NEW_CONN_ONE_IN: u32 = 4;
/// Upper bound of the pause between two calls of a caller, ms.
const MAX_PAUSE_MS: u64 = 120;
/// Time for which callers use a list of addresses; `ttl_max_s` allows 5 s.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Time in which a host must accept a connection and answer an address request, as the protocol
/// states.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which callers keep idle connections; below the hosts' own limit of 15 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// A caller that sends one call after another.
pub struct SoakCaller {
    number: usize,
    rng: StdRng,
    pool: ConnPool,
    addresses: Vec<SocketAddr>,
    refreshed: Option<Instant>,
}

impl SoakCaller {
    /// Creates a caller whose random choices follow from the seed and its number.
    pub fn new(seed: u64, number: usize) -> Self {
        Self {
            number,
            rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
            pool: ConnPool::new(PoolLimits {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                max_idle: 1,
            }),
            addresses: Vec::new(),
            refreshed: None,
        }
    }

    /// Sends calls until the run stops its callers.
    pub async fn run(mut self, state: Rc<RunState>) {
        let mut number = 0;
        while state.callers_active.get() {
            self.refresh_addresses(&state).await;
            let id = format!("c{}-{number}", self.number);
            number += 1;
            if let Some(record) = self.call(&state, id).await {
                state.history.borrow_mut().calls.push(record);
            }
            let pause = self.rng.random_range(1..MAX_PAUSE_MS);
            actix_rt::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Asks a random host for addresses if the known ones are too old, and keeps those if it fails.
    async fn refresh_addresses(&mut self, state: &RunState) {
        if self
            .refreshed
            .is_some_and(|refreshed| refreshed.elapsed() < ADDRESS_TTL)
        {
            return;
        }
        let host = &state.hosts[self.rng.random_range(0..state.hosts.len())];
        let request = Request::builder().uri(ADDRESS_PATH).header("Host", "x");
        let Ok(request) = request.body(Full::default()) else {
            return;
        };
        let conn = self.pool.open(host.addresses.directory);
        let answer = async { conn.await?.exchange(request).await };
        let answer = timeout(CONNECT_TIMEOUT, answer).await;
        let Ok(Ok((status, body))) = answer else {
            return;
        };
        if let Some(addresses) = read_addresses(&body).filter(|_| status.is_success()) {
            self.addresses = addresses;
            self.refreshed = Some(Instant::now());
        }
    }

    async fn call(&mut self, state: &RunState, id: String) -> Option<CallRecord> {
        let entry = match self.addresses.len() {
            0 => return None,
            count => self.addresses[self.rng.random_range(0..count)],
        };
        let mut hosts = state.hosts.iter();
        let host = hosts.position(|host| host.addresses.entry == entry)?;
        let address = state.hosts[host].caller_proxy.address;
        let (kind, prefix, timeout_ms) = match self.rng.random_range(0..3) {
            0 => (CallKind::Once, ONCE_PATH, CALLER_TIMEOUT_MS),
            1 => (CallKind::Repeatable, REPEATABLE_PATH, CALLER_TIMEOUT_MS),
            _ => (CallKind::Stream, STREAM_PATH, STREAM_CALLER_TIMEOUT_MS),
        };
        let path = format!("{prefix}{id}?part={}", self.number);
        let key = state
            .has_tenants
            .then(|| draw_key(&mut self.rng, self.number));
        let keys: Vec<&str> = key.iter().map(|key| key.text).collect();
        let mut request = keyed_request(&path, &id, timeout_ms, &keys).ok()?;
        if key.is_some() && self.rng.random_ratio(1, CLAIM_ONE_IN) {
            claim_tenant(&mut request, LIMITED_TENANT);
        }
        let leaves = self.rng.random_ratio(1, LEAVE_ONE_IN);
        let limit_ms = if leaves {
            self.rng.random_range(MIN_LEAVE_MS..MAX_LEAVE_MS)
        } else {
            timeout_ms
        };
        let new_conn = self.rng.random_ratio(1, NEW_CONN_ONE_IN);
        let started = state.now();
        let mut reused = false;
        let exchange = self.exchange(address, new_conn, request, &mut reused);
        let outcome = timeout(Duration::from_millis(limit_ms), exchange).await;
        let unfinished = if leaves {
            CallOutcome::Left
        } else {
            CallOutcome::Unanswered
        };
        Some(CallRecord {
            id,
            kind,
            path,
            key,
            host,
            reused,
            timeout_ms,
            started,
            ended: state.now(),
            outcome: outcome.unwrap_or(unfinished),
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        new_conn: bool,
        request: Request<Full<Bytes>>,
        reused: &mut bool,
    ) -> CallOutcome {
        let conn = if new_conn {
            self.pool.open(address).await
        } else {
            self.pool.acquire(address).await
        };
        let Ok(mut conn) = conn else {
            return CallOutcome::Unsent;
        };
        *reused = conn.reused;
        match conn.send(request).await {
            Ok(answer) => read_outcome(conn, answer).await,
            Err(error) if error.is_unsent() => CallOutcome::Unsent,
            Err(_) => CallOutcome::Lost,
        }
    }
}

async fn read_outcome(conn: PooledConn, answer: Response<Incoming>) -> CallOutcome {
    let (head, mut body) = answer.into_parts();
    let facts = read_answer(&head);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CallOutcome::Broken(facts, bytes.freeze());
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    conn.release().await;
    CallOutcome::Answered(facts, bytes.freeze())
}

/// Returns whether a host reports that it is ready.
pub async fn is_ready(address: SocketAddr, path: &str) -> bool {
    let pool = ConnPool::new(PoolLimits {
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        max_idle: 0,
    });
    let Ok(request) = Request::builder()
        .uri(path)
        .header("Host", "x")
        .body(Full::default())
    else {
        return false;
    };
    let answer = async { pool.open(address).await?.exchange(request).await };
    let answer = timeout(CONNECT_TIMEOUT, answer).await;
    matches!(answer, Ok(Ok((status, _))) if status.is_success())
}
