//! Clients that are not controlled: bodies that stop short of their end, bodies far over the limit,
//! heads that never end, and readers that never read.
//!
//! Guards against processes that run out of memory or descriptors. The bounds are those of the
//! settings, of which the files' share of the descriptors is left out. Each crowd is larger than
//! what fits, and its connections stay open while an ordinary request is answered.

mod entry_support;
mod support;

use crocusyard_platform_standin::prelude::*;
use crocusyard_testbed::prelude::*;
use entry_support::{call, request_head, EntryHost, POLL_INTERVAL};
use hyper::StatusCode;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::host_program;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;

/// Memory in the settings of each process, MB; the size of the smallest hosts.
const MEMORY_MB: u64 = 120;
/// Descriptors in the settings of each process.
const MAX_FDS: usize = 512;
/// Descriptors of these that are kept for files.
const FILE_FDS: usize = 200;
/// Largest body in the configuration, bytes.
const BODY_BYTES: usize = 4_194_304;
/// Number of bytes that a body which stops short of its end lacks.
const MISSING_BYTES: usize = 16;
/// Number of clients that send large bodies: twice what fits into the memory.
const LARGE_CROWD: usize = 60;
/// Number of clients that send large bodies to the command `serve`, which reads more slowly.
const SERVE_CROWD: usize = 160;
/// Number of requests that a target runs at once, unless answers are long: more than the crowd.
const TARGET_SLOTS: u32 = 300;
/// Number of long answers at once. The connections to targets allow the sum of their lengths.
const LONG_ANSWER_SLOTS: u32 = 6;
/// Number of clients that send tiny chunks.
const TINY_CROWD: usize = 100;
/// Length of a tiny chunk, bytes.
const TINY_CHUNK_BYTES: usize = 4;
/// Length of the whole body in tiny chunks, bytes.
const TINY_BODY_BYTES: usize = 1 << 20;
/// Length of a large chunk, bytes.
const LARGE_CHUNK_BYTES: usize = 64 * 1_024;
/// Length of a piece of a body, bytes.
const PIECE_BYTES: usize = 16 * 1_024;
/// Length of bodies far over the limit, bytes.
const FAR_OVER_BYTES: usize = 3 * BODY_BYTES;
/// Number of clients whose heads never end: more than there are descriptors.
const HEAD_CROWD: usize = 600;
/// Number of lines of an endless head that each client sends.
const HEAD_LINES: usize = 200;
/// Number of clients that read nothing of an answer.
const UNREAD_CROWD: usize = 120;
/// Number of clients that read nothing of a stream.
const STREAM_CROWD: usize = 150;
/// Receive buffer of clients that read nothing, bytes.
const UNREAD_BUFFER_BYTES: u32 = 4_096;
/// Time limit for a crowd to send what it sends; the connections then stay open.
const CROWD_LIMIT: Duration = Duration::from_secs(45);
/// Time after which a process has read what its crowd has sent.
const READ_TIME: Duration = Duration::from_secs(4);
/// The same for a crowd that sends tiny chunks.
const TINY_READ_TIME: Duration = Duration::from_secs(20);
/// Time limit for an ordinary request to be answered, far longer than it needs.
const ORDINARY_LIMIT: Duration = Duration::from_secs(60);
/// Timeout of calls in these tests, ms.
const CALL_TIMEOUT_MS: u64 = 30_000;

const CALL_PATH: &str = "/many/1";
const STREAM_CALL_PATH: &str = "/flow/1";

/// Held by each test, so that no test adds to the load of another one.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// How a client sends what follows the head of its request.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A body of an announced length, in as few writes as possible.
    Whole { announced: usize, sent: usize },
    /// A body of an announced length, in pieces.
    Pieces { announced: usize, sent: usize },
    /// Chunks without an end.
    Chunks { length: usize, sent: usize },
    /// Lines of a head without an end.
    HeadLines,
    /// A complete body; the client then reads nothing.
    Complete { length: usize },
}

