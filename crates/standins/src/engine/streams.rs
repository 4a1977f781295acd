//! Streams of the engine stand-in: generation, retention, resume and cancellation.

use super::EngineState;
use crate::answers::answer_token;
use actix_web::{web, HttpRequest, HttpResponse};
use crocusyard_border::engine::{CacheChange, CacheEvent, CacheEvents};
use futures_util::stream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Time for which a finished stream can be resumed.
const RETENTION: Duration = Duration::from_secs(60);
/// Cache events that are kept; a reader that falls further behind misses the older ones.
const MAX_EVENTS: usize = 1024;
/// Capacity of the prefix cache, prompt blocks.
const MAX_CACHED_BLOCKS: usize = 4096;
/// Length of a prompt token, bytes.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the prompt block that one prefix hash covers, tokens.
const TOKENS_PER_BLOCK: u64 = 64;

/// A completion to generate.
pub(super) struct CompletionWork {
    pub(super) attempt: String,
    pub(super) model: String,
    pub(super) prompt: String,
    chat: bool,
    /// Length of the answer, tokens.
    tokens: u32,
    /// Prefix hashes of the prompt blocks, first block first.
    blocks: Vec<u64>,
}

impl CompletionWork {
    pub(super) fn parse(request: &HttpRequest, body: &[u8]) -> Option<Self> {
        let json: serde_json::Value = serde_json::from_slice(body).ok()?;
        let header = |name: &str| {
            request
                .headers()
                .get(name)?
                .to_str()
                .ok()
                .map(str::to_owned)
        };
        let tokens = json["max_completion_tokens"]
            .as_u64()
            .or(json["max_tokens"].as_u64());
        let blocks = header("x-prefix-blocks").unwrap_or_default();
        Some(Self {
            attempt: header("x-attempt-id")?,
            model: json["model"].as_str()?.to_owned(),
            prompt: prompt_text(&json),
            chat: request.path().contains("chat"),
            tokens: u32::try_from(tokens.unwrap_or(16)).ok()?,
            blocks: blocks
                .split(',')
                .filter_map(|text| text.parse().ok())
                .collect(),
        })
    }

