//! Simulated cluster of hosts, one table and engines, driven by one queue of timed messages.

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

/// How often the simulation injects faults, and how late orders may be.
#[derive(Clone, Copy)]
pub struct FaultProfile {
    /// Share of messages that are lost, late or repeated.
    pub rate: f64,
    /// Longest time that an order can be in transit, milliseconds.
    pub max_order_delay_ms: u64,
}

/// A queued occurrence. Hosts and engines are given by index.
#[derive(Clone, Debug)]
enum Message {
    /// Next tick of a host.
    Tick(usize),
    /// Table call of a host, with its number.
    ToTable(usize, u64, TableCall),
    /// Event for a host.
    ToHost(usize, MoveEvent),
    /// Order from a host to an engine, for one process of the engine or, with 0, for any.
    Order(usize, usize, u64, EngineOrder),
    /// Fencing number from a host to an engine.
    Fence(usize, usize, FencingNumber),
    /// End of an order at one process of an engine.
    Finish(usize, u64, EngineOrder),
    /// Next load report of an engine.
    Reports(usize),
}

/// A host: its reducer, and a clock that runs slightly too fast or too slow.
pub struct FakeHost {
    pub state: MoveState,
    rng: SeededRng,
    /// Time of the host's clock at the start, milliseconds.
    clock_offset: u64,
    /// Speed of the host's clock against true time.
    clock_rate: f64,
    /// Time until which the process is paused, milliseconds.
    pub paused_until: u64,
}

/// Counts of one run; the last two fields are violations.
#[derive(Default, Debug)]
pub struct WorldCounts {
    /// Messages delivered.
    pub steps: u64,
    /// Acquisitions of the lease.
    pub takeovers: u64,
    /// Orders sent, with repetitions.
    pub orders: u64,
    /// Orders delayed by more than a second.
    pub late: u64,
    /// Orders repeated by the network.
    pub duplicated: u64,
    /// Orders lost on the way.
    pub lost: u64,
    /// Answers of the table that were lost or replaced by an unknown result.
    pub lost_answers: u64,
    /// Orders sent by a host after a pause longer than its lease.
    pub after_lapse: u64,
    /// Restarts of engines.
    pub restarts: u64,
    /// Loads logged as blocked.
    pub blocked: u64,
    /// Times at which two hosts were allowed to order moves.
    pub two_holders: u64,
    /// Unloads of a last copy that no plan, declaration or restart allowed.
    pub last_dropped: u64,
}

/// The simulated cluster. Times are in milliseconds since the start of the run.
pub struct FakeWorld {
    pub now: u64,
    /// Hosts `h0`, `h1` and so on.
    pub hosts: Vec<FakeHost>,
    pub table: FakeTable,
    /// Engines in the order of their target names.
    pub engines: Vec<FakeEngine>,
    /// Faults that are injected from now on.
    pub faults: FaultProfile,
    /// Whether the table service fails every call.
    pub outage: bool,
    /// Counts since the start of the run.
    pub counts: WorldCounts,
    pub rng: SeededRng,
    /// Declarations that every host has.
    pub fleet: Arc<FleetSpec>,
    /// Last plan that was sent to the hosts.
    pub plan: Arc<ResidencyPlan>,
    /// Time until which a last copy may be unloaded because an engine restarted.
    pub restart_grace_until: u64,
    /// When a plan that allowed a name on demand was last replaced.
    last_on_demand: BTreeMap<Arc<str>, u64>,
    /// Engine whose orders, answers and reports are lost.
    pub isolated_engine: Option<usize>,
    /// Whether the reports of the isolated engine still arrive.
    pub isolated_engine_reports: bool,
    /// Messages by time and number.
    queue: BTreeMap<(u64, u64), Message>,
    /// Number of messages queued so far.
    message_count: u64,
}