impl Form {
    /// Returns the lines that end the head, and the parts that follow it.
    fn parts(self) -> (String, Vec<Vec<u8>>) {
        let announce = |length: usize| format!("content-length: {length}\r\n\r\n");
        match self {
            Self::Whole { announced, sent } => (announce(announced), vec![vec![b'x'; sent]]),
            Self::Pieces { announced, sent } => {
                let pieces = vec![vec![b'x'; PIECE_BYTES]; sent / PIECE_BYTES];
                let rest = vec![b'x'; sent % PIECE_BYTES];
                (announce(announced), [pieces, vec![rest]].concat())
            }
            Self::Chunks { length, sent } => {
                let mut chunk = format!("{length:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + length, b'x');
                chunk.extend_from_slice(b"\r\n");
                let per_write = (PIECE_BYTES / length).max(1);
                let parts = vec![chunk.repeat(per_write); sent / length / per_write];
                ("transfer-encoding: chunked\r\n\r\n".to_owned(), parts)
            }
            Self::HeadLines => {
                let lines = (0..HEAD_LINES).map(|n| format!("x-line-{n}: {}\r\n", "x".repeat(40)));
                (String::new(), lines.map(String::into_bytes).collect())
            }
            Self::Complete { length } => (announce(length), vec![vec![b'x'; length]]),
        }
    }

    /// Returns a body that stops just short of its end.
    const fn short(is_whole: bool) -> Self {
        let (announced, sent) = (BODY_BYTES, BODY_BYTES - MISSING_BYTES);
        if is_whole {
            Self::Whole { announced, sent }
        } else {
            Self::Pieces { announced, sent }
        }
    }
}

/// Clients whose connections stay open until this value is dropped.
struct Crowd {
    tasks: Vec<JoinHandle<()>>,
    sent: tokio::sync::mpsc::UnboundedReceiver<()>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Crowd {
    /// Starts clients that send the same request to `address`, with `head` up to the lines that
    /// `form` adds.
    fn start(
        address: SocketAddr,
        count: usize,
        head: impl Fn(usize) -> String,
        form: Form,
    ) -> Self {
        let (report, sent) = tokio::sync::mpsc::unbounded_channel();
        let (ending, parts) = form.parts();
        let parts = std::rc::Rc::new(parts);
        let clients = (0..count).map(|number| {
            let head = head(number) + &ending;
            let (parts, report) = (parts.clone(), report.clone());
            actix_rt::spawn(async move {
                let stream = send_parts(address, head.as_bytes(), &parts).await;
                // The test may have stopped waiting.
                let _ = report.send(());
                std::future::pending::<()>().await;
                drop(stream);
            })
        });
        let tasks = clients.collect();
        Self { tasks, sent }
    }

    /// Waits until all clients have sent everything, were cut off, or wait for the process;
    /// returns the largest number of descriptors that the process had open.
    async fn settle(&mut self, process: u32, form: Form) -> usize {
        let read_time = match form {
            Form::Chunks { length, .. } if length == TINY_CHUNK_BYTES => TINY_READ_TIME,
            _ => READ_TIME,
        };
        let start = Instant::now();
        let (mut ended, mut descriptors) = (0, 0);
        let mut last_end = start;
        while start.elapsed() < CROWD_LIMIT {
            while self.sent.try_recv().is_ok() {
                ended += 1;
                last_end = Instant::now();
            }
            if ended == self.tasks.len() && last_end.elapsed() >= read_time {
                break;
            }
            descriptors = descriptors.max(open_descriptors(process));
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        descriptors.max(open_descriptors(process))
    }
}

/// Sends a request whose connection is returned, unless the process cut it off.
async fn send_parts(address: SocketAddr, head: &[u8], parts: &[Vec<u8>]) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(UNREAD_BUFFER_BYTES)
        .expect("a small buffer");
    let mut stream = socket.connect(address).await.ok()?;
    stream.write_all(head).await.ok()?;
    for part in parts {
        stream.write_all(part).await.ok()?;
        // The clients send side by side.
        tokio::task::yield_now().await;
    }
    Some(stream)
}

/// Returns the largest memory that a process has had, bytes; `None` if it has ended.
fn peak_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Checks the memory and the descriptors of a process against the settings.
fn check_bounds(process: u32, descriptors: usize) {
    let peak = peak_memory(process).expect("the process has ended");
    eprintln!("peak memory {} KB, descriptors {descriptors}", peak / 1_024);
    assert!(
        peak < MEMORY_MB * 1_000_000,
        "the process has used {peak} bytes of {MEMORY_MB} MB"
    );
    assert!(
        descriptors <= MAX_FDS - FILE_FDS,
        "the process had {descriptors} descriptors open, of {MAX_FDS} with {FILE_FDS} for files"
    );
}

/// A host of the command `entry` with its store and targets.
struct EntryDeployment {
    _store: StoreStandin,
    target: TargetStandin,
    host: EntryHost,
    _alone: MutexGuard<'static, ()>,
}

const fn route(prefix: &'static str, kind: RouteKind) -> TestRoute {
    TestRoute {
        prefix,
        kind,
        attempts: 1,
        service: "s",
        timeout_ms: Some(CALL_TIMEOUT_MS),
    }
}

impl EntryDeployment {
    async fn start() -> Self {
        Self::start_with_slots(TARGET_SLOTS).await
    }

