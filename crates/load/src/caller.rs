//! Makes one call as a real caller would.
//!
//! The caller asks for an address, tries the next one on a connection error, resumes a broken
//! stream and repeats a keyed call whose outcome is unknown. Any other refusal ends the call:
//! repeating the call would turn the open-loop load into one that depends on the answers.

use crate::addresses::AddressBook;
use crate::check::{PlainCheck, StreamCheck};
use crate::schedule::{CallKind, PlannedCall};
use crate::stats::CallResult;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::{Client, ClientRequest};
use crocusyard_base::prelude::*;
use crocusyard_border::callers::{AddressList, OutcomeName, ProblemDocument};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Upper bound of the tries of one call, repeats and resumes included.
const MAX_TRIES: u32 = 12;
/// Pause before a call is repeated, unless a refusal sets another one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause that a refusal can ask for, so that the run ends.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";

/// State that all calls of a run share.
pub(crate) struct CallerShared {
    pub(crate) client: Client,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) book: RefCell<AddressBook>,
    pub(crate) random: RefCell<SeededRng>,
    pub(crate) start: Instant,
}

impl CallerShared {
    pub(crate) fn now(&self) -> ClockTime {
        let elapsed = self.start.elapsed().as_millis();
        ClockTime::from_ms(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Returns the address to use; asks an entry host for addresses if no list is stored or it has
    /// expired.
    async fn choose(
        &self,
        query: &AddressQuery,
        tried: &mut Vec<SocketAddr>,
    ) -> Option<SocketAddr> {
        if !self.book.borrow().has_fresh(&query.key, self.now()) {
            self.request_list(query, tried.last().copied()).await;
        }
        let choose = |tried: &[SocketAddr]| {
            let mut random = self.random.borrow_mut();
            self.book.borrow().choose(&query.key, tried, &mut random)
        };
        if let Some(address) = choose(tried) {
            return Some(address);
        }
        // Every address of the list failed, so the list is replaced.
        self.book.borrow_mut().remove(&query.key);
        self.request_list(query, tried.last().copied()).await;
        tried.clear();
        choose(tried)
    }

    /// Stores the address list of the first entry host that answers. `last` is the address that
    /// failed last.
    async fn request_list(&self, query: &AddressQuery, last: Option<SocketAddr>) {
        let mut parameters = vec![(query.kind, query.name.to_string())];
        parameters.extend(last.map(|address| ("last", address.to_string())));
        for entry in &self.entries {
            let request = self.client.get(format!("http://{entry}/v1/addresses"));
            let Ok(request) = request.query(&parameters) else {
                return;
            };
            let Ok(mut response) = request.send().await else {
                continue;
            };
            if let Ok(list) = response.json::<AddressList>().await {
                self.book.borrow_mut().store(&query.key, &list, self.now());
                return;
            }
        }
    }
}

/// The model or service whose addresses are asked for.
struct AddressQuery {
    /// Query parameter, `model` or `service`.
    kind: &'static str,
    name: Arc<str>,
    /// Key of the address list in the address book.
    key: String,
}

impl AddressQuery {
    fn of(call: &PlannedCall) -> Self {
        let (kind, name) = match &call.kind {
            CallKind::Chat { model, .. } => ("model", model.clone()),
            CallKind::Get { service, .. } | CallKind::Post { service, .. } => {
                ("service", service.clone())
            }
        };
        let key = format!("{kind}={name}");
        Self { kind, name, key }
    }
}

/// A call in progress.
struct RunningCall<'a> {
    shared: &'a CallerShared,
    call: &'a PlannedCall,
    query: AddressQuery,
    /// Addresses that failed.
    tried: Vec<SocketAddr>,
    result: CallResult,
}

/// Progress of a stream over all its tries.
struct StreamProgress {
    check: StreamCheck,
    /// Id of the last event, from which the stream is resumed.
    last_id: Option<String>,
    /// Time of the last token.
    last_token: Option<Instant>,
    /// Whether the end of the stream was received.
    ended: bool,
}

/// How one try ended.
enum TryEnd {
    /// The call has ended, successfully or not.
    Over,
    /// The call must be tried again after a pause.
    Again(Duration),
}

/// Makes a call, with all its repeats and resumes, and returns its result.
pub(crate) async fn make_call(shared: &CallerShared, call: &PlannedCall) -> CallResult {
    let mut running = RunningCall {
        shared,
        call,
        query: AddressQuery::of(call),
        tried: Vec::new(),
        result: CallResult::default(),
    };
    match &call.kind {
        CallKind::Chat {
            model,
            prompt,
            tokens,
            ..
        } => {
            let check = StreamCheck::new(model, prompt, *tokens);
            running.call_stream(check).await;
        }
        _ => running.call_plain().await,
    }
    running.result
}

impl RunningCall<'_> {
    /// Returns the time since the planned arrival, microseconds.
    fn since_planned_us(&self) -> u64 {
        let planned = Duration::from_millis(self.call.at.as_ms());
        let elapsed = self.shared.start.elapsed().saturating_sub(planned);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    fn record_refusal(&mut self, code: &str) {
        self.result.refusals.push(code.to_owned());
    }

    fn retry(&mut self, pause: Duration) -> TryEnd {
        self.result.retries += 1;
        TryEnd::Again(pause)
    }

    /// Chooses an address; a call that finds none is tried again later.
    async fn choose(&mut self) -> Result<SocketAddr, TryEnd> {
        let address = self.shared.choose(&self.query, &mut self.tried).await;
        address.ok_or_else(|| {
            self.record_refusal("no_address");
            self.retry(RETRY_PAUSE)
        })
    }

    /// Records a request that could not be sent or answered. Another address may work at once.
    fn record_send_error(&mut self, address: SocketAddr, error: &SendRequestError) {
        self.tried.push(address);
        let is_connect = matches!(error, SendRequestError::Connect(_));
        self.record_refusal(if is_connect { "connect" } else { "broken" });
    }

    async fn call_stream(&mut self, check: StreamCheck) {
        let mut progress = StreamProgress {
            check,
            last_id: None,
            last_token: None,
            ended: false,
        };
        let mut tries = 0;
        while let TryEnd::Again(pause) = self.try_stream(&mut progress).await {
            tries += 1;
            if tries == MAX_TRIES {
                self.record_refusal("too_many_tries");
                break;
            }
            actix_rt::time::sleep(pause).await;
        }
        self.result.tokens = progress.check.received();
        self.result.defects = progress.check.defects(progress.ended);
        self.result.is_whole = progress.ended && self.result.defects.is_empty();
    }

    async fn try_stream(&mut self, progress: &mut StreamProgress) -> TryEnd {
        let address = match self.choose().await {
            Ok(address) => address,
            Err(end) => return end,
        };
        let (request, body) = self.chat_request(address, progress.last_id.as_deref());
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => {
                self.record_send_error(address, &error);
                return self.retry(Duration::ZERO);
            }
        };
        if !response.status().is_success() {
            let document = response.json::<ProblemDocument>().await.ok();
            return self.handle_problem(document);
        }
        let mut events = response.eventsource();
        while let Some(Ok(event)) = events.next().await {
            if event.data == STREAM_END {
                progress.ended = true;
                return TryEnd::Over;
            }
            let chunk = serde_json::from_str::<ChatChunk>(&event.data);
            if let Ok(ChatChunk {
                error: Some(error), ..
            }) = chunk
            {
                self.record_refusal(&error.code);
                return TryEnd::Over;
            }
            self.record_token(progress, chunk.ok());
            if !event.id.is_empty() {
                progress.last_id = Some(event.id);
            }
        }
        // The connection broke, but another host can continue the stream.
        self.tried.push(address);
        if progress.last_id.is_some() {
            self.result.resumes += 1;
            return TryEnd::Again(Duration::ZERO);
        }
        progress.check.restart();
        self.record_refusal("broken");
        self.retry(Duration::ZERO)
    }

