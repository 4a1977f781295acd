//! Request reducers of several hosts with fake targets, a fake table service and fake callers.
//!
//! Engines generate a different text for each attempt, so that an answer that mixes attempts is
//! detected.

mod faults;
mod table;
mod targets;

use crate::common::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use table::Row;

pub const HOSTS: usize = 3;
const ENGINES: usize = 4;
const SERVICES: usize = 3;

/// Counts of a run; the violations from `duplicates` on must stay zero.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub events: u64,
    pub ticks: u64,
    pub requests: u64,
    /// Requests by outcome; replays count as completed too.
    pub completed: u64,
    pub replayed: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Executions of requests at targets.
    pub executed: u64,
    pub resumes: u64,
    /// Injected faults.
    pub faults: u64,
    /// Second and further executions of calls that may not run twice.
    pub duplicates: u64,
    /// Requests reported as `not_run` that a target has run.
    pub false_not_run: u64,
    /// Chunks or replays that belong to another answer or come out of order.
    pub wrong_answers: u64,
    /// Answers that were finished before their last chunk.
    pub partial_answers: u64,
    /// Chunks, refusals or ends that a caller got after the end of its answer.
    pub double_ends: u64,
    /// Requests without an end after all faults were over.
    pub unended: u64,
    /// Claims left in the table at the end of a run although their callers received `not_run`.
    pub unreleased_claims: u64,
    /// Calls with a key that were sent to another target than the one that their claim names.
    pub mismatched_claims: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.events += other.events;
        self.ticks += other.ticks;
        self.requests += other.requests;
        self.completed += other.completed;
        self.replayed += other.replayed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.executed += other.executed;
        self.resumes += other.resumes;
        self.faults += other.faults;
    }
}

/// One chunk: body digest, generating attempt, index and length of the whole answer.
type Chunk = (u128, u128, u32, u32);

/// Returns the number of chunks of the answer that an attempt generates.
fn length_of(attempt: u128) -> u32 {
    1 + attempt as u32 % 6
}

fn pack(chunk: Chunk) -> bytes::Bytes {
    let mut data = Vec::with_capacity(40);
    data.extend(chunk.0.to_le_bytes());
    data.extend(chunk.1.to_le_bytes());
    data.extend(chunk.2.to_le_bytes());
    data.extend(chunk.3.to_le_bytes());
    data.into()
}

fn unpack(data: &[u8]) -> Chunk {
    let read_u128 = |at: usize| u128::from_le_bytes(data[at..at + 16].try_into().unwrap());
    let read_u32 = |at: usize| u32::from_le_bytes(data[at..at + 4].try_into().unwrap());
    (read_u128(0), read_u128(16), read_u32(32), read_u32(36))
}

/// Returns the key of the claim's row for a booking.
fn row_of(booking: u64) -> Arc<str> {
    let hash = blake3::hash(booking.to_string().as_bytes()).to_hex();
    Arc::from(format!("claims/tenant/{hash}"))
}

/// Recipient of an event: a host, the epoch of its process and, for an event of a connection, the
/// attempt.
type Link = (usize, u64, Option<AttemptId>);

/// A message that arrives at a later time.
enum Message {
    /// An event for a host, dropped if the host's process or the connection is gone.
    Event(usize, u64, Option<AttemptId>, RequestEvent),
    /// A dispatch on its way to a target.
    Dispatch(usize, u64, RequestEffect),
    /// A call on its way to the table service, and whether its reply is lost.
    Table(usize, u64, RequestKey, RequestEffect, bool),
    /// A release that is to be tried again.
    Release(usize, u64, RequestKey, RequestEffect),
    /// A call that a caller of a killed host repeats or resumes at another host.
    Repeat(usize, Call, Option<ResumePoint>),
    /// The restart of a killed target.
    Restart(TargetName),
}

#[derive(Clone)]
struct Call {
    digest: u128,
    /// Number of the idempotency key of a booking, 0 for a booking without a key; `None` for a
    /// completion.
    booking: Option<u64>,
}

struct Caller {
    host: usize,
    call: Call,
    /// Number of chunks received, including those before a resume.
    chunks: u32,
    /// Attempt that generated the chunks received.
    origin: Option<u128>,
    resume_point: Option<ResumePoint>,
    /// Whether a target has run the request.
    executed: bool,
    outcome: Option<RequestOutcome>,
    /// Whether the caller left before its answer ended.
    disconnected: bool,
    /// Digest of the recorded answer that the shell read for the request.
    held: Option<BodyDigest>,
}

struct Connection {
    host: usize,
    epoch: u64,
    target: TargetName,
    /// Whether nothing arrives on the connection any more, without a sign that it is broken.
    silent: bool,
}