    /// Starts a deployment whose target runs `slots` requests at once.
    async fn start_with_slots(slots: u32) -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        let routes = [
            route("/many/", RouteKind::NonIdempotent),
            route(STREAM_PATH, RouteKind::Resumable),
        ];
        let mut rules = configuration(1, &routes);
        rules["limits"]["max_body_bytes"] = json!(BODY_BYTES);
        rules["services"][0]["max_conns"] = json!(TARGET_SLOTS);
        store.put_configuration(&rules);
        let target = TargetStandin::start("i-1")
            .await
            .expect("the target stand-in cannot start");
        store.put_target(&target.name(), &target.record_with_slots("s", slots));
        let further = format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
        let host = EntryHost::start_with("edge-1", store.address, &further);
        host.wait_ready().await;
        Self {
            _store: store,
            target,
            host,
            _alone: alone,
        }
    }

    /// Lets a crowd send requests, and checks the process afterwards.
    async fn face(&mut self, count: usize, path: &str, form: Form) {
        let head = |number: usize| request_head(path, &format!("c{number}"), CALL_TIMEOUT_MS);
        let mut crowd = Crowd::start(self.host.addresses.entry, count, head, form);
        let descriptors = crowd.settle(self.host.child.id(), form).await;
        self.target.set_fault(TargetFault::None);
        let start = Instant::now();
        let mut number = 0;
        loop {
            let ended = self.host.child.try_wait().expect("the process is a child");
            assert!(ended.is_none(), "the process has ended: {ended:?}");
            number += 1;
            let id = format!("ordinary{number}");
            let answer = call(&self.host, CALL_PATH, &id).await;
            if matches!(answer, Some((StatusCode::OK, _))) {
                break;
            }
            let waited = start.elapsed();
            assert!(waited < ORDINARY_LIMIT, "an ordinary call got {answer:?}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        check_bounds(self.host.child.id(), descriptors);
    }
}

/// Guards against bodies of legal size whose sum exceeds the memory.
#[actix_rt::test]
async fn entry_withstands_whole_bodies_that_stop_short() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::short(true);
    deployment.face(LARGE_CROWD, CALL_PATH, form).await;
}

/// Guards against the same with bodies that arrive piece by piece.
#[actix_rt::test]
async fn entry_withstands_bodies_in_pieces() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::short(false);
    deployment.face(LARGE_CROWD, CALL_PATH, form).await;
}

/// Guards against the same with bodies of unknown length.
#[actix_rt::test]
async fn entry_withstands_large_chunks() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::Chunks {
        length: LARGE_CHUNK_BYTES,
        sent: BODY_BYTES,
    };
    deployment.face(LARGE_CROWD, CALL_PATH, form).await;
}

/// Guards against chunks that take far more memory than their payload.
#[actix_rt::test]
async fn entry_withstands_tiny_chunks() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::Chunks {
        length: TINY_CHUNK_BYTES,
        sent: TINY_BODY_BYTES,
    };
    deployment.face(TINY_CROWD, CALL_PATH, form).await;
}

/// Guards against bodies over the limit that are read although their length is announced.
#[actix_rt::test]
async fn entry_withstands_bodies_announced_far_over_the_limit() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::Pieces {
        announced: FAR_OVER_BYTES,
        sent: FAR_OVER_BYTES - MISSING_BYTES,
    };
    deployment.face(LARGE_CROWD, CALL_PATH, form).await;
}

/// Guards against bodies over the limit whose length is not announced.
#[actix_rt::test]
async fn entry_withstands_chunks_far_over_the_limit() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::Chunks {
        length: LARGE_CHUNK_BYTES,
        sent: FAR_OVER_BYTES,
    };
    deployment.face(LARGE_CROWD, CALL_PATH, form).await;
}

/// Guards against more connections than there are descriptors.
#[actix_rt::test]
async fn entry_withstands_heads_that_never_end() {
    let mut deployment = EntryDeployment::start().await;
    let form = Form::HeadLines;
    deployment.face(HEAD_CROWD, CALL_PATH, form).await;
}

/// Guards against complete answers that no caller reads.
#[actix_rt::test]
async fn entry_withstands_callers_that_read_no_answer() {
    let mut deployment = EntryDeployment::start_with_slots(LONG_ANSWER_SLOTS).await;
    let fault = TargetFault::LongAnswers(BODY_BYTES);
    deployment.target.set_fault(fault);
    let form = Form::Complete { length: 16 };
    deployment.face(UNREAD_CROWD, CALL_PATH, form).await;
}

/// Guards against streams that no caller reads.
#[actix_rt::test]
async fn entry_withstands_callers_that_read_no_stream() {
    let mut deployment = EntryDeployment::start().await;
    deployment.target.set_fault(TargetFault::LongEvents);
    let form = Form::Complete { length: 16 };
    deployment.face(STREAM_CROWD, STREAM_CALL_PATH, form).await;
}

/// A host of the command `serve` with its platform and targets.
struct ServeDeployment {
    deployment: ProcessDeployment,
    _alone: MutexGuard<'static, ()>,
}

