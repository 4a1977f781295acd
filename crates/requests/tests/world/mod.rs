//! Fakes of targets, the table service and callers around several hosts' reducers.
//!
//! Engines generate a different text for each attempt, so that a spliced answer is seen.

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
const PLAIN: usize = 3;

/// What the fakes counted; those from `duplicates` on must stay zero.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub events: u64,
    pub ticks: u64,
    pub requests: u64,
    pub completed: u64,
    pub replayed: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub executed: u64,
    pub resumes: u64,
    pub faults: u64,
    pub duplicates: u64,
    pub false_not_run: u64,
    pub wrong: u64,
    pub partial: u64,
    pub two_ends: u64,
    pub stuck: u64,
    /// Claims that stand at the end of a run although their callers were told `not_run`.
    pub orphans: u64,
    /// Keyed calls that were sent to another target than the one that their claim names.
    pub misnamed: u64,
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

/// Chunks of the answer that an attempt generates.
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
    let wide = |at: usize| u128::from_le_bytes(data[at..at + 16].try_into().unwrap());
    let word = |at: usize| u32::from_le_bytes(data[at..at + 4].try_into().unwrap());
    (wide(0), wide(16), word(32), word(36))
}

/// Row of the claim of a booking.
fn row_of(booking: u64) -> Arc<str> {
    let hash = blake3::hash(booking.to_string().as_bytes()).to_hex();
    Arc::from(format!("claims/tenant/{hash}"))
}

/// Host, its process and, for an event of a connection, the attempt.
type Link = (usize, u64, Option<AttemptId>);

enum Message {
    /// An event for a host; dropped if its process or its connection is gone.
    Event(usize, u64, Option<AttemptId>, RequestEvent),
    /// A dispatch on its way to its target.
    Start(usize, u64, RequestEffect),
    /// A call on its way to the table service, and whether its answer is lost.
    Table(usize, u64, RequestKey, RequestEffect, bool),
    /// A release that is to be tried again.
    Release(usize, u64, RequestKey, RequestEffect),
    Repeat(usize, Call, Option<ResumePoint>),
    Restart(TargetName),
}

#[derive(Clone)]
struct Call {
    digest: u128,
    /// Idempotency key of a booking; 0 for one without a key.
    booking: Option<u64>,
}

struct Caller {
    host: usize,
    call: Call,
    chunks: u32,
    origin: Option<u128>,
    point: Option<ResumePoint>,
    executed: bool,
    outcome: Option<RequestOutcome>,
    /// Whether it left before its answer ended.
    left: bool,
    /// Digest of a stored answer that the shell read for it.
    held: Option<BodyDigest>,
}

struct Conn {
    host: usize,
    epoch: u64,
    target: TargetName,
    silent: bool,
}

#[derive(Default)]
struct Fake {
    down: bool,
    streams: HashMap<u128, (u128, u32)>,
    records: HashMap<Arc<str>, BodyDigest>,
}

pub struct World {
    pub counts: Counts,
    now: u64,
    sequence: u64,
    rng: SeededRng,
    targets: Vec<TargetSpec>,
    hosts: Vec<TestHost>,
    epochs: Vec<u64>,
    frozen: Vec<u64>,
    fakes: BTreeMap<TargetName, Fake>,
    table: HashMap<Arc<str>, Row>,
    table_down: bool,
    /// Executions of calls that may run once, by key or by request.
    runs: HashMap<String, u32>,
    /// Request, host and its process of each claim.
    claimed: HashMap<ClaimId, (RequestKey, usize, u64)>,
    callers: BTreeMap<RequestKey, Caller>,
    conns: HashMap<AttemptId, Conn>,
    calendar: BTreeMap<(u64, u64), Message>,
    calls: Vec<Call>,
    healed: bool,
    next_key: u64,
    next_tick: u64,
    reports: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let targets = targets(ENGINES, PLAIN);
        let hosts = (0..HOSTS).map(|n| TestHost::new(1 + n as u64, &targets));
        Self {
            counts: Counts::default(),
            now: 1_000,
            sequence: 0,
            rng: seeded_rng(seed),
            hosts: hosts.collect(),
            epochs: vec![0; HOSTS],
            frozen: vec![0; HOSTS],
            fakes: targets
                .iter()
                .map(|spec| (spec.name.clone(), Fake::default()))
                .collect(),
            targets,
            table: HashMap::new(),
            table_down: false,
            runs: HashMap::new(),
            claimed: HashMap::new(),
            callers: BTreeMap::new(),
            conns: HashMap::new(),
            calendar: BTreeMap::new(),
            calls: Vec::new(),
            healed: false,
            next_key: 0,
            next_tick: 0,
            reports: 1,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        !self.healed && self.rng.random_range(0..100) < percent
    }

