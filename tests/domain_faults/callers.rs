//! Callers that follow the address answers and note what they were told.

use crate::support::*;
use awc::http::Method;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Tokens of each stream.
const TOKENS: u32 = 40;
/// Time for which an answer is kept, the `address.ttl_ms` of the test settings.
const ANSWER_KEPT: Duration = Duration::from_millis(500);
/// Pause after a failure without a `Retry-After`.
const PAUSE: Duration = Duration::from_millis(50);

/// What callers were told, by prompt, path or key.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Ended with the whole answer.
    pub served: Vec<String>,
    /// Reported as not run.
    pub not_run: Vec<String>,
    /// Reported as unknown.
    pub unknown: Vec<String>,
    /// Ended without any answer.
    pub lost: Vec<String>,
}

/// A caller that connects to the hosts that the address answers name.
pub struct FollowingCaller<'a> {
    client: TestClient,
    known: &'a [SocketAddr],
    query: String,
    named: Vec<SocketAddr>,
    asked: Option<Instant>,
    failures: usize,
    tally: &'a RefCell<CallTally>,
}

impl<'a> FollowingCaller<'a> {
    /// Makes a caller of what `query` names, as in `model=NAME`, that knows some hosts to ask.
    pub fn new(known: &'a [SocketAddr], query: &str, tally: &'a RefCell<CallTally>) -> Self {
        Self {
            client: TestClient::new("plazas"),
            known,
            query: query.to_owned(),
            named: Vec::new(),
            asked: None,
            failures: 0,
            tally,
        }
    }

    /// Returns the host to connect to; after a failure it is the next one of the answer.
    async fn entry(&mut self) -> SocketAddr {
        let limit = Instant::now() + LIMIT;
        let is_fresh = self
            .asked
            .is_some_and(|asked| asked.elapsed() < ANSWER_KEPT);
        while !is_fresh || self.named.is_empty() {
            assert!(Instant::now() < limit, "{}: no host is named", self.query);
            let asked = self.known[self.failures % self.known.len()];
            self.named = ask_for(asked, &self.query).await;
            self.asked = Some(Instant::now());
            if !self.named.is_empty() {
                break;
            }
            self.failures += 1;
            actix_rt::time::sleep(PAUSE).await;
        }
        self.named[self.failures % self.named.len()]
    }

    /// Turns to the next host, after the time that an answer asks for.
    async fn turn(&mut self, retry_after: Option<u64>) {
        self.failures += 1;
        let pause = retry_after.map_or(PAUSE, Duration::from_secs);
        actix_rt::time::sleep(pause).await;
    }

    /// Streams an answer; a stream whose connection breaks goes on at another host.
    async fn stream_on(&mut self, model: &str, prompt: &str) -> StreamedAnswer {
        let mut answer = StreamedAnswer::default();
        loop {
            let entry = self.entry().await;
            let last_id = answer.last_id.clone();
            let request = (model, prompt, TOKENS);
            self.client
                .read_stream(entry, request, last_id.as_deref(), &mut answer)
                .await;
            let refused = answer.error.as_ref().map(|error| error["outcome"].clone());
            // A refusal to resume says nothing about the stream itself, which is asked for again.
            let resumes = answer.last_id.is_some() && refused.is_none_or(|told| told == "not_run");
            if answer.complete || !resumes {
                return answer;
            }
            let pause = answer.retry_after.filter(|_| answer.error.is_some());
            answer.error = None;
            self.turn(pause).await;
        }
    }

    /// Asks for a chat stream until it is served whole; each try has a prompt of its own.
    pub async fn chat(&mut self, model: &str, name: &str) {
        let limit = Instant::now() + LIMIT;
        for send in 0.. {
            assert!(Instant::now() < limit, "{model} {name}: not served");
            let prompt = format!("{name}.{send}");
            let answer = self.stream_on(model, &prompt).await;
            let noted = format!("{model} {prompt}");
            if answer.complete {
                assert_eq!(answer.text, answer_tokens(model, &prompt, TOKENS));
                self.tally.borrow_mut().served.push(noted);
                return;
            }
            self.note_failure(noted, answer.error.as_ref(), answer.retry_after);
            self.turn(answer.retry_after).await;
        }
    }

    /// Reads from the plain service until it is served; each try has a path of its own.
    pub async fn read(&mut self, name: &str) {
        let limit = Instant::now() + LIMIT;
        for send in 0.. {
            assert!(Instant::now() < limit, "{name}: not served");
            let path = format!("/{name}.{send}");
            let entry = self.entry().await;
            let call = format!("mostrador{path}");
            let answer = self.client.call(entry, Method::GET, &call, None, "").await;
            if answer.status == 200 && answer.body.is_some() {
                assert_eq!(answer.json()["path"], path, "{answer:?}");
                self.tally.borrow_mut().served.push(path);
                return;
            }
            self.note_plain_failure(path, &answer);
            self.turn(answer.retry_after).await;
        }
    }

    /// Sends a call with a key. A lost call is repeated under its key; one that was refused at its
    /// first try is given up, so that its key must never run.
    pub async fn order(&mut self, key: &str) {
        let limit = Instant::now() + LIMIT;
        for send in 0.. {
            assert!(Instant::now() < limit, "{key}: no outcome");
            let entry = self.entry().await;
            let path = "mostrador/orders";
            let answer = self
                .client
                .call(entry, Method::POST, path, Some(key), key)
                .await;
            if answer.status == 200 && answer.body.is_some() {
                assert_eq!(answer.json()["body"], key, "{answer:?}");
                self.tally.borrow_mut().served.push(key.to_owned());
                return;
            }
            let told = answer.json()["outcome"].clone();
            if told != "not_run" || send == 0 {
                self.note_plain_failure(key.to_owned(), &answer);
            }
            self.turn(answer.retry_after).await;
            if told == "unknown" || (told == "not_run" && send == 0) {
                return;
            }
        }
    }

    fn note_plain_failure(&self, name: String, answer: &PlainAnswer) {
        let problem = answer.json();
        let told = answer.body.is_some().then_some(&problem);
        self.note_failure(name, told, answer.retry_after);
    }

    /// Notes what a call that was not served was told; nothing but silence or an outcome will do.
    fn note_failure(&self, name: String, error: Option<&Value>, retry_after: Option<u64>) {
        let mut tally = self.tally.borrow_mut();
        let Some(error) = error else {
            tally.lost.push(name);
            return;
        };
        match error["outcome"].as_str() {
            Some("not_run") => {
                assert!(retry_after.is_some(), "{name}: {error}");
                tally.not_run.push(name);
            }
            Some("unknown") => tally.unknown.push(name),
            _ => panic!("{name}: no outcome in {error}"),
        }
    }
}
