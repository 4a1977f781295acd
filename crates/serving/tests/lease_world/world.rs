//! Hosts with the real decisions, their messages, their calls to the store, and faults.

use crate::common::ms;
use crate::store::{HostRow, Store, StoreAnswer, StoreCall};
use crocusyard_base::prelude::*;
use crocusyard_base::random::{seeded_rng, SeededRng};
use crocusyard_serving::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Shortest time between the orders of two holders.
const LEASE_TIME: ClockTime = ClockTime::from_ms(3_000);
/// Length of one step of the world.
const STEP: ClockTime = ClockTime::from_ms(25);
/// Largest number of hosts.
const MAX_HOSTS: usize = 5;
/// Port of the first host.
const FIRST_PORT: u16 = 7_000;
/// Time after which a call to the store counts as unanswered.
const CALL_TIMEOUT: ClockTime = ClockTime::from_ms(800);
/// Time from the stop signal to the end of a process.
const STOP_TIME: ClockTime = ClockTime::from_ms(6_000);
/// Interval at which the holder asks for confirmations while the store confirms it late.
const REQUEST_INTERVAL: ClockTime = ClockTime::from_ms(250);
const DECISION_INTERVAL: ClockTime = ClockTime::from_ms(100);
const HOSTS_READ_INTERVAL: ClockTime = ClockTime::from_secs(15);
const HOLDER_READ_INTERVAL: ClockTime = ClockTime::from_secs(3);

/// A call that is in progress.
#[derive(Debug)]
pub struct PendingCall {
    pub process: u64,
    pub call: StoreCall,
    pub sent: ClockTime,
    /// When the store carries the call out, unless it has or never does.
    pub performed_at: Option<ClockTime>,
    /// When the host learns the result.
    pub answered_at: Option<ClockTime>,
    pub answer: StoreAnswer,
}

/// A running process of a host.
pub struct Process {
    pub id: u64,
    pub lease: LeaseState,
    pub hosts: HostTable,
    pub own_row: OwnRow,
    pub is_removed: bool,
    pub stops_at: Option<ClockTime>,
    pub frozen_until: ClockTime,
    pub next_heartbeat: ClockTime,
    pub hosts_read_at: Option<ClockTime>,
    /// Messages that have arrived, handled when the process is not frozen.
    pub inbox: Vec<Message>,
}

#[derive(Clone, Debug)]
pub enum Message {
    Heartbeat {
        record: HostRecord,
        leaving: bool,
        report: Option<LeaseReport>,
    },
    /// Request of the holder for a confirmation, or the answer to it.
    Lease { host: HostName, report: LeaseReport },
}

impl Process {
    /// Applies the own row in the store; returns whether this process has written it.
    pub fn learn_row(&mut self, row: Option<&HostRow>) -> bool {
        let found = row.map(|(row, version)| FoundRow {
            version: *version,
            process: row.process,
            since: row.since,
        });
        let is_own = self.own_row.learn(found);
        self.record_listed();
        is_own
    }

    pub fn record_listed(&mut self) {
        if let Some(since) = self.own_row.listed_since() {
            self.lease.record_listed(since);
        }
    }

    /// Receives the stop signal.
    pub fn stop(&mut self, now: ClockTime) {
        self.stops_at = Some(now + STOP_TIME);
        self.hosts.leave();
        self.lease.begin_release();
    }
}

/// A message on its way.
pub struct Delivery {
    pub at: ClockTime,
    pub receiver: usize,
    pub message: Message,
}

pub struct World {
    pub now: ClockTime,
    pub rng: SeededRng,
    pub store: Store,
    pub processes: BTreeMap<usize, Process>,
    pub calls: Vec<PendingCall>,
    pub deliveries: Vec<Delivery>,
    /// Ends of the times in which hosts cannot reach the store, and others in one direction.
    pub store_cuts: BTreeMap<usize, ClockTime>,
    pub link_cuts: BTreeMap<(usize, usize), ClockTime>,
    /// End of the time in which answers of the store are lost.
    pub answers_lost_until: ClockTime,
    /// Hosts whose own rows are written without an answer.
    pub unconfirmed: BTreeSet<usize>,
    /// Hosts whose releases of the lease are written without an answer.
    pub unreleased: BTreeSet<usize>,
    /// When hosts that are off start again.
    pub starts: BTreeMap<usize, ClockTime>,
    pub known: usize,
    pub next_process: u64,
    pub last_order: Option<(usize, u64, ClockTime)>,
    pub faults: Vec<String>,
    pub order_count: u64,
    pub events: u64,
}