#[derive(Default)]
struct FakeTarget {
    down: bool,
    /// Digest and number of chunks of each stream, by the attempt that started it.
    streams: HashMap<u128, (u128, u32)>,
    /// Digests of the calls in the execution record, by claim row.
    records: HashMap<Arc<str>, BodyDigest>,
}

pub struct World {
    pub counts: Counts,
    /// Present time, milliseconds.
    now: u64,
    /// Number of messages so far, which orders messages of the same time.
    sequence: u64,
    rng: SeededRng,
    targets: Vec<TargetSpec>,
    hosts: Vec<TestHost>,
    /// Number of times that each host's process was replaced.
    epochs: Vec<u64>,
    /// Time up to which each host is paused, milliseconds.
    paused_until: Vec<u64>,
    fakes: BTreeMap<TargetName, FakeTarget>,
    table: HashMap<Arc<str>, Row>,
    table_down: bool,
    /// Executions of calls that may not run twice, by key or by request.
    runs: HashMap<String, u32>,
    /// Request, host and epoch of each claim.
    claims: HashMap<ClaimId, (RequestKey, usize, u64)>,
    callers: BTreeMap<RequestKey, Caller>,
    conns: HashMap<AttemptId, Connection>,
    /// Messages by their time of arrival and their sequence number.
    messages: BTreeMap<(u64, u64), Message>,
    /// All calls so far, for repeats.
    calls: Vec<Call>,
    /// Whether no more random faults occur.
    faults_ended: bool,
    next_key: u64,
    next_tick: u64,
    report_sequence: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let targets = targets(ENGINES, SERVICES);
        let hosts = (0..HOSTS).map(|n| TestHost::new(1 + n as u64, &targets));
        Self {
            counts: Counts::default(),
            now: 1_000,
            sequence: 0,
            rng: seeded_rng(seed),
            hosts: hosts.collect(),
            epochs: vec![0; HOSTS],
            paused_until: vec![0; HOSTS],
            fakes: targets
                .iter()
                .map(|spec| (spec.name.clone(), FakeTarget::default()))
                .collect(),
            targets,
            table: HashMap::new(),
            table_down: false,
            runs: HashMap::new(),
            claims: HashMap::new(),
            callers: BTreeMap::new(),
            conns: HashMap::new(),
            messages: BTreeMap::new(),
            calls: Vec::new(),
            faults_ended: false,
            next_key: 0,
            next_tick: 0,
            report_sequence: 1,
        }
    }

    /// Returns true with the given probability, and never once the faults have ended.
    fn chance(&mut self, percent: u32) -> bool {
        !self.faults_ended && self.rng.random_range(0..100) < percent
    }

    fn after(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .insert((self.now + delay, self.sequence), message);
    }

    fn event(&mut self, delay: u64, link: Link, event: RequestEvent) {
        self.after(delay, Message::Event(link.0, link.1, link.2, event));
    }

    /// Handles all messages and ticks of the next `ms`.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        loop {
            let next = self.messages.keys().next().map_or(u64::MAX, |key| key.0);
            if next.min(self.next_tick) > until {
                break;
            }
            if self.next_tick <= next {
                self.now = self.now.max(self.next_tick);
                self.next_tick = self.now + 50;
                self.tick();
            } else if let Some(((at, _), message)) = self.messages.pop_first() {
                self.now = self.now.max(at);
                self.handle(message);
            }
        }
        self.now = until;
    }

    /// Ticks the hosts that are not paused and have requests, and sometimes updates their load
    /// reports.
    fn tick(&mut self) {
        self.report_sequence += 1;
        for host in 0..HOSTS {
            if self.paused_until[host] > self.now {
                continue;
            }
            self.hosts[host].now = ClockTime::from_ms(self.now);
            if self.report_sequence % 10 == 0 {
                let down = self.fakes.iter().filter(|(_, fake)| fake.down);
                let down: Vec<_> = down.map(|(name, _)| name).collect();
                self.hosts[host].apply_reports(&self.targets, self.report_sequence, &down);
            }
            if self.hosts[host].state.in_progress() > 0 {
                self.counts.ticks += 1;
                self.feed_host(host, RequestEvent::Tick);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Event(host, epoch, conn, event) => {
                if self.epochs[host] != epoch {
                    return;
                }
                if self.paused_until[host] > self.now {
                    let delay = self.paused_until[host] - self.now;
                    return self.after(delay, Message::Event(host, epoch, conn, event));
                }
                let closed =
                    conn.is_some_and(|conn| self.conns.get(&conn).is_none_or(|c| c.silent));
                // Some events of closed connections are delivered all the same, as events that
                // arrive late or cross with the close.
                if !closed || self.chance(5) {
                    self.feed_host(host, event);
                }
            }
            Message::Dispatch(host, epoch, effect) => self.start(host, epoch, effect),
            Message::Table(host, epoch, key, op, lost) => self.table_op(host, epoch, key, op, lost),
            Message::Release(host, epoch, key, op) => {
                if self.epochs[host] == epoch {
                    self.ask_table(host, key, op);
                }
            }
            Message::Repeat(host, call, resume_point) => self.arrive(host, call, resume_point),
            Message::Restart(target) => self.fakes.get_mut(&target).unwrap().down = false,
        }
    }

    fn feed_host(&mut self, host: usize, event: RequestEvent) {
        self.counts.events += 1;
        self.hosts[host].now = ClockTime::from_ms(self.now);
        for effect in self.hosts[host].reduce(event) {
            self.perform(host, effect);
        }
    }

    fn reply(&mut self, host: usize, conn: Option<AttemptId>, delay: u64, event: RequestEvent) {
        let epoch = self.epochs[host];
        self.after(delay, Message::Event(host, epoch, conn, event));
    }

    /// Sends a call of a new caller; `kind` selects a completion, a booking without or with a key,
    /// or a repeat of an earlier call, possibly with another body.
    pub fn send_call(&mut self, host: usize, kind: u8, repeat: usize) {
        let serial = self.next_key + 1;
        let call = match kind % 8 {
            0..=2 => Call {
                digest: u128::from(serial),
                booking: None,
            },
            3 => Call {
                digest: u128::from(serial),
                booking: Some(0),
            },
            4 | 5 => Call {
                digest: u128::from(serial),
                booking: Some(serial),
            },
            kind => {
                if self.calls.is_empty() {
                    return;
                }
                let mut call = self.calls[repeat % self.calls.len()].clone();
                if kind == 7 && repeat % 4 == 0 {
                    call.digest += 1 << 64;
                }
                call
            }
        };
        self.calls.push(call.clone());
        self.arrive(host, call, None);
    }

    /// Lets a call arrive at a host, with a random deadline.
    fn arrive(&mut self, host: usize, call: Call, resume_point: Option<ResumePoint>) {
        self.next_key += 1;
        self.counts.requests += 1;
        let key = RequestKey(self.next_key);
        let now = ClockTime::from_ms(self.now);
        let idempotency_key = call
            .booking
            .filter(|number| *number > 0)
            .map(|number| number.to_string());
        let mut spec = match call.booking {
            Some(_) => booking_spec(now, call.digest, idempotency_key.as_deref()),
            None => stream_spec(now, call.digest),
        };
        spec.deadline = now + ClockTime::from_ms(self.rng.random_range(1_000..15_000));
        spec.resume.clone_from(&resume_point);
        let caller = Caller {
            host,
            call,
            chunks: resume_point
                .as_ref()
                .map_or(0, |point| point.received_chunks),
            origin: resume_point.as_ref().map(|point| point.attempt.0),
            resume_point,
            executed: false,
            outcome: None,
            disconnected: false,
            held: None,
        };
        self.callers.insert(key, caller);
        let spec = Box::new(spec);
        self.feed_host(host, RequestEvent::Arrived { key, spec });
    }

    fn perform(&mut self, host: usize, effect: RequestEffect) {
        use RequestEffect as Effect;
        match effect {
            Effect::CancelAttempt { attempt, target } => {
                self.conns.remove(&attempt);
                if let Some(fake) = self.fakes.get_mut(&target) {
                    fake.streams.remove(&attempt.0);
                }
            }
            Effect::CloseAttempt { attempt, .. } => {
                self.conns.remove(&attempt);
            }
            Effect::ClosePool { target } => self
                .conns
                .retain(|_, conn| conn.host != host || conn.target != target || !conn.silent),
            Effect::DeliverChunk { key, .. } => self.deliver(key, effect),
            Effect::Finish { key } => {
                let caller = &self.callers[&key];
                if caller.origin.map(length_of) != Some(caller.chunks) {
                    self.counts.partial_answers += 1;
                }
                self.end_caller(key, RequestOutcome::Completed);
            }
            Effect::Replay { key } => {
                let caller = &self.callers[&key];
                self.counts.replayed += 1;
                if caller.held != Some(BodyDigest(caller.call.digest)) || caller.chunks > 0 {
                    self.counts.wrong_answers += 1;
                }
                self.end_caller(key, RequestOutcome::Completed);
            }
            Effect::Refuse { key, refusal } => self.end_caller(key, refusal.outcome),
            Effect::WriteClaim { key, claim, .. } => {
                self.claims.insert(claim, (key, host, self.epochs[host]));
                self.ask_table(host, key, effect);
            }
            Effect::ReadClaim { key, .. }
            | Effect::RetargetClaim { key, .. }
            | Effect::RecordAnswer { key, .. }
            | Effect::ReleaseClaim { key, .. } => self.ask_table(host, key, effect),
            Effect::DeliverHead { .. }
            | Effect::ReportMissingModel { .. }
            | Effect::EmitSample { .. } => {}
            effect => self.perform_remote(host, effect),
        }
    }

    /// Performs the effects that go to targets or other hosts.
    fn perform_remote(&mut self, host: usize, effect: RequestEffect) {
        let epoch = self.epochs[host];
        let delay = self.rng.random_range(0..4);
        let other = (host + 1) % HOSTS;
        match effect {
            RequestEffect::Dispatch {
                key,
                attempt,
                ref target,
                resume,
            } => {
                self.counts.mismatched_claims += u64::from(!self.claim_names_target(key, target));
                self.counts.resumes += u64::from(resume.is_some());
                let target = target.clone();
                let silent = false;
                #[rustfmt::skip]
                self.conns.insert(attempt, Connection { host, epoch, target, silent });
                let late = if self.chance(2) { 3_000 } else { 0 };
                self.after(delay + late, Message::Dispatch(host, epoch, effect));
            }
            RequestEffect::CheckExecution { key, row, target } => {
                let fake = &self.fakes[&target];
                let record = fake.records.get(&row).copied();
                let is_read = !fake.down && !self.chance(10);
                self.callers.get_mut(&key).unwrap().held = record.filter(|_| is_read);
                let ran = is_read.then_some(record.is_some());
                self.reply(
                    host,
                    None,
                    delay,
                    RequestEvent::ExecutionChecked { key, ran },
                );
            }
            RequestEffect::Probe { target } if !self.chance(10) => {
                let alive = !self.fakes[&target].down;
                let event = RequestEvent::ProbeEnded { target, alive };
                self.reply(host, None, delay, event);
            }
            RequestEffect::ReportCrash { digest, target } => {
                let event = RequestEvent::CrashReported { digest, target };
                self.reply(other, None, delay, event);
            }
            RequestEffect::ReportCrashCleared { digest } => {
                self.reply(other, None, delay, RequestEvent::CrashCleared { digest });
            }
            _ => {}
        }
    }

    /// Returns whether the claim of a call names `target`; a call without a claim always passes.
    fn claim_names_target(&self, key: RequestKey, target: &TargetName) -> bool {
        match self.callers[&key].call.booking {
            None | Some(0) => true,
            Some(booking) => {
                let row = self.table.get(&row_of(booking));
                row.is_some_and(|row| row.target == *target)
            }
        }
    }

    /// Checks a chunk and adds it to what its caller has received.
    fn deliver(&mut self, key: RequestKey, effect: RequestEffect) {
        let RequestEffect::DeliverChunk {
            attempt,
            target,
            index,
            data,
            ..
        } = effect
        else {
            return;
        };
        let caller = self.callers.get_mut(&key).unwrap();
        let (digest, origin, number, total) = unpack(&data);
        let same_attempt = caller.origin.is_none_or(|known| known == origin) && origin == attempt.0;
        let in_order = number == index && index == caller.chunks && total == length_of(origin);
        self.counts.wrong_answers +=
            u64::from(digest != caller.call.digest || !same_attempt || !in_order);
        self.counts.double_ends += u64::from(caller.outcome.is_some() && !caller.disconnected);
        caller.origin = Some(origin);
        caller.chunks += 1;
        let received_chunks = caller.chunks;
        caller.resume_point = Some(ResumePoint {
            attempt,
            target,
            received_chunks,
        });
    }

    /// Ends the answer to a caller and checks its outcome.
    fn end_caller(&mut self, key: RequestKey, outcome: RequestOutcome) {
        let caller = self.callers.get_mut(&key).unwrap();
        if caller.disconnected {
            return;
        }
        let had_ended = caller.outcome.replace(outcome).is_some();
        let executed = caller.executed;
        self.counts.double_ends += u64::from(had_ended);
        match outcome {
            RequestOutcome::Completed => self.counts.completed += 1,
            RequestOutcome::NotRun => self.counts.not_run += 1,
            RequestOutcome::Unknown => self.counts.unknown += 1,
        }
        if outcome == RequestOutcome::NotRun && executed {
            self.counts.false_not_run += 1;
        }
    }
}