    /// Records the time and content of a token; a chunk that cannot be parsed counts as a wrong
    /// token.
    fn record_token(&mut self, progress: &mut StreamProgress, chunk: Option<ChatChunk>) {
        let now = Instant::now();
        match progress.last_token.replace(now) {
            None => self.result.first_us = Some(self.since_planned_us()),
            Some(last) => {
                let gap = now.duration_since(last).as_micros();
                let gap = u64::try_from(gap).unwrap_or(u64::MAX);
                self.result.gaps_us.push(gap);
            }
        }
        let choice = chunk.and_then(|chunk| chunk.choices.into_iter().next());
        let content = choice.and_then(|choice| choice.delta.content);
        progress
            .check
            .push_token(content.as_deref().unwrap_or_default());
    }

    fn chat_request(&self, address: SocketAddr, last_id: Option<&str>) -> (ClientRequest, String) {
        let CallKind::Chat {
            model,
            prompt,
            tokens,
            class,
        } = &self.call.kind
        else {
            unreachable!("a plain call must not be sent as a chat");
        };
        let body = serde_json::json!({
            "model": model,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut request = self
            .shared
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-tenant", &*self.call.tenant))
            .insert_header(("x-request-class", *class));
        if let Some(id) = last_id {
            request = request.insert_header(("last-event-id", id));
        }
        (request, body.to_string())
    }

    /// Records a refusal. A keyed call whose outcome is unknown is repeated with its key.
    fn handle_problem(&mut self, document: Option<ProblemDocument>) -> TryEnd {
        let Some(document) = document else {
            self.record_refusal("no_problem_document");
            return TryEnd::Over;
        };
        self.record_refusal(&document.code);
        let is_keyed = matches!(self.call.kind, CallKind::Post { .. });
        if !is_keyed || document.outcome != OutcomeName::Unknown {
            return TryEnd::Over;
        }
        let pause = document
            .retry_after_ms
            .map_or(RETRY_PAUSE, Duration::from_millis);
        self.retry(pause.min(MAX_RETRY_PAUSE))
    }

    async fn call_plain(&mut self) {
        let mut tries = 0;
        while let TryEnd::Again(pause) = self.try_plain().await {
            tries += 1;
            if tries == MAX_TRIES {
                self.record_refusal("too_many_tries");
                return;
            }
            actix_rt::time::sleep(pause).await;
        }
    }

    async fn try_plain(&mut self) -> TryEnd {
        let address = match self.choose().await {
            Ok(address) => address,
            Err(end) => return end,
        };
        let (request, check) = plain_request(self.shared, self.call, address);
        let sent = request.send_body(check.body.to_owned()).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                self.record_send_error(address, &error);
                return self.retry(Duration::ZERO);
            }
        };
        if !response.status().is_success() {
            let document = response.json::<ProblemDocument>().await.ok();
            return self.handle_problem(document);
        }
        let Ok(body) = response.body().await else {
            self.tried.push(address);
            self.record_refusal("broken");
            return self.retry(Duration::ZERO);
        };
        self.result.first_us = Some(self.since_planned_us());
        self.result.defects.extend(check.defect(&body));
        self.result.is_whole = self.result.defects.is_empty();
        TryEnd::Over
    }
}

