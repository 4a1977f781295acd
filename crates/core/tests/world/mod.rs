//! Several hosts with all their features over small fakes, driven by one calendar.

// Each test file uses a part of this module.
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

pub const HOSTS: usize = 4;
pub const ENGINES: usize = 6;
pub const PLAIN: usize = 2;
/// Models that fit into memory even with one engine drained and one down.
pub const FEW_MODELS: usize = 10;
/// Models that do not fit into memory together.
pub const MANY_MODELS: usize = 28;
/// Time between two ticks of a host.
const TICK_MS: u64 = 40;

/// What a run did and found; the fields of `faults` must stay zero.
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
    /// M1: loads that took an engine beyond its capacity.
    pub overcommitted: u64,
    /// M2: models without a copy, or that a host could not serve, at the quiet end.
    pub unreachable: u64,
    /// M3: wrong or foreign chunks.
    pub wrong: u64,
    /// M3: answers that were closed before their end.
    pub partial: u64,
    /// M3: answers with two ends, or with chunks after their end.
    pub two_ends: u64,
    /// M3: requests without any end.
    pub stuck: u64,
    /// M4: calls that ran and were reported as not run.
    pub false_not_run: u64,
    /// M5: calls that ran twice.
    pub duplicates: u64,
    /// M6: attempts started at a leaving target too late.
    pub to_leaving: u64,
    /// M7: requests in progress when a planned stop ended, or stops that did not end.
    pub cut_by_stop: u64,
    /// M8: versions that fell on a host.
    pub reverted: u64,
    /// M8: versions with two bodies.
    pub two_bodies: u64,
    /// M8: accepted versions that came too late to a connected host.
    pub late_preset: u64,
}

