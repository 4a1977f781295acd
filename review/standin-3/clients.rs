//! Clients: they ask for addresses, and send requests to one of them.

use crate::http::{call, Answer};
use crate::json::Json;
use crate::record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A route that a client uses.
#[derive(Clone)]
pub struct Kind {
    pub path: &'static str,
    pub model: Option<String>,
    pub deadline_ms: u64,
}

static IDS: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000_u64 + IDS.fetch_add(1, Ordering::Relaxed)
    )
}

pub fn send(address: SocketAddr, kind: &Kind, id: &str) -> std::io::Result<Option<Answer>> {
    let model = kind.model.as_ref().map_or_else(String::new, |model| {
        format!("Crocusyard-Model: {model}\r\nCrocusyard-Token-Count: 100,10\r\nCrocusyard-Prompt-Prefix: {id}:100\r\n")
    });
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: desk.example\r\nCrocusyard-Request-Id: {id}\r\nCrocusyard-Deadline-Ms: {}\r\n{model}Connection: close\r\n",
        kind.path, kind.deadline_ms
    );
    call(
        address,
        &head,
        b"body",
        Duration::from_millis(kind.deadline_ms),
    )
}

/// Asks the hosts, the first that answers, for the addresses to use.
fn resolve(directories: &[SocketAddr]) -> Vec<SocketAddr> {
    let head = "GET /crocusyard/resolve?name=desk.example&region=region-1&zone=zone-a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    for directory in directories {
        if let Ok(Some(answer)) = call(*directory, head, b"", Duration::from_secs(1)) {
            if let (200, Some(body)) = (answer.status, Json::parse(&answer.body)) {
                return body
                    .get("addresses")
                    .list()
                    .iter()
                    .filter_map(|text| text.text().parse().ok())
                    .collect();
            }
        }
    }
    Vec::new()
}

/// Clients that send requests, each after `pause`, until `stop` is set.
pub fn keep_sending(
    directories: Vec<SocketAddr>,
    kinds: Vec<Kind>,
    pause: Duration,
    stop: Arc<AtomicBool>,
) {
    let addresses = Arc::new(Mutex::new(resolve(&directories)));
    let known = addresses.clone();
    let ended = stop.clone();
    thread::spawn(move || {
        let mut order = directories;
        while !ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1_000));
            let found = resolve(&order);
            if !found.is_empty() {
                *known.lock().unwrap() = found;
            }
            order.rotate_left(1);
        }
    });
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(pause);
            number += 1;
            let kind = kinds[number % kinds.len()].clone();
            let list = addresses.lock().unwrap().clone();
            if list.is_empty() {
                continue;
            }
            let address = list[number / kinds.len() * 7 % list.len()];
            thread::spawn(move || {
                let id = next_id();
                let model = kind.model.clone().unwrap_or_default();
                record::line(&format!(
                    "client sends {id} ({} {model}) to {address}",
                    kind.path
                ));
                match send(address, &kind, &id) {
                    Ok(Some(answer)) => record::line(&format!(
                        "client gets {} for {id}, complete: {}",
                        answer.status, answer.complete
                    )),
                    Ok(None) => record::line(&format!(
                        "client: the connection of {id} ended without an answer"
                    )),
                    Err(error) => {
                        record::line(&format!("client: no answer to {id}: {}", error.kind()))
                    }
                }
            });
        }
    });
}
