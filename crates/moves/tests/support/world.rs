//! A world of hosts, one table and engines, driven by one queue of timed messages.

use super::engine::{EngineReply, FakeEngine};
use super::table::FakeTable;
use super::{ms, settings};
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_moves::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How rough the world is.
#[derive(Clone, Copy)]
pub struct Weather {
    /// Share of messages that are lost, late or repeated.
    pub faults: f64,
    /// Longest time that an order can be late.
    pub lateness: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Tick(usize),
    ToTable(usize, u64, TableCall),
    ToHost(usize, MoveEvent),
    Order(usize, usize, u64, EngineOrder),
    Fence(usize, usize, FencingNumber),
    Finish(usize, u64, EngineOrder),
    Reports(usize),
}

pub struct FakeHost {
    pub state: MoveState,
    rng: SeededRng,
    offset: u64,
    rate: f64,
    pub paused_until: u64,
}

#[derive(Default, Debug)]
pub struct WorldCounts {
    pub steps: u64,
    pub takeovers: u64,
    pub orders: u64,
    pub late: u64,
    pub duplicated: u64,
    pub lost: u64,
    pub lost_answers: u64,
    pub after_lapse: u64,
    pub restarts: u64,
    pub blocked: u64,
    /// Two hosts that may order at the same moment.
    pub two_holders: u64,
    /// Unloads of a last copy while no engine had restarted.
    pub last_dropped: u64,
}

pub struct FakeWorld {
    pub now: u64,
    pub hosts: Vec<FakeHost>,
    pub table: FakeTable,
    pub engines: Vec<FakeEngine>,
    pub weather: Weather,
    pub outage: bool,
    pub counts: WorldCounts,
    pub rng: SeededRng,
    pub fleet: Arc<FleetSpec>,
    pub plan: Arc<ResidencyPlan>,
    pub calm_since: u64,
    /// Until when a name could be unloaded on demand by an earlier plan.
    was_on_demand: BTreeMap<Arc<str>, u64>,
    /// Engine whose orders and answers are lost.
    pub cut: Option<usize>,
    /// Whether the reports of that engine still arrive.
    pub reports_pass: bool,
    queue: BTreeMap<(u64, u64), Message>,
    queued: u64,
}

impl FakeWorld {
    pub fn new(seed: u64, hosts: usize, fleet: FleetSpec, weather: Weather) -> Self {
        let mut rng = seeded_rng(seed);
        let fleet = Arc::new(fleet);
        let engines = fleet
            .targets
            .iter()
            .map(|(name, spec)| FakeEngine::new(name.clone(), spec.capacity, spec.checks_fencing))
            .collect();
        let hosts = (0..hosts)
            .map(|index| FakeHost {
                state: MoveState::new(settings(&format!("h{index}"))),
                rng: seeded_rng(seed ^ (index as u64 + 1) << 32),
                offset: rng.random_range(0..1_000_000),
                rate: rng.random_range(0.992..1.008),
                paused_until: 0,
            })
            .collect::<Vec<_>>();
        let mut world = Self {
            now: 0,
            hosts,
            table: FakeTable::default(),
            engines,
            weather,
            outage: false,
            counts: WorldCounts::default(),
            rng,
            fleet,
            plan: Arc::default(),
            calm_since: 0,
            was_on_demand: BTreeMap::new(),
            cut: None,
            reports_pass: false,
            queue: BTreeMap::new(),
            queued: 0,
        };
        for host in 0..world.hosts.len() {
            world.push(host as u64 * 7, Message::Tick(host));
            let event = MoveEvent::FleetChanged(world.fleet.clone());
            world.push(0, Message::ToHost(host, event));
        }
        for engine in 0..world.engines.len() {
            world.push(engine as u64 * 13, Message::Reports(engine));
        }
        world
    }

    pub fn tell_all(&mut self, event: &MoveEvent) {
        for host in 0..self.hosts.len() {
            let delay = self.rng.random_range(1..200);
            self.push(delay, Message::ToHost(host, event.clone()));
        }
    }