/// Returns the request of a plain call and the check of its answer.
fn plain_request<'a>(
    shared: &CallerShared,
    call: &'a PlannedCall,
    address: SocketAddr,
) -> (ClientRequest, PlainCheck<'a>) {
    let request = |method, service: &str, path: &str, query: &str| {
        shared
            .client
            .request(
                method,
                format!("http://{address}/services/{service}{path}{query}"),
            )
            .insert_header(("x-tenant", &*call.tenant))
    };
    match &call.kind {
        CallKind::Get {
            service,
            path,
            query,
        } => {
            let check = PlainCheck {
                method: "GET",
                path,
                query,
                body: "",
            };
            let query = format!("?{query}");
            (request(Method::GET, service, path, &query), check)
        }
        CallKind::Post {
            service,
            path,
            body,
            key,
        } => {
            let check = PlainCheck {
                method: "POST",
                path,
                query: "",
                body,
            };
            let request = request(Method::POST, service, path, "")
                .insert_header(("idempotency-key", key.as_str()));
            (request, check)
        }
        CallKind::Chat { .. } => unreachable!("a chat must not be sent as a plain call"),
    }
}

/// The checked fields of a chunk of a streamed chat.
#[derive(Deserialize)]
struct ChatChunk {
    #[serde(default)]
    choices: Vec<ChatChoice>,
    error: Option<StreamError>,
}

#[derive(Deserialize)]
struct ChatChoice {
    delta: ChatDelta,
}

#[derive(Deserialize)]
struct ChatDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct StreamError {
    code: String,
}
