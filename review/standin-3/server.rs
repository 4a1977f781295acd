//! Stand-in for a server: it registers itself in the store, runs requests and carries out orders.

use crate::http::{answer, answer_json, serve, Next, Request};
use crate::json::Json;
use crate::record;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub server: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub path: String,
    pub server: String,
}

/// What all servers of a run have seen.
#[derive(Default)]
pub struct Seen {
    pub orders: Mutex<Vec<Order>>,
    pub runs: Mutex<Vec<Run>>,
}

#[derive(Default)]
struct State {
    state: String,
    models: BTreeMap<String, BTreeSet<String>>,
    /// Requests in progress, by adapter.
    running: BTreeMap<String, u32>,
    /// Adapters that are dropped once their requests have ended.
    dropping: BTreeSet<String>,
    accepted: u64,
    writes: u64,
    written: String,
    is_registered: bool,
    has_ended: bool,
    total_running: u32,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    born: u64,
    slots: u32,
    adapter_slots: usize,
    /// Time that a request runs.
    work: Duration,
    /// Length of the answers to plain requests, bytes.
    answer_length: usize,
    state: Mutex<State>,
    seen: Arc<Seen>,
    store: Arc<Store>,
}

static SEALS: AtomicU64 = AtomicU64::new(1);

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        models: &[&str],
        work: Duration,
        answer_length: usize,
        store: &Arc<Store>,
        seen: &Arc<Seen>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a server");
        let held = models
            .iter()
            .map(|model| ((*model).to_owned(), BTreeSet::new()))
            .collect();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born: record::unix_ms(),
            slots: 24,
            adapter_slots: 3,
            work,
            answer_length,
            state: Mutex::new(State {
                state: "ready".to_owned(),
                models: held,
                is_registered: true,
                ..State::default()
            }),
            seen: seen.clone(),
            store: store.clone(),
        });
        let shared = server.clone();
        serve(listener, move |request, stream| {
            shared.handle(request, stream)
        });
        server.register();
        let shared = server.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1_200));
            shared.register();
        });
        server
    }

    /// Writes the entry; it changes when more than the number of the write changes.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_registered {
            return;
        }
        state.writes += 1;
        self.store.count_write();
        let content = format!(
            "\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":{},\"state\":\"{}\",\
             \"cold_left_ms\":0,\"born\":{},\"stage\":\"both\",\"models\":{}",
            self.service, self.address, self.zone, self.slots, state.state, self.born, models_text(&state)
        );
        if content != state.written {
            let text = format!("{{{content},\"seq_no\":{}}}", state.writes);
            self.store.put("servers", &self.id, Some(text.as_bytes()));
            if state.writes == 1 || state.state != "ready" {
                record::line(&format!("server {} writes its entry: {text}", self.id));
            }
            state.written = content;
        }
    }

    /// Reports that the server is draining.
    pub fn drain(&self) {
        self.state.lock().unwrap().state = "draining".to_owned();
        self.register();
    }

    /// Ends the server: it answers nothing any more. Returns the requests that it was running.
    pub fn end(&self) -> u32 {
        let mut state = self.state.lock().unwrap();
        state.has_ended = true;
        record::line(&format!(
            "server {} ends while it runs {} requests",
            self.id, state.total_running
        ));
        state.total_running
    }

    /// Ends the registration; the entry is the caller's to change.
    pub fn stop_registering(&self) {
        self.state.lock().unwrap().is_registered = false;
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        if self.state.lock().unwrap().has_ended {
            return Ok(Next::Close);
        }
        if request.path == "/health" {
            let id = [("Crocusyard-Instance-Id", self.id.clone())];
            answer(stream, 200, &id, b"")?;
            return Ok(Next::Keep);
        }
        if request
            .header("Crocusyard-Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            answer(stream, 421, &self.marks(request), b"")?;
            return Ok(Next::Keep);
        }
        match request.path.as_str() {
            "/crocusyard/report" => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq_no\":{},\"queued\":0,\"running\":{},\
                     \"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":{}}}",
                    models_text(&state), state.accepted, state.total_running, self.born
                );
                drop(state);
                answer_json(stream, 200, &body)
            }
            "/crocusyard/order" => self.take_order(request, stream),
            _ => self.run(request, stream),
        }
    }

    fn take_order(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        let Some(order) = Json::parse(&request.body) else {
            return answer_json(stream, 400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        let status = decide(&mut state, &order);
        let count: usize = state.models.values().map(BTreeSet::len).sum();
        assert!(
            count <= self.adapter_slots,
            "more adapters are ordered than the server has places for"
        );
        drop(state);
        let taken = Order {
            at: record::now(),
            server: self.id.clone(),
            holder: order.get("holder").text().to_owned(),
            fence: order.get("fence_token").number() as u64,
            status,
        };
        record::line(&format!(
            "server {} answers {status} to the order {order}",
            self.id
        ));
        self.seen.orders.lock().unwrap().push(taken);
        answer_json(stream, status, "{}")
    }

    fn marks(&self, request: &Request) -> Vec<(&'static str, String)> {
        let seal = SEALS.fetch_add(1, Ordering::Relaxed);
        let running = self.state.lock().unwrap().total_running;
        let mut marks = vec![
            ("Crocusyard-Server-Seal", format!("seal.{}.{seal}", self.id)),
            (
                "Crocusyard-Server-Load",
                format!("{running},0,{}", self.slots),
            ),
        ];
        if let Some(id) = request.header("Crocusyard-Request-Id") {
            marks.push(("Crocusyard-Request-Id", id.to_owned()));
        }
        marks
    }

    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        let Some(id) = request.header("Crocusyard-Request-Id") else {
            let not_run = [("Crocusyard-Not-Executed", "1".to_owned())];
            answer(stream, 400, &not_run, b"")?;
            return Ok(Next::Keep);
        };
        let need = request.header("Crocusyard-Model").unwrap_or("").to_owned();
        {
            let mut state = self.state.lock().unwrap();
            let (model, adapter) = need.split_once('/').unwrap_or((&need, ""));
            if state.dropping.contains(&need) {
                drop(state);
                let mut marks = self.marks(request);
                marks.push(("Crocusyard-Not-Executed", "1".to_owned()));
                answer(stream, 503, &marks, b"")?;
                return Ok(Next::Keep);
            }
            let holds = need.is_empty()
                || state
                    .models
                    .get(model)
                    .is_some_and(|held| adapter.is_empty() || held.contains(adapter));
            if !holds {
                drop(state);
                answer(stream, 421, &self.marks(request), b"")?;
                return Ok(Next::Keep);
            }
            *state.running.entry(need.clone()).or_default() += 1;
            state.total_running += 1;
        }
        let run = Run {
            at: record::now(),
            id: id.to_owned(),
            path: request.path.clone(),
            server: self.id.clone(),
        };
        record::line(&format!(
            "server {} runs {id} ({} {need})",
            self.id, request.path
        ));
        self.seen.runs.lock().unwrap().push(run);
        thread::sleep(self.work);
        {
            let mut state = self.state.lock().unwrap();
            *state.running.entry(need.clone()).or_default() -= 1;
            state.total_running -= 1;
            if state.running[&need] == 0 && state.dropping.remove(&need) {
                let (model, adapter) = need.split_once('/').unwrap_or_default();
                if let Some(held) = state.models.get_mut(model) {
                    held.remove(adapter);
                }
            }
            if state.has_ended {
                return Ok(Next::Close);
            }
        }
        if need.is_empty() {
            let length = if request.path.ends_with("/short") {
                800
            } else {
                self.answer_length
            };
            answer(stream, 200, &self.marks(request), &vec![b'x'; length])?;
            return Ok(Next::Keep);
        }
        let mut head =
            "HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in self.marks(request) {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        for event in 1..=3 {
            let text = format!("id: {event}\ndata: x\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(Next::Keep)
    }
}

fn models_text(state: &State) -> String {
    let models: Vec<String> = state
        .models
        .iter()
        .map(|(model, adapters)| {
            let adapters: Vec<String> = adapters
                .iter()
                .map(|adapter| format!("\"{adapter}\""))
                .collect();
            format!(
                "{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}",
                adapters.join(",")
            )
        })
        .collect();
    format!("[{}]", models.join(","))
}

/// Carries out an order for an adapter; the cases give no others. The unload of an adapter in use
/// waits for its requests to end, and is an order in progress until then.
fn decide(state: &mut State, order: &Json) -> u16 {
    if order.get("holder").text().is_empty() || order.get("fence_token") == &Json::Null {
        return 400;
    }
    if let Json::Number(expected) = order.get("expected") {
        if *expected != state.accepted as f64 {
            return 409;
        }
    }
    if !state.dropping.is_empty() {
        return 409;
    }
    let (model, adapter) = (order.get("model").text(), order.get("adapter").text());
    let is_load = order.get("operation").text() == "load";
    if adapter.is_empty() {
        let holds = state.models.contains_key(model);
        return if is_load == holds { 200 } else { 400 };
    }
    let need = format!("{model}/{adapter}");
    let in_use = state.running.get(&need).is_some_and(|count| *count > 0);
    let Some(held) = state.models.get_mut(model) else {
        return 400;
    };
    let holds = held.contains(adapter);
    if is_load == holds {
        return 200;
    }
    state.accepted += 1;
    if is_load {
        held.insert(adapter.to_owned());
        return 202;
    }
    if in_use {
        state.dropping.insert(need);
        return 202;
    }
    held.remove(adapter);
    200
}
