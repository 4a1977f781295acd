//! In-memory network that runs the real membership reducers and exchanges sealed packets.
//!
//! The network loses, duplicates and reorders packets. Hosts can be cut off, frozen, crashed and
//! restarted. The clock of every host starts at a different time.

// The test files and the experiment each use only some of these items.
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

/// Size, faults and membership settings of the network.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    pub hosts: usize,
    pub domains: usize,
    pub regions: usize,
    /// Probability that a packet is lost.
    pub loss: f64,
    /// Probability that a packet is duplicated.
    pub duplicate: f64,
    pub layout: DisseminationLayout,
    pub max_record_age: ClockTime,
    /// Bytes a second that a host may send on average, including IP and UDP headers.
    pub budget_rate: u64,
    /// Packets that the socket buffer of a frozen host holds; further ones are lost.
    pub socket_buffer: usize,
    /// Whether a host puts a newer preset of a peer in force at once, without fetching its body.
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

/// Host with a membership reducer and a socket buffer.
pub struct FakeHost {
    pub name: HostName,
    pub domain: usize,
    pub region: usize,
    pub state: MembershipState,
    pub running: bool,
    pub frozen_until: ClockTime,
    /// Bytes sent in each second of the run, including IP and UDP headers.
    pub sent_bytes: Vec<u64>,
    /// Bytes received since the start, including IP and UDP headers.
    pub received_bytes: u64,
    /// Real time that the reducer and the sealing and opening of packets took.
    pub cpu_time: Duration,
    rng: SeededRng,
    replays: ReplayTable,
    /// Difference of the host's clock from the network's.
    clock_offset: ClockTime,
    /// Number of restarts; ticks that were scheduled by an earlier process are ignored.
    generation: u32,
    /// Socket buffer, which fills while the host is frozen.
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
}

/// Scheduled input of a host.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    /// Index of the host, and the generation that scheduled the tick.
    Tick(usize, u32),
    /// Index of the recipient, address of the sender, and the sealed packet.
    Packet(usize, SocketAddr, Vec<u8>),
}

/// Hosts, the network between them and a virtual clock.
pub struct FakeNetwork {
    pub spec: NetworkSpec,
    pub now: ClockTime,
    pub rng: SeededRng,
    pub hosts: Vec<FakeHost>,
    /// Pairs of failure domains between which all packets are lost, in both directions.
    pub cuts: Vec<(usize, usize)>,
    /// Effects other than packets, loads and demand, each with its time and the index of its host.
    pub effects: Vec<(ClockTime, usize, MembershipEffect)>,
    /// Number of events that hosts handled.
    pub events: u64,
    /// Number of packets that could not be opened.
    pub rejected: u64,
    /// Deliveries by time; those of the same time in the order in which they were scheduled.
    schedule: BinaryHeap<Reverse<(ClockTime, u64, Delivery)>>,
    scheduled: u64,
}

impl FakeNetwork {
    /// Creates a network whose hosts have all received the host list.
    pub fn new(spec: NetworkSpec, seed: u64) -> Self {
        let mut network = Self {
            now: ClockTime::from_secs(1),
            rng: seeded_rng(seed),
            hosts: Vec::new(),
            cuts: Vec::new(),
            effects: Vec::new(),
            events: 0,
            rejected: 0,
            schedule: BinaryHeap::new(),
            scheduled: 0,
            spec,
        };
        for index in 0..network.spec.hosts {
            let host = network.new_host(index);
            network.hosts.push(host);
            network.schedule_tick(index);
        }
        for index in 0..network.spec.hosts {
            network.send_host_list(index);
        }
        network
    }