    pub fn set_plan(&mut self, plan: ResidencyPlan) {
        for name in &self.plan.on_demand {
            self.was_on_demand.insert(name.clone(), self.now);
        }
        self.plan = Arc::new(plan);
        self.tell_all(&MoveEvent::PlanChanged(self.plan.clone()));
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), message) = entry.remove_entry();
            self.now = time;
            self.deliver(message);
        }
        self.now = end;
    }

    pub fn restart(&mut self, engine: usize) {
        self.engines[engine].restart();
        self.counts.restarts += 1;
        self.calm_since = self.now + 60_000;
    }

    pub fn pause(&mut self, host: usize, span: u64) {
        let until = self.now + span;
        let host = &mut self.hosts[host];
        host.paused_until = host.paused_until.max(until);
    }

    /// Gives a host an event as if its clock had jumped ahead, and returns the effects.
    pub fn poke(&mut self, host: usize, ahead: u64, event: MoveEvent) -> Vec<MoveEffect> {
        let now = self.local(host) + ms(ahead);
        let fake = &mut self.hosts[host];
        let mut context = MoveContext {
            now,
            rng: &mut fake.rng,
        };
        let mut out = Vec::new();
        reduce(&mut fake.state, &mut context, event, &mut out);
        out
    }

    pub fn loading(&self, adapters: bool) -> usize {
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let loading = copies.filter(|(_, (_, state))| *state == CopyState::Loading);
        let kinds = loading.filter_map(|(name, _)| self.fleet.items.get(name));
        kinds
            .filter(|item| (item.kind != ItemKind::Model) == adapters)
            .count()
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|host| {
            let now = self.local(*host);
            self.hosts[*host].state.active_lease(now).is_some()
        })
    }

    pub fn overcommitted(&self) -> u64 {
        self.engines.iter().map(|engine| engine.overcommitted).sum()
    }

    pub fn resident(&self, engine: usize, name: &str) -> bool {
        let copy = self.engines[engine].copies.get(name);
        copy.is_some_and(|(_, state)| *state == CopyState::Resident)
    }

    fn push(&mut self, delay: u64, message: Message) {
        self.queued += 1;
        self.queue.insert((self.now + delay, self.queued), message);
    }

    fn local(&self, host: usize) -> ClockTime {
        let host = &self.hosts[host];
        ms(host.offset + (self.now as f64 * host.rate) as u64)
    }

    fn fault(&mut self) -> bool {
        let faults = self.weather.faults;
        self.rng.random_bool(faults)
    }

    fn deliver(&mut self, message: Message) {
        self.counts.steps += 1;
        match message {
            Message::Tick(host) => {
                let wait = self.hosts[host].paused_until.saturating_sub(self.now);
                if wait == 0 {
                    self.step(host, MoveEvent::Tick);
                }
                self.push(wait.max(200), Message::Tick(host));
            }
            Message::ToHost(host, event) => {
                let wait = self.hosts[host].paused_until.saturating_sub(self.now);
                if wait == 0 {
                    self.step(host, event);
                } else {
                    self.push(wait, Message::ToHost(host, event));
                }
            }
            Message::ToTable(host, call, request) => self.at_table(host, call, &request),
            Message::Order(host, engine, incarnation, order) => {
                if incarnation == 0 || incarnation == self.engines[engine].incarnation {
                    self.at_engine(host, engine, &order);
                }
            }
            Message::Fence(host, engine, fencing) => {
                let target = &mut self.engines[engine];
                if target.raise(fencing) && self.cut != Some(engine) {
                    let event = MoveEvent::FencingConfirmed {
                        target: target.name.clone(),
                        incarnation: target.incarnation,
                        fencing,
                    };
                    self.push(3, Message::ToHost(host, event));
                }
            }
            Message::Finish(engine, incarnation, order) => {
                self.engines[engine].finish(incarnation, &order);
            }
            Message::Reports(engine) => self.report(engine),
        }
    }

    fn step(&mut self, host: usize, event: MoveEvent) {
        let now = self.local(host);
        let mut out = Vec::new();
        let fake = &mut self.hosts[host];
        let mut context = MoveContext {
            now,
            rng: &mut fake.rng,
        };
        reduce(&mut fake.state, &mut context, event, &mut out);
        let holders = (0..self.hosts.len())
            .filter(|host| {
                self.hosts[*host]
                    .state
                    .active_lease(self.local(*host))
                    .is_some()
            })
            .count();
        self.counts.two_holders += u64::from(holders > 1);
        for effect in out {
            self.perform(host, effect);
        }
    }

    fn perform(&mut self, host: usize, effect: MoveEffect) {
        // A pause can fall between the shell's last look at the clock and the write to the socket.
        if self.fault() && self.rng.random_bool(0.1) {
            let pause = self.rng.random_range(0..30_000);
            self.pause(host, pause);
        }
        let paused = self.hosts[host].paused_until.saturating_sub(self.now);
        match effect {
            MoveEffect::CallTable { call, request } => {
                let late = if self.fault() {
                    self.rng.random_range(0..4_000)
                } else {
                    0
                };
                let delay = paused + late + self.rng.random_range(1..20);
                self.push(delay, Message::ToTable(host, call, request));
            }
            MoveEffect::SendOrder { target, order, .. } => self.send(host, &target, &order, paused),
            MoveEffect::RaiseFencing {
                target, fencing, ..
            } => {
                if !self.fault() {
                    let engine = self.index(&target);
                    self.push(paused + 5, Message::Fence(host, engine, fencing));
                }
            }
            MoveEffect::Log(MoveLog::LeaseAcquired { .. }) => self.counts.takeovers += 1,
            MoveEffect::Log(MoveLog::LoadBlocked { .. }) => self.counts.blocked += 1,
            MoveEffect::Log(_) => {}
        }
    }

    fn index(&self, target: &TargetName) -> usize {
        let names: Vec<_> = self.fleet.targets.keys().collect();
        names.binary_search(&target).expect("declared target")
    }

    fn send(&mut self, host: usize, target: &TargetName, order: &EngineOrder, paused: u64) {
        self.counts.orders += 1;
        let engine = self.index(target);
        let checks = self.engines[engine].checks;
        if self.fault() || self.cut == Some(engine) {
            self.counts.lost += 1;
            return;
        }
        let mut delay = paused + self.rng.random_range(1..10);
        if self.fault() {
            delay += self.rng.random_range(0..self.weather.lateness);
        }
        // The setting for the longest lateness is a promise about engines that ignore numbers.
        if !checks {
            delay = delay.min(self.weather.lateness - 1);
        }
        self.counts.late += u64::from(delay > 1_000);
        self.counts.after_lapse += u64::from(paused > 10_000);
        self.push(delay, Message::Order(host, engine, 0, order.clone()));
        if self.fault() {
            // A repetition by the network ends with the connection, thus with the engine's process.
            self.counts.duplicated += 1;
            let again = delay + self.rng.random_range(0..self.weather.lateness);
            let incarnation = self.engines[engine].incarnation;
            self.push(
                again,
                Message::Order(host, engine, incarnation, order.clone()),
            );
        }
    }

    fn at_table(&mut self, host: usize, call: u64, request: &TableCall) {
        let mut answer = if self.outage {
            TableAnswer::Failed
        } else {
            self.table.perform(request)
        };
        if self.fault() {
            self.counts.lost_answers += 1;
            if self.rng.random_bool(0.5) {
                return;
            }
            answer = TableAnswer::Unknown;
        }
        let delay = self.rng.random_range(1..20);
        self.push(
            delay,
            Message::ToHost(host, MoveEvent::TableAnswered { call, answer }),
        );
    }

    fn at_engine(&mut self, host: usize, engine: usize, order: &EngineOrder) {
        let refuse = self.fault() && self.rng.random_bool(0.3);
        let resident = self.resident(engine, &order.name);
        let target = &mut self.engines[engine];
        let reply = target.order(self.now, order, refuse);
        let incarnation = target.incarnation;
        let answer = match reply {
            EngineReply::Answer(answer) => answer,
            EngineReply::Started => {
                let delay = self.rng.random_range(100..3_000);
                self.push(delay, Message::Finish(engine, incarnation, order.clone()));
                if order.action == OrderAction::Unload && resident {
                    self.check_last(engine, &order.name);
                }
                OrderAnswer::Accepted
            }
        };
        let answer = if self.fault() {
            OrderAnswer::Lost
        } else {
            answer
        };
        let order = order.id;
        self.push(
            4,
            Message::ToHost(host, MoveEvent::OrderAnswered { order, answer }),
        );
    }

    fn check_last(&mut self, engine: usize, name: &Arc<str>) {
        let other =
            (0..self.engines.len()).any(|other| other != engine && self.resident(other, name));
        // An unload that an earlier plan allowed can still arrive after a pause and on its way.
        let earlier = self.was_on_demand.get(name);
        let excused = !self.fleet.items.contains_key(name)
            || self.plan.on_demand.contains(name)
            || self.now < self.calm_since
            || earlier.is_some_and(|until| self.now < until + 60_000);
        self.counts.last_dropped += u64::from(!other && !excused);
    }

    fn report(&mut self, engine: usize) {
        let (report, finished) = self.engines[engine].report();
        for host in 0..self.hosts.len() {
            let lag = self.rng.random_range(5..400);
            let mut report = report.clone();
            report.age = ms(lag + 4);
            let event = MoveEvent::ReportReceived {
                report: Arc::new(report),
                finished: finished.clone(),
            };
            if !self.fault() && (self.reports_pass || self.cut != Some(engine)) {
                self.push(lag, Message::ToHost(host, event));
            }
        }
        self.push(500, Message::Reports(engine));
    }
}