pub fn record(index: usize) -> HostRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16));
    HostRecord {
        name: HostName::new(&format!("h{index}")),
        domain: DomainName::new("d"),
        entry: address,
        peer: address,
        millicores: 250,
    }
}

impl World {
    /// Creates a world of a few hosts, up to three.
    pub fn new(seed: u64) -> Self {
        let mut world = Self::empty(seed);
        let count = world.rng.random_range(1..=3);
        world.add_hosts(count);
        world
    }

    pub fn empty(seed: u64) -> Self {
        Self {
            now: ms(10_000),
            rng: seeded_rng(seed),
            store: Store::default(),
            processes: BTreeMap::new(),
            calls: Vec::new(),
            deliveries: Vec::new(),
            store_cuts: BTreeMap::new(),
            link_cuts: BTreeMap::new(),
            answers_lost_until: ClockTime::ZERO,
            unconfirmed: BTreeSet::new(),
            unreleased: BTreeSet::new(),
            starts: BTreeMap::new(),
            known: 0,
            next_process: 1,
            last_order: None,
            faults: Vec::new(),
            order_count: 0,
            events: 0,
        }
    }

    pub fn add_hosts(&mut self, count: usize) {
        for _ in 0..count {
            self.add_host();
        }
    }

    pub fn add_host(&mut self) {
        let index = self.known;
        self.known += 1;
        self.start(index);
    }

    pub fn start(&mut self, index: usize) {
        let id = self.next_process;
        self.next_process += 1;
        let owner = LeaseOwner {
            host: record(index).name,
            process: id,
        };
        let process = Process {
            id,
            lease: LeaseState::new(owner, LEASE_TIME, self.now),
            hosts: HostTable::new(record(index)),
            own_row: OwnRow::new(id),
            is_removed: false,
            stops_at: None,
            frozen_until: ClockTime::ZERO,
            next_heartbeat: self.now,
            hosts_read_at: None,
            inbox: Vec::new(),
        };
        self.processes.insert(index, process);
        self.write_own(index);
    }

    /// Draws a time between 0 and `limit`.
    pub fn draw(&mut self, limit: u64) -> ClockTime {
        ms(self.rng.random_range(0..=limit))
    }

    pub fn is_cut(cuts: &BTreeMap<usize, ClockTime>, index: usize, now: ClockTime) -> bool {
        cuts.get(&index).is_some_and(|until| now < *until)
    }

    /// Sends a call to the store and draws what becomes of it.
    pub fn send(&mut self, index: usize, call: StoreCall) {
        let process = self.processes[&index].id;
        let sent = self.now;
        let lost = if self.now < self.answers_lost_until {
            0.5
        } else {
            0.02
        };
        let soon = self.now + self.draw(60);
        let is_unanswered = match &call {
            StoreCall::WriteOwn { .. } => self.unconfirmed.contains(&index),
            StoreCall::Release { .. } => self.unreleased.contains(&index),
            _ => false,
        };
        let (performed_at, answered_at) = if is_unanswered {
            (Some(soon), sent + CALL_TIMEOUT)
        } else if Self::is_cut(&self.store_cuts, index, self.now) {
            (None, sent + CALL_TIMEOUT)
        } else if self.rng.random_bool(lost) {
            let performed_at = match self.rng.random_range(0..3) {
                0 => None,
                1 => Some(soon),
                _ => Some(sent + self.draw(4_000)),
            };
            (performed_at, sent + CALL_TIMEOUT)
        } else {
            (Some(soon), soon + self.draw(200))
        };
        self.calls.push(PendingCall {
            process,
            call,
            sent,
            performed_at,
            answered_at: Some(answered_at),
            answer: StoreAnswer::Failed,
        });
    }

    /// Returns whether a process waits for the answer to a call that `selects` selects.
    pub fn awaits(&self, process: u64, selects: impl Fn(&StoreCall) -> bool) -> bool {
        let mut calls = self.calls.iter();
        calls.any(|call| {
            call.process == process && call.answered_at.is_some() && selects(&call.call)
        })
    }

