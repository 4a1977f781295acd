//! A small model of a target: an engine that decodes in batches and interleaves the prefill of
//! prompts in chunks, or a plain target that runs calls side by side and fails some of them.

use crocusyard_base::prelude::*;
use rand::Rng;
use std::collections::VecDeque;

/// Duration of a decode step with an empty batch, ms.
const STEP_MS: f64 = 5.47;
/// Increase of a step for each request in the batch, ms.
const STEP_PER_REQUEST_MS: f64 = 0.1;
/// Prompt tokens that are prefilled per ms.
const PREFILL_PER_MS: f64 = 38.7;
/// Prompt tokens of one request that are prefilled with one step.
const CHUNK: u32 = 256;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 8;

/// What a target does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Engine,
    /// Runs each call for this time, ms, and fails this fraction of the calls.
    Plain {
        run_ms: f64,
        failing: f64,
    },
}

/// A call at a target.
#[derive(Clone, Debug)]
pub struct FakeRun {
    pub call: usize,
    /// Prompt tokens that have not been prefilled.
    pub prompt: u32,
    /// Output tokens that have not been decoded.
    pub output: u32,
    decoded: u32,
    work_done: f64,
}

impl FakeRun {
    pub fn new(call: usize, prompt: u32, output: u32) -> Self {
        Self {
            call,
            prompt,
            output,
            decoded: 0,
            work_done: 0.0,
        }
    }
}

/// What happened to a call in one ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FakeEvent {
    /// An event of the stream, and whether it is the last one.
    Output { call: usize, is_last: bool },
    /// The answer of a plain call.
    Answer { call: usize, status: u16 },
}

/// One target.
#[derive(Clone, Debug)]
pub struct FakeTarget {
    pub kind: Kind,
    pub slots: usize,
    /// How long work takes, as a multiple of the usual time.
    pub pace: f64,
    running: Vec<FakeRun>,
    waiting: VecDeque<FakeRun>,
    step_left_ms: f64,
}

impl FakeTarget {
    pub fn new(kind: Kind, slots: usize) -> Self {
        Self {
            kind,
            slots,
            pace: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            step_left_ms: 0.0,
        }
    }

    pub fn add(&mut self, run: FakeRun) {
        self.waiting.push_back(run);
    }

    /// Running and waiting calls.
    pub fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Lets one ms pass.
    pub fn tick(&mut self, rng: &mut SeededRng) -> Vec<FakeEvent> {
        let mut events = Vec::new();
        match self.kind {
            Kind::Engine => {
                self.step_left_ms -= 1.0 / self.pace;
                while self.step_left_ms <= 0.0
                    && !(self.running.is_empty() && self.waiting.is_empty())
                {
                    self.step(&mut events);
                }
                self.step_left_ms = self.step_left_ms.max(0.0);
            }
            Kind::Plain { run_ms, failing } => {
                self.admit();
                let pace = self.pace;
                self.running.retain_mut(|run| {
                    run.work_done += 1.0 / pace;
                    let is_done = run.work_done >= run_ms;
                    if is_done {
                        let status = if rng.random::<f64>() < failing {
                            500
                        } else {
                            200
                        };
                        events.push(FakeEvent::Answer {
                            call: run.call,
                            status,
                        });
                    }
                    !is_done
                });
            }
        }
        events
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots {
            let Some(run) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(run);
        }
    }

    /// Ends a step, and begins the next one, whose results are known when it ends.
    fn step(&mut self, events: &mut Vec<FakeEvent>) {
        self.admit();
        let mut step_ms = STEP_MS;
        self.running.retain_mut(|run| {
            if run.prompt > 0 {
                let chunk = run.prompt.min(CHUNK);
                run.prompt -= chunk;
                step_ms += f64::from(chunk) / PREFILL_PER_MS;
                return true;
            }
            step_ms += STEP_PER_REQUEST_MS;
            run.output -= 1;
            run.decoded += 1;
            let is_last = run.output == 0;
            if is_last || run.decoded % EVENT_TOKENS == 0 {
                events.push(FakeEvent::Output {
                    call: run.call,
                    is_last,
                });
            }
            !is_last
        });
        self.step_left_ms += step_ms;
    }
}
