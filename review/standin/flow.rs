//! Callers that leave while their broken streams wait for a target must not be served any further.

use crate::host::Host;
use crate::http::{listen, read_chunk, read_head, serve, write_answer, Message};
use crate::json::{number, object, text, Json};
use crate::store::Store;
use crate::{Record, Verdict};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of hosts: one of the small deployment, which got all callers.
const HOSTS: usize = 1;
const SERVERS: usize = 4;
const SLOTS: u64 = 36;
/// Number of streams; they fill nearly all slots.
const STREAMS: usize = 140;
/// Largest number of callers that may leave: three of ten.
const MOST_LEAVERS: usize = 42;
/// Time without an event after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(800);
const EVENTS: u64 = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the first stream to the crash.
const CRASH_AT: Duration = Duration::from_millis(2_500);
/// Time from the crash to the restart.
const DOWN: Duration = Duration::from_millis(2_000);
/// Time from the first stream to the end of the case.
const END: Duration = Duration::from_millis(13_500);
/// Time after which a request whose caller has left must not reach a server.
const LEFT_LIMIT: Duration = Duration::from_millis(500);
/// Number of requests that may do so.
const FEW: usize = 5;

type Log = Arc<Mutex<Vec<(Instant, String, String)>>>;

/// Runs the case.
pub fn run(has_trouble: bool, folder: &Path, record: &mut Record) -> Verdict {
    let store = Store::start();
    let arrivals = Log::default();
    let alive: Vec<Arc<AtomicBool>> = (0..SERVERS)
        .map(|number| start_server(&format!("i-{number}"), &store, &arrivals))
        .collect();
    store.put("op", "config", Some(&configuration()));
    let hosts: Vec<Host> = (1..=HOSTS)
        .map(|number| Host::start(number, store.address, folder))
        .collect();
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        record.add(Instant::now(), "a host is not ready in time".to_owned());
        return Verdict::Failed;
    }
    thread::sleep(Duration::from_millis(1_000));
    let start = Instant::now();
    let answers = Log::default();
    let left = Log::default();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = hosts[number % HOSTS].front;
            let (answers, left) = (answers.clone(), left.clone());
            thread::sleep(Duration::from_millis(10));
            thread::spawn(move || {
                let id = format!("{number:016x}");
                let end = call(front, &id, &left);
                let now = Instant::now();
                answers.lock().expect("the log").push((now, id, end));
            })
        })
        .collect();
    thread::sleep((start + CRASH_AT).saturating_duration_since(Instant::now()));
    if has_trouble {
        alive[0].store(false, Ordering::SeqCst);
        record.add(Instant::now(), "server i-0 crashes".to_owned());
        thread::sleep(DOWN);
        start_server("i-9", &store, &arrivals);
        record.add(Instant::now(), "it is back as i-9".to_owned());
    }
    thread::sleep((start + END).saturating_duration_since(Instant::now()));
    drop(callers);
    judge(&arrivals, &answers, &left, record)
}

