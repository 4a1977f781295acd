//! Hosts that exchange messages, and targets that crash, on a simulated clock.

use super::{ms, record, route, TestHost};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::prelude::*;
use rand::Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Slots of each target of a fleet.
const FLEET_SLOTS: u32 = 24;
/// Time from the send of a call that crashes its target to the crash.
const CRASH_DELAY_MS: u64 = 100;
/// Time from the crash of a target to its next incarnation.
const DOWN_MS: u64 = 3_300;
/// Time until hosts have read a change of the target list.
const LIST_DELAY_MS: u64 = 150;
/// One-way delay of messages between hosts.
const MESSAGE_DELAY_MS: u64 = 2;
/// Shortest and longest run of a call.
const RUN_MS: std::ops::RangeInclusive<u64> = 200..=2_500;
/// Interval between ticks of the hosts.
const TICK_MS: u64 = 25;
/// Interval between heartbeats of few hosts; it grows with their number.
const HEARTBEAT_MS: u64 = 250;
/// Number of hosts up to which it does not.
const HEARTBEAT_HOSTS: u64 = 24;
/// Times after its start at which a host asks two others for the crashes before.
const LEARN_MS: [u64; 3] = [100, 500, 3_000];
/// Interval at which the first host stores the crashes that count.
const STORE_MS: u64 = 500;
/// Least number of sound calls of which a fraction is taken.
const MIN_SOUND_CALLS: u32 = 20;
/// Size of each prompt part, tokens.
const PART_TOKENS: u32 = 100;
/// Numbers of different first and second parts of the prompts.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 150;
/// Identifiers of the second parts begin here.
const SECOND_PART_BASE: u64 = 1_000;
/// Identifiers of parts that belong to one call begin here.
const OWN_PART_BASE: u64 = 1_000_000;

/// A prompt part that crashes the targets that run it.
#[derive(Clone, Copy, Debug)]
pub struct DeadlyPart {
    pub id: u64,
    /// Fraction of the calls that have it.
    pub share: f64,
    /// Times between which calls have it, ms.
    pub from_ms: u64,
    pub until_ms: u64,
    /// Time from which it no longer crashes targets, ms.
    pub sound_from_ms: u64,
}

impl DeadlyPart {
    pub fn new(id: u64, share: f64, from_ms: u64, until_ms: u64) -> Self {
        Self {
            id,
            share,
            from_ms,
            until_ms,
            sound_from_ms: u64::MAX,
        }
    }
}

/// Size and load of a fleet, and what happens to it.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub seed: u64,
    pub hosts: usize,
    pub targets: usize,
    /// Calls per second, over all hosts.
    pub calls_per_s: f64,
    pub deadly: Vec<DeadlyPart>,
    /// Fraction of the calls whose second part no other call has.
    pub new_parts: f64,
    /// Crashes for other reasons: time and number of targets that crash at once.
    pub crashes: Vec<(u64, usize)>,
    /// Connections that break while their target stays alive, per second.
    pub broken_calls_per_s: f64,
    /// Hosts that start anew, with the time.
    pub restarts: Vec<(u64, usize)>,
    /// Times at which all hosts start anew.
    pub full_restarts: Vec<u64>,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    /// Number of attempts of each call; with more than one, a call may run again.
    pub attempts: u32,
    pub end_ms: u64,
}

impl FleetPlan {
    pub fn new(seed: u64, hosts: usize, targets: usize) -> Self {
        Self {
            seed,
            hosts,
            targets,
            calls_per_s: targets as f64 * 8.0,
            deadly: Vec::new(),
            new_parts: 0.0,
            crashes: Vec::new(),
            broken_calls_per_s: 0.0,
            restarts: Vec::new(),
            full_restarts: Vec::new(),
            loss: 0.02,
            attempts: 1,
            end_ms: 30_000,
        }
    }
}

/// What the calls of a run had in common with deadly parts, and when they came to targets.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// Times at which calls with each deadly part reached targets, ms.
    pub deadly_sends: HashMap<u64, Vec<u64>>,
    /// Times at which each deadly part crashed targets, ms.
    pub deadly_crashes: HashMap<u64, Vec<u64>>,
    /// Arrivals of sound calls, ms, and whether their first attempt began at a target.
    pub sound: Vec<(u64, bool)>,
    /// Times at which sound calls were refused as the cause of crashes, ms.
    pub blamed: Vec<u64>,
    /// Messages about crashes that hosts have sent, each to all others.
    pub crash_messages: u64,
    /// Longest of them as JSON, bytes.
    pub longest_message: usize,
}