impl Counts {
    /// Returns what must be zero, by property.
    pub fn faults(&self) -> [(&'static str, u64); 8] {
        [
            ("M1", self.overcommitted),
            ("M2", self.unreachable),
            ("M3", self.wrong + self.partial + self.two_ends + self.stuck),
            ("M4", self.false_not_run),
            ("M5", self.duplicates),
            ("M6", self.to_leaving),
            ("M7", self.cut_by_stop),
            ("M8", self.reverted + self.two_bodies + self.late_preset),
        ]
    }
}

impl Counts {
    /// Adds the figures of a run to the total, by name.
    pub fn add_to(&self, total: &mut BTreeMap<&'static str, u64>) {
        let figures = [
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
        for (name, count) in figures.into_iter().chain(self.faults()) {
            *total.entry(name).or_insert(0) += count;
        }
    }
}

/// Digest, attempt of origin, number and total of a chunk.
type Chunk = (u128, u128, u32, u32);

/// Returns the number of chunks of an answer.
fn length_of(origin: u128) -> u32 {
    1 + (origin % 7) as u32
}

fn pack(chunk: Chunk) -> Bytes {
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

/// Host, its process and, for an event of a connection, the attempt.
type Link = (usize, u64, Option<AttemptId>);

enum Message {
    Tick(usize, u64),
    Poll(usize, u64),
    /// An event for a process; dropped if the process or the connection is gone.
    Event(Link, Box<HostEvent>),
    /// A sealed packet for a host.
    Packet(usize, usize, Vec<u8>),
    /// A dispatch on its way to its target.
    Start(usize, u64, RequestEffect),
    /// A claim call on its way to the table service, and whether its answer is lost.
    Table(usize, u64, RequestKey, RequestEffect, bool),
    /// A release that is to be tried again.
    Release(usize, u64, RequestKey, RequestEffect),
    /// An order that the shell is about to write, and one on its way to its engine.
    Send(usize, u64, TargetName, EngineOrder, ClockTime),
    Order(usize, u64, TargetName, EngineOrder),
    Fence(usize, u64, TargetName, FencingNumber),
    /// The end of an order at one process of an engine.
    Finish(TargetName, u64, EngineOrder),
    Repeat(usize, callers::Call, Option<ResumePoint>),
    KillTarget(usize),
    RestartTarget(TargetName),
    RestartHost(usize),
    /// The host list stops to name a host as leaving.
    UnlistHost(usize),
    /// The host list begins or stops to name a target as leaving.
    List(TargetName, bool),
    /// A version was accepted at this time; every connected host must have it now.
    CheckPreset(u64, u64),
}

struct Conn {
    host: usize,
    epoch: u64,
    target: TargetName,
    silent: bool,
}

/// A target: an engine with copies and orders, or a plain service.
struct Fake {
    engine: FakeEngine,
    down: bool,
    leaving: bool,
    /// Whether its reports say that it is leaving.
    tells: bool,
    /// When the host list no longer names it for its last leave. A list entry names no process, so
    /// that a leave of the next process below the same entry could not be told apart.
    unlisted: u64,
    streams: HashMap<u128, (u128, u32)>,
    records: HashMap<Arc<str>, BodyDigest>,
}

pub struct World {
    pub counts: Counts,
    now: u64,
    sequence: u64,
    rng: SeededRng,
    catalog: Arc<CatalogSpec>,
    targets: Vec<TargetSpec>,
    hosts: Vec<hosts::Host>,
    epochs: Vec<u64>,
    frozen: Vec<u64>,
    /// Pairs of hosts without a path between them, lower number first.
    cuts: BTreeSet<(usize, usize)>,
    /// Host without a path to the platform.
    platform_cut: Option<usize>,
    fakes: BTreeMap<TargetName, Fake>,
    rows: table::FakeTable,
    /// Claims by row key.
    table: HashMap<Arc<str>, Row>,
    table_down: bool,
    store: HashMap<[u8; 32], Arc<[u8]>>,
    store_down: bool,
    /// Targets that the host list names as leaving, and since when.
    listed: BTreeMap<TargetName, u64>,
    /// Hosts that it names as leaving.
    listed_hosts: BTreeSet<usize>,
    /// When each host learnt that a target's present process is leaving.
    learnt: BTreeMap<TargetName, BTreeMap<usize, u64>>,
    /// Executions of calls that may run once, by key or by request.
    runs: HashMap<String, u32>,
    callers: BTreeMap<RequestKey, callers::Caller>,
    conns: HashMap<AttemptId, Conn>,
    calendar: BTreeMap<(u64, u64), Message>,
    calls: Vec<callers::Call>,
    digests: BTreeMap<u64, [u8; 32]>,
    healed: bool,
    next_key: u64,
}

impl World {
    pub fn new(seed: u64, models: usize) -> Self {
        let catalog = Arc::new(catalog::catalog(ENGINES, PLAIN, models));
        let fakes = catalog.targets.iter().map(|spec| {
            let engine = FakeEngine::new(spec.name.clone(), spec.memory_bytes, spec.checks_fencing);
            let fake = Fake {
                engine,
                down: false,
                leaving: false,
                tells: true,
                unlisted: 0,
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
            frozen: vec![0; HOSTS],
            cuts: BTreeSet::new(),
            platform_cut: None,
            fakes: fakes.collect(),
            catalog,
            rows: table::FakeTable::default(),
            table: HashMap::new(),
            table_down: false,
            store: HashMap::new(),
            store_down: false,
            listed: BTreeMap::new(),
            listed_hosts: BTreeSet::new(),
            learnt: BTreeMap::new(),
            runs: HashMap::new(),
            callers: BTreeMap::new(),
            conns: HashMap::new(),
            calendar: BTreeMap::new(),
            calls: Vec::new(),
            digests: BTreeMap::new(),
            healed: false,
            next_key: 0,
        };
        for host in 0..HOSTS {
            world.start_host(host);
        }
        world
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
        self.host_event(delay, link, HostEvent::Request(event));
    }

    fn host_event(&mut self, delay: u64, link: Link, event: HostEvent) {
        self.after(delay, Message::Event(link, Box::new(event)));
    }

    /// Runs everything up to a later point.
    pub fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(entry) = self.calendar.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.perform(message);
        }
        self.now = until;
    }

    /// Returns the process that a message is for, and whether it takes the message.
    fn taker(message: &Message) -> Option<(usize, Option<u64>)> {
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
        if let Some((host, epoch)) = Self::taker(&message) {
            let up = self.hosts[host].up;
            if !up || epoch.is_some_and(|epoch| self.epochs[host] != epoch) {
                return;
            }
            if self.frozen[host] > self.now {
                return self.after(self.frozen[host] - self.now, message);
            }
        }
        match message {
            Message::Tick(host, epoch) => self.tick_host(host, epoch),
            Message::Poll(host, epoch) => self.poll(host, epoch),
            Message::Event(link, event) => {
                let conn = link
                    .2
                    .map(|conn| self.conns.get(&conn).is_none_or(|c| c.silent));
                // Some events of closed connections are delivered, as late or crossed ones.
                if conn != Some(true) || self.chance(5) {
                    self.feed(link.0, *event);
                }
            }
            Message::Packet(from, to, bytes) => self.receive(from, to, &bytes),
            Message::Start(host, epoch, effect) => self.start_at_target(host, epoch, effect),
            Message::Table(host, epoch, key, op, lost) => self.table_op(host, epoch, key, op, lost),
            Message::Release(host, epoch, key, op) => {
                if self.epochs[host] == epoch {
                    self.ask_claim(host, key, op);
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
                    self.listed.insert(target, self.now);
                } else {
                    self.listed.remove(&target);
                }
            }
            Message::CheckPreset(version, since) => self.check_preset(version, since),
        }
    }
}
