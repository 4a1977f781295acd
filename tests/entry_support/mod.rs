//! An entry host process under test, and calls to it.

#![allow(dead_code)]

use bytes::Bytes;
use crocusyard_httpconn::prelude::*;
use crocusyard_platform_standin::prelude::*;
use crocusyard_testbed::ports::{unused_address, unused_range};
use http_body_util::{BodyExt, Full};
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
        Self::start_with(name, store, "")
    }

    /// Starts a host whose standard output, which has its log, goes to `output`.
    pub fn start_with_output(name: &str, store: SocketAddr, output: Stdio) -> Self {
        Self::start_process(name, store, "", output)
    }

    /// Starts the host `name` with further lines in its settings.
    pub fn start_with(name: &str, store: SocketAddr, further_settings: &str) -> Self {
        Self::start_process(name, store, further_settings, Stdio::null())
    }

    fn start_process(name: &str, store: SocketAddr, further_settings: &str, output: Stdio) -> Self {
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
        let text = settings_text(name, &addresses, store) + further_settings;
        let mut file = tempfile::NamedTempFile::new().expect("the settings file cannot be created");
        file.write_all(text.as_bytes())
            .expect("the settings file cannot be written");
        let settings = file.into_temp_path();
        let child = Command::new(env!("CARGO_BIN_EXE_crocusyard"))
            .arg("entry")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(output)
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

/// Returns the connections of a caller.
pub fn pool() -> ConnPool {
    ConnPool::new(PoolLimits {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
        max_idle: 4,
    })
}

/// Sends a request on a new connection; returns `None` if the connection ends without an answer.
pub async fn exchange(
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

/// Sends a call with a prompt of parts with these identifiers; returns its status.
pub async fn prompt_call(host: &EntryHost, path: &str, id: &str, parts: &[u64]) -> StatusCode {
    let request =
        prompt_request(path, id, CALL_TIMEOUT_MS, parts).expect("the request is not valid");
    let answer = exchange(host.addresses.entry, request).await;
    answer.expect("the call got no answer").0
}

/// A route of the service `s`.
pub const fn route(prefix: &'static str, kind: RouteKind, attempts: u32) -> TestRoute {
    TestRoute {
        prefix,
        kind,
        attempts,
        service: "s",
        timeout_ms: None,
    }
}

/// Sends the stop signal to a host.
pub fn stop(host: &EntryHost) {
    let killed = Command::new("kill")
        .args(["-TERM", &host.child.id().to_string()])
        .status()
        .expect("the command `kill` cannot start");
    assert!(killed.success());
}

/// Sends a call that is refused; returns after which time it may be sent again, or `None` if it was
/// not refused with such a time.
pub async fn refused_until(host: &EntryHost, path: &str, id: &str) -> Option<Duration> {
    let request = caller_request(path, id, CALL_TIMEOUT_MS).expect("the request is not valid");
    let mut conn = pool().open(host.addresses.entry).await.ok()?;
    let answer = conn.send(request).await.ok()?;
    if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = answer.headers().get("retry-after")?;
    let seconds: f64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs_f64(seconds))
}

/// Sends a call on a new connection; returns whether the connection was opened and then ended
/// without an answer.
pub async fn is_cut_off(host: &EntryHost, path: &str, id: &str) -> bool {
    is_cut_off_within(host, path, id, CALL_TIMEOUT_MS).await
}

/// Sends a call whose caller waits for `timeout_ms`, in the same way.
pub async fn is_cut_off_within(host: &EntryHost, path: &str, id: &str, timeout_ms: u64) -> bool {
    let request = caller_request(path, id, timeout_ms).expect("the request is not valid");
    match pool().open(host.addresses.entry).await {
        Ok(conn) => conn.exchange(request).await.is_err(),
        Err(_) => false,
    }
}

/// How a stream ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The body came to its marked end.
    Complete,
    /// The connection ended before the body did.
    Broken,
    /// The caller stopped waiting.
    Open,
}

/// A stream as its caller received it.
pub struct ReceivedStream {
    pub status: StatusCode,
    pub text: String,
    pub end: StreamEnd,
}

/// Calls a streaming route and reads the stream for `limit` at most.
pub async fn stream(host: &EntryHost, path: &str, id: &str, limit: Duration) -> ReceivedStream {
    let request = caller_request(path, id, STREAM_TIMEOUT_MS).expect("the request is not valid");
    let mut conn = pool()
        .open(host.addresses.entry)
        .await
        .expect("the host does not accept the connection");
    let answer = conn.send(request).await.expect("the call got no answer");
    let status = answer.status();
    let mut body = answer.into_body();
    let mut bytes = Vec::new();
    let end = Instant::now() + limit;
    let end = loop {
        let left = end.saturating_duration_since(Instant::now());
        match actix_rt::time::timeout(left, body.frame()).await {
            Err(_) => break StreamEnd::Open,
            Ok(None) => break StreamEnd::Complete,
            Ok(Some(Err(_))) => break StreamEnd::Broken,
            Ok(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
            }
        }
    };
    ReceivedStream {
        status,
        text: String::from_utf8_lossy(&bytes).into_owned(),
        end,
    }
}

/// Returns the head of a caller's request as text, without the length of the body and the line that
/// ends the head.
pub fn request_head(path: &str, id: &str, timeout_ms: u64) -> String {
    let request = caller_request(path, id, timeout_ms).expect("the request is not valid");
    let mut text = format!("POST {path} HTTP/1.1\r\n");
    for (name, value) in request.headers() {
        let value = value.to_str().expect("a header of text");
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Calls a streaming route on a connection with a small buffer, of which nothing is read.
pub fn open_unread_stream(host: &EntryHost, path: &str, id: &str) -> socket2::Socket {
    const RECEIVE_BUFFER_BYTES: usize = 4_096;
    let text = request_head(path, id, STREAM_TIMEOUT_MS) + "Content-Length: 0\r\n\r\n";
    let domain = socket2::Domain::for_address(host.addresses.entry);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a small buffer");
    socket
        .connect(&host.addresses.entry.into())
        .expect("the host does not accept the connection");
    (&socket)
        .write_all(text.as_bytes())
        .expect("the request cannot be sent");
    socket
}
