//! A network in memory that runs real membership reducers with sealed packets.
//!
//! Packets are lost, duplicated and delayed by different times, hosts are cut off, frozen, crashed
//! and restarted. Every host has its own clock origin.

// Each test file and the experiment use a part of this module.
#![allow(dead_code)]

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_membership::prelude::*;
use crocusyard_wire::prelude::*;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const FIRST_PORT: u16 = 10_000;
const KEY: [u8; 32] = [9; 32];

/// Shape and faults of the network.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    pub hosts: usize,
    pub domains: usize,
    pub regions: usize,
    pub loss: f64,
    pub duplicate: f64,
    pub layout: DisseminationLayout,
    pub max_record_age: ClockTime,
    /// Bytes a second that a host may send on average.
    pub budget_rate: u64,
    /// Packets that a frozen host's socket buffer holds.
    pub socket_buffer: usize,
    /// Whether hosts put a peer's newer preset in force at once, without fetching a body.
    pub follow_presets: bool,
}

impl NetworkSpec {
    pub fn new(hosts: usize, domains: usize, regions: usize) -> Self {
        Self {
            hosts,
            domains,
            regions,
            loss: 0.01,
            duplicate: 0.01,
            layout: DisseminationLayout::Partitioned,
            max_record_age: ClockTime::from_secs(10),
            budget_rate: 10_500,
            socket_buffer: 200,
            follow_presets: true,
        }
    }
}

pub struct FakeHost {
    pub name: HostName,
    pub domain: usize,
    pub region: usize,
    pub state: MembershipState,
    pub running: bool,
    pub frozen_until: ClockTime,
    /// Bytes sent in each second, with IP and UDP headers.
    pub sent_bytes: Vec<u64>,
    pub received_bytes: u64,
    pub busy: Duration,
    rng: SeededRng,
    replays: ReplayTable,
    clock_offset: ClockTime,
    generation: u32,
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    Tick(usize, u32),
    Packet(usize, SocketAddr, Vec<u8>),
}

pub struct FakeNetwork {
    pub spec: NetworkSpec,
    pub now: ClockTime,
    pub rng: SeededRng,
    pub hosts: Vec<FakeHost>,
    /// Pairs of failure domains that cannot reach each other, in either order.
    pub cuts: Vec<(usize, usize)>,
    /// Effects other than packets and loads, with time and host.
    pub log: Vec<(ClockTime, usize, MembershipEffect)>,
    pub events: u64,
    pub refused: u64,
    queue: BinaryHeap<Reverse<(ClockTime, u64, Delivery)>>,
    order: u64,
}

impl FakeNetwork {
    /// Makes a network whose hosts all know the host list.
    pub fn new(spec: NetworkSpec, seed: u64) -> Self {
        let mut network = Self {
            now: ClockTime::from_secs(1),
            rng: seeded_rng(seed),
            hosts: Vec::new(),
            cuts: Vec::new(),
            log: Vec::new(),
            events: 0,
            refused: 0,
            queue: BinaryHeap::new(),
            order: 0,
            spec,
        };
        for index in 0..network.spec.hosts {
            let host = network.make_host(index);
            network.hosts.push(host);
            network.schedule_tick(index);
        }
        for index in 0..network.spec.hosts {
            network.send_list(index);
        }
        network
    }

    fn make_host(&mut self, index: usize) -> FakeHost {
        let domain = index % self.spec.domains;
        let region = domain % self.spec.regions;
        let name = HostName::new(&format!("entry-host-{index:03}"));
        let mut settings = MembershipSettings::new(
            name.clone(),
            address(index),
            DomainName::new(&format!("domain-{domain}")),
            RegionName::new(&format!("region-{region}")),
            1_700_000_000_000 + self.now.as_ms(),
        );
        settings.layout = self.spec.layout;
        settings.max_record_age = self.spec.max_record_age;
        settings.budget_rate = self.spec.budget_rate;
        FakeHost {
            name,
            domain,
            region,
            state: MembershipState::new(settings),
            running: true,
            frozen_until: ClockTime::ZERO,
            sent_bytes: Vec::new(),
            received_bytes: 0,
            busy: Duration::ZERO,
            rng: seeded_rng(self.rng.random()),
            replays: ReplayTable::default(),
            clock_offset: ClockTime::from_ms(self.rng.random_range(0..10_000_000)),
            generation: 0,
            inbox: VecDeque::new(),
        }
    }