    fn new_host(&mut self, index: usize) -> FakeHost {
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
            cpu_time: Duration::ZERO,
            rng: seeded_rng(self.rng.random()),
            replays: ReplayTable::default(),
            clock_offset: ClockTime::from_ms(self.rng.random_range(0..10_000_000)),
            generation: 0,
            inbox: VecDeque::new(),
        }
    }

    /// Passes the list of all hosts to a host.
    pub fn send_host_list(&mut self, index: usize) {
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
        self.handle(index, MembershipEvent::HostList { hosts });
    }

    /// Stops a host's process until it is restarted.
    pub fn crash(&mut self, index: usize) {
        self.hosts[index].running = false;
    }

    /// Starts a new process of a host, which receives the host list.
    pub fn restart(&mut self, index: usize) {
        let mut host = self.new_host(index);
        host.generation = self.hosts[index].generation + 1;
        host.sent_bytes = std::mem::take(&mut self.hosts[index].sent_bytes);
        self.hosts[index] = host;
        self.schedule_tick(index);
        self.send_host_list(index);
    }

    /// Suspends a host's process for a time span.
    pub fn freeze(&mut self, index: usize, span: ClockTime) {
        self.hosts[index].frozen_until = self.now + span;
    }

    /// Runs the network for a time span.
    pub fn run_for(&mut self, span: ClockTime) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.schedule.peek() {
            if *at > end {
                break;
            }
            if let Some(Reverse((at, _, delivery))) = self.schedule.pop() {
                self.now = at;
                self.deliver(delivery);
            }
        }
        self.now = end;
    }

    /// Passes an event to a host, sends the packets of its effects and records the other effects.
    pub fn handle(&mut self, index: usize, event: MembershipEvent) {
        self.events += 1;
        let host = &mut self.hosts[index];
        let now = self.now + host.clock_offset;
        let mut out = Vec::new();
        let started = Instant::now();
        reduce(&mut host.state, now, &mut host.rng, event, &mut out);
        let keys = keys();
        let mut packets = Vec::new();
        let mut newest_preset = None;
        for effect in out {
            match effect {
                MembershipEffect::Send {
                    recipient,
                    address,
                    packet,
                } => {
                    let bytes = seal(&keys, &recipient, &packet)
                        .expect("failed to seal a packet of the reducer");
                    packets.push((address, bytes));
                }
                MembershipEffect::PeerLoads { .. }
                | MembershipEffect::DomainLoads { .. }
                | MembershipEffect::DemandReceived { .. } => {}
                effect => {
                    if let MembershipEffect::PresetReceived { preset, .. } = &effect {
                        newest_preset = newest_preset.max(Some((preset.version, preset.digest)));
                    }
                    self.effects.push((self.now, index, effect));
                }
            }
        }
        host.cpu_time += started.elapsed();
        for (address, bytes) in packets {
            self.transmit(index, address, bytes);
        }
        let in_force = self.hosts[index]
            .state
            .preset
            .map_or(0, |preset| preset.version);
        let newer_preset =
            newest_preset.filter(|(version, _)| self.spec.follow_presets && *version > in_force);
        if let Some((version, digest)) = newer_preset {
            let report = PresetReport { version, digest };
            self.handle(index, MembershipEvent::PresetInForce(report));
        }
    }

    /// Sends a packet, which the network may lose, duplicate or delay.
    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let second = (self.now.as_ms() / 1000) as usize;
        let host = &mut self.hosts[from];
        host.sent_bytes
            .resize(host.sent_bytes.len().max(second + 1), 0);
        host.sent_bytes[second] += (bytes.len() + DATAGRAM_OVERHEAD) as u64;
        let index = usize::from(to.port() - FIRST_PORT);
        let copies = 1 + usize::from(self.rng.random_bool(self.spec.duplicate));
        for _ in 0..copies {
            if self.is_cut(from, index) || self.rng.random_bool(self.spec.loss) {
                continue;
            }
            let latency = self.latency_ms(from, index);
            let delay_ms = latency + self.rng.random_range(0..=latency);
            let delivery = Delivery::Packet(index, address(from), bytes.clone());
            self.schedule_delivery(ClockTime::from_ms(delay_ms), delivery);
        }
    }

    /// Returns the least time that a packet takes between two hosts, milliseconds.
    fn latency_ms(&self, from: usize, to: usize) -> u64 {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        match (from.domain == to.domain, from.region == to.region) {
            (true, _) => 1,
            (false, true) => 2,
            (false, false) => 40,
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
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
                    self.schedule_delivery(wait, Delivery::Tick(index, generation));
                    return;
                }
                // A host that was frozen reads its socket buffer before its late tick.
                while let Some((from, bytes)) = self.hosts[index].inbox.pop_front() {
                    self.open_packet(index, from, &bytes);
                }
                self.handle(index, MembershipEvent::Tick);
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
        let started = Instant::now();
        let opened = open(&keys(), &host.name, &mut host.replays, bytes);
        host.cpu_time += started.elapsed();
        match opened {
            Ok(packet) => self.handle(index, MembershipEvent::PacketReceived { from, packet }),
            Err(_) => self.rejected += 1,
        }
    }

    fn schedule_tick(&mut self, index: usize) {
        let generation = self.hosts[index].generation;
        // The ticks of different hosts drift apart, as real timers do.
        let wait = ClockTime::from_ms(245 + self.rng.random_range(0..=10));
        self.schedule_delivery(wait, Delivery::Tick(index, generation));
    }

    fn schedule_delivery(&mut self, wait: ClockTime, delivery: Delivery) {
        self.scheduled += 1;
        let entry = (self.now + wait, self.scheduled, delivery);
        self.schedule.push(Reverse(entry));
    }
}

/// Returns the liveness of `other` as `observer` knows it; `None` if `observer` does not know
/// `other`.
pub fn liveness(network: &FakeNetwork, observer: usize, other: usize) -> Option<LivenessState> {
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