impl FleetResult {
    /// Returns the time of the fifth crash by a part, or of the last one if there are fewer.
    pub fn fifth_crash(&self, part: u64) -> Option<u64> {
        let times = self.deadly_crashes.get(&part)?;
        times.get(4).or(times.last()).copied()
    }

    /// Returns how many calls with a part reached targets later than `after_ms`.
    pub fn sends_after(&self, part: u64, after_ms: u64) -> usize {
        let times = self.deadly_sends.get(&part);
        times.map_or(0, |times| times.iter().filter(|at| **at > after_ms).count())
    }

    /// Returns the fraction of the sound calls between two times that began at the first attempt;
    /// `None` if there were too few.
    pub fn sound_fraction(&self, from_ms: u64, until_ms: u64) -> Option<f64> {
        let within = |at: &u64| (from_ms..until_ms).contains(at);
        let calls = self.sound.iter().filter(|(at, _)| within(at));
        let (all, begun) = calls.fold((0_u32, 0_u32), |(all, begun), (_, is_begun)| {
            (all + 1, begun + u32::from(*is_begun))
        });
        (all >= MIN_SOUND_CALLS).then(|| f64::from(begun) / f64::from(all))
    }
}

#[derive(Clone, Debug)]
enum FleetEvent {
    Arrival,
    Tick,
    Heartbeat,
    Message(usize, ServingEvent),
    End(usize, RequestKey, u64, AttemptOutcome),
    Crash(usize, u64),
    Back(usize),
    CrashOthers(usize),
    BreakCall,
    Restart(usize),
    FullRestart,
    Learn(usize),
    Store,
}

#[derive(Clone, Debug)]
struct FleetTarget {
    record: TargetRecord,
    is_up: bool,
    /// Attempts in progress: host, request and number of the attempt.
    running: Vec<(usize, RequestKey, u64)>,
}

/// A call that a caller has sent.
#[derive(Clone, Debug)]
struct FleetCall {
    /// Deadly part of its prompt, if it has one.
    deadly: Option<u64>,
    /// Index of a sound call in the result.
    sound: Option<usize>,
    /// Number of its present attempt.
    attempt: u64,
    sends: u32,
}

/// A fleet in the course of a run.
pub struct Fleet {
    plan: FleetPlan,
    rng: SeededRng,
    hosts: Vec<TestHost>,
    targets: Vec<FleetTarget>,
    calls: HashMap<(usize, RequestKey), FleetCall>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, FleetEvent>,
    next_event: u64,
    next_attempt: u64,
    next_part: u64,
    now_ms: u64,
    /// Crashes in the store, with the time of the write.
    stored: (u64, CrashHistory),
    result: FleetResult,
}

/// Plays a plan to its end.
pub fn play(plan: FleetPlan) -> FleetResult {
    let mut fleet = Fleet::new(plan);
    fleet.run();
    fleet.result
}

impl Fleet {
    fn new(plan: FleetPlan) -> Self {
        let names = (0..plan.targets).map(|number| format!("t{number}"));
        let targets: Vec<FleetTarget> = names
            .map(|name| FleetTarget {
                record: TargetRecord {
                    slots: FLEET_SLOTS,
                    ..record(&name, "a", &[("m", &[])])
                },
                is_up: true,
                running: Vec::new(),
            })
            .collect();
        let mut fleet = Self {
            rng: seeded_rng(plan.seed),
            hosts: Vec::new(),
            calls: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_attempt: 0,
            next_part: OWN_PART_BASE,
            now_ms: 0,
            stored: (0, CrashHistory::default()),
            result: FleetResult::default(),
            targets,
            plan,
        };
        fleet.hosts = (0..fleet.plan.hosts)
            .map(|number| fleet.new_host(number))
            .collect();
        fleet
    }