    /// Gives a host the list of all hosts.
    pub fn send_list(&mut self, index: usize) {
        let hosts = self.hosts.iter().map(|host| {
            let settings = &host.state.settings;
            ListedHost {
                host: host.name.clone(),
                address: settings.address,
                caller_address: settings.caller_address,
                domain: settings.domain.clone(),
                region: settings.region.clone(),
                leaving: false,
            }
        });
        let hosts = hosts.collect();
        self.give(index, MembershipEvent::HostList { hosts });
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].running = false;
    }

    /// Starts the host's process anew, with the given number of seed hosts.
    pub fn restart(&mut self, index: usize) {
        let mut host = self.make_host(index);
        host.generation = self.hosts[index].generation + 1;
        host.sent_bytes = std::mem::take(&mut self.hosts[index].sent_bytes);
        self.hosts[index] = host;
        self.schedule_tick(index);
        self.send_list(index);
    }

    pub fn freeze(&mut self, index: usize, span: ClockTime) {
        self.hosts[index].frozen_until = self.now + span;
    }

    /// Runs until the given span has passed.
    pub fn run(&mut self, span: ClockTime) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            if let Some(Reverse((at, _, delivery))) = self.queue.pop() {
                self.now = at;
                self.deliver(delivery);
            }
        }
        self.now = end;
    }

    /// Gives a host an event.
    pub fn give(&mut self, index: usize, event: MembershipEvent) {
        self.events += 1;
        let host = &mut self.hosts[index];
        let now = self.now + host.clock_offset;
        let mut out = Vec::new();
        let begin = Instant::now();
        reduce(&mut host.state, now, &mut host.rng, event, &mut out);
        let keys = keys();
        let mut packets = Vec::new();
        let mut newer = None;
        for effect in out {
            match effect {
                MembershipEffect::Send {
                    recipient,
                    address,
                    packet,
                } => {
                    let bytes = seal(&keys, &recipient, &packet).expect("packet can be sealed");
                    packets.push((address, bytes));
                }
                MembershipEffect::PeerLoads { .. }
                | MembershipEffect::DomainLoads { .. }
                | MembershipEffect::DemandReceived { .. } => {}
                effect => {
                    if let MembershipEffect::PresetReceived { preset, .. } = &effect {
                        newer = newer.max(Some((preset.version, preset.digest)));
                    }
                    self.log.push((self.now, index, effect));
                }
            }
        }
        host.busy += begin.elapsed();
        for (address, bytes) in packets {
            self.transmit(index, address, bytes);
        }
        let known = self.hosts[index]
            .state
            .preset
            .map_or(0, |preset| preset.version);
        let newer = newer.filter(|(version, _)| self.spec.follow_presets && *version > known);
        if let Some((version, digest)) = newer {
            let notice = PresetNotice { version, digest };
            self.give(index, MembershipEvent::PresetInForce(notice));
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let second = (self.now.as_ms() / 1000) as usize;
        let host = &mut self.hosts[from];
        host.sent_bytes
            .resize(host.sent_bytes.len().max(second + 1), 0);
        host.sent_bytes[second] += (bytes.len() + DATAGRAM_OVERHEAD) as u64;
        let index = usize::from(to.port() - FIRST_PORT);
        let copies = 1 + usize::from(self.rng.random_bool(self.spec.duplicate));
        for _ in 0..copies {
            if self.cut_between(from, index) || self.rng.random_bool(self.spec.loss) {
                continue;
            }
            let base = self.latency(from, index);
            let delay = base + self.rng.random_range(0..=base);
            let delivery = Delivery::Packet(index, address(from), bytes.clone());
            self.schedule(ClockTime::from_ms(delay), delivery);
        }
    }

    fn latency(&self, from: usize, to: usize) -> u64 {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        match (from.domain == to.domain, from.region == to.region) {
            (true, _) => 1,
            (false, true) => 2,
            (false, false) => 40,
        }
    }

    fn cut_between(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.hosts[from].domain, self.hosts[to].domain);
        self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Tick(index, generation) => {
                let host = &mut self.hosts[index];
                if !host.running || host.generation != generation {
                    return;
                }
                if host.frozen_until > now {
                    let wait = host.frozen_until.since(now);
                    self.schedule(wait, Delivery::Tick(index, generation));
                    return;
                }
                // The socket buffer of a host that was frozen is read before its late tick.
                while let Some((from, bytes)) = self.hosts[index].inbox.pop_front() {
                    self.open_packet(index, from, &bytes);
                }
                self.give(index, MembershipEvent::Tick);
                self.schedule_tick(index);
            }
            Delivery::Packet(index, from, bytes) => {
                let host = &mut self.hosts[index];
                if !host.running {
                    return;
                }
                if host.frozen_until > now {
                    if host.inbox.len() < self.spec.socket_buffer {
                        host.inbox.push_back((from, bytes));
                    }
                    return;
                }
                self.open_packet(index, from, &bytes);
            }
        }
    }

    fn open_packet(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let host = &mut self.hosts[index];
        host.received_bytes += (bytes.len() + DATAGRAM_OVERHEAD) as u64;
        let begin = Instant::now();
        let opened = open(&keys(), &host.name, &mut host.replays, bytes);
        host.busy += begin.elapsed();
        match opened {
            Ok(packet) => self.give(index, MembershipEvent::PacketReceived { from, packet }),
            Err(_) => self.refused += 1,
        }
    }

    fn schedule_tick(&mut self, index: usize) {
        let generation = self.hosts[index].generation;
        // Ticks of different hosts drift apart, as timers do.
        let wait = ClockTime::from_ms(245 + self.rng.random_range(0..=10));
        self.schedule(wait, Delivery::Tick(index, generation));
    }

    fn schedule(&mut self, wait: ClockTime, delivery: Delivery) {
        self.order += 1;
        let entry = (self.now + wait, self.order, delivery);
        self.queue.push(Reverse(entry));
    }
}

/// Returns the state in which `observer` sees `other`.
pub fn seen(network: &FakeNetwork, observer: usize, other: usize) -> Option<LivenessState> {
    let id = NameId::of(network.hosts[other].name.as_str());
    let member = network.hosts[observer].state.members.get(&id);
    member.map(|member| member.state)
}

fn keys() -> KeyRing {
    KeyRing {
        current: KEY,
        previous: None,
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + index as u16))
}
