//! Simulation of several hosts with all their features.
//!
//! Fakes take the place of the targets, the platform and the callers. One schedule of messages
//! drives them all, so that a seed always gives the same run.

// Each test that includes this module uses only a part of it.
#![allow(dead_code)]

mod callers;
pub mod catalog;
#[path = "../../../requests/tests/world/table.rs"]
mod claims;
#[path = "../../../moves/tests/support/engine.rs"]
mod engine;
mod faults;
mod hosts;
mod platform;
#[path = "../../../requests/tests/world/targets.rs"]
mod runs;
#[path = "../../../moves/tests/support/table.rs"]
mod table;
mod targets;

use bytes::Bytes;
use claims::Row;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use crocusyard_wire::prelude::*;
use engine::FakeEngine;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Simulated hosts.
pub const HOSTS: usize = 4;
/// Engines among the targets.
pub const ENGINES: usize = 6;
/// Targets of the plain service `bookings`.
pub const PLAIN: usize = 2;
/// Number of models that fit into memory even with one engine drained and one down.
pub const FEW_MODELS: usize = 10;
/// Number of models that do not fit into memory together.
pub const MANY_MODELS: usize = 28;
/// Shortest time between two ticks of a host, milliseconds.
const TICK_MS: u64 = 40;

/// Counters of a run.
///
/// The counters from `overcommitted` on count violations of the eight properties that hold for
/// whole hosts. They must stay zero. [`Counts::violations`] sums them up by property.
#[derive(Debug, Default)]
pub struct Counts {
    pub events: u64,
    pub ticks: u64,
    pub packets: u64,
    pub requests: u64,
    pub executed: u64,
    pub completed: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub replayed: u64,
    pub resumes: u64,
    pub disturbances: u64,
    pub orders: u64,
    pub takeovers: u64,
    pub committed: u64,
    pub conflicts: u64,
    pub stops: u64,
    pub kills: u64,
    /// Loads that exceeded the capacity of an engine.
    pub overcommitted: u64,
    /// Models without a copy, or that a host did not serve, after the end of all faults.
    pub unreachable: u64,
    /// Chunks out of order or of another answer, and replays of another request's answer.
    pub wrong: u64,
    /// Answers that were completed before their last chunk.
    pub partial: u64,
    /// Answers that ended twice, or that had chunks after their end.
    pub ended_twice: u64,
    /// Requests that never ended.
    pub stuck: u64,
    /// Calls that were reported as not run although they ran.
    pub false_not_run: u64,
    /// Calls that ran again although they may run only once.
    pub duplicates: u64,
    /// Attempts that a host started at a target long after the target began to leave.
    pub sent_to_leaving: u64,
    /// Requests in progress when a planned stop ended, and stops that did not end.
    pub unfinished_at_stop: u64,
    /// Preset versions that a host replaced by the same or a lower one.
    pub reverted: u64,
    /// Preset versions with different bodies.
    pub conflicting_bodies: u64,
    /// Accepted preset versions that a connected host did not have in force in time.
    pub late_preset: u64,
}