    fn new_host(&self, number: usize) -> TestHost {
        let records = self.targets.iter().map(|target| target.record.clone());
        let mut host = TestHost::named(&format!("h{number}"), &["m"], records.collect());
        let share = HostShare::equal(self.plan.hosts);
        host.state
            .reduce(ServingEvent::Hosts(share), ms(self.now_ms));
        host
    }

    fn schedule(&mut self, delay_ms: u64, event: FleetEvent) {
        self.queue
            .push(Reverse((self.now_ms + delay_ms, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn run(&mut self) {
        self.schedule(0, FleetEvent::Arrival);
        self.schedule(0, FleetEvent::Tick);
        self.schedule(0, FleetEvent::Heartbeat);
        self.schedule(0, FleetEvent::BreakCall);
        self.schedule(0, FleetEvent::Store);
        for (at, count) in self.plan.crashes.clone() {
            self.schedule(at, FleetEvent::CrashOthers(count));
        }
        for (at, host) in self.plan.restarts.clone() {
            self.schedule(at, FleetEvent::Restart(host));
        }
        for at in self.plan.full_restarts.clone() {
            self.schedule(at, FleetEvent::FullRestart);
        }
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.plan.end_ms {
                return;
            }
            self.now_ms = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrival => self.arrive(),
            FleetEvent::Tick => {
                for host in 0..self.hosts.len() {
                    self.feed(host, ServingEvent::Tick);
                }
                self.schedule(TICK_MS, FleetEvent::Tick);
            }
            FleetEvent::Heartbeat => {
                for host in 0..self.hosts.len() {
                    let load = self.hosts[host].state.targets.own_load();
                    let name = HostName::new(&format!("h{host}"));
                    self.broadcast(host, &ServingEvent::PeerLoad { host: name, load });
                    self.report_evidence(host);
                }
                let hosts = self.hosts.len() as u64;
                let interval = HEARTBEAT_MS * hosts.max(HEARTBEAT_HOSTS) / HEARTBEAT_HOSTS;
                self.schedule(interval, FleetEvent::Heartbeat);
            }
            FleetEvent::Message(host, event) => self.feed(host, event),
            FleetEvent::End(host, key, attempt, outcome) => self.end(host, key, attempt, outcome),
            FleetEvent::Crash(target, attempt) => self.crash_by_call(target, attempt),
            FleetEvent::Back(target) => self.start_target(target),
            FleetEvent::CrashOthers(count) => {
                for _ in 0..count {
                    let target = self.rng.random_range(0..self.targets.len());
                    self.crash(target);
                }
            }
            FleetEvent::BreakCall => self.break_call(),
            FleetEvent::Restart(host) => self.restart(host),
            FleetEvent::FullRestart => {
                for host in 0..self.hosts.len() {
                    self.restart(host);
                }
                let (written_ms, mut history) = self.stored.clone();
                history.add_age(ms(self.now_ms - written_ms));
                self.feed(0, ServingEvent::CrashHistory(history));
            }
            FleetEvent::Learn(host) => self.learn(host),
            FleetEvent::Store => {
                let history = self.hosts[0].state.crash_history(ms(self.now_ms));
                self.stored = (self.now_ms, history);
                self.schedule(STORE_MS, FleetEvent::Store);
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.calls.retain(|(at, _), _| *at != host);
        self.hosts[host] = self.new_host(host);
        for delay_ms in LEARN_MS {
            self.schedule(delay_ms, FleetEvent::Learn(host));
        }
    }

    /// Sends a host the crashes that two other hosts know of.
    fn learn(&mut self, host: usize) {
        for _ in 0..2 {
            let source = self.rng.random_range(0..self.hosts.len());
            let history = self.hosts[source].state.crash_history(ms(self.now_ms));
            if source == host || history.is_empty() || self.rng.random::<f64>() < self.plan.loss {
                continue;
            }
            self.count_message(&history);
            let event = ServingEvent::CrashHistory(history);
            self.schedule(2 * MESSAGE_DELAY_MS, FleetEvent::Message(host, event));
        }
    }

    /// Sends what a host tells the others about crashes at each heartbeat.
    fn report_evidence(&mut self, host: usize) {
        let evidence = self.hosts[host].state.evidence_report(ms(self.now_ms));
        if let Some(evidence) = evidence {
            self.count_message(&evidence);
            self.broadcast(host, &ServingEvent::Evidence(evidence));
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / self.plan.calls_per_s;
        self.schedule(gap.round() as u64, FleetEvent::Arrival);
        let host = self.rng.random_range(0..self.hosts.len());
        let deadly = self.draw_deadly();
        let prompt = self.draw_prompt(deadly);
        let kind = CallKind::Stream {
            resumable: self.plan.attempts > 1,
        };
        let rule = route(kind, self.plan.attempts);
        let now = ms(self.now_ms);
        let (key, effects) = self.hosts[host].prompt_call(rule, "m", prompt, now);
        let sound = deadly.is_none().then(|| {
            self.result.sound.push((self.now_ms, false));
            self.result.sound.len() - 1
        });
        let call = FleetCall {
            deadly,
            sound,
            attempt: 0,
            sends: 0,
        };
        self.calls.insert((host, key), call);
        self.apply(host, effects);
    }

    fn draw_deadly(&mut self) -> Option<u64> {
        let mut point = self.rng.random::<f64>();
        for part in &self.plan.deadly {
            if !(part.from_ms..part.until_ms).contains(&self.now_ms) {
                continue;
            }
            point -= part.share;
            if point < 0.0 {
                return Some(part.id);
            }
        }
        None
    }

    fn draw_prompt(&mut self, deadly: Option<u64>) -> Vec<PromptPart> {
        let first = self.rng.random_range(0..FIRST_PARTS);
        let second = if self.rng.random::<f64>() < self.plan.new_parts {
            self.new_part()
        } else {
            SECOND_PART_BASE + self.rng.random_range(0..SECOND_PARTS)
        };
        let own = self.new_part();
        let ids = [Some(first), Some(second), deadly, Some(own)];
        ids.into_iter()
            .flatten()
            .map(|id| PromptPart {
                id,
                tokens: PART_TOKENS,
            })
            .collect()
    }

    fn new_part(&mut self) -> u64 {
        self.next_part += 1;
        self.next_part
    }

    fn feed(&mut self, host: usize, event: ServingEvent) {
        let effects = self.hosts[host].state.reduce(event, ms(self.now_ms));
        self.apply(host, effects);
    }

    fn apply(&mut self, host: usize, effects: Vec<ServingEffect>) {
        for effect in effects {
            match effect {
                ServingEffect::Send(plan) => self.send(host, &plan),
                ServingEffect::Refuse(refusal) => self.refuse(host, &refusal),
                ServingEffect::Fail { key, .. } => {
                    self.calls.remove(&(host, key));
                }
                ServingEffect::ReportCrash(report) => {
                    self.count_message(&report);
                    self.broadcast(host, &ServingEvent::Crash(report));
                }
                ServingEffect::ReportEvidence(evidence) => {
                    self.count_message(&evidence);
                    self.broadcast(host, &ServingEvent::Evidence(evidence));
                }
                _ => {}
            }
        }
    }

    fn count_message<M: Serialize>(&mut self, message: &M) {
        let length = serde_json::to_vec(message).map_or(0, |bytes| bytes.len());
        self.result.crash_messages += 1;
        self.result.longest_message = self.result.longest_message.max(length);
    }

    fn broadcast(&mut self, from: usize, event: &ServingEvent) {
        for host in 0..self.hosts.len() {
            if host == from {
                continue;
            }
            if self.rng.random::<f64>() >= self.plan.loss {
                let message = FleetEvent::Message(host, event.clone());
                self.schedule(MESSAGE_DELAY_MS, message);
            }
        }
    }

    fn send(&mut self, host: usize, plan: &AttemptPlan) {
        let index = self
            .targets
            .iter()
            .position(|target| target.record.name == plan.target)
            .expect("the target exists");
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let Some(call) = self.calls.get_mut(&(host, plan.key)) else {
            return;
        };
        call.attempt = attempt;
        call.sends += 1;
        let is_first = call.sends == 1;
        let (deadly, sound) = (call.deadly, call.sound);
        let target = &mut self.targets[index];
        if !target.is_up {
            let end = FleetEvent::End(host, plan.key, attempt, AttemptOutcome::Unsent);
            self.schedule(1, end);
            return;
        }
        if target.record.incarnation != plan.incarnation {
            let outcome = AttemptOutcome::NotRun {
                full: false,
                misplaced: true,
            };
            self.schedule(1, FleetEvent::End(host, plan.key, attempt, outcome));
            return;
        }
        target.running.push((host, plan.key, attempt));
        if let (true, Some(sound)) = (is_first, sound) {
            self.result.sound[sound].1 = true;
        }
        if let Some(part) = deadly {
            self.result
                .deadly_sends
                .entry(part)
                .or_default()
                .push(self.now_ms);
            if self.is_deadly_now(part) {
                self.schedule(CRASH_DELAY_MS, FleetEvent::Crash(index, attempt));
                return;
            }
        }
        let run_ms = self.rng.random_range(RUN_MS);
        let outcome = AttemptOutcome::Answered { status: 200 };
        self.schedule(run_ms, FleetEvent::End(host, plan.key, attempt, outcome));
    }

    fn is_deadly_now(&self, id: u64) -> bool {
        let part = self.plan.deadly.iter().find(|part| part.id == id);
        part.is_some_and(|part| self.now_ms < part.sound_from_ms)
    }

    fn refuse(&mut self, host: usize, refusal: &RequestRefusal) {
        let call = self.calls.remove(&(host, refusal.key));
        let is_sound = call.is_some_and(|call| call.sound.is_some());
        if is_sound && refusal.reason == RefusalReason::Crashes {
            self.result.blamed.push(self.now_ms);
        }
    }

    fn end(&mut self, host: usize, key: RequestKey, attempt: u64, outcome: AttemptOutcome) {
        let is_current = self
            .calls
            .get(&(host, key))
            .is_some_and(|call| call.attempt == attempt);
        if !is_current {
            return;
        }
        for target in &mut self.targets {
            target.running.retain(|running| running.2 != attempt);
        }
        let event = ServingEvent::AttemptEnded { key, outcome };
        self.feed(host, event);
    }

    /// Crashes a target if the attempt that does so still runs there.
    fn crash_by_call(&mut self, target: usize, attempt: u64) {
        let running = &self.targets[target].running;
        let Some((host, key, _)) = running.iter().find(|running| running.2 == attempt) else {
            return;
        };
        let deadly = self.calls.get(&(*host, *key)).and_then(|call| call.deadly);
        if let Some(part) = deadly {
            let times = self.result.deadly_crashes.entry(part).or_default();
            times.push(self.now_ms);
        }
        self.crash(target);
    }

    fn crash(&mut self, target: usize) {
        if !self.targets[target].is_up {
            return;
        }
        self.targets[target].is_up = false;
        let running = std::mem::take(&mut self.targets[target].running);
        for (host, key, attempt) in running {
            self.break_attempt(host, key, attempt);
        }
        self.schedule(DOWN_MS, FleetEvent::Back(target));
    }

    /// Breaks the connection of an attempt, as its host notices a little later.
    fn break_attempt(&mut self, host: usize, key: RequestKey, attempt: u64) {
        let delay = self.rng.random_range(1..=4);
        let outcome = AttemptOutcome::Lost {
            broken: true,
            started: true,
        };
        self.schedule(delay, FleetEvent::End(host, key, attempt, outcome));
    }

    /// Breaks the connection of one call, as a faulty answer does, and plans the next one.
    fn break_call(&mut self) {
        if self.plan.broken_calls_per_s <= 0.0 {
            return;
        }
        let target = self.rng.random_range(0..self.targets.len());
        let running = &self.targets[target].running;
        if !running.is_empty() {
            let index = self.rng.random_range(0..running.len());
            let (host, key, attempt) = running[index];
            self.break_attempt(host, key, attempt);
        }
        let gap_ms = (1_000.0 / self.plan.broken_calls_per_s) as u64;
        self.schedule(gap_ms.max(1), FleetEvent::BreakCall);
    }

    fn start_target(&mut self, target: usize) {
        let state = &mut self.targets[target];
        state.is_up = true;
        state.record.incarnation += 1;
        let event = ServingEvent::Targets {
            upserts: vec![state.record.clone()],
            removed: Vec::new(),
        };
        for host in 0..self.hosts.len() {
            self.schedule(LIST_DELAY_MS, FleetEvent::Message(host, event.clone()));
        }
    }
}