    fn input_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN) as u64 + 1
    }

    /// Returns the JSON of the chunk with the token at position `index`.
    fn chunk(&self, index: u32) -> String {
        let token = answer_token(&self.model, &self.prompt, index);
        let last = index + 1 == self.tokens;
        let reason = if last {
            serde_json::json!("length")
        } else {
            serde_json::Value::Null
        };
        let choice = if self.chat {
            let delta = if index == 0 {
                serde_json::json!({"role": "assistant", "content": token})
            } else {
                serde_json::json!({"content": token})
            };
            serde_json::json!({"index": 0, "delta": delta, "finish_reason": reason})
        } else {
            serde_json::json!({"index": 0, "text": token, "finish_reason": reason})
        };
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        serde_json::json!({
            "id": format!("gen-{}", self.attempt),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
        .to_string()
    }
}

/// Returns the prompt, or the joined contents of all chat messages.
pub(super) fn prompt_text(json: &serde_json::Value) -> String {
    if let Some(prompt) = json["prompt"].as_str() {
        return prompt.to_owned();
    }
    let messages = json["messages"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    messages
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect()
}

/// Whether a stream is running, and otherwise how it ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamPhase {
    Running,
    Complete,
    Cancelled,
}

/// A stream and the chunks generated so far.
struct StreamEntry {
    model: String,
    chunks: Vec<String>,
    /// Number of chunks and phase, watched by the readers.
    progress: watch::Sender<(usize, StreamPhase)>,
}

/// All streams of one engine, and its prefix cache.
#[derive(Default)]
pub(super) struct StreamState {
    /// Streams by attempt id.
    entries: BTreeMap<String, StreamEntry>,
    running: u32,
    waiting: u32,
    queued_tokens: u64,
    /// Models and prefix hashes of the cached prompt blocks.
    cached: BTreeSet<(String, u64)>,
    /// Cached blocks in the order of their insertion; the first one is evicted first.
    eviction_order: VecDeque<(String, u64)>,
    events: VecDeque<CacheEvent>,
    /// Sequence number of the last event.
    last_event: u64,
    started: u64,
}

impl StreamState {
    /// Returns the running requests, the waiting requests and the queued prompt tokens.
    pub(super) fn request_counts(&self) -> (u32, u32, u64) {
        (self.running, self.waiting, self.queued_tokens)
    }

    /// Returns the number of streams started so far, resumes not included.
    pub(super) fn started(&self) -> u64 {
        self.started
    }

    /// Returns whether a stream of a model or adapter is waiting or running.
    pub(super) fn uses(&self, model: &str) -> bool {
        let mut streams = self.entries.values();
        streams
            .any(|entry| entry.model == model && entry.progress.borrow().1 == StreamPhase::Running)
    }

    pub(super) fn cancel(&mut self, attempt: &str) {
        if let Some(entry) = self.entries.get(attempt) {
            entry.set_phase(StreamPhase::Cancelled);
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> CacheEvents {
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|event| event.sequence > after)
            .cloned()
            .collect();
        let first = self
            .events
            .front()
            .map_or(self.last_event, |event| event.sequence);
        CacheEvents {
            events,
            first,
            next: self.last_event,
        }
    }

    fn push_event(&mut self, model: String, block: u64, change: CacheChange) {
        self.last_event += 1;
        self.events.push_back(CacheEvent {
            sequence: self.last_event,
            model,
            block,
            change,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the length of the cached prefix in tokens, and caches the whole prompt.
    fn use_cache(&mut self, work: &CompletionWork) -> u64 {
        let is_cached = |block: &&u64| self.cached.contains(&(work.model.clone(), **block));
        let hits = work.blocks.iter().take_while(is_cached).count() as u64;
        for &block in &work.blocks {
            let key = (work.model.clone(), block);
            if !self.cached.insert(key.clone()) {
                continue;
            }
            self.eviction_order.push_back(key);
            self.push_event(work.model.clone(), block, CacheChange::Stored);
            if self.eviction_order.len() > MAX_CACHED_BLOCKS {
                if let Some((model, block)) = self.eviction_order.pop_front() {
                    self.cached.remove(&(model.clone(), block));
                    self.push_event(model, block, CacheChange::Evicted);
                }
            }
        }
        hits * TOKENS_PER_BLOCK
    }

    fn phase(&self, attempt: &str) -> StreamPhase {
        self.entries
            .get(attempt)
            .map_or(StreamPhase::Cancelled, |entry| entry.progress.borrow().1)
    }

    fn push_chunk(&mut self, attempt: &str, chunk: String) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.chunks.push(chunk);
            let count = entry.chunks.len();
            entry.progress.send_modify(|progress| progress.0 = count);
        }
    }
}

impl StreamEntry {
    /// Ends a running stream; a stream that has already ended keeps its phase.
    fn set_phase(&self, phase: StreamPhase) {
        self.progress.send_modify(|progress| {
            if progress.1 == StreamPhase::Running {
                progress.1 = phase;
            }
        });
    }
}

/// Starts to generate a stream, unless one of the same attempt exists.
pub(super) fn start(state: Arc<EngineState>, work: CompletionWork) {
    {
        let mut streams = state.streams.lock().expect("the stream lock is poisoned");
        if streams.entries.contains_key(&work.attempt) {
            return;
        }
        let progress = watch::channel((0, StreamPhase::Running)).0;
        let entry = StreamEntry {
            model: work.model.clone(),
            chunks: Vec::new(),
            progress,
        };
        streams.entries.insert(work.attempt.clone(), entry);
        streams.started += 1;
        streams.waiting += 1;
        streams.queued_tokens += work.input_tokens();
    }
    actix_rt::spawn(async move {
        generate(&state, &work).await;
        actix_rt::time::sleep(RETENTION).await;
        state
            .streams
            .lock()
            .expect("the stream lock is poisoned")
            .entries
            .remove(&work.attempt);
    });
}

async fn generate(state: &EngineState, work: &CompletionWork) {
    let slot = state.slots.acquire().await;
    let cached = {
        let mut streams = state.streams.lock().expect("the stream lock is poisoned");
        streams.waiting -= 1;
        streams.running += 1;
        streams.use_cache(work)
    };
    let prefill = work.input_tokens().saturating_sub(cached) as f64 / state.options.prefill_rate;
    actix_rt::time::sleep(Duration::from_secs_f64(prefill)).await;
    state
        .streams
        .lock()
        .expect("the stream lock is poisoned")
        .queued_tokens -= work.input_tokens();
    decode(state, work).await;
    let mut streams = state.streams.lock().expect("the stream lock is poisoned");
    streams.running -= 1;
    if let Some(entry) = streams.entries.get(&work.attempt) {
        entry.set_phase(StreamPhase::Complete);
    }
    drop(slot);
}

async fn decode(state: &EngineState, work: &CompletionWork) {
    let start = tokio::time::Instant::now();
    for index in 0..work.tokens {
        let due = start + Duration::from_millis(state.options.token_ms * u64::from(index));
        tokio::time::sleep_until(due).await;
        let mut streams = state.streams.lock().expect("the stream lock is poisoned");
        if streams.phase(&work.attempt) != StreamPhase::Running {
            return;
        }
        streams.push_chunk(&work.attempt, work.chunk(index));
    }
}

/// Answers with the events of a stream, starting with chunk `from`.
pub(super) fn respond(state: &Arc<EngineState>, attempt: &str, from: u32) -> HttpResponse {
    let progress = {
        let streams = state.streams.lock().expect("the stream lock is poisoned");
        match streams.entries.get(attempt) {
            Some(entry) => entry.progress.subscribe(),
            None => return HttpResponse::Gone().finish(),
        }
    };
    let reader = StreamReader {
        state: state.clone(),
        attempt: attempt.to_owned(),
        next: from as usize,
        progress,
        ended: false,
    };
    let body = stream::unfold(reader, |mut reader| async move {
        let events = reader.next_events().await?;
        Some((events, reader))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

/// Reads one stream for one connection.
struct StreamReader {
    state: Arc<EngineState>,
    attempt: String,
    /// Index of the next chunk to send.
    next: usize,
    progress: watch::Receiver<(usize, StreamPhase)>,
    ended: bool,
}

impl StreamReader {
    /// Returns all events that are ready, and waits if there are none.
    async fn next_events(&mut self) -> Option<Result<web::Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        loop {
            let (count, phase) = *self.progress.borrow_and_update();
            if count > self.next {
                return Some(Ok(self.format_events(count)));
            }
            match phase {
                StreamPhase::Complete => {
                    self.ended = true;
                    return Some(Ok(web::Bytes::from_static(b"data: [DONE]\n\n")));
                }
                StreamPhase::Cancelled => {
                    self.ended = true;
                    return Some(Err(std::io::Error::other("stream was cancelled")));
                }
                StreamPhase::Running => {}
            }
            if self.progress.changed().await.is_err() {
                self.ended = true;
                return Some(Err(std::io::Error::other("stream is gone")));
            }
        }
    }

    fn format_events(&mut self, count: usize) -> web::Bytes {
        let streams = self
            .state
            .streams
            .lock()
            .expect("the stream lock is poisoned");
        let chunks = streams
            .entries
            .get(&self.attempt)
            .map(|entry| &entry.chunks);
        let mut text = String::new();
        for index in self.next..count {
            if let Some(chunk) = chunks.and_then(|chunks| chunks.get(index)) {
                text.push_str(&format!("id: {index}\ndata: {chunk}\n\n"));
            }
        }
        drop(streams);
        self.next = count;
        web::Bytes::from(text)
    }
}