    fn after(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.calendar
            .insert((self.now + delay, self.sequence), message);
    }

    fn event(&mut self, delay: u64, link: Link, event: RequestEvent) {
        self.after(delay, Message::Event(link.0, link.1, link.2, event));
    }

    /// Runs everything up to a later point.
    pub fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        loop {
            let next = self.calendar.keys().next().map_or(u64::MAX, |key| key.0);
            if next.min(self.next_tick) > until {
                break;
            }
            if self.next_tick <= next {
                self.now = self.now.max(self.next_tick);
                self.next_tick = self.now + 50;
                self.tick();
            } else if let Some(((at, _), message)) = self.calendar.pop_first() {
                self.now = self.now.max(at);
                self.perform(message);
            }
        }
        self.now = until;
    }

    fn tick(&mut self) {
        self.reports += 1;
        for host in 0..HOSTS {
            if self.frozen[host] > self.now {
                continue;
            }
            self.hosts[host].now = ClockTime::from_ms(self.now);
            if self.reports % 10 == 0 {
                let down = self.fakes.iter().filter(|(_, fake)| fake.down);
                let down: Vec<_> = down.map(|(name, _)| name).collect();
                self.hosts[host].report(&self.targets, self.reports, &down);
            }
            if self.hosts[host].state.in_progress() > 0 {
                self.counts.ticks += 1;
                self.feed(host, RequestEvent::Tick);
            }
        }
    }

    fn perform(&mut self, message: Message) {
        match message {
            Message::Event(host, epoch, conn, event) => {
                if self.epochs[host] != epoch {
                    return;
                }
                if self.frozen[host] > self.now {
                    let delay = self.frozen[host] - self.now;
                    return self.after(delay, Message::Event(host, epoch, conn, event));
                }
                let closed =
                    conn.is_some_and(|conn| self.conns.get(&conn).is_none_or(|c| c.silent));
                // Some events of closed connections are delivered, as late or crossed ones.
                if !closed || self.chance(5) {
                    self.feed(host, event);
                }
            }
            Message::Start(host, epoch, effect) => self.start(host, epoch, effect),
            Message::Table(host, epoch, key, op, lost) => self.table_op(host, epoch, key, op, lost),
            Message::Release(host, epoch, key, op) => {
                if self.epochs[host] == epoch {
                    self.ask_table(host, key, op);
                }
            }
            Message::Repeat(host, call, point) => self.arrive(host, call, point),
            Message::Restart(target) => self.fakes.get_mut(&target).unwrap().down = false,
        }
    }

    fn feed(&mut self, host: usize, event: RequestEvent) {
        self.counts.events += 1;
        self.hosts[host].now = ClockTime::from_ms(self.now);
        for effect in self.hosts[host].reduce(event) {
            self.effect(host, effect);
        }
    }

    fn reply(&mut self, host: usize, conn: Option<AttemptId>, delay: u64, event: RequestEvent) {
        let epoch = self.epochs[host];
        self.after(delay, Message::Event(host, epoch, conn, event));
    }

    /// Lets a caller send a call that is new, or a repeat of a former one.
    pub fn call(&mut self, host: usize, kind: u8, repeat: usize) {
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

    fn arrive(&mut self, host: usize, call: Call, point: Option<ResumePoint>) {
        self.next_key += 1;
        self.counts.requests += 1;
        let key = RequestKey(self.next_key);
        let now = ClockTime::from_ms(self.now);
        let name = call
            .booking
            .filter(|name| *name > 0)
            .map(|name| name.to_string());
        let mut spec = match call.booking {
            Some(_) => booking(now, call.digest, name.as_deref()),
            None => stream(now, call.digest),
        };
        spec.deadline = now + ClockTime::from_ms(self.rng.random_range(1_000..15_000));
        spec.resume.clone_from(&point);
        let caller = Caller {
            host,
            call,
            chunks: point.as_ref().map_or(0, |point| point.received_chunks),
            origin: point.as_ref().map(|point| point.attempt.0),
            point,
            executed: false,
            outcome: None,
            left: false,
            held: None,
        };
        self.callers.insert(key, caller);
        let spec = Box::new(spec);
        self.feed(host, RequestEvent::Arrived { key, spec });
    }

    fn effect(&mut self, host: usize, effect: RequestEffect) {
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
                    self.counts.partial += 1;
                }
                self.close(key, RequestOutcome::Completed);
            }
            Effect::Replay { key } => {
                let caller = &self.callers[&key];
                self.counts.replayed += 1;
                if caller.held != Some(BodyDigest(caller.call.digest)) || caller.chunks > 0 {
                    self.counts.wrong += 1;
                }
                self.close(key, RequestOutcome::Completed);
            }
            Effect::Refuse { key, refusal } => self.close(key, refusal.outcome),
            Effect::WriteClaim { key, claim, .. } => {
                self.claimed.insert(claim, (key, host, self.epochs[host]));
                self.ask_table(host, key, effect);
            }
            Effect::ReadClaim { key, .. }
            | Effect::RetargetClaim { key, .. }
            | Effect::RecordAnswer { key, .. }
            | Effect::ReleaseClaim { key, .. } => self.ask_table(host, key, effect),
            Effect::DeliverHead { .. } | Effect::DemandModel { .. } | Effect::EmitSample { .. } => {
            }
            effect => self.send(host, effect),
        }
    }

    /// Performs the effects that go to targets and other hosts.
    fn send(&mut self, host: usize, effect: RequestEffect) {
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
                self.counts.misnamed += u64::from(!self.is_named(key, target));
                self.counts.resumes += u64::from(resume.is_some());
                let target = target.clone();
                let silent = false;
                #[rustfmt::skip]
                self.conns.insert(attempt, Conn { host, epoch, target, silent });
                let late = if self.chance(2) { 3_000 } else { 0 };
                self.after(delay + late, Message::Start(host, epoch, effect));
            }
            RequestEffect::CheckExecution { key, row, target } => {
                let fake = &self.fakes[&target];
                let ran = fake.records.get(&row).copied();
                let known = !fake.down && !self.chance(10);
                self.callers.get_mut(&key).unwrap().held = ran.filter(|_| known);
                let ran = known.then_some(ran.is_some());
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

    /// Returns whether the claim of a keyed call names a target.
    fn is_named(&self, key: RequestKey, target: &TargetName) -> bool {
        match self.callers[&key].call.booking {
            None | Some(0) => true,
            Some(booking) => {
                let row = self.table.get(&row_of(booking));
                row.is_some_and(|row| row.target == *target)
            }
        }
    }

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
        let same = caller.origin.is_none_or(|known| known == origin) && origin == attempt.0;
        let next = number == index && index == caller.chunks && total == length_of(origin);
        self.counts.wrong += u64::from(digest != caller.call.digest || !same || !next);
        self.counts.two_ends += u64::from(caller.outcome.is_some() && !caller.left);
        caller.origin = Some(origin);
        caller.chunks += 1;
        let received_chunks = caller.chunks;
        caller.point = Some(ResumePoint {
            attempt,
            target,
            received_chunks,
        });
    }

    fn close(&mut self, key: RequestKey, outcome: RequestOutcome) {
        let caller = self.callers.get_mut(&key).unwrap();
        if caller.left {
            return;
        }
        let again = caller.outcome.replace(outcome).is_some();
        let executed = caller.executed;
        self.counts.two_ends += u64::from(again);
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