/// Counts the requests that reached a server later than allowed after their callers had left.
fn judge(arrivals: &Log, answers: &Log, left: &Log, record: &mut Record) -> Verdict {
    let left = left.lock().expect("the log").clone();
    if left.len() > MOST_LEAVERS {
        record.add(
            Instant::now(),
            format!("{} callers have left, which is too many", left.len()),
        );
        return Verdict::Failed;
    }
    for (at, id, end) in answers.lock().expect("the log").iter() {
        record.add(*at, format!("request {id} ends at its caller: {end}"));
    }
    let mut late = 0;
    for (at, id, server) in arrivals.lock().expect("the log").iter() {
        let left_at = left
            .iter()
            .find(|entry| entry.1 == *id)
            .map(|entry| entry.0);
        let is_late = left_at.is_some_and(|left_at| *at > left_at + LEFT_LIMIT);
        late += usize::from(is_late);
        let note = if is_late { ", its caller has left" } else { "" };
        record.add(*at, format!("request {id} reaches server {server}{note}"));
    }
    let line =
        format!("requests that reached a server over 0.5 s after their callers had left: {late}");
    record.add(Instant::now(), line);
    if late > FEW {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Calls a stream and reads it until it ends, or stalls and the caller leaves; returns how it ended.
fn call(address: SocketAddr, id: &str, left: &Log) -> String {
    match read_stream(address, id) {
        Ok(end) => end,
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            // The connection was closed when the stream was dropped.
            let mut left = left.lock().expect("the log");
            left.push((Instant::now(), id.to_owned(), String::new()));
            "its caller left".to_owned()
        }
        Err(error) => format!("failed: {error}"),
    }
}

fn read_stream(address: SocketAddr, id: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let head = format!(
        "POST /flow/1 HTTP/1.1\r\nHost: desk.example\r\nCrocusyard-Request-Id: {id}\r\n\
         Crocusyard-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes())?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut events = 0;
    while read_chunk(&mut reader)?.is_some() {
        events += 1;
    }
    Ok(format!(
        "status {}, complete, {events} chunks",
        head.status()
    ))
}

/// Starts a server of streams; the result is whether it runs.
fn start_server(name: &str, store: &Store, arrivals: &Log) -> Arc<AtomicBool> {
    let alive = Arc::new(AtomicBool::new(true));
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let (id, log, runs) = (name.to_owned(), arrivals.clone(), alive.clone());
    serve(listener, move |request, stream| {
        answer(&id, &log, &runs, request, stream)
    });
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |time| time.as_millis() as u64);
    let (id, store, runs) = (name.to_owned(), store.clone(), alive.clone());
    thread::spawn(move || {
        let mut sequence = 0;
        while runs.load(Ordering::SeqCst) {
            sequence += 1;
            store.put("servers", &id, Some(&entry(address, born, sequence)));
            thread::sleep(HEARTBEAT);
        }
        // The platform removes the entry after three intervals without a write.
        thread::sleep(HEARTBEAT * 2);
        store.put("servers", &id, None);
    });
    alive
}

fn answer(
    name: &str,
    arrivals: &Log,
    alive: &AtomicBool,
    request: &Message,
    mut stream: &TcpStream,
) -> io::Result<bool> {
    let id = request.header("crocusyard-request-id");
    let expected = request.header("crocusyard-expect-instance");
    let runs = || alive.load(Ordering::SeqCst);
    if !runs() {
        return Ok(false);
    }
    if !expected.is_empty() && expected != name {
        let headers = [
            ("Crocusyard-Request-Id", id),
            ("Crocusyard-Instance-Id", name),
        ];
        write_answer(stream, "421 Misdirected Request", &headers, b"")?;
        return Ok(true);
    }
    let line = (Instant::now(), id.to_owned(), name.to_owned());
    arrivals.lock().expect("the log").push(line);
    let after = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Crocusyard-Request-Id: {id}\r\nCrocusyard-Server-Seal: {name}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        if !runs() {
            stream.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        let event = format!("id: {event}\ndata: piece {event}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

fn entry(address: SocketAddr, born: u64, sequence: u64) -> Json {
    object(vec![
        ("service", text("flow-desk")),
        ("address", text(&address.to_string())),
        ("zone", text("zone-a")),
        ("version", text("v1")),
        ("slots", number(SLOTS)),
        ("state", text("ready")),
        ("cold_left_ms", number(0)),
        ("born", number(born)),
        ("seq_no", number(sequence)),
    ])
}

fn configuration() -> Json {
    let route = object(vec![
        ("name", text("r-flow")),
        ("host", text("desk.example")),
        ("path_prefix", text("/flow/")),
        ("kind", text("streaming")),
        ("timeout_ms", number(20_000)),
        ("target_latency_ms", number(4_000)),
        ("gap_aim_ms", number(150)),
        ("priority", number(1)),
        ("service", text("flow-desk")),
        ("max_attempts", number(2)),
        ("sticky", Json::Bool(false)),
        ("resumable", Json::Bool(true)),
    ]);
    let service = object(vec![
        ("name", text("flow-desk")),
        ("health_path", text("/health")),
        ("max_conns", number(310)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    let limits = object(vec![
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(4_194_304)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    object(vec![
        ("version", number(1)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
