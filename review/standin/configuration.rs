//! A configuration that is sent after a short outage of the store has to be in force in time.

use crate::host::Host;
use crate::http::read_message;
use crate::json::{number, object, text, Json};
use crate::server::{start_server, RunLog};
use crate::store::Store;
use crate::{Record, Verdict};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Number of hosts.
const HOSTS: usize = 3;
/// Start of the outage after the start of the hosts.
const OUTAGE_AT: Duration = Duration::from_millis(23_500);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from the end of the outage to the new configuration; `stable_ms` is 3,000.
const STABLE: Duration = Duration::from_millis(4_000);
/// Time within which a configuration has to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent.
const REQUESTS_FOR: Duration = Duration::from_secs(16);
/// Pause between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(200);

/// Runs the case.
pub fn run(has_trouble: bool, folder: &Path, record: &mut Record) -> Verdict {
    let store = Store::start();
    let runs = RunLog::default();
    for number in 0..2 {
        start_server(&format!("i-old-{number}"), "old-desk", &store, &runs);
        start_server(&format!("i-new-{number}"), "new-desk", &store, &runs);
    }
    let first = vec![route("r-order", "/order/", "old-desk")];
    store.put("op", "config", Some(&configuration(1, first)));
    let start = Instant::now();
    let mut hosts: Vec<Host> = (1..=HOSTS)
        .map(|number| Host::start(number, store.address, folder))
        .collect();
    record.add(
        start,
        format!("{HOSTS} hosts start; configuration 1 sends /order/ to old-desk"),
    );
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        record.add(Instant::now(), "a host is not ready in time".to_owned());
        return Verdict::Failed;
    }
    wait_until(start + OUTAGE_AT);
    if has_trouble {
        store.set_silent(true);
        record.add(Instant::now(), "the store is silent".to_owned());
    }
    wait_until(start + OUTAGE_AT + OUTAGE);
    if has_trouble {
        store.set_silent(false);
        record.add(Instant::now(), "the store answers again".to_owned());
    }
    wait_until(start + OUTAGE_AT + OUTAGE + STABLE);
    let second = vec![
        route("r-order", "/order/", "new-desk"),
        route("r-added", "/added/", "new-desk"),
    ];
    store.put("op", "config", Some(&configuration(2, second)));
    let acked = Instant::now();
    let line = "configuration 2 is acknowledged: /order/ goes to new-desk, /added/ is new";
    record.add(acked, line.to_owned());
    wait_until(acked + CONFIG_APPLY + PAUSE);
    let stale = send_requests(&hosts, &runs, record);
    if !hosts.iter_mut().all(Host::runs) {
        record.add(Instant::now(), "a host has ended".to_owned());
    }
    let line = format!("requests handled as only configuration 1 allows: {stale}");
    record.add(Instant::now(), line);
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests to each host for some time; returns how many were handled by the old configuration.
fn send_requests(hosts: &[Host], runs: &RunLog, record: &mut Record) -> usize {
    let mut stale = 0;
    let mut count = 0;
    let end = Instant::now() + REQUESTS_FOR;
    while Instant::now() < end {
        for host in hosts {
            for path in ["/order/1", "/added/1"] {
                count += 1;
                let id = format!("{count:016x}");
                let sent = Instant::now();
                let answer = exchange(host.front, path, &id);
                let name = &host.name;
                record.add(sent, format!("request {id} GET {path} sent to {name}"));
                let (status, body) = answer.unwrap_or((0, String::new()));
                let now = Instant::now();
                record.add(
                    now,
                    format!("request {id} is answered with {status} {body}"),
                );
                let is_stale = match path {
                    "/added/1" => status == 404,
                    _ => status == 200 && body == "old-desk",
                };
                stale += usize::from(is_stale);
            }
        }
        thread::sleep(PAUSE);
    }
    for run in runs.lock().expect("the runs").iter() {
        record.add(
            run.at,
            format!("request {} is run by {}", run.id, run.service),
        );
    }
    stale
}

/// Sends a request; returns the status and the body of the answer.
fn exchange(address: SocketAddr, path: &str, id: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: desk.example\r\nCrocusyard-Request-Id: {id}\r\n\
         Crocusyard-Deadline-Ms: 1500\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((answer.status(), body))
}

fn wait_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn route(name: &str, prefix: &str, service: &str) -> Json {
    object(vec![
        ("name", text(name)),
        ("host", text("desk.example")),
        ("path_prefix", text(prefix)),
        ("kind", text("idempotent")),
        ("timeout_ms", number(800)),
        ("target_latency_ms", number(100)),
        ("priority", number(2)),
        ("service", text(service)),
        ("max_attempts", number(2)),
    ])
}

fn configuration(version: u64, routes: Vec<Json>) -> Json {
    let service = |name| {
        object(vec![
            ("name", text(name)),
            ("health_path", text("/health")),
            ("max_conns", number(110)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
        ])
    };
    object(vec![
        ("version", number(version)),
        ("routes", Json::List(routes)),
        (
            "services",
            Json::List(vec![service("old-desk"), service("new-desk")]),
        ),
        (
            "limits",
            object(vec![
                ("max_header_bytes", number(16_384)),
                ("max_body_bytes", number(4_194_304)),
                ("header_timeout_ms", number(3_000)),
                ("idle_timeout_ms", number(15_000)),
            ]),
        ),
    ])
}