impl Counts {
    /// Returns the number of violations of each property; all must be zero.
    pub fn violations(&self) -> [(&'static str, u64); 8] {
        [
            ("memory holds", self.overcommitted),
            ("models are reachable", self.unreachable),
            (
                "answers are whole",
                self.wrong + self.partial + self.ended_twice + self.stuck,
            ),
            ("not_run is true", self.false_not_run),
            ("calls run once", self.duplicates),
            ("leaving targets get no work", self.sent_to_leaving),
            ("planned stops finish", self.unfinished_at_stop),
            (
                "presets agree",
                self.reverted + self.conflicting_bodies + self.late_preset,
            ),
        ]
    }
}

impl Counts {
    /// Adds the counters of a run to a total, by name.
    pub fn add_to(&self, total: &mut BTreeMap<&'static str, u64>) {
        let counters = [
            ("events", self.events),
            ("ticks", self.ticks),
            ("packets", self.packets),
            ("requests", self.requests),
            ("executed", self.executed),
            ("completed", self.completed),
            ("not_run", self.not_run),
            ("unknown", self.unknown),
            ("replayed", self.replayed),
            ("resumes", self.resumes),
            ("disturbances", self.disturbances),
            ("kills", self.kills),
            ("stops", self.stops),
            ("orders", self.orders),
            ("takeovers", self.takeovers),
            ("committed", self.committed),
            ("conflicts", self.conflicts),
        ];
        for (name, count) in counters.into_iter().chain(self.violations()) {
            *total.entry(name).or_insert(0) += count;
        }
    }
}

/// Content of a chunk: request digest, generating attempt, index, and length of the whole answer in
/// chunks.
type Chunk = (u128, u128, u32, u32);

/// Returns the number of chunks of the answer that an attempt generates.
fn length_of(attempt: u128) -> u32 {
    1 + (attempt % 7) as u32
}

/// Encodes a chunk as the data of an answer.
fn pack(chunk: Chunk) -> Bytes {
    let mut data = Vec::with_capacity(40);
    data.extend(chunk.0.to_le_bytes());
    data.extend(chunk.1.to_le_bytes());
    data.extend(chunk.2.to_le_bytes());
    data.extend(chunk.3.to_le_bytes());
    data.into()
}

/// Decodes the data of an answer.
fn unpack(data: &[u8]) -> Chunk {
    let u128_at = |at: usize| u128::from_le_bytes(data[at..at + 16].try_into().unwrap());
    let u32_at = |at: usize| u32::from_le_bytes(data[at..at + 4].try_into().unwrap());
    (u128_at(0), u128_at(16), u32_at(32), u32_at(36))
}

/// Recipient of an event: the host, the number of its process and, for an event of a connection,
/// the attempt.
type Link = (usize, u64, Option<AttemptId>);

/// A scheduled message. Numbers at the front are the host and the number of its process.
enum Message {
    Tick(usize, u64),
    Poll(usize, u64),
    /// An event for a process; it is dropped if the process or its connection has ended.
    Event(Link, Box<HostEvent>),
    /// A sealed packet, with its sender and recipient.
    Packet(usize, usize, Vec<u8>),
    /// A dispatch on its way to its target.
    Start(usize, u64, RequestEffect),
    /// A claim call on its way to the table service, and whether its answer is lost.
    Table(usize, u64, RequestKey, RequestEffect, bool),
    /// A release of a claim that is tried again.
    Release(usize, u64, RequestKey, RequestEffect),
    /// An order that the shell writes to the connection if it is still valid.
    Send(usize, u64, TargetName, EngineOrder, ClockTime),
    /// An order on its way to its engine.
    Order(usize, u64, TargetName, EngineOrder),
    /// A new fencing number on its way to its engine.
    Fence(usize, u64, TargetName, FencingNumber),
    /// The end of an order; the number is the incarnation of the engine that ran it.
    Finish(TargetName, u64, EngineOrder),
    /// A call that its caller repeats at another host.
    Repeat(usize, callers::Call, Option<ResumePoint>),
    KillTarget(usize),
    RestartTarget(TargetName),
    RestartHost(usize),
    /// The host list stops naming a host as leaving.
    UnlistHost(usize),
    /// The host list starts or stops naming a target as leaving.
    List(TargetName, bool),
    /// A check that a preset version is in force on every host connected since its acceptance. The
    /// second number is the time of the acceptance.
    CheckPreset(u64, u64),
}

/// Connection of one attempt.
struct Conn {
    host: usize,
    epoch: u64,
    target: TargetName,
    /// Whether the connection no longer transfers anything although it is not closed.
    silent: bool,
}

/// A simulated target: an engine with copies and orders, or a plain service.
struct FakeTarget {
    engine: FakeEngine,
    down: bool,
    leaving: bool,
    /// Whether the target's load reports say that it is leaving; if not, only the host list does.
    reports_leaving: bool,
    /// Time after which no host finds the target's last leave in the host list. An entry of the
    /// list names no process, so before that time, a leave of the next process could not be
    /// distinguished from the last one.
    unlisted_at: u64,
    /// Request digest and length of each generated answer, by attempt.
    streams: HashMap<u128, (u128, u32)>,
    /// Request digests of the calls that the target ran, by claim row key.
    records: HashMap<Arc<str>, BodyDigest>,
}

/// State of the simulation.
pub struct World {
    pub counts: Counts,
    /// Simulated time, milliseconds.
    now: u64,
    /// Number of scheduled messages; orders messages of the same time.
    sequence: u64,
    rng: SeededRng,
    catalog: Arc<CatalogSpec>,
    targets: Vec<TargetSpec>,
    hosts: Vec<hosts::Host>,
    /// Number of the present process of each host.
    epochs: Vec<u64>,
    /// Time until which the process of each host is paused.
    paused_until: Vec<u64>,
    /// Pairs of hosts that cannot reach each other, lower number first.
    partitions: BTreeSet<(usize, usize)>,
    /// Host that cannot reach the platform.
    partitioned_from_platform: Option<usize>,
    fakes: BTreeMap<TargetName, FakeTarget>,
    /// Rows of the move and preset features in the table service.
    rows: table::FakeTable,
    /// Rows of claims in the table service, by row key.
    table: HashMap<Arc<str>, Row>,
    table_down: bool,
    /// Preset bodies in the object store, by digest.
    store: HashMap<[u8; 32], Arc<[u8]>>,
    store_down: bool,
    /// Targets that the host list names as leaving, with the time from which it names each.
    listed_targets: BTreeMap<TargetName, u64>,
    /// Hosts that the host list names as leaving.
    listed_hosts: BTreeSet<usize>,
    /// Time at which each host learned that the present process of a target is leaving.
    known_leaves: BTreeMap<TargetName, BTreeMap<usize, u64>>,
    /// Executions of calls that may run only once, by idempotency key or by request.
    runs: HashMap<String, u32>,
    callers: BTreeMap<RequestKey, callers::Caller>,
    conns: HashMap<AttemptId, Conn>,
    /// Scheduled messages by time and sequence.
    schedule: BTreeMap<(u64, u64), Message>,
    /// Calls sent so far, which callers may repeat.
    calls: Vec<callers::Call>,
    /// Digest of each preset version that was put in force.
    digests: BTreeMap<u64, [u8; 32]>,
    /// Whether all random faults have ended.
    faults_ended: bool,
    next_key: u64,
}

impl World {
    /// Starts all hosts of a simulation with this number of models.
    pub fn new(seed: u64, models: usize) -> Self {
        let catalog = Arc::new(catalog::catalog(ENGINES, PLAIN, models));
        let fakes = catalog.targets.iter().map(|spec| {
            let engine = FakeEngine::new(spec.name.clone(), spec.memory_bytes, spec.checks_fencing);
            let fake = FakeTarget {
                engine,
                down: false,
                leaving: false,
                reports_leaving: true,
                unlisted_at: 0,
                streams: HashMap::new(),
                records: HashMap::new(),
            };
            (spec.name.clone(), fake)
        });
        let mut world = Self {
            counts: Counts::default(),
            now: 1_000_000,
            sequence: 0,
            rng: seeded_rng(seed),
            targets: catalog.targets.clone(),
            hosts: (0..HOSTS)
                .map(|host| hosts::Host::new(host, 1_000_000))
                .collect(),
            epochs: vec![0; HOSTS],
            paused_until: vec![0; HOSTS],
            partitions: BTreeSet::new(),
            partitioned_from_platform: None,
            fakes: fakes.collect(),
            catalog,
            rows: table::FakeTable::default(),
            table: HashMap::new(),
            table_down: false,
            store: HashMap::new(),
            store_down: false,
            listed_targets: BTreeMap::new(),
            listed_hosts: BTreeSet::new(),
            known_leaves: BTreeMap::new(),
            runs: HashMap::new(),
            callers: BTreeMap::new(),
            conns: HashMap::new(),
            schedule: BTreeMap::new(),
            calls: Vec::new(),
            digests: BTreeMap::new(),
            faults_ended: false,
            next_key: 0,
        };
        for host in 0..HOSTS {
            world.start_host(host);
        }
        world
    }

