//! Servers of a plain service and of an engine service, as the pages describe them.

use crate::http::{read_request, write_answer, Headers, Request};
use crate::json::{parse, Json};
use crate::record::Record;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two writes of a server, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
/// Text in a body that crashes each server that begins to run the request.
pub const CRASHING: &str = "CRASH";

/// What servers of a service have in common.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub slots: usize,
    /// Memory for weights and adapters, MB; 0 for a plain service.
    pub weights_mb: u64,
    pub adapter_slots: usize,
    /// Sizes of the weights and of one adapter of each model, MB.
    pub models: Vec<(&'static str, u64, u64)>,
    /// Events of a stream, and the pause before each, ms.
    pub events: u64,
    pub gap_ms: u64,
    /// Time to run a plain request, ms.
    pub work_ms: u64,
    /// Whether a server that crashes goes silent: its connections stay open until it is back.
    pub is_dark: bool,
}

/// What a server holds: models with their adapters.
pub type Held = BTreeMap<String, BTreeSet<String>>;

struct State {
    id: String,
    incarnation: u32,
    born: u64,
    write: u64,
    held: Held,
    /// Models whose weights are on the disk, which a restart preserves.
    on_disk: BTreeSet<String>,
    /// Model that is being loaded, with the end of the load.
    loading: Option<(String, Instant)>,
    orders: u64,
    running: usize,
    is_down: bool,
    is_draining: bool,
    /// Whether the server has left for good.
    is_gone: bool,
    /// Requests of a hundred that fail with 500 after they have run.
    failing: u64,
    conns: BTreeMap<i32, TcpStream>,
    last_record: String,
}

