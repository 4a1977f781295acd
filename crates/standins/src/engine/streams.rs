//! Streams of the engine stand-in: generation, retention, resumption and cancellation.

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
/// Cache events that are kept; older ones are lost to readers.
const EVENTS_KEPT: usize = 1024;
/// Prompt blocks that the prefix cache holds.
const BLOCKS_KEPT: usize = 4096;
/// Prompt bytes that the stand-in counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt blocks, in tokens, that one prefix hash covers.
const TOKENS_PER_BLOCK: u64 = 64;

/// A completion that is to be generated.
pub(super) struct GenerationWork {
    pub(super) attempt: String,
    pub(super) model: String,
    pub(super) prompt: String,
    chat: bool,
    tokens: u32,
    blocks: Vec<u64>,
}

impl GenerationWork {
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
            prompt: prompt_of(&json),
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

/// Returns the text of the prompt, or of all messages one after the other.
pub(super) fn prompt_of(json: &serde_json::Value) -> String {
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

/// Progress of a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamPhase {
    Running,
    Complete,
    Cancelled,
}

struct StreamEntry {
    model: String,
    chunks: Vec<String>,
    progress: watch::Sender<(usize, StreamPhase)>,
}

/// All streams of one engine, and its prefix cache.
#[derive(Default)]
pub(super) struct StreamState {
    streams: BTreeMap<String, StreamEntry>,
    running: u32,
    waiting: u32,
    queued_tokens: u64,
    cached: BTreeSet<(String, u64)>,
    cached_order: VecDeque<(String, u64)>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    started: u64,
}

impl StreamState {
    pub(super) fn load(&self) -> (u32, u32, u64) {
        (self.running, self.waiting, self.queued_tokens)
    }

    /// Returns how many streams were started; resumes are not counted.
    pub(super) fn started(&self) -> u64 {
        self.started
    }

    /// Returns whether a stream of a model or adapter waits or runs.
    pub(super) fn uses(&self, model: &str) -> bool {
        let mut streams = self.streams.values();
        streams
            .any(|entry| entry.model == model && entry.progress.borrow().1 == StreamPhase::Running)
    }

    pub(super) fn cancel(&mut self, attempt: &str) {
        if let Some(entry) = self.streams.get(attempt) {
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
            .map_or(self.next_event, |event| event.sequence);
        CacheEvents {
            events,
            first,
            next: self.next_event,
        }
    }

    fn publish(&mut self, model: String, block: u64, change: CacheChange) {
        self.next_event += 1;
        self.events.push_back(CacheEvent {
            sequence: self.next_event,
            model,
            block,
            change,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Returns the cached prefix in tokens, and caches the whole prompt.
    fn use_cache(&mut self, work: &GenerationWork) -> u64 {
        let is_hit = |block: &&u64| self.cached.contains(&(work.model.clone(), **block));
        let hits = work.blocks.iter().take_while(is_hit).count() as u64;
        for &block in &work.blocks {
            let key = (work.model.clone(), block);
            if !self.cached.insert(key.clone()) {
                continue;
            }
            self.cached_order.push_back(key);
            self.publish(work.model.clone(), block, CacheChange::Stored);
            if self.cached_order.len() > BLOCKS_KEPT {
                if let Some((model, block)) = self.cached_order.pop_front() {
                    self.cached.remove(&(model.clone(), block));
                    self.publish(model, block, CacheChange::Evicted);
                }
            }
        }
        hits * TOKENS_PER_BLOCK
    }

    fn phase(&self, attempt: &str) -> StreamPhase {
        self.streams
            .get(attempt)
            .map_or(StreamPhase::Cancelled, |entry| entry.progress.borrow().1)
    }

    fn push(&mut self, attempt: &str, chunk: String) {
        if let Some(entry) = self.streams.get_mut(attempt) {
            entry.chunks.push(chunk);
            let count = entry.chunks.len();
            entry.progress.send_modify(|progress| progress.0 = count);
        }
    }
}

impl StreamEntry {
    fn set_phase(&self, phase: StreamPhase) {
        self.progress.send_modify(|progress| {
            if progress.1 == StreamPhase::Running {
                progress.1 = phase;
            }
        });
    }
}

/// Starts the generation of a stream, unless the attempt is known.
pub(super) fn start(state: Arc<EngineState>, work: GenerationWork) {
    {
        let mut streams = state.streams.lock().expect("stream lock");
        if streams.streams.contains_key(&work.attempt) {
            return;
        }
        let progress = watch::channel((0, StreamPhase::Running)).0;
        let entry = StreamEntry {
            model: work.model.clone(),
            chunks: Vec::new(),
            progress,
        };
        streams.streams.insert(work.attempt.clone(), entry);
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
            .expect("stream lock")
            .streams
            .remove(&work.attempt);
    });
}

async fn generate(state: &EngineState, work: &GenerationWork) {
    let slot = state.slots.acquire().await;
    let cached = {
        let mut streams = state.streams.lock().expect("stream lock");
        streams.waiting -= 1;
        streams.running += 1;
        streams.use_cache(work)
    };
    let prefill = work.input_tokens().saturating_sub(cached) as f64 / state.settings.prefill_rate;
    actix_rt::time::sleep(Duration::from_secs_f64(prefill)).await;
    state.streams.lock().expect("stream lock").queued_tokens -= work.input_tokens();
    decode(state, work).await;
    let mut streams = state.streams.lock().expect("stream lock");
    streams.running -= 1;
    if let Some(entry) = streams.streams.get(&work.attempt) {
        entry.set_phase(StreamPhase::Complete);
    }
    drop(slot);
}

async fn decode(state: &EngineState, work: &GenerationWork) {
    let start = tokio::time::Instant::now();
    for index in 0..work.tokens {
        let due = start + Duration::from_millis(state.settings.token_ms * u64::from(index));
        tokio::time::sleep_until(due).await;
        let mut streams = state.streams.lock().expect("stream lock");
        if streams.phase(&work.attempt) != StreamPhase::Running {
            return;
        }
        streams.push(&work.attempt, work.chunk(index));
    }
}

/// Answers with a stream from one of its chunks on.
pub(super) fn respond(state: &Arc<EngineState>, attempt: &str, from: u32) -> HttpResponse {
    let progress = {
        let streams = state.streams.lock().expect("stream lock");
        match streams.streams.get(attempt) {
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
        let part = reader.next_part().await?;
        Some((part, reader))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

struct StreamReader {
    state: Arc<EngineState>,
    attempt: String,
    next: usize,
    progress: watch::Receiver<(usize, StreamPhase)>,
    ended: bool,
}

impl StreamReader {
    /// Returns the events that are ready, or waits for one.
    async fn next_part(&mut self) -> Option<Result<web::Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        loop {
            let (count, phase) = *self.progress.borrow_and_update();
            if count > self.next {
                return Some(Ok(self.take_events(count)));
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

    fn take_events(&mut self, count: usize) -> web::Bytes {
        let streams = self.state.streams.lock().expect("stream lock");
        let chunks = streams
            .streams
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
