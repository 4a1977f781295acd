//! A host that is stopped ends before it has written an answer which its client takes slowly,
//! although time is left.

#[path = "clients.rs"]
mod clients;
#[path = "hosts.rs"]
mod hosts;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "record.rs"]
mod record;
#[path = "server.rs"]
mod server;
#[path = "store.rs"]
mod store;

use hosts::{Host, Ports};
use server::{Seen, Server};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;
use store::Store;

/// Length of an answer, bytes.
const LENGTH: usize = 8_000_000;
/// Clients that read slowly.
const CLIENTS: usize = 4;
/// Time from a request to the moment from which its client reads on at full speed.
const SLOW_TIME: Duration = Duration::from_millis(6_700);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"export\",\"host\":\"desk.example\",\"path_prefix\":\"/export/\",\
     \"kind\":\"non_idempotent\",\"timeout_ms\":20000,\"target_latency_ms\":4000,\"priority\":0,\
     \"service\":\"desk\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn main() {
    let folder = std::env::args()
        .nth(1)
        .expect("the folder of the case is missing");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::start(&format!("{folder}/record.txt"));
    let scratch = std::env::temp_dir().join(format!("case-13-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("no temporary folder");
    let code = play(&scratch, trouble);
    let _ = std::fs::remove_dir_all(&scratch);
    exit(code);
}

fn play(scratch: &Path, trouble: bool) -> i32 {
    let store = Store::start(Duration::from_millis(4));
    store.put("op", "config", Some(configuration().as_bytes()));
    let seen = Arc::new(Seen::default());
    let work = Duration::from_millis(30);
    for (number, zone) in hosts::ZONES.iter().enumerate() {
        Server::start(
            &format!("i-desk{number}"),
            "desk",
            zone,
            &[],
            work,
            LENGTH,
            &store,
            &seen,
        );
    }
    let ports = Ports::find(3);
    let mut hosts: Vec<Host> = (0..3)
        .map(|n| Host::new(n, ports, store.address, scratch))
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::wait_ready) {
        return 2;
    }
    sleep(Duration::from_secs(4));
    let front = hosts[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| thread::spawn(move || read_slowly(front)))
        .collect();
    sleep(Duration::from_millis(400));
    if trouble {
        hosts[0].signal("TERM");
        hosts[0].wait_end(Duration::from_secs(9));
    }
    let results: Vec<Option<bool>> = clients
        .into_iter()
        .map(|client| client.join().ok().flatten())
        .collect();
    if results.iter().any(Option::is_none) {
        return 2;
    }
    let lost = results
        .iter()
        .filter(|complete| **complete == Some(false))
        .count();
    record::line(&format!(
        "{lost} of {CLIENTS} answers ended early; rule LOST is {}",
        if lost > 0 { "broken" } else { "kept" }
    ));
    i32::from(lost > 0)
}

/// Sends a request and reads the answer, for some seconds 100 kB a second; returns whether it was
/// complete, or `None` without an answer.
fn read_slowly(front: std::net::SocketAddr) -> Option<bool> {
    let id = clients::next_id();
    let mut stream = TcpStream::connect(front).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    let head = format!(
        "POST /export/x HTTP/1.1\r\nHost: desk.example\r\nCrocusyard-Request-Id: {id}\r\n\
         Crocusyard-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let sent = record::now();
    record::line(&format!("client sends {id}"));
    let (mut bytes, mut buffer) = (0, vec![0; 10_000]);
    let mut text = Vec::new();
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                if text.len() < 2_000 {
                    text.extend_from_slice(&buffer[..count]);
                }
                bytes += count;
            }
            Err(error) => {
                record::line(&format!(
                    "client: the connection of {id} fails: {}",
                    error.kind()
                ));
                break;
            }
        }
        let head_end = text
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map_or(usize::MAX, |at| at + 4);
        if head_end != usize::MAX && bytes - head_end == LENGTH {
            record::line(&format!(
                "client: the answer to {id} is complete {:.3} s after the request",
                (record::now() - sent).as_secs_f64()
            ));
            return Some(true);
        }
        if record::now() - sent < SLOW_TIME {
            sleep(Duration::from_millis(100));
        }
    }
    let status = String::from_utf8_lossy(&text)
        .lines()
        .next()
        .unwrap_or("")
        .to_owned();
    record::line(&format!(
        "client: the answer to {id} ({status}) ends after {bytes} bytes, {:.3} s after the request",
        (record::now() - sent).as_secs_f64()
    ));
    (bytes > 0).then_some(false)
}