impl FakeWorld {
    /// Creates hosts and engines that know the declarations.
    pub fn new(seed: u64, hosts: usize, fleet: FleetSpec, faults: FaultProfile) -> Self {
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
                clock_offset: rng.random_range(0..1_000_000),
                clock_rate: rng.random_range(0.992..1.008),
                paused_until: 0,
            })
            .collect::<Vec<_>>();
        let mut world = Self {
            now: 0,
            hosts,
            table: FakeTable::default(),
            engines,
            faults,
            outage: false,
            counts: WorldCounts::default(),
            rng,
            fleet,
            plan: Arc::default(),
            restart_grace_until: 0,
            last_on_demand: BTreeMap::new(),
            isolated_engine: None,
            isolated_engine_reports: false,
            queue: BTreeMap::new(),
            message_count: 0,
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

    /// Sends an event to every host, each after a short delay.
    pub fn broadcast(&mut self, event: &MoveEvent) {
        for host in 0..self.hosts.len() {
            let delay = self.rng.random_range(1..200);
            self.push(delay, Message::ToHost(host, event.clone()));
        }
    }

    /// Replaces the plan and sends it to every host.
    pub fn set_plan(&mut self, plan: ResidencyPlan) {
        for name in &self.plan.on_demand {
            self.last_on_demand.insert(name.clone(), self.now);
        }
        self.plan = Arc::new(plan);
        self.broadcast(&MoveEvent::PlanChanged(self.plan.clone()));
    }

    /// Delivers the messages of a time span.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
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

    /// Restarts an engine.
    pub fn restart(&mut self, engine: usize) {
        self.engines[engine].restart();
        self.counts.restarts += 1;
        self.restart_grace_until = self.now + 60_000;
    }

    /// Pauses a host.
    pub fn pause(&mut self, host: usize, duration: u64) {
        let until = self.now + duration;
        let host = &mut self.hosts[host];
        host.paused_until = host.paused_until.max(until);
    }

    /// Reduces an event as if the clock of the host had jumped ahead, and returns the effects.
    pub fn reduce_ahead(&mut self, host: usize, ahead: u64, event: MoveEvent) -> Vec<MoveEffect> {
        let now = self.local_time(host) + ms(ahead);
        let fake = &mut self.hosts[host];
        let mut context = MoveContext {
            now,
            rng: &mut fake.rng,
        };
        let mut out = Vec::new();
        reduce(&mut fake.state, &mut context, event, &mut out);
        out
    }

    /// Returns the number of adapter loads or of model loads in progress.
    pub fn loading(&self, adapters: bool) -> usize {
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let loading = copies.filter(|(_, (_, state))| *state == CopyState::Loading);
        let kinds = loading.filter_map(|(name, _)| self.fleet.items.get(name));
        kinds
            .filter(|item| (item.kind != ItemKind::Model) == adapters)
            .count()
    }

    /// Returns a host that may order moves.
    pub fn holder(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|host| {
            let now = self.local_time(*host);
            self.hosts[*host].state.active_lease(now).is_some()
        })
    }

    /// Returns the loads that exceeded the memory of their engine.
    pub fn overcommitted(&self) -> u64 {
        self.engines.iter().map(|engine| engine.overcommitted).sum()
    }

    /// Returns whether an engine has a resident copy.
    pub fn resident(&self, engine: usize, name: &str) -> bool {
        let copy = self.engines[engine].copies.get(name);
        copy.is_some_and(|(_, state)| *state == CopyState::Resident)
    }

    /// Queues a message.
    fn push(&mut self, delay: u64, message: Message) {
        self.message_count += 1;
        self.queue
            .insert((self.now + delay, self.message_count), message);
    }

    /// Returns the time by a host's clock.
    fn local_time(&self, host: usize) -> ClockTime {
        let host = &self.hosts[host];
        ms(host.clock_offset + (self.now as f64 * host.clock_rate) as u64)
    }

    /// Returns whether a fault happens now.
    fn draw_fault(&mut self) -> bool {
        let fault_rate = self.faults.rate;
        self.rng.random_bool(fault_rate)
    }

    /// Delivers one message.
    fn deliver(&mut self, message: Message) {
        self.counts.steps += 1;
        match message {
            Message::Tick(host) => {
                let wait = self.hosts[host].paused_until.saturating_sub(self.now);
                if wait == 0 {
                    self.reduce_event(host, MoveEvent::Tick);
                }
                self.push(wait.max(200), Message::Tick(host));
            }
            Message::ToHost(host, event) => {
                let wait = self.hosts[host].paused_until.saturating_sub(self.now);
                if wait == 0 {
                    self.reduce_event(host, event);
                } else {
                    self.push(wait, Message::ToHost(host, event));
                }
            }
            Message::ToTable(host, call, request) => self.call_table(host, call, &request),
            Message::Order(host, engine, incarnation, order) => {
                if incarnation == 0 || incarnation == self.engines[engine].incarnation {
                    self.deliver_order(host, engine, &order);
                }
            }
            Message::Fence(host, engine, fencing) => {
                let target = &mut self.engines[engine];
                if target.raise(fencing) && self.isolated_engine != Some(engine) {
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

    /// Reduces an event at a host, checks for a second holder, and performs the effects.
    fn reduce_event(&mut self, host: usize, event: MoveEvent) {
        let now = self.local_time(host);
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
                    .active_lease(self.local_time(*host))
                    .is_some()
            })
            .count();
        self.counts.two_holders += u64::from(holders > 1);
        for effect in out {
            self.perform_effect(host, effect);
        }
    }

    /// Performs an effect of a host.
    fn perform_effect(&mut self, host: usize, effect: MoveEffect) {
        // The process can be paused between the shell's last reading of the clock and the write to
        // the socket.
        if self.draw_fault() && self.rng.random_bool(0.1) {
            let pause = self.rng.random_range(0..30_000);
            self.pause(host, pause);
        }
        let paused = self.hosts[host].paused_until.saturating_sub(self.now);
        match effect {
            MoveEffect::CallTable { call, request } => {
                let extra_delay = if self.draw_fault() {
                    self.rng.random_range(0..4_000)
                } else {
                    0
                };
                let delay = paused + extra_delay + self.rng.random_range(1..20);
                self.push(delay, Message::ToTable(host, call, request));
            }
            MoveEffect::SendOrder { target, order, .. } => self.send(host, &target, &order, paused),
            MoveEffect::RaiseFencing {
                target, fencing, ..
            } => {
                if !self.draw_fault() {
                    let engine = self.engine_index(&target);
                    self.push(paused + 5, Message::Fence(host, engine, fencing));
                }
            }
            MoveEffect::Log(MoveLog::LeaseAcquired { .. }) => self.counts.takeovers += 1,
            MoveEffect::Log(MoveLog::LoadBlocked { .. }) => self.counts.blocked += 1,
            MoveEffect::Log(_) => {}
        }
    }

    /// Returns the index of a target's engine.
    fn engine_index(&self, target: &TargetName) -> usize {
        let names: Vec<_> = self.fleet.targets.keys().collect();
        names
            .binary_search(&target)
            .expect("the target of an effect should be declared")
    }

    /// Sends an order to an engine, with losses, delays and repetitions.
    fn send(&mut self, host: usize, target: &TargetName, order: &EngineOrder, paused: u64) {
        self.counts.orders += 1;
        let engine = self.engine_index(target);
        let checks_fencing = self.engines[engine].checks_fencing;
        if self.draw_fault() || self.isolated_engine == Some(engine) {
            self.counts.lost += 1;
            return;
        }
        let mut delay = paused + self.rng.random_range(1..10);
        if self.draw_fault() {
            delay += self.rng.random_range(0..self.faults.max_order_delay_ms);
        }
        // The maximum order delay is guaranteed for engines that ignore fencing numbers.
        if !checks_fencing {
            delay = delay.min(self.faults.max_order_delay_ms - 1);
        }
        self.counts.late += u64::from(delay > 1_000);
        self.counts.after_lapse += u64::from(paused > 10_000);
        self.push(delay, Message::Order(host, engine, 0, order.clone()));
        if self.draw_fault() {
            // A repetition by the network cannot outlive the connection, and thus the engine's
            // process.
            self.counts.duplicated += 1;
            let repeat_delay = delay + self.rng.random_range(0..self.faults.max_order_delay_ms);
            let incarnation = self.engines[engine].incarnation;
            self.push(
                repeat_delay,
                Message::Order(host, engine, incarnation, order.clone()),
            );
        }
    }

    /// Performs a table call and queues the answer.
    fn call_table(&mut self, host: usize, call: u64, request: &TableCall) {
        let mut answer = if self.outage {
            TableAnswer::Failed
        } else {
            self.table.perform(request)
        };
        if self.draw_fault() {
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

    /// Gives an order to its engine and queues the answer.
    fn deliver_order(&mut self, host: usize, engine: usize, order: &EngineOrder) {
        let refuse = self.draw_fault() && self.rng.random_bool(0.3);
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
                    self.check_last_copy(engine, &order.name);
                }
                OrderAnswer::Accepted
            }
        };
        let answer = if self.draw_fault() {
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

    /// Counts the unload of a last copy unless it is allowed.
    fn check_last_copy(&mut self, engine: usize, name: &Arc<str>) {
        let other =
            (0..self.engines.len()).any(|other| other != engine && self.resident(other, name));
        // An unload that an earlier plan allowed can still arrive after a pause and a delay.
        let dropped_from_on_demand = self.last_on_demand.get(name);
        let is_allowed = !self.fleet.items.contains_key(name)
            || self.plan.on_demand.contains(name)
            || self.now < self.restart_grace_until
            || dropped_from_on_demand.is_some_and(|dropped| self.now < dropped + 60_000);
        self.counts.last_dropped += u64::from(!other && !is_allowed);
    }

    /// Sends a load report of an engine to every host.
    fn report(&mut self, engine: usize) {
        let (report, finished) = self.engines[engine].report();
        for host in 0..self.hosts.len() {
            let delay = self.rng.random_range(5..400);
            let mut report = report.clone();
            report.age = ms(delay + 4);
            let event = MoveEvent::ReportReceived {
                report: Arc::new(report),
                finished: finished.clone(),
            };
            if !self.draw_fault()
                && (self.isolated_engine_reports || self.isolated_engine != Some(engine))
            {
                self.push(delay, Message::ToHost(host, event));
            }
        }
        self.push(500, Message::Reports(engine));
    }
}