    pub fn write_own(&mut self, index: usize) {
        let process = &self.processes[&index];
        let (row, expected) = process.own_row.next_write(record(index));
        self.send(index, StoreCall::WriteOwn { row, expected });
    }

    /// Carries out the calls that are due and hands their results to the hosts.
    pub fn run_calls(&mut self) {
        let now = self.now;
        let calls = std::mem::take(&mut self.calls);
        let mut left = Vec::new();
        for mut call in calls {
            if call.performed_at.is_some_and(|at| at <= now) {
                call.performed_at = None;
                let answer = self.store.perform(&call.call);
                let in_time = call
                    .answered_at
                    .is_some_and(|at| at < call.sent + CALL_TIMEOUT);
                if in_time {
                    call.answer = answer;
                }
                self.events += 1;
            }
            let frozen = self
                .processes
                .values()
                .any(|process| process.id == call.process && process.frozen_until > now);
            if call.answered_at.is_some_and(|at| at <= now) && !frozen {
                call.answered_at = None;
                self.events += 1;
                self.receive_answer(&call);
            }
            if call.performed_at.is_some() || call.answered_at.is_some() {
                left.push(call);
            }
        }
        self.calls.extend(left);
    }

    pub fn receive_answer(&mut self, call: &PendingCall) {
        let now = self.now;
        let process = self
            .processes
            .values_mut()
            .find(|process| process.id == call.process);
        let Some(process) = process else {
            return;
        };
        let others = process.hosts.other_names();
        let lease = &mut process.lease;
        match (&call.call, &call.answer) {
            (StoreCall::ReadLease, StoreAnswer::Lease(row)) => lease.receive_row(row.clone(), now),
            (StoreCall::ReadLease, _) => lease.read_failed(),
            (StoreCall::WriteLease { .. }, StoreAnswer::Written(version)) => {
                lease.write_succeeded(*version, call.sent, now);
            }
            (StoreCall::Release { .. }, StoreAnswer::Written(version)) => {
                lease.release(*version, now);
            }
            (_, StoreAnswer::LeaseConflict(row)) => lease.receive_row(row.clone(), now),
            (StoreCall::WriteLease { .. }, _) => lease.write_failed(&others, now),
            (StoreCall::ReadHosts, StoreAnswer::Hosts(rows, version)) => {
                let names: BTreeSet<&HostName> =
                    rows.iter().map(|row| &row.0.record.name).collect();
                let removed = others.iter().filter(|name| !names.contains(name));
                for row in rows {
                    process.hosts.upsert(row.0.record.clone(), now);
                }
                for name in removed {
                    process.hosts.remove(name);
                }
                lease.record_hosts_read(*version);
                let own = rows.iter().find(|row| row.0.record == *process.hosts.own());
                if !process.own_row.is_written() {
                    process.learn_row(own);
                }
            }
            (StoreCall::WriteOwn { row, .. }, StoreAnswer::Written(version)) => {
                process.own_row.write_succeeded(row, *version);
                process.record_listed();
                process.hosts_read_at = None;
            }
            (StoreCall::WriteOwn { .. }, StoreAnswer::OwnConflict(row)) => {
                process.learn_row(row.as_ref());
                process.hosts_read_at = None;
            }
            (StoreCall::ReadHosts | StoreCall::WriteOwn { .. }, _) => process.hosts_read_at = None,
            (StoreCall::RemoveOwn { .. }, StoreAnswer::Written(_)) => process.is_removed = true,
            (StoreCall::RemoveOwn { .. }, StoreAnswer::OwnConflict(row)) => {
                process.is_removed = !process.learn_row(row.as_ref());
            }
            _ => {}
        }
    }

