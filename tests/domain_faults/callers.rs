//! Callers that connect to the hosts in address answers, and record the outcomes of their calls.

use crate::support::*;
use awc::http::Method;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of tokens in each streamed answer.
const TOKENS: u32 = 40;
/// Time for which an address answer is used, equal to `address.ttl_ms` in the test settings.
const ADDRESS_TTL: Duration = Duration::from_millis(500);
/// Pause before a retry if the failure has no `Retry-After`.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Names of calls by outcome; a call is named by its prompt, path or key.
#[derive(Debug, Default)]
pub struct CallOutcomes {
    /// Calls with a complete answer.
    pub served: Vec<String>,
    /// Calls that were reported as not run.
    pub not_run: Vec<String>,
    /// Calls whose outcome was reported as unknown.
    pub unknown: Vec<String>,
    /// Calls that ended without an answer.
    pub lost: Vec<String>,
}

/// A caller that asks hosts for addresses and connects to the hosts that they name.
pub struct ResolvingCaller<'a> {
    client: TestClient,
    /// Hosts to ask for addresses.
    known_hosts: &'a [SocketAddr],
    query: String,
    /// Hosts in the last address answer.
    addresses: Vec<SocketAddr>,
    /// Time of the last address answer.
    resolved_at: Option<Instant>,
    failures: usize,
    outcomes: &'a RefCell<CallOutcomes>,
}

impl<'a> ResolvingCaller<'a> {
    /// Creates a caller of the model or service in `query`, as in `model=NAME`.
    ///
    /// The caller asks the hosts in `known_hosts` for addresses.
    pub fn new(
        known_hosts: &'a [SocketAddr],
        query: &str,
        outcomes: &'a RefCell<CallOutcomes>,
    ) -> Self {
        Self {
            client: TestClient::new("plazas"),
            known_hosts,
            query: query.to_owned(),
            addresses: Vec::new(),
            resolved_at: None,
            failures: 0,
            outcomes,
        }
    }