const SERVICE_PATH: &str = "/services/mostrador/x";
const TENANT: &str = "plazas";

impl ServeDeployment {
    async fn start() -> Self {
        let alone = ONE_AT_A_TIME.lock().await;
        let settings = format!(
            "requests: {{ tenant_from: header, load_poll_ms: 100 }}\n\
             limits: {{ body_bytes: {BODY_BYTES}, memory_mb: {MEMORY_MB}, \
             descriptors: {MAX_FDS} }}\n"
        );
        let deployment = ProcessBuilder::new(host_program(), sample_catalog())
            .hosts(1)
            .settings(&settings)
            .start()
            .await
            .expect("the deployment cannot start");
        Self {
            deployment,
            _alone: alone,
        }
    }

    /// Lets a crowd send requests, and checks the process afterwards.
    async fn face(&mut self, count: usize, form: Form) {
        let entry = self.deployment.addresses[0].callers;
        let head = |_| format!("POST {SERVICE_PATH} HTTP/1.1\r\nhost: x\r\nx-tenant: {TENANT}\r\n");
        let mut crowd = Crowd::start(entry, count, head, form);
        let process = self.deployment.hosts[0].id();
        let descriptors = crowd.settle(process, form).await;
        let client = awc::Client::builder()
            .timeout(ORDINARY_LIMIT)
            .disable_redirects()
            .finish();
        let start = Instant::now();
        loop {
            let ended = self.deployment.hosts[0].poll();
            let ended = ended.expect("the process is a child");
            assert!(ended.is_none(), "the process has ended: {ended:?}");
            let request = client.post(format!("http://{entry}{SERVICE_PATH}"));
            let request = request.insert_header(("x-tenant", TENANT));
            let status = request
                .send_body("body")
                .await
                .map(|answer| answer.status());
            if matches!(&status, Ok(status) if status.is_success()) {
                break;
            }
            let waited = start.elapsed();
            assert!(waited < ORDINARY_LIMIT, "an ordinary call got {status:?}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        check_bounds(process, descriptors);
    }
}

/// Guards against bodies of legal size whose sum exceeds the memory.
#[actix_rt::test]
async fn serve_withstands_whole_bodies_that_stop_short() {
    let mut deployment = ServeDeployment::start().await;
    deployment.face(SERVE_CROWD, Form::short(true)).await;
}

/// Guards against the same with bodies that arrive piece by piece.
#[actix_rt::test]
async fn serve_withstands_bodies_in_pieces() {
    let mut deployment = ServeDeployment::start().await;
    deployment.face(SERVE_CROWD, Form::short(false)).await;
}

/// Guards against the same with bodies of unknown length.
#[actix_rt::test]
async fn serve_withstands_large_chunks() {
    let mut deployment = ServeDeployment::start().await;
    let form = Form::Chunks {
        length: LARGE_CHUNK_BYTES,
        sent: BODY_BYTES,
    };
    deployment.face(SERVE_CROWD, form).await;
}

/// Guards against chunks that take far more memory than their payload.
#[actix_rt::test]
async fn serve_withstands_tiny_chunks() {
    let mut deployment = ServeDeployment::start().await;
    let form = Form::Chunks {
        length: TINY_CHUNK_BYTES,
        sent: TINY_BODY_BYTES,
    };
    deployment.face(TINY_CROWD, form).await;
}

/// Guards against bodies over the limit that are read although their length is announced.
#[actix_rt::test]
async fn serve_withstands_bodies_announced_far_over_the_limit() {
    let mut deployment = ServeDeployment::start().await;
    let form = Form::Pieces {
        announced: FAR_OVER_BYTES,
        sent: FAR_OVER_BYTES - MISSING_BYTES,
    };
    deployment.face(SERVE_CROWD, form).await;
}

/// Guards against bodies over the limit whose length is not announced.
#[actix_rt::test]
async fn serve_withstands_chunks_far_over_the_limit() {
    let mut deployment = ServeDeployment::start().await;
    let form = Form::Chunks {
        length: LARGE_CHUNK_BYTES,
        sent: FAR_OVER_BYTES,
    };
    deployment.face(SERVE_CROWD, form).await;
}

/// Guards against more connections than there are descriptors.
#[actix_rt::test]
async fn serve_withstands_heads_that_never_end() {
    let mut deployment = ServeDeployment::start().await;
    deployment.face(HEAD_CROWD, Form::HeadLines).await;
}

/// Guards against complete answers that no caller reads: the target repeats the body.
#[actix_rt::test]
async fn serve_withstands_callers_that_read_no_answer() {
    let mut deployment = ServeDeployment::start().await;
    let length = BODY_BYTES - MISSING_BYTES;
    deployment
        .face(UNREAD_CROWD, Form::Complete { length })
        .await;
}
