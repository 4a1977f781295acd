//! Clients' requests and the operator's configuration.

use crate::hosts::Host;
use crate::http::{call, Answer};
use crate::record::Record;
use crate::server::Service;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Host name of all routes.
const NAME: &str = "review.example";

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
}

/// Returns the operator's configuration.
pub fn configuration(version: u64, routes: &[Route], service: &Service) -> String {
    let name = service.name;
    let routes = routes.iter().enumerate().map(|(number, route)| {
        let Route { prefix, kind, timeout_ms, target_ms, attempts } = route;
        let stream = if *kind == "streaming" { ",\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":150" } else { "" };
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"{NAME}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":2,\
             \"service\":\"{name}\",\"max_attempts\":{attempts}{stream}}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let engine = if service.weights_mb == 0 {
        String::new()
    } else {
        let models = service.models.iter().map(|(model, weights, adapter_mb)| {
            format!(
                "{{\"name\":\"{model}\",\"weights_mb\":{weights},\"load_s\":5.0,\"adapters\":16,\
                 \"adapter_mb\":{adapter_mb},\"warm_s\":0.6,\"disk_s\":1.0}}"
            )
        });
        let models = models.collect::<Vec<_>>().join(",");
        let (slots, memory, places) = (service.slots, service.weights_mb, service.adapter_slots);
        format!(
            ",\"engine\":{{\"slots\":{slots},\"kv_capacity\":121662,\"kv_token_bytes\":163840,\
             \"link_mbps\":260000.0,\"host_mb\":140000.0,\"disk_mb\":400000.0,\"weights_mb\":{memory},\
             \"adapter_slots\":{places},\"loads_per_s\":1.9,\"models\":[{models}]}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{name}\",\
         \"health_path\":\"/health\",\"max_conns\":310,\"protocol\":\"h1\",\"tls\":false{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":10000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A request of a client.
#[derive(Clone, Default)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub model: String,
    pub prompt: String,
    pub body: String,
    pub deadline_ms: u64,
}

/// Clients of a case; clones share the record and the numbers of the requests.
#[derive(Clone)]
pub struct Clients {
    pub record: Record,
    next: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            next: Arc::default(),
            stop: Arc::default(),
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends a request on a new connection and waits for its answer; returns its identifier too.
    pub fn ask(&self, host: SocketAddr, kind: &str, ask: &Ask) -> (String, Option<Answer>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{kind}-{number}");
        let deadline = ask.deadline_ms.to_string();
        let mut headers = vec![
            ("Host", NAME),
            ("Crocusyard-Request-Id", id.as_str()),
            ("Crocusyard-Deadline-Ms", deadline.as_str()),
        ];
        if !ask.model.is_empty() {
            headers.push(("Crocusyard-Model", &ask.model));
            headers.push(("Crocusyard-Token-Count", "543,80"));
            headers.push(("Crocusyard-Prompt-Prefix", &ask.prompt));
        }
        self.record.add(&format!("sent {id} to {host}"));
        let limit = Duration::from_millis(ask.deadline_ms);
        let answer = call(
            host,
            ask.method,
            &ask.path,
            &headers,
            ask.body.as_bytes(),
            limit,
        );
        let text = match &answer {
            Ok(answer) if answer.complete => format!("{}", answer.status),
            Ok(answer) => format!("{}, cut after {} bytes", answer.status, answer.body.len()),
            Err(error) => format!("none: {error}"),
        };
        self.record.add(&format!("answer {id} {text}"));
        (id, answer.ok())
    }

    /// Starts a client that asks again and again, `pause` apart, until the clients are stopped.
    pub fn repeat(
        &self,
        hosts: Vec<SocketAddr>,
        kind: &'static str,
        pause: Duration,
        mut next: impl FnMut(u64) -> Ask + Send + 'static,
    ) -> JoinHandle<()> {
        let clients = self.clone();
        let thread = std::thread::Builder::new().stack_size(256 * 1024);
        let work = move || {
            let mut round = 0;
            while !clients.is_stopped() {
                let begun = Instant::now();
                let host = hosts[round as usize % hosts.len()];
                let (_, answer) = clients.ask(host, kind, &next(round));
                round += 1;
                let wanted = answer.and_then(|answer| {
                    let wait = answer.headers.get("retry-after")?.parse::<f64>().ok()?;
                    Some(Duration::from_millis((wait * 1_000.0) as u64))
                });
                let left = pause.saturating_sub(begun.elapsed());
                std::thread::sleep(
                    left.max(wanted.unwrap_or_default().min(Duration::from_secs(1))),
                );
            }
        };
        thread.spawn(work).expect("a client")
    }
}

/// Returns the addresses at which the hosts take requests.
pub fn fronts(hosts: &[Host]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| host.front).collect()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
