//! Stand-in for the platform's store: tables, conditional transactions and feeds of changes.

use crate::http::{answer_json, serve, Next, Request};
use crate::json::{from_base64, to_base64, Json};
use crate::record;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// It is done, and its connection delivers nothing further.
    NotAnswered,
}

type Rule = Box<dyn FnMut(&Write) -> Fate + Send>;

/// A write as the rule sees it.
pub struct Write {
    pub table: String,
    pub key: String,
    /// Content as text; empty for a removal.
    pub value: String,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    rule: Mutex<Rule>,
    /// Time of an answer.
    delay: Duration,
    /// Writes so far, those of servers included.
    writes: AtomicU64,
}

impl Store {
    pub fn start(delay: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            rule: Mutex::new(Box::new(|_| Fate::Answered)),
            delay,
            writes: AtomicU64::new(0),
        });
        let shared = store.clone();
        serve(listener, move |request, stream| {
            shared.handle(request, stream)
        });
        store
    }

    /// Sets what becomes of the writes from now on.
    pub fn set_rule(&self, rule: impl FnMut(&Write) -> Fate + Send + 'static) {
        *self.rule.lock().unwrap() = Box::new(rule);
    }

    pub fn count_write(&self) {
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    pub fn put(&self, table: &str, key: &str, value: Option<&[u8]>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let row = (value.map(to_base64), version);
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
        version
    }

    pub fn text(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let value = rows
            .rows
            .get(&(table.to_owned(), key.to_owned()))?
            .0
            .as_ref()?;
        Some(String::from_utf8_lossy(&from_base64(value)).into_owned())
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        std::thread::sleep(self.delay);
        match request.path.as_str() {
            "/crocusyard/rows-get" => self.get(request, stream),
            "/crocusyard/rows-feed" => self.feed(request, stream),
            "/crocusyard/rows-tx" => self.transact(request, stream),
            _ => answer_json(stream, 404, "{}"),
        }
    }

    fn get(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        let text = |name: &str| request.query.get(name).cloned();
        let table = text("table").unwrap_or_default();
        let (from, to) = (text("from").unwrap_or_default(), text("to"));
        let limit = text("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(500);
        let rows = self.rows.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((name, key), (value, _))| {
                *name == table
                    && value.is_some()
                    && *key >= from
                    && to.as_ref().is_none_or(|to| key < to)
            })
            .collect();
        let list: Vec<String> = found.iter().take(limit).map(|row| row_text(row)).collect();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{},\"row_version\":{},\"now_ms\":{}}}",
            list.join(","),
            found.len() > limit,
            rows.version,
            record::now().as_millis()
        );
        drop(rows);
        answer_json(stream, 200, &body)
    }

    fn feed(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let table = request.query.get("table").cloned().unwrap_or_default();
        let (after, end) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms")),
        );
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((name, _), (_, version))| *name == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (_, version))| *version);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let list: Vec<String> = found.iter().map(row_text).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"row_version\":{},\"now_ms\":{}}}",
                    list.join(","),
                    rows.version,
                    record::now().as_millis()
                );
                drop(rows);
                return answer_json(stream, 200, &body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
        self.count_write();
        let Some(call) = Json::parse(&request.body) else {
            return answer_json(stream, 400, "{}");
        };
        let key = |entry: &Json| {
            (
                entry.get("table").text().to_owned(),
                entry.get("key").text().to_owned(),
            )
        };
        let changes: Vec<((String, String), Option<String>)> = call
            .get("upserts")
            .list()
            .iter()
            .map(|entry| (key(entry), Some(entry.get("value").text().to_owned())))
            .chain(
                call.get("remove")
                    .list()
                    .iter()
                    .map(|entry| (key(entry), None)),
            )
            .collect();
        if changes
            .iter()
            .any(|((table, _), _)| table == "op" || table == "servers")
        {
            return answer_json(stream, 403, "{}");
        }
        let mut rows = self.rows.lock().unwrap();
        let present = |rows: &Rows, key: &(String, String)| {
            let row = rows.rows.get(key).filter(|(value, _)| value.is_some());
            row.map_or(0, |(_, version)| *version)
        };
        let expected = call.get("expected").list();
        let holds = expected
            .iter()
            .all(|entry| present(&rows, &key(entry)) as f64 == entry.get("row_version").number());
        if !holds {
            let list: Vec<String> = expected
                .iter()
                .filter_map(|entry| rows.rows.get_key_value(&key(entry)))
                .filter(|(_, (value, _))| value.is_some())
                .map(|row| row_text(&row))
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"row_version\":{}}}",
                list.join(","),
                rows.version
            );
            drop(rows);
            return answer_json(stream, 412, &body);
        }
        rows.version += 1;
        let version = rows.version;
        let mut fate = Fate::Answered;
        for (key, value) in changes {
            let bytes = value.as_deref().map(from_base64).unwrap_or_default();
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let write = Write {
                table: key.0.clone(),
                key: key.1.clone(),
                value: text,
            };
            if (self.rule.lock().unwrap())(&write) == Fate::NotAnswered {
                fate = Fate::NotAnswered;
                record::line(&format!(
                    "store: the write of {}/{} is done and not answered: {}",
                    write.table, write.key, write.value
                ));
            } else if write.table == "lease" && write.key == "moves" {
                record::line(&format!(
                    "store: lease row, version {version}: {}",
                    write.value
                ));
            }
            rows.rows.insert(key, (value, version));
        }
        self.changed.notify_all();
        drop(rows);
        if fate == Fate::NotAnswered {
            return Ok(Next::Silent);
        }
        answer_json(
            stream,
            200,
            &format!(
                "{{\"row_version\":{version},\"now_ms\":{}}}",
                record::now().as_millis()
            ),
        )
    }
}

fn row_text(row: &(&(String, String), &(Option<String>, u64))) -> String {
    let ((table, key), (value, version)) = row;
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"row_version\":{version}}}")
}
