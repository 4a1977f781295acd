//! A small queueing model of a model engine.
//!
//! Prefill is sequential at a fixed rate; a request then holds a decode slot. The prompt prefix
//! cache and the resident adapters are least-recently-used sets.

use crocusyard_routing::prelude::*;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Time on the simulated clock, microseconds.
pub type Micros = u64;

/// Time of one adapter load.
pub const ADAPTER_LOAD: Micros = 10_000;

/// A least-recently-used set.
#[derive(Debug)]
pub struct RecentSet<K> {
    stamps: HashMap<K, u64>,
    order: BTreeMap<u64, K>,
    capacity: usize,
    next: u64,
}

impl<K: Clone + Eq + std::hash::Hash> RecentSet<K> {
    /// Makes an empty set.
    pub fn new(capacity: usize) -> Self {
        Self {
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            capacity,
            next: 0,
        }
    }

    /// Returns whether a key is in the set.
    pub fn contains(&self, key: &K) -> bool {
        self.stamps.contains_key(key)
    }

    /// Uses a key; returns whether it is new, and the key that had to leave.
    pub fn touch(&mut self, key: K) -> (bool, Option<K>) {
        self.next += 1;
        let old = self.stamps.insert(key.clone(), self.next);
        if let Some(old) = old {
            self.order.remove(&old);
        }
        self.order.insert(self.next, key);
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

    /// Returns the keys, oldest first.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.values()
    }
}

/// A request as the engine sees it.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// Number of the request.
    pub request: usize,
    /// Input length, tokens.
    pub input_tokens: u32,
    /// Output length, tokens.
    pub output_tokens: u32,
    /// Hashes of the prompt's blocks.
    pub prefix: Arc<[u64]>,
    /// Adapter.
    pub adapter: Option<Arc<str>>,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// Decode rate of one stream, tokens a second.
    pub decode_rate: f64,
    /// Decode slots.
    pub slots: u32,
    /// Requests that decode.
    pub running: u32,
    /// Tokens whose prefill was saved by the cache.
    pub saved_tokens: u64,
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
    /// Cache events not yet taken, and the sequence of the first.
    pub events: (u64, Vec<CacheEvent>),
    queue: VecDeque<EngineJob>,
    prefilling: Option<EngineJob>,
    cache: RecentSet<u64>,
    adapters: RecentSet<Arc<str>>,
}

impl Engine {
    /// Makes an idle engine.
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
            cache: RecentSet::new(cache_blocks),
            adapters: RecentSet::new(adapters),
        }
    }

    /// Queues a request.
    pub fn push(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next prefill if it can; returns its duration.
    pub fn start(&mut self) -> Option<Micros> {
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
                duration += ADAPTER_LOAD;
            }
        }
        self.prefilling = Some(job);
        Some(duration)
    }

    /// Ends the prefill; returns the request and how long it will decode.
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

    /// Returns the number of requests that wait or prefill.
    pub fn waiting(&self) -> u32 {
        (self.queue.len() + usize::from(self.prefilling.is_some())) as u32
    }

    /// Returns the tokens not yet prefilled; the cache is not foreseen.
    pub fn queued_tokens(&self) -> u64 {
        self.queue
            .iter()
            .chain(&self.prefilling)
            .map(|job| u64::from(job.input_tokens))
            .sum()
    }

    /// Returns the resident adapters.
    pub fn adapters(&self) -> impl Iterator<Item = &Arc<str>> {
        self.adapters.keys()
    }

    /// Takes the cache events since the last call with the sequence of the first.
    pub fn take_events(&mut self) -> (u64, Vec<CacheEvent>) {
        let first = self.events.0;
        let events = std::mem::take(&mut self.events.1);
        self.events.0 += events.len() as u64;
        (first, events)
    }

    /// Returns the whole cache as events that end before the sequence of the next event.
    pub fn all_blocks(&self) -> Vec<CacheEvent> {
        self.cache
            .keys()
            .map(|&block| CacheEvent::Stored { block })
            .collect()
    }
}