    /// Returns the host to connect to; after a failure this is the next one in the address answer.
    async fn resolve(&mut self) -> SocketAddr {
        let limit = Instant::now() + WAIT_LIMIT;
        let is_current = self
            .resolved_at
            .is_some_and(|at| at.elapsed() < ADDRESS_TTL);
        while !is_current || self.addresses.is_empty() {
            assert!(
                Instant::now() < limit,
                "{}: no address answer names a host",
                self.query
            );
            let host = self.known_hosts[self.failures % self.known_hosts.len()];
            self.addresses = query_addresses(host, &self.query).await;
            self.resolved_at = Some(Instant::now());
            if !self.addresses.is_empty() {
                break;
            }
            self.failures += 1;
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        self.addresses[self.failures % self.addresses.len()]
    }

    /// Switches to the next host, after the seconds in `retry_after` or else [`RETRY_PAUSE`].
    async fn switch_host(&mut self, retry_after: Option<u64>) {
        self.failures += 1;
        let pause = retry_after.map_or(RETRY_PAUSE, Duration::from_secs);
        actix_rt::time::sleep(pause).await;
    }

    /// Streams an answer; if the connection breaks, the stream is resumed at another host.
    async fn stream_with_resume(&mut self, model: &str, prompt: &str) -> StreamedAnswer {
        let mut answer = StreamedAnswer::default();
        loop {
            let entry = self.resolve().await;
            let last_id = answer.last_id.clone();
            let request = (model, prompt, TOKENS);
            self.client
                .read_stream(entry, request, last_id.as_deref(), &mut answer)
                .await;
            let error_outcome = answer.error.as_ref().map(|error| error["outcome"].clone());
            // With `not_run`, only the resumption was refused. The stream may still exist, so it is
            // resumed again.
            let resumes = answer.last_id.is_some()
                && error_outcome.is_none_or(|outcome| outcome == "not_run");
            if answer.complete || !resumes {
                return answer;
            }
            let pause = answer.retry_after.filter(|_| answer.error.is_some());
            answer.error = None;
            self.switch_host(pause).await;
        }
    }

    /// Sends a chat request until a stream is complete; each attempt has a prompt of its own.
    pub async fn chat_until_served(&mut self, model: &str, name: &str) {
        let limit = Instant::now() + WAIT_LIMIT;
        for attempt in 0.. {
            assert!(
                Instant::now() < limit,
                "{model} {name}: not served within {WAIT_LIMIT:?}"
            );
            let prompt = format!("{name}.{attempt}");
            let answer = self.stream_with_resume(model, &prompt).await;
            let call = format!("{model} {prompt}");
            if answer.complete {
                assert_eq!(answer.text, answer_tokens(model, &prompt, TOKENS));
                self.outcomes.borrow_mut().served.push(call);
                return;
            }
            self.record_failure(call, answer.error.as_ref(), answer.retry_after);
            self.switch_host(answer.retry_after).await;
        }
    }

    /// Reads from the plain service until a read is served; each attempt has a path of its own.
    pub async fn read_until_served(&mut self, name: &str) {
        let limit = Instant::now() + WAIT_LIMIT;
        for attempt in 0.. {
            assert!(
                Instant::now() < limit,
                "{name}: not served within {WAIT_LIMIT:?}"
            );
            let path = format!("/{name}.{attempt}");
            let entry = self.resolve().await;
            let call = format!("mostrador{path}");
            let answer = self.client.call(entry, Method::GET, &call, None, "").await;
            if answer.status == 200 && answer.body.is_some() {
                assert_eq!(answer.json()["path"], path, "{answer:?}");
                self.outcomes.borrow_mut().served.push(path);
                return;
            }
            self.record_call_failure(path, &answer);
            self.switch_host(answer.retry_after).await;
        }
    }

    /// Sends a call with an idempotency key until it is served, is refused at its first attempt, or
    /// its outcome is reported as unknown.
    ///
    /// A call without an answer is repeated under its key. A call that is refused at its first
    /// attempt is given up, so that its key must never run.
    pub async fn order_until_settled(&mut self, key: &str) {
        let limit = Instant::now() + WAIT_LIMIT;
        for attempt in 0.. {
            assert!(
                Instant::now() < limit,
                "{key}: no outcome within {WAIT_LIMIT:?}"
            );
            let entry = self.resolve().await;
            let path = "mostrador/orders";
            let answer = self
                .client
                .call(entry, Method::POST, path, Some(key), key)
                .await;
            if answer.status == 200 && answer.body.is_some() {
                assert_eq!(answer.json()["body"], key, "{answer:?}");
                self.outcomes.borrow_mut().served.push(key.to_owned());
                return;
            }
            let outcome = answer.json()["outcome"].clone();
            if outcome != "not_run" || attempt == 0 {
                self.record_call_failure(key.to_owned(), &answer);
            }
            self.switch_host(answer.retry_after).await;
            if outcome == "unknown" || (outcome == "not_run" && attempt == 0) {
                return;
            }
        }
    }

    fn record_call_failure(&self, name: String, answer: &PlainAnswer) {
        let problem = answer.json();
        let error = answer.body.is_some().then_some(&problem);
        self.record_failure(name, error, answer.retry_after);
    }

    /// Records the outcome of a call that was not served.
    ///
    /// The call must have got either no answer or an error with a known `outcome`.
    fn record_failure(&self, name: String, error: Option<&Value>, retry_after: Option<u64>) {
        let mut outcomes = self.outcomes.borrow_mut();
        let Some(error) = error else {
            outcomes.lost.push(name);
            return;
        };
        match error["outcome"].as_str() {
            Some("not_run") => {
                assert!(
                    retry_after.is_some(),
                    "{name}: no `Retry-After` with {error}"
                );
                outcomes.not_run.push(name);
            }
            Some("unknown") => outcomes.unknown.push(name),
            _ => panic!("{name}: no known outcome in {error}"),
        }
    }
}
