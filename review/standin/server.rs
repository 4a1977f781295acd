//! A stand-in of a plain server, which writes its entry to the store.

use crate::http::{listen, serve, write_answer, Message};
use crate::json::{number, object, text, Json};
use crate::store::Store;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two writes of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a request runs.
const RUN_TIME: Duration = Duration::from_millis(15);
/// Number of requests that run at once.
const SLOTS: u64 = 6;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub service: String,
}

/// Runs of all servers.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// Starts a server; it writes its entry every heartbeat while the store takes writes.
pub fn start_server(name: &str, service: &str, store: &Store, runs: &RunLog) {
    let listener = listen();
    let address = listener.local_addr().expect("an address");
    let (id, kind, log) = (name.to_owned(), service.to_owned(), runs.clone());
    serve(listener, move |request, stream| {
        answer(&id, &kind, &log, request, stream)
    });
    let (id, kind, store) = (name.to_owned(), service.to_owned(), store.clone());
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |time| time.as_millis() as u64);
    thread::spawn(move || {
        for sequence in 1.. {
            if !store.is_silent() {
                let entry = entry(&kind, address, born, sequence);
                store.put("servers", &id, Some(&entry));
            }
            thread::sleep(HEARTBEAT);
        }
    });
}

fn entry(service: &str, address: SocketAddr, born: u64, sequence: u64) -> Json {
    object(vec![
        ("service", text(service)),
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

fn answer(
    name: &str,
    service: &str,
    runs: &RunLog,
    request: &Message,
    stream: &TcpStream,
) -> io::Result<bool> {
    let id = request.header("crocusyard-request-id");
    let expected = request.header("crocusyard-expect-instance");
    if !expected.is_empty() && expected != name {
        let headers = [
            ("Crocusyard-Request-Id", id),
            ("Crocusyard-Instance-Id", name),
        ];
        write_answer(stream, "421 Misdirected Request", &headers, b"")?;
        return Ok(true);
    }
    runs.lock().expect("the runs").push(Run {
        at: Instant::now(),
        id: id.to_owned(),
        service: service.to_owned(),
    });
    thread::sleep(RUN_TIME);
    let headers = [
        ("Crocusyard-Request-Id", id),
        ("Crocusyard-Server-Seal", name),
        ("Crocusyard-Instance-Id", name),
        ("Crocusyard-Server-Load", "1,0,6"),
    ];
    write_answer(stream, "200 OK", &headers, service.as_bytes())?;
    Ok(true)
}