    /// Draws whether a random fault of this probability happens; never after the end of all faults.
    fn chance(&mut self, percent: u32) -> bool {
        !self.faults_ended && self.rng.random_range(0..100) < percent
    }

    /// Schedules a message.
    fn after(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.schedule
            .insert((self.now + delay, self.sequence), message);
    }

    fn event(&mut self, delay: u64, link: Link, event: RequestEvent) {
        self.host_event(delay, link, HostEvent::Request(event));
    }

    fn host_event(&mut self, delay: u64, link: Link, event: HostEvent) {
        self.after(delay, Message::Event(link, Box::new(event)));
    }

    /// Advances the simulated time and performs all messages that fall due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(entry) = self.schedule.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.perform(message);
        }
        self.now = until;
    }

    /// Returns the host that handles a message and, if the message is for one process, its number.
    fn recipient(message: &Message) -> Option<(usize, Option<u64>)> {
        match message {
            Message::Tick(host, epoch)
            | Message::Poll(host, epoch)
            | Message::Event((host, epoch, _), _)
            | Message::Send(host, epoch, ..) => Some((*host, Some(*epoch))),
            Message::Packet(_, host, _) => Some((*host, None)),
            _ => None,
        }
    }

    fn perform(&mut self, message: Message) {
        if let Some((host, epoch)) = Self::recipient(&message) {
            let up = self.hosts[host].up;
            if !up || epoch.is_some_and(|epoch| self.epochs[host] != epoch) {
                return;
            }
            if self.paused_until[host] > self.now {
                return self.after(self.paused_until[host] - self.now, message);
            }
        }
        match message {
            Message::Tick(host, epoch) => self.tick_host(host, epoch),
            Message::Poll(host, epoch) => self.poll(host, epoch),
            Message::Event(link, event) => {
                let conn = link
                    .2
                    .map(|conn| self.conns.get(&conn).is_none_or(|c| c.silent));
                // Some events of ended connections arrive, as if they were under way at the end.
                if conn != Some(true) || self.chance(5) {
                    self.feed(link.0, *event);
                }
            }
            Message::Packet(from, to, bytes) => self.receive(from, to, &bytes),
            Message::Start(host, epoch, effect) => self.start_at_target(host, epoch, effect),
            Message::Table(host, epoch, key, op, lost) => self.table_op(host, epoch, key, op, lost),
            Message::Release(host, epoch, key, op) => {
                if self.epochs[host] == epoch {
                    self.call_claims(host, key, op);
                }
            }
            Message::Send(host, epoch, target, order, valid) => {
                self.send_order(host, epoch, target, order, valid);
            }
            Message::Order(host, epoch, target, order) => self.order(host, epoch, &target, order),
            Message::Fence(host, epoch, target, number) => self.fence(host, epoch, target, number),
            Message::Finish(target, incarnation, order) => {
                let fake = self.fakes.get_mut(&target).unwrap();
                fake.engine.finish(incarnation, &order);
            }
            Message::Repeat(host, call, point) => self.arrive(host, call, point),
            Message::KillTarget(number) => self.kill_target(number, 1_000),
            Message::RestartTarget(target) => self.restart_target(&target),
            Message::RestartHost(host) => self.start_host(host),
            Message::UnlistHost(host) => {
                self.listed_hosts.remove(&host);
            }
            Message::List(target, listed) => {
                if listed {
                    self.listed_targets.insert(target, self.now);
                } else {
                    self.listed_targets.remove(&target);
                }
            }
            Message::CheckPreset(version, since) => self.check_preset(version, since),
        }
    }
}