    /// Delivers messages and lets each process that is not frozen decide.
    pub fn run_processes(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery: &Delivery| delivery.at <= now);
        self.deliveries = left;
        for delivery in due {
            if let Some(process) = self.processes.get_mut(&delivery.receiver) {
                process.inbox.push(delivery.message);
            }
        }
        let indices: Vec<usize> = self.processes.keys().copied().collect();
        for index in indices {
            let process = &self.processes[&index];
            if process.stops_at.is_some_and(|at| at <= now) {
                self.processes.remove(&index);
                let pause = self.draw(2_000);
                self.starts.insert(index, now + pause);
            } else if process.frozen_until <= now {
                self.run_process(index);
            }
        }
    }

    pub fn run_process(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        let (id, is_stopping) = (process.id, process.stops_at.is_some());
        let mut holders = Vec::new();
        for message in std::mem::take(&mut process.inbox) {
            self.events += 1;
            match message {
                Message::Heartbeat {
                    record,
                    leaving,
                    report,
                } => {
                    process.hosts.receive_heartbeat(&record, leaving, now);
                    if let Some(report) = report {
                        process.lease.receive_report(&record.name, &report, now);
                    }
                }
                Message::Lease { host, report } => {
                    process.lease.receive_report(&host, &report, now);
                    if matches!(report, LeaseReport::Holds { .. }) {
                        holders.extend(process.hosts.peer_address(&host));
                    }
                }
            }
        }
        let is_due = process.next_heartbeat <= now;
        self.acknowledge(index, &holders);
        if is_due {
            self.send_heartbeats(index);
        }
        if now.as_ms() % REQUEST_INTERVAL.as_ms() == 0 {
            self.request_confirmations(index);
        }
        if now.as_ms() % DECISION_INTERVAL.as_ms() != 0 {
            return;
        }
        self.give_orders(index);
        self.read_hosts(index);
        let process = &self.processes[&index];
        let is_unwritten = !process.own_row.is_written();
        if is_unwritten
            && !is_stopping
            && !self.awaits(id, |call| matches!(call, StoreCall::WriteOwn { .. }))
        {
            self.write_own(index);
        }
        if is_stopping {
            self.stop_step(index);
        } else {
            self.lease_step(index);
        }
    }

    pub fn send_heartbeats(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&index) else {
            return;
        };
        process.next_heartbeat = now + process.hosts.heartbeat_interval();
        let message = Message::Heartbeat {
            record: record(index),
            leaving: process.stops_at.is_some(),
            report: process.lease.report(&process.hosts.other_names(), now),
        };
        let receivers = process.hosts.peer_addresses();
        self.send_all(index, &receivers, &message);
    }

    /// Answers the holders that ask for a confirmation.
    pub fn acknowledge(&mut self, index: usize, holders: &[SocketAddr]) {
        if holders.is_empty() {
            return;
        }
        let lease = &self.processes[&index].lease;
        if let Some(report @ LeaseReport::Acknowledged { .. }) = lease.report(&[], self.now) {
            let host = record(index).name;
            self.send_all(index, holders, &Message::Lease { host, report });
        }
    }

    pub fn request_confirmations(&mut self, index: usize) {
        let process = &self.processes[&index];
        let others = process.hosts.other_names();
        if let Some(report) = process.lease.confirmation_request(&others, self.now) {
            let receivers = process.hosts.peer_addresses();
            let host = record(index).name;
            self.send_all(index, &receivers, &Message::Lease { host, report });
        }
    }

    pub fn send_all(&mut self, index: usize, receivers: &[SocketAddr], message: &Message) {
        let now = self.now;
        for address in receivers {
            let receiver = usize::from(address.port() - FIRST_PORT);
            let until = self.link_cuts.get(&(index, receiver));
            if until.is_some_and(|until| now < *until) {
                continue;
            }
            let at = now + ms(1 + self.rng.random_range(0..30));
            let message = message.clone();
            self.deliveries.push(Delivery {
                at,
                receiver,
                message,
            });
        }
    }

    pub fn give_orders(&mut self, index: usize) {
        let now = self.now;
        let process = &self.processes[&index];
        let others = process.hosts.other_names();
        let Some(FencingNumber(fence)) = process.lease.order_fence(&others, now) else {
            return;
        };
        self.order_count += 1;
        if let Some((former, last_fence, at)) = self.last_order {
            assert!(
                fence >= last_fence,
                "h{index} orders with {fence} after h{former} with {last_fence} at {at}; now {now}; {}",
                self.faults.join(", ")
            );
            let gap = now.since(at);
            assert!(
                former == index || gap >= LEASE_TIME,
                "h{index} orders {gap} after h{former}; now {now}; {}",
                self.faults.join(", ")
            );
        }
        self.last_order = Some((index, fence, now));
    }

    pub fn read_hosts(&mut self, index: usize) {
        let now = self.now;
        let process = &self.processes[&index];
        let interval = if process.lease.is_holder() {
            HOLDER_READ_INTERVAL
        } else {
            HOSTS_READ_INTERVAL
        };
        let is_due = process
            .hosts_read_at
            .is_none_or(|at| now.since(at) >= interval);
        if is_due && !self.awaits(process.id, |call| matches!(call, StoreCall::ReadHosts)) {
            self.send(index, StoreCall::ReadHosts);
            if let Some(process) = self.processes.get_mut(&index) {
                process.hosts_read_at = Some(now);
            }
        }
    }

    pub fn lease_step(&mut self, index: usize) {
        let now = self.now;
        let id = self.processes[&index].id;
        let awaits = self.awaits(id, |call| {
            matches!(call, StoreCall::ReadLease | StoreCall::WriteLease { .. })
        });
        let Some(process) = self.processes.get_mut(&index).filter(|_| !awaits) else {
            return;
        };
        match process.lease.step(now) {
            LeaseStep::Wait => {}
            LeaseStep::Read => self.send(index, StoreCall::ReadLease),
            LeaseStep::Write { expected } => {
                let row = process.lease.own_row(false);
                self.send(index, StoreCall::WriteLease { row, expected });
            }
        }
    }

    pub fn stop_step(&mut self, index: usize) {
        let process = &self.processes[&index];
        let id = process.id;
        let (expected, row) = (
            process.lease.release_expected(),
            process.lease.own_row(true),
        );
        let remove = (!process.is_removed).then(|| process.own_row.removal_expected());
        if let Some(expected) = expected {
            if !self.awaits(id, |call| matches!(call, StoreCall::Release { .. })) {
                self.send(index, StoreCall::Release { row, expected });
            }
        }
        if let Some(expected) = remove {
            if !self.awaits(id, |call| matches!(call, StoreCall::RemoveOwn { .. })) {
                let name = record(index).name.as_str().to_owned();
                self.send(index, StoreCall::RemoveOwn { name, expected });
            }
        }
    }

    /// Injects a fault, drawn at random.
    pub fn inject(&mut self) {
        let now = self.now;
        let index = self.rng.random_range(0..self.known);
        let other = self.rng.random_range(0..self.known);
        let length = ms(1_000) + self.draw(9_000);
        let fault = self.rng.random_range(0..8);
        let mut log = |text: String| self.faults.push(format!("{now} {text}"));
        match fault {
            0 => {
                log(format!("answers lost for {length}"));
                self.answers_lost_until = now + length;
            }
            1 => {
                log(format!("h{index} without the store for {length}"));
                self.store_cuts.insert(index, now + length);
            }
            2 if index != other => {
                log(format!("h{index} to h{other} cut for {length}"));
                self.link_cuts.insert((index, other), now + length);
            }
            3 => {
                log(format!("h{index} cut off from all for {length}"));
                for other in 0..MAX_HOSTS {
                    self.link_cuts.insert((index, other), now + length);
                    self.link_cuts.insert((other, index), now + length);
                }
            }
            4 if self.known < MAX_HOSTS => {
                log(format!("h{} added", self.known));
                self.add_host();
            }
            5 => {
                let process = self.processes.get_mut(&index);
                let process = process.filter(|process| process.stops_at.is_none());
                if let Some(process) = process {
                    log(format!("h{index} stopped"));
                    process.stop(now);
                }
            }
            6 if self.processes.remove(&index).is_some() => {
                log(format!("h{index} killed"));
                let pause = self.draw(3_000);
                self.starts.insert(index, now + pause);
            }
            7 => {
                if let Some(process) = self.processes.get_mut(&index) {
                    log(format!("h{index} frozen for {length}"));
                    process.frozen_until = now + length;
                }
            }
            _ => {}
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let due: Vec<usize> = self
            .starts
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(index, _)| *index)
            .collect();
        for index in due {
            self.starts.remove(&index);
            self.start(index);
        }
        self.run_calls();
        self.run_processes();
    }
}