/// A server; clones share it.
#[derive(Clone)]
pub struct Server {
    pub number: usize,
    pub address: SocketAddr,
    service: Service,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Server {
    pub fn start(
        number: usize,
        ip: &str,
        service: &Service,
        held: Held,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a server");
        let server = Self {
            number,
            address: listener.local_addr().expect("its port"),
            service: service.clone(),
            store: store.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                id: format!("i-{}-{number}-1", service.name),
                incarnation: 1,
                born: unix_ms(),
                write: 0,
                on_disk: held.keys().cloned().collect(),
                held,
                loading: None,
                orders: 0,
                running: 0,
                is_down: false,
                is_draining: false,
                is_gone: false,
                failing: 0,
                conns: BTreeMap::new(),
                last_record: String::new(),
            })),
        };
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(listener));
        let beating = server.clone();
        std::thread::spawn(move || loop {
            beating.beat();
            std::thread::sleep(HEARTBEAT);
        });
        server
    }

    pub fn id(&self) -> String {
        self.state.lock().expect("a server").id.clone()
    }

    pub fn set_failing(&self, failing: u64) {
        self.state.lock().expect("a server").failing = failing;
    }

    /// Writes the record of the server; its row changes when more than the number of the write does.
    fn beat(&self) {
        let mut state = self.state.lock().expect("a server");
        if state.is_down || state.is_gone {
            return;
        }
        state.end_load();
        state.write += 1;
        let content = self.describe(&state);
        // The row may have been changed by another writer, so that it is compared with the store's.
        let text = format!("{{{content},\"seq_no\":{}}}", state.write);
        if state.last_record != content || self.store_differs(&state.id, &content) {
            state.last_record = content;
            let version = self.store.put("servers", &state.id, &text);
            let id = &state.id;
            self.record
                .add(&format!("store row servers/{id} version {version}: {text}"));
        }
    }

    fn store_differs(&self, id: &str, content: &str) -> bool {
        !self.store.holds("servers", id, content)
    }

    fn describe(&self, state: &State) -> String {
        let on_disk: Vec<String> = state
            .on_disk
            .iter()
            .map(|name| format!("\"{name}\""))
            .collect();
        let on_disk = on_disk.join(",");
        let Service { name, slots, .. } = &self.service;
        let word = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        let models = held_text(&state.held);
        let (address, zone, born) = (self.address, self.number % 3, state.born);
        format!(
            "\"service\":\"{name}\",\"address\":\"{address}\",\"zone\":\"zone-{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{word}\",\"cold_left_ms\":0,\
             \"stage\":\"both\",\"models\":{models},\
             \"at_hand\":{{\"in_memory\":[],\"on_disk\":[{on_disk}]}},\"born\":{born}"
        )
    }

    /// Reports that the server is leaving; it goes on serving.
    pub fn drain(&self) {
        self.state.lock().expect("a server").is_draining = true;
        self.beat();
        self.record
            .add(&format!("server {} is draining", self.id()));
    }

    /// The process of the server ends: all its connections break, and it is back after some
    /// seconds under another id.
    fn crash(&self, cause: &str) {
        let mut state = self.state.lock().expect("a server");
        if state.is_down {
            return;
        }
        let (id, running) = (state.id.clone(), state.running);
        self.record
            .add(&format!("server {id} crashes with {running} runs: {cause}"));
        state.is_down = true;
        if !self.service.is_dark {
            close_all(&mut state);
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(DOWN_TIME);
            let mut state = server.state.lock().expect("a server");
            close_all(&mut state);
            state.incarnation += 1;
            let Service { name, .. } = &server.service;
            let id = format!("i-{name}-{}-{}", server.number, state.incarnation);
            let old = std::mem::replace(&mut state.id, id);
            state.born = unix_ms();
            state.write = 0;
            // Servers restart empty.
            state.held.clear();
            state.loading = None;
            state.orders = 0;
            state.running = 0;
            state.is_down = false;
            drop(state);
            server.beat();
            // The entry of the former incarnation lapses after three heartbeats of silence.
            std::thread::sleep(HEARTBEAT * 3 - DOWN_TIME);
            server.store.remove("servers", &old);
        });
    }

    /// Accepts connections; while the server is down, nothing listens at its address.
    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let (is_down, is_gone) = {
                let state = self.state.lock().expect("a server");
                (state.is_down, state.is_gone)
            };
            if is_gone {
                return;
            }
            let stream = match &listener {
                _ if is_down => {
                    listener = None;
                    None
                }
                None => {
                    listener = TcpListener::bind(self.address).ok();
                    None
                }
                Some(listener) => {
                    let _ = listener.set_nonblocking(true);
                    listener.accept().ok()
                }
            };
            let Some((stream, _)) = stream else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            let thread = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = thread.spawn(move || server.serve_connection(stream));
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let key = stream.as_raw_fd();
        {
            let mut state = self.state.lock().expect("a server");
            if state.is_down || state.is_gone {
                return;
            }
            let Ok(kept) = stream.try_clone() else {
                return;
            };
            state.conns.insert(key, kept);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
        self.state.lock().expect("a server").conns.remove(&key);
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let expected = request.headers.get("crocusyard-expect-instance");
        let (id, is_down) = {
            let state = self.state.lock().expect("a server");
            (state.id.clone(), state.is_down)
        };
        if is_down {
            return self.give_no_answer();
        }
        let own = ("Crocusyard-Instance-Id", id.as_str());
        if expected.is_some_and(|expected| expected != id) {
            let id = request.headers.get("crocusyard-request-id");
            let echo = id.map(|id| ("Crocusyard-Request-Id", id));
            let headers: Vec<(&str, &str)> = echo.into_iter().chain([own]).collect();
            return write_answer(writer, 421, &headers, &[]);
        }
        match request.path() {
            "/health" => write_answer(writer, 200, &[own], &[]),
            "/crocusyard/report" => {
                let text = self.report();
                let json = ("Content-Type", "application/json");
                write_answer(writer, 200, &[json, own], text.as_bytes())
            }
            "/crocusyard/order" => {
                let status = self.order(&request.body);
                write_answer(writer, status, &[own], &[])
            }
            _ => self.run(request, &id, writer),
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().expect("a server");
        state.end_load();
        let (running, orders, born) = (state.running, state.orders, state.born);
        let busy = state.loading.is_some();
        let models = held_text(&state.held);
        format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{busy},\"seq_no\":{orders},\
             \"queued\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":120000,\"handles\":0,\
             \"born\":{born}}}"
        )
    }

    /// Answers an order and carries it out.
    fn order(&self, body: &[u8]) -> u16 {
        let text = String::from_utf8_lossy(body).into_owned();
        let order = parse(&text).unwrap_or(Json::Null);
        let word = |name: &str| order.get(name).text().unwrap_or_default().to_owned();
        let (operation, model, adapter) = (word("operation"), word("model"), word("adapter"));
        let is_load = operation == "load";
        let mut state = self.state.lock().expect("a server");
        state.end_load();
        let id = state.id.clone();
        let orders = state.orders;
        let is_known = self.service.models.iter().any(|(name, ..)| *name == model);
        let status = match order.get("expected").number() {
            Some(expected) if expected != orders => 409,
            _ if state.loading.is_some() => 409,
            _ if !is_known => 400,
            _ if adapter.is_empty() && is_load => {
                if state.held.contains_key(&model) {
                    200
                } else {
                    let time = if state.on_disk.contains(&model) {
                        1_000
                    } else {
                        5_000
                    };
                    state.loading = Some((model, Instant::now() + Duration::from_millis(time)));
                    202
                }
            }
            _ if adapter.is_empty() => match state.held.remove(&model) {
                Some(_) => 202,
                None => 200,
            },
            _ => match state.held.get_mut(&model) {
                None => 421,
                Some(held) => {
                    let is_change = if is_load {
                        held.insert(adapter)
                    } else {
                        held.remove(&adapter)
                    };
                    state.orders += u64::from(is_change && !is_load);
                    if is_change && is_load {
                        202
                    } else {
                        200
                    }
                }
            },
        };
        state.orders += u64::from(status == 202);
        let excess = self.excess(&state);
        drop(state);
        self.record
            .add(&format!("order to {id}: {text} -> {status}"));
        if let Some(excess) = excess {
            self.record.add(&format!("LIMIT {id}: {excess}"));
            self.crash("it was ordered to load more than it holds");
        }
        status
    }

    /// Returns by what the holdings exceed the memory or the places for adapters.
    fn excess(&self, state: &State) -> Option<String> {
        let held = &state.held;
        let loading = state.loading.as_ref().map(|(name, _)| name.as_str());
        let mut sum = 0;
        let mut adapters = 0;
        for (name, weights, adapter_mb) in &self.service.models {
            if let Some(loaded) = held.get(*name) {
                sum += weights + adapter_mb * loaded.len() as u64;
                adapters += loaded.len();
            } else if loading == Some(*name) {
                sum += weights;
            }
        }
        let (memory, places) = (self.service.weights_mb, self.service.adapter_slots);
        (sum > memory || adapters > places)
            .then(|| format!("{sum} MB of {memory} MB, {adapters} adapters of {places}"))
    }

    fn run(&self, request: &Request, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let get = |name| request.headers.get(name).unwrap_or_default().to_owned();
        let request_id = get("crocusyard-request-id");
        let echo = ("Crocusyard-Request-Id", request_id.as_str());
        let own = ("Crocusyard-Instance-Id", id);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mark = if body.contains(CRASHING) {
            " crashing"
        } else {
            ""
        };
        let is_full = {
            let mut state = self.state.lock().expect("a server");
            state.end_load();
            let need = get("crocusyard-model");
            let (model, adapter) = need.split_once('/').unwrap_or((need.as_str(), ""));
            let held = state.held.get(model);
            let lacks_adapter =
                !adapter.is_empty() && held.is_some_and(|held| !held.contains(adapter));
            if self.service.weights_mb > 0 && (held.is_none() || lacks_adapter) {
                drop(state);
                self.record
                    .add(&format!("arrived {request_id} at {id}{mark}: 421"));
                return write_answer(writer, 421, &[echo, own], &[]);
            }
            let is_full = state.running >= self.service.slots;
            state.running += usize::from(!is_full);
            is_full
        };
        if is_full {
            self.record
                .add(&format!("arrived {request_id} at {id}{mark}: full"));
            let not_run = ("Crocusyard-Not-Executed", "1");
            return write_answer(writer, 503, &[echo, own, not_run], &[]);
        }
        self.record
            .add(&format!("arrived {request_id} at {id}{mark}: runs"));
        if !mark.is_empty() {
            self.crash("a request");
            return self.give_no_answer();
        }
        let result = self.make_answer(&request_id, &request.headers, writer);
        let mut state = self.state.lock().expect("a server");
        if state.id == id {
            state.running = state.running.saturating_sub(1);
        }
        result
    }

    /// Ends a connection of a server that has crashed; one that is dark keeps it until it is back.
    fn give_no_answer(&self) -> std::io::Result<()> {
        if self.service.is_dark {
            std::thread::sleep(DOWN_TIME);
        }
        Err(std::io::ErrorKind::ConnectionReset.into())
    }

    fn make_answer(
        &self,
        request_id: &str,
        headers: &Headers,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let (running, failing) = {
            let state = self.state.lock().expect("a server");
            (state.running, state.failing)
        };
        let load = format!("{running},0,{}", self.service.slots);
        let seal = format!("seal.{request_id}");
        let common = [
            ("Crocusyard-Request-Id", request_id),
            ("Crocusyard-Server-Seal", seal.as_str()),
            ("Crocusyard-Server-Load", load.as_str()),
        ];
        if self.service.weights_mb == 0 {
            std::thread::sleep(Duration::from_millis(self.service.work_ms));
            if self.state.lock().expect("a server").is_down {
                return self.give_no_answer();
            }
            let mut digest = 0xcbf2_9ce4_8422_2325_u64;
            let name = format!("{request_id} {}", self.number);
            for byte in name.bytes() {
                digest = (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            let status = if (digest >> 16) % 100 < failing {
                500
            } else {
                200
            };
            return write_answer(writer, status, &common, &[b'x'; 800]);
        }
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in common {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        let first = headers
            .get("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        for number in first.map_or(1, |id| id + 1)..=self.service.events {
            std::thread::sleep(Duration::from_millis(self.service.gap_ms));
            let event = format!("id: {number}\ndata: token {number} of {request_id}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Closes the connections of a process in the order of its descriptors, as the operating system does.
fn close_all(state: &mut State) {
    for stream in std::mem::take(&mut state.conns).into_values() {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

impl State {
    /// Ends a load whose time is over.
    fn end_load(&mut self) {
        let is_over = self
            .loading
            .as_ref()
            .is_some_and(|(_, end)| Instant::now() >= *end);
        if let (true, Some((name, _))) = (is_over, self.loading.clone()) {
            self.held.insert(name.clone(), BTreeSet::new());
            self.on_disk.insert(name);
            self.loading = None;
        }
    }
}

fn held_text(held: &Held) -> String {
    let models = held.iter().map(|(name, adapters)| {
        let adapters: Vec<String> = adapters
            .iter()
            .map(|adapter| format!("\"{adapter}\""))
            .collect();
        format!(
            "{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}",
            adapters.join(",")
        )
    });
    format!("[{}]", models.collect::<Vec<_>>().join(","))
}

impl Server {
    pub fn born(&self) -> u64 {
        self.state.lock().expect("a server").born
    }

    /// The server ends: its entry goes, and so do its connections.
    pub fn leave(&self) {
        let mut state = self.state.lock().expect("a server");
        state.is_gone = true;
        self.store.remove("servers", &state.id);
        for stream in std::mem::take(&mut state.conns).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.add(&format!("server {} has left", state.id));
    }
}

impl Server {
    /// Waits until the server has just written its record.
    pub fn wait_beat(&self) {
        let write = |server: &Self| server.state.lock().expect("a server").write;
        let before = write(self);
        while write(self) == before {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
