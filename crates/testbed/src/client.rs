//! A caller for tests: sends requests and reads whole answers.

use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of a request in tests.
const REQUEST_LIMIT: Duration = Duration::from_secs(60);

/// A caller with one tenant.
#[derive(Clone)]
pub struct TestClient {
    client: awc::Client,
    headers: Vec<(&'static str, String)>,
}

/// What a streamed request gave.
#[derive(Clone, Debug, Default)]
pub struct StreamedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: usize,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// Whether the stream ended with its end mark.
    pub complete: bool,
    /// Error event or problem document.
    pub error: Option<Value>,
    /// `Retry-After`, seconds.
    pub retry_after: Option<u64>,
}

/// What a plain call gave.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body; `None` if it broke off.
    pub body: Option<Bytes>,
    /// `Retry-After`, seconds.
    pub retry_after: Option<u64>,
}

impl PlainAnswer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        let body = self.body.as_deref().unwrap_or_default();
        serde_json::from_slice(body).unwrap_or(Value::Null)
    }
}

impl TestClient {
    /// Makes a caller of a tenant.
    pub fn new(tenant: &str) -> Self {
        let client = awc::Client::builder().timeout(REQUEST_LIMIT).finish();
        Self {
            client,
            headers: vec![("x-tenant", tenant.to_owned())],
        }
    }

    /// Sends a further header with every request, such as the class or the deadline.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Streams a chat completion.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> StreamedAnswer {
        self.resume(entry, model, prompt, tokens, None).await
    }

    /// Streams a chat completion from the event after `last_id` on.
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

    /// Streams into `answer`, so that a cut stream leaves what arrived.
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

    /// Calls a plain service.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: awc::http::Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> PlainAnswer {
        let mut request = self
            .client
            .request(method, format!("http://{entry}/services/{path}"));
        for (name, value) in &self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        match request.send_body(body.to_owned()).await {
            Err(_) => PlainAnswer {
                status: 0,
                body: None,
                retry_after: None,
            },
            Ok(mut response) => {
                let retry_after = retry_after(response.headers());
                let status = response.status().as_u16();
                PlainAnswer {
                    status,
                    body: response.body().await.ok(),
                    retry_after,
                }
            }
        }
    }
}

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
