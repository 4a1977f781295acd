//! An entry host process under test, and calls to it.

#![allow(dead_code)]

use bytes::Bytes;
use crocusyard_httpconn::prelude::*;
use crocusyard_platform_standin::prelude::*;
use crocusyard_testbed::ports::{unused_address, unused_range};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time limit for a host to serve after a start or a change, far longer than it needs.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which a test looks again whether a host has reached a state.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of each call, ms.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Size of the port range that the settings give to the host.
const PORT_COUNT: u16 = 16;

/// An entry host process, which is killed when this value is dropped.
pub struct EntryHost {
    pub child: Child,
    pub addresses: HostAddresses,
    pub metrics: SocketAddr,
    settings: tempfile::TempPath,
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        // Fails if the process has already ended, which is no error here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryHost {
    /// Starts the host `name`, which uses the given store.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        // The ports come from a helper that avoids ports of outgoing connections. An ordinary free
        // port of 127.0.0.1 may be taken by such a connection before the process binds it.
        let peer = unused_range(PORT_COUNT);
        let addresses = HostAddresses {
            entry: unused_address(),
            ready: unused_address(),
            directory: unused_address(),
            first_port: peer.port(),
        };
        // The metrics are served on the second port of the range.
        let metrics = SocketAddr::new(peer.ip(), peer.port() + 1);
        let text = settings_text(name, &addresses, store);
        let mut file = tempfile::NamedTempFile::new().expect("the settings file cannot be created");
        file.write_all(text.as_bytes())
            .expect("the settings file cannot be written");
        let settings = file.into_temp_path();
        let child = Command::new(env!("CARGO_BIN_EXE_crocusyard"))
            .arg("entry")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the host process cannot start");
        Self {
            child,
            addresses,
            metrics,
            settings,
        }
    }

    /// Waits until the readiness check of the host succeeds.
    pub async fn wait_ready(&self) {
        let start = Instant::now();
        while get(self.addresses.ready, READY_PATH).await.0 != StatusCode::OK {
            assert!(
                start.elapsed() < SETTLE_LIMIT,
                "the host with the settings {:?} is not ready in time",
                self.settings
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn pool() -> ConnPool {
    ConnPool::new(PoolLimits {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
        max_idle: 4,
    })
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(StatusCode, Bytes)> {
    let conn = pool().open(address).await.ok()?;
    conn.exchange(request).await.ok()
}

/// Reads a path; returns 502 if there is no answer.
pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, Bytes) {
    let request = Request::builder()
        .uri(path)
        .header("Host", "x")
        .body(Full::default());
    let answer = exchange(address, request.expect("the request is not valid")).await;
    answer.unwrap_or((StatusCode::BAD_GATEWAY, Bytes::new()))
}

/// Sends a call to the host as a caller does; returns `None` if the connection ends without an
/// answer.
pub async fn call(host: &EntryHost, path: &str, id: &str) -> Option<(StatusCode, Bytes)> {
    let request = caller_request(path, id, CALL_TIMEOUT_MS).expect("the request is not valid");
    exchange(host.addresses.entry, request).await
}

/// A route of the service `s`.
pub const fn route(prefix: &'static str, kind: RouteKind, attempts: u32) -> TestRoute {
    TestRoute {
        prefix,
        kind,
        attempts,
        service: "s",
    }
}
