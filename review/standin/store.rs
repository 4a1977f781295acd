//! A stand-in of the platform's metadata store: tables, transactions with conditions, and feeds.

use crate::http::{listen, serve, write_answer, Message};
use crate::json::{number, object, text, Json};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time of a transaction, as in the settings of the small deployments.
const TX_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes: version, key, and value or `None` for a removal.
    log: Vec<(u64, Key, Option<String>)>,
}

impl Tables {
    fn write(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.log.push((self.version, key, value));
    }
}

struct Shared {
    tables: Mutex<Tables>,
    changed: Condvar,
    start: Instant,
    /// Whether the store gives no answer to calls.
    silent: AtomicBool,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let store = Self {
            shared: Arc::new(Shared {
                tables: Mutex::default(),
                changed: Condvar::new(),
                start: Instant::now(),
                silent: AtomicBool::new(false),
            }),
            address,
        };
        let server = store.clone();
        serve(listener, move |request, stream| {
            server.answer(request, stream)
        });
        store
    }

    /// Sets whether the store is silent: it does nothing with the calls that arrive meanwhile, and no
    /// answer leaves it.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::SeqCst);
    }

    pub fn is_silent(&self) -> bool {
        self.shared.silent.load(Ordering::SeqCst)
    }

    /// Waits until the caller closes a connection on which an answer was lost: it delivers nothing
    /// further.
    fn stay_silent(mut stream: &TcpStream) -> io::Result<bool> {
        let mut buffer = [0; 256];
        while stream.read(&mut buffer)? > 0 {}
        Ok(false)
    }

    /// Writes a row as an operator or a server does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut tables = self.shared.tables.lock().expect("the tables");
        tables.version += 1;
        let value = value.map(|value| base64(value.to_string().as_bytes()));
        tables.write((table.to_owned(), key.to_owned()), value);
        self.shared.changed.notify_all();
    }

    fn answer(&self, request: &Message, stream: &TcpStream) -> io::Result<bool> {
        if self.is_silent() {
            return Self::stay_silent(stream);
        }
        let (status, mut body) = match request.path() {
            "/crocusyard/rows-get" => self.get(request),
            "/crocusyard/rows-feed" => self.feed(request),
            "/crocusyard/rows-tx" => self.transact(request),
            _ => ("404 Not Found", object(vec![])),
        };
        if self.is_silent() {
            return Self::stay_silent(stream);
        }
        if let Json::Object(members) = &mut body {
            let now_ms = self.shared.start.elapsed().as_millis() as u64;
            members.insert("now_ms".to_owned(), number(now_ms));
        }
        let headers = [("Content-Type", "application/json")];
        write_answer(stream, status, &headers, body.to_string().as_bytes())?;
        Ok(true)
    }

    fn get(&self, request: &Message) -> (&'static str, Json) {
        let table = request.query("table").unwrap_or("");
        let from = request.query("from").unwrap_or("");
        let tables = self.shared.tables.lock().expect("the tables");
        let rows = tables
            .rows
            .iter()
            .filter(|((name, key), _)| name == table && key.as_str() >= from)
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let body = object(vec![
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(false)),
            ("row_version", number(tables.version)),
        ]);
        ("200 OK", body)
    }

    fn feed(&self, request: &Message) -> (&'static str, Json) {
        let table = request.query("table").unwrap_or("").to_owned();
        let field = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = field("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(field("wait_ms").unwrap_or(0));
        let mut tables = self.shared.tables.lock().expect("the tables");
        loop {
            let rows: Vec<Json> = tables
                .log
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| row(key, value.as_ref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = object(vec![
                    ("rows", Json::List(rows)),
                    ("row_version", number(tables.version)),
                ]);
                return ("200 OK", body);
            }
            tables = self
                .shared
                .changed
                .wait_timeout(tables, left)
                .expect("the tables")
                .0;
        }
    }

    fn transact(&self, request: &Message) -> (&'static str, Json) {
        thread::sleep(TX_TIME);
        let call = Json::parse(&String::from_utf8_lossy(&request.body));
        let key = |entry: &Json| {
            let part = |name| entry.get(name).text().to_owned();
            (part("table"), part("key"))
        };
        let mut tables = self.shared.tables.lock().expect("the tables");
        let expected = call.get("expected").list();
        let version_of = |entry| tables.rows.get(&key(entry)).map_or(0, |row| row.1);
        let holds = expected
            .iter()
            .all(|entry| version_of(entry) == entry.get("row_version").number());
        if !holds {
            let rows = expected.iter().filter_map(|entry| {
                let key = key(entry);
                let (value, version) = tables.rows.get(&key)?;
                Some(row(&key, Some(value), *version))
            });
            let body = object(vec![
                ("rows", Json::List(rows.collect())),
                ("row_version", number(tables.version)),
            ]);
            return ("412 Precondition Failed", body);
        }
        tables.version += 1;
        for entry in call.get("upserts").list() {
            tables.write(key(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in call.get("remove").list() {
            tables.write(key(entry), None);
        }
        self.shared.changed.notify_all();
        (
            "200 OK",
            object(vec![("row_version", number(tables.version))]),
        )
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> Json {
    let mut members = vec![
        ("table", text(&key.0)),
        ("part", text("")),
        ("key", text(&key.1)),
        ("row_version", number(version)),
    ];
    match value {
        Some(value) => members.push(("value", text(value))),
        None => members.push(("tombstone", Json::Bool(true))),
    }
    object(members)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
