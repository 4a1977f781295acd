//! The platform's store: versioned rows, conditional writes and a feed of changes.

use crate::http::{read_request, serve, write_answer, Request};
use crate::json::{base64, parse, Json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time of a transaction, as in the settings.
const TX_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    /// Content in base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an address for the store");
        let store = Self {
            address: listener.local_addr().expect("its port"),
            state: Arc::default(),
            started: Instant::now(),
        };
        let served = store.clone();
        serve(listener, move |stream| served.serve_connection(stream));
        store
    }

    /// Writes a row as the operator or a server does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.change(table, key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.0.lock().expect("the rows");
        state.version += 1;
        let version = state.version;
        state
            .rows
            .insert((table.to_owned(), key.to_owned()), Row { value, version });
        self.state.1.notify_all();
        version
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        std::thread::sleep(TX_TIME);
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let table = request.query("table").unwrap_or_default();
        match request.path() {
            "/crocusyard/rows-tx" => self.transact(&request.body),
            "/crocusyard/rows-get" => {
                let from = request.query("from").unwrap_or_default();
                let state = self.state.0.lock().expect("the rows");
                let rows = state.rows.iter().filter(|((name, key), row)| {
                    *name == table && *key >= from && row.value.is_some()
                });
                let rows = rows
                    .map(|((name, key), row)| row_text(name, key, row))
                    .collect();
                (200, self.page(rows, state.version))
            }
            "/crocusyard/rows-feed" => {
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut state = self.state.0.lock().expect("the rows");
                loop {
                    let changed = state.rows.iter();
                    let changed =
                        changed.filter(|((name, _), row)| *name == table && row.version > after);
                    let mut changed: Vec<_> = changed.collect();
                    changed.sort_by_key(|(_, row)| row.version);
                    let left = end.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        let rows = changed
                            .into_iter()
                            .map(|((name, key), row)| row_text(name, key, row));
                        return (200, self.page(rows.collect(), state.version));
                    }
                    state = self.state.1.wait_timeout(state, left).expect("the rows").0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: Vec<String>, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":false,\"row_version\":{version},\"now_ms\":{now}}}"
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let place = |entry: &Json| {
            let word = |name| entry.get(name).text().unwrap_or_default().to_owned();
            (word("table"), word("key"))
        };
        let mut state = self.state.0.lock().expect("the rows");
        let live_version = |state: &State, place: &(String, String)| {
            let row = state.rows.get(place).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = call.get("expected").list();
        let is_met = expected.iter().all(|entry| {
            Some(live_version(&state, &place(entry))) == entry.get("row_version").number()
        });
        if !is_met {
            let rows = expected.iter().map(place).filter_map(|place| {
                let row = state.rows.get(&place).filter(|row| row.value.is_some())?;
                Some(row_text(&place.0, &place.1, row))
            });
            return (412, self.page(rows.collect(), state.version));
        }
        state.version += 1;
        let version = state.version;
        for entry in call.get("upserts").list() {
            let value = entry.get("value").text().map(str::to_owned);
            state.rows.insert(place(entry), Row { value, version });
        }
        for entry in call.get("remove").list() {
            state.rows.insert(
                place(entry),
                Row {
                    value: None,
                    version,
                },
            );
        }
        self.state.1.notify_all();
        (200, self.page(Vec::new(), version))
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let version = row.version;
    let content = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"row_version\":{version}}}")
}

impl Store {
    /// Returns whether a row has this content, apart from the number of the write at its end.
    pub fn holds(&self, table: &str, key: &str, content: &str) -> bool {
        let state = self.state.0.lock().expect("the rows");
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        let value = row.and_then(|row| row.value.as_deref());
        // The encodings agree up to the last whole group of three bytes.
        let known = base64(format!("{{{content},\"seq_no\":").as_bytes());
        let whole = (content.len() + 1) / 3 * 4;
        value.is_some_and(|value| value.get(..whole) == known.get(..whole))
    }
}
