//! A simple queueing model of an engine.
//!
//! Prefill is sequential at a fixed rate; a request then holds a decode slot. The prompt prefix
//! cache and the resident adapters are least-recently-used sets.

use crocusyard_routing::prelude::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Time on the simulated clock, microseconds.
pub type Micros = u64;

/// Time that one adapter load adds to a prefill.
pub const ADAPTER_LOAD_TIME: Micros = 10_000;

/// A bounded set that evicts the least recently used key.
#[derive(Debug)]
pub struct LruSet<K> {
    /// Time stamp of the last use of each key.
    stamps: HashMap<K, u64>,
    /// Keys by the time stamp of their last use.
    order: BTreeMap<u64, K>,
    /// Maximum number of keys.
    capacity: usize,
    /// Time stamp of the last use of any key.
    last_stamp: u64,
}

impl<K: Clone + Eq + std::hash::Hash> LruSet<K> {
    /// Creates an empty set for at most `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            capacity,
            last_stamp: 0,
        }
    }

    /// Returns whether a key is in the set.
    pub fn contains(&self, key: &K) -> bool {
        self.stamps.contains_key(key)
    }

    /// Marks a key as used, and inserts it if it is new; returns whether it is new, and the evicted
    /// key.
    pub fn touch(&mut self, key: K) -> (bool, Option<K>) {
        self.last_stamp += 1;
        let old = self.stamps.insert(key.clone(), self.last_stamp);
        if let Some(old) = old {
            self.order.remove(&old);
        }
        self.order.insert(self.last_stamp, key);
        let evicted = if self.stamps.len() > self.capacity {
            self.order.pop_first().map(|(_, key)| key)
        } else {
            None
        };
        if let Some(key) = &evicted {
            self.stamps.remove(key);
        }
        (old.is_none(), evicted)
    }

    /// Returns the keys, least recently used first.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.values()
    }
}

/// A request in the queue of an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// Position of the request among the arrivals.
    pub request: usize,
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Output length, tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt's blocks.
    pub prefix: Arc<[u64]>,
    /// Adapter that the request uses; `None` for the base model.
    pub adapter: Option<Arc<str>>,
}

/// State of one simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// Decode rate of one stream, tokens a second.
    pub decode_rate: f64,
    /// Requests that can decode at once.
    pub slots: u32,
    /// Requests that are decoding.
    pub running: u32,
    /// Prompt tokens that were found in the cache.
    pub saved_tokens: u64,
    /// Prompt tokens of all started requests.
    pub prompt_tokens: u64,
    /// Sequence number of the first cache event that was not taken yet, and these events.
    pub events: (u64, Vec<CacheEvent>),
    queue: VecDeque<EngineJob>,
    prefilling: Option<EngineJob>,
    cache: LruSet<u64>,
    adapters: LruSet<Arc<str>>,
}

impl Engine {
    /// Creates an idle engine with an empty cache, for at most this number of cache blocks and
    /// resident adapters.
    pub fn new(prefill_rate: f64, slots: u32, cache_blocks: usize, adapters: usize) -> Self {
        Self {
            prefill_rate,
            decode_rate: 40.0,
            slots,
            running: 0,
            saved_tokens: 0,
            prompt_tokens: 0,
            events: (0, Vec::new()),
            queue: VecDeque::new(),
            prefilling: None,
            cache: LruSet::new(cache_blocks),
            adapters: LruSet::new(adapters),
        }
    }

    /// Adds a request to the end of the queue.
    pub fn enqueue(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next prefill and returns its duration; returns `None` if no prefill can start.
    pub fn start_prefill(&mut self) -> Option<Micros> {
        if self.prefilling.is_some() || self.running >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        let cached = job
            .prefix
            .iter()
            .take_while(|block| self.cache.contains(block))
            .count();
        let share = cached as f64 / job.prefix.len().max(1) as f64;
        let saved = f64::from(job.input_tokens) * share;
        self.saved_tokens += saved as u64;
        self.prompt_tokens += u64::from(job.input_tokens);
        let tokens = f64::from(job.input_tokens) - saved;
        let mut duration = (tokens / self.prefill_rate * 1e6) as Micros + 1;
        if let Some(adapter) = &job.adapter {
            if self.adapters.touch(adapter.clone()).0 {
                duration += ADAPTER_LOAD_TIME;
            }
        }
        self.prefilling = Some(job);
        Some(duration)
    }

    /// Ends the prefill; returns the position of the request and the duration of its decoding.
    pub fn finish_prefill(&mut self) -> Option<(usize, Micros)> {
        let job = self.prefilling.take()?;
        for &block in job.prefix.iter() {
            let (new, evicted) = self.cache.touch(block);
            if new {
                self.events.1.push(CacheEvent::Stored { block });
            }
            if let Some(block) = evicted {
                self.events.1.push(CacheEvent::Evicted { block });
            }
        }
        self.running += 1;
        let decode = f64::from(job.output_tokens) / self.decode_rate * 1e6;
        Some((job.request, decode as Micros))
    }

    /// Returns the number of requests that wait for their prefill or its end.
    pub fn waiting(&self) -> u32 {
        (self.queue.len() + usize::from(self.prefilling.is_some())) as u32
    }

    /// Returns the number of prompt tokens whose prefill has not ended, without deducting future
    /// cache hits.
    pub fn queued_tokens(&self) -> u64 {
        self.queue
            .iter()
            .chain(&self.prefilling)
            .map(|job| u64::from(job.input_tokens))
            .sum()
    }

    /// Returns the resident adapters, least recently used first.
    pub fn adapters(&self) -> impl Iterator<Item = &Arc<str>> {
        self.adapters.keys()
    }

    /// Takes the cache events since the last call; returns the sequence number of the first, and
    /// the events.
    pub fn take_events(&mut self) -> (u64, Vec<CacheEvent>) {
        let first = self.events.0;
        let events = std::mem::take(&mut self.events.1);
        self.events.0 += events.len() as u64;
        (first, events)
    }

    /// Returns the whole cache as `Stored` events, least recently used block first. The sequence
    /// number of the last one is that before the next event.
    pub fn all_blocks(&self) -> Vec<CacheEvent> {
        self.cache
            .keys()
            .map(|&block| CacheEvent::Stored { block })
            .collect()
    }
}
