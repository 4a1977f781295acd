//! An HTTP client for tests, which sends requests and reads whole answers.

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit for a request and its whole answer.
const REQUEST_LIMIT: Duration = Duration::from_secs(60);

/// A caller that sends the same headers, such as its tenant, with every request.
#[derive(Clone)]
pub struct TestClient {
    client: awc::Client,
    headers: Vec<(&'static str, String)>,
}

/// The part of a streamed answer that arrived.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Text of all received tokens, joined.
    pub text: String,
    /// Number of received tokens.
    pub tokens: usize,
    /// Identifier of the last received event, from which the stream can be resumed.
    pub last_id: Option<String>,
    /// Whether the stream ended with its `[DONE]` event.
    pub complete: bool,
    /// Error event of the stream, or the problem document of a refused request.
    pub error: Option<Value>,
    /// Value of the `Retry-After` header, seconds; `None` if it is absent or not a number.
    pub retry_after: Option<u64>,
}

/// The answer to a call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body; `None` if it did not arrive whole.
    pub body: Option<Bytes>,
    /// Value of the `Retry-After` header, seconds; `None` if it is absent or not a number.
    pub retry_after: Option<u64>,
}

impl PlainAnswer {
    /// Returns the body as JSON; `null` if there is none or it is not JSON.
    pub fn json(&self) -> Value {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(body).unwrap_or(Value::Null)
    }
}

impl TestClient {
    /// Creates a client that sends the `x-tenant` header.
    pub fn new(tenant: &str) -> Self {
        let client = awc::Client::builder().timeout(REQUEST_LIMIT).finish();
        Self {
            client,
            headers: vec![("x-tenant", tenant.to_owned())],
        }
    }

    /// Adds a header to every request, such as the class or the deadline.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Requests a chat completion as a stream and reads it to its end.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> StreamedAnswer {
        self.resume(entry, model, prompt, tokens, None).await
    }

    /// Resumes the stream of a chat completion after the event `last_id`; starts a new stream if
    /// that is `None`.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u32,
        last_id: Option<&str>,
    ) -> StreamedAnswer {
        let mut answer = StreamedAnswer::default();
        self.read_stream(entry, (model, prompt, tokens), last_id, &mut answer)
            .await;
        answer
    }

    /// Reads a stream into `answer`, which keeps what arrived if the reading is cancelled.
    pub async fn read_stream(
        &self,
        entry: SocketAddr,
        (model, prompt, tokens): (&str, &str, u32),
        last_id: Option<&str>,
        answer: &mut StreamedAnswer,
    ) {
        let body = json!({
            "model": model,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut request = self
            .client
            .post(format!("http://{entry}/v1/chat/completions"));
        for (name, value) in &self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        if let Some(id) = last_id {
            request = request.insert_header(("last-event-id", id));
        }
        let Ok(mut response) = request.send_json(&body).await else {
            return;
        };
        answer.status = response.status().as_u16();
        answer.retry_after = retry_after(response.headers());
        if answer.status != 200 {
            answer.error = response.json().await.ok();
            return;
        }
        let mut buffer = Vec::new();
        while let Some(Ok(part)) = response.next().await {
            buffer.extend_from_slice(&part);
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                answer.take_event(&String::from_utf8_lossy(&event));
            }
        }
    }

    /// Calls a plain service at a path below `/services/`; the status is 0 if no answer arrived.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: awc::http::Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> PlainAnswer {
        let mut head = format!(
            "{method} /services/{path} HTTP/1.1\r\nhost: {entry}\r\nconnection: close\r\n\
             content-length: {}\r\n",
            body.len()
        );
        let key = key.map(|key| ("idempotency-key", key));
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| (*name, value.as_str()));
        for (name, value) in headers.chain(key) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let exchange = exchange(entry, format!("{head}\r\n{body}"));
        let received = actix_rt::time::timeout(REQUEST_LIMIT, exchange).await;
        parse_answer(&received.unwrap_or_default()).unwrap_or(PlainAnswer {
            status: 0,
            body: None,
            retry_after: None,
        })
    }
}

/// Sends a request and returns what arrives until the connection ends.
async fn exchange(entry: SocketAddr, request: String) -> Vec<u8> {
    let mut received = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(entry).await {
        // A host may answer and close before it has read the whole body.
        let _ = stream.write_all(request.as_bytes()).await;
        let _ = stream.read_to_end(&mut received).await;
    }
    received
}

/// Parses an answer; returns `None` if its head is incomplete. The body is `None` unless its length
/// or last chunk shows that it is whole, which `awc` does not check.
fn parse_answer(received: &[u8]) -> Option<PlainAnswer> {
    let split = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..split]);
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let header = |wanted: &str| {
        let mut pairs = lines.clone().filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map(|(_, value)| value.trim().to_owned())
    };
    let rest = &received[split + 4..];
    let body = match header("content-length") {
        Some(length) => length
            .parse()
            .ok()
            .and_then(|length| rest.get(..length))
            .map(<[u8]>::to_vec),
        None => join_chunks(rest),
    };
    Some(PlainAnswer {
        status,
        body: body.map(Bytes::from),
        retry_after: header("retry-after").and_then(|value| value.parse().ok()),
    })
}

/// Joins the chunks of a body; returns `None` if the last chunk is missing.
fn join_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|part| part == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(end + 2..end + 2 + size)?);
        rest = rest.get(end + size + 4..)?;
    }
}

/// Reads a JSON document from a stand-in.
///
/// # Panics
///
/// Panics if the stand-in does not answer with JSON.
pub async fn read_json(address: SocketAddr, path: &str) -> Value {
    let url = format!("http://{address}{path}");
    let answer = awc::Client::default().get(&url).send().await;
    let mut answer = answer.unwrap_or_else(|error| panic!("no answer from {url}: {error}"));
    answer
        .json()
        .await
        .expect("the answer of the stand-in is JSON")
}

/// Sets the faults of a stand-in; an empty object removes them.
///
/// # Panics
///
/// Panics if the stand-in does not accept the faults.
pub async fn set_faults(standin: SocketAddr, faults: &Value) {
    let url = format!("http://{standin}/fault");
    let answer = awc::Client::default().post(url).send_json(faults).await;
    assert!(answer.expect("the stand-in answers").status().is_success());
}

/// Returns the `Retry-After` header in seconds, if it is there and a number.
fn retry_after(headers: &awc::http::header::HeaderMap) -> Option<u64> {
    headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

impl StreamedAnswer {
    fn take_event(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_id = Some(id.to_owned());
            }
            if let Some(data) = line.strip_prefix("data: ") {
                self.take_data(data);
            }
        }
    }

    fn take_data(&mut self, data: &str) {
        if data == "[DONE]" {
            self.complete = true;
            return;
        }
        let Ok(json) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if !json["error"].is_null() {
            self.error = Some(json["error"].clone());
            return;
        }
        self.text.push_str(
            json["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        self.tokens += 1;
    }
}
