//! A table service, an object store and peers in memory around real preset reducers.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_presets::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Probabilities of faults, and outages.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultSpec {
    pub lost_answers: f64,
    pub failures: f64,
    pub table_down: bool,
    pub objects_down: bool,
    pub peers_cut: bool,
}

pub struct FakeHost {
    pub state: PresetState,
    pub results: Vec<(AcceptId, AcceptResult)>,
    pub bodies: HashMap<[u8; 32], Arc<[u8]>>,
    pub versions: Vec<u64>,
}

enum Pending {
    Event(usize, PresetEvent),
    Call(usize, u64, TableCall),
}

pub struct FakePlatform {
    pub now: ClockTime,
    pub rng: SeededRng,
    pub faults: FaultSpec,
    pub hosts: Vec<FakeHost>,
    pub rows: BTreeMap<Arc<str>, TableRow>,
    pub objects: HashMap<[u8; 32], Arc<[u8]>>,
    pub table_calls: u64,
    pub events: u64,
    pending: BTreeMap<(ClockTime, u64), Pending>,
    order: u64,
}

impl FakePlatform {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut platform = Self {
            now: ClockTime::from_secs(1),
            rng: seeded_rng(seed),
            faults: FaultSpec::default(),
            hosts: Vec::new(),
            rows: BTreeMap::new(),
            objects: HashMap::new(),
            table_calls: 0,
            events: 0,
            pending: BTreeMap::new(),
            order: 0,
        };
        for _ in 0..hosts {
            platform.hosts.push(new_host());
        }
        let peers = hosts as u32 - 1;
        for index in 0..hosts {
            let changed = PresetEvent::PeersChanged {
                domain_count: domains(hosts),
                peer_count: peers,
            };
            platform.give(index, changed);
        }
        platform
    }

    /// Starts a host's process anew, without any state.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = new_host();
        let hosts = self.hosts.len();
        let changed = PresetEvent::PeersChanged {
            domain_count: domains(hosts),
            peer_count: hosts as u32 - 1,
        };
        self.give(index, changed);
    }

    pub fn accept(&mut self, index: usize, accept: u64, base_version: Option<u64>) {
        let body: Arc<[u8]> = format!("body {accept}").into_bytes().into();
        let request = AcceptRequest {
            accept: AcceptId(accept),
            body,
            author: "operator".into(),
            at_ms: self.now.as_ms(),
            base_version,
        };
        self.give(index, PresetEvent::Accept(request));
    }

    /// Runs in steps of 50 ms.
    pub fn run(&mut self, span: ClockTime) {
        let end = self.now + span;
        while self.now < end {
            self.now += ClockTime::from_ms(50);
            let due = self.pending.split_off(&(self.now, 0));
            let due = std::mem::replace(&mut self.pending, due);
            for pending in due.into_values() {
                match pending {
                    Pending::Event(index, event) => self.give(index, event),
                    Pending::Call(index, call, request) => self.run_call(index, call, &request),
                }
            }
            if self.now.as_ms() % 250 == 0 {
                (0..self.hosts.len()).for_each(|index| self.give(index, PresetEvent::Tick));
                self.gossip();
            }
        }
    }

    /// Every host tells one random host its version.
    fn gossip(&mut self) {
        for from in 0..self.hosts.len() {
            let to = self.rng.random_range(0..self.hosts.len());
            if let (false, Some(preset)) = (self.faults.peers_cut, self.hosts[from].state.in_force)
            {
                let event = PresetEvent::PeerVersion {
                    host: host_name(from),
                    domain: DomainName::new(&format!("domain-{}", from % 3)),
                    preset,
                };
                self.schedule(2, Pending::Event(to, event));
            }
        }
    }

    pub fn give(&mut self, index: usize, event: PresetEvent) {
        self.events += 1;
        let mut out = Vec::new();
        let host = &mut self.hosts[index];
        reduce(&mut host.state, self.now, &mut self.rng, event, &mut out);
        for effect in out {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: PresetEffect) {
        match effect {
            PresetEffect::Table { call, request } => {
                self.table_calls += 1;
                // Some calls arrive long after their answer was given up.
                let late = self.rng.random_bool(self.faults.lost_answers / 2.0);
                let delay = self.rng.random_range(1..if late { 6000 } else { 40 });
                self.schedule(delay, Pending::Call(index, call, request));
            }
            PresetEffect::StoreBody { call, digest, body } => {
                let stored = !self.faults.objects_down && !self.fails();
                if stored {
                    self.objects.insert(digest, body);
                }
                self.schedule(
                    30,
                    Pending::Event(index, PresetEvent::BodyStored { call, stored }),
                );
            }
            PresetEffect::FetchBody {
                call,
                digest,
                source,
            } => {
                let body = match source {
                    BodySource::ObjectStore if self.faults.objects_down => None,
                    BodySource::ObjectStore => self.objects.get(&digest).cloned(),
                    BodySource::Peer(_) if self.faults.peers_cut => None,
                    BodySource::Peer(name) => {
                        let peer = (0..self.hosts.len()).find(|i| host_name(*i) == name);
                        peer.and_then(|peer| self.hosts[peer].bodies.get(&digest).cloned())
                    }
                };
                // A source may hand out a damaged body.
                let damaged: Arc<[u8]> = b"damaged".as_slice().into();
                let body = if self.fails() { Some(damaged) } else { body };
                self.schedule(
                    20,
                    Pending::Event(index, PresetEvent::BodyFetched { call, body }),
                );
            }
            PresetEffect::PutInForce { preset, body } => {
                let host = &mut self.hosts[index];
                assert_eq!(digest_of(&body), preset.digest);
                assert!(host
                    .versions
                    .last()
                    .is_none_or(|last| *last < preset.version));
                host.versions.push(preset.version);
                host.bodies.insert(preset.digest, body);
                let committed = self.rows.get(&history_key(preset.version));
                let row = committed
                    .and_then(PresetRow::parse)
                    .expect("only committed versions");
                assert_eq!(row.preset(), Some(preset), "one body per version");
            }
            PresetEffect::AcceptDone { accept, result } => {
                self.hosts[index].results.push((accept, result));
            }
            PresetEffect::Announce(_) | PresetEffect::UpToDateChanged { .. } => {}
        }
    }

    fn fails(&mut self) -> bool {
        let failures = self.faults.failures;
        self.rng.random_bool(failures)
    }

    fn run_call(&mut self, index: usize, call: u64, request: &TableCall) {
        let answer = if self.faults.table_down || self.fails() {
            TableAnswer::Failed
        } else {
            let answer = self.apply(request);
            let lost = self.rng.random_bool(self.faults.lost_answers);
            if lost {
                TableAnswer::Unknown
            } else {
                answer
            }
        };
        let answered = PresetEvent::TableAnswered { call, answer };
        self.schedule(5, Pending::Event(index, answered));
    }

    fn apply(&mut self, request: &TableCall) -> TableAnswer {
        let TableCall::Transact { changes } = request else {
            let TableCall::Get { key } = request else {
                return TableAnswer::Failed;
            };
            return TableAnswer::Row(self.rows.get(key).cloned());
        };
        let version = |key: &Arc<str>| self.rows.get(key).map_or(0, |row| row.version);
        let holds = |change: &RowChange| match change.expect {
            RowExpect::Absent => version(&change.key) == 0,
            RowExpect::Version(expected) => version(&change.key) == expected,
            RowExpect::Any => true,
        };
        if !changes.iter().all(holds) {
            let rows = changes
                .iter()
                .filter_map(|change| self.rows.get(&change.key));
            return TableAnswer::Conflict {
                rows: rows.cloned().collect(),
            };
        }
        let versions: Vec<u64> = changes.iter().map(|c| version(&c.key) + 1).collect();
        for (change, version) in changes.iter().zip(&versions) {
            let row = TableRow {
                key: change.key.clone(),
                version: *version,
                value: change.value.clone().expect("presets delete no rows"),
            };
            self.rows.insert(change.key.clone(), row);
        }
        TableAnswer::Committed { versions }
    }

    fn schedule(&mut self, delay_ms: u64, pending: Pending) {
        self.order += 1;
        let at = self.now + ClockTime::from_ms(delay_ms);
        self.pending.insert((at, self.order), pending);
    }

    /// Returns the committed version.
    pub fn committed(&self) -> Option<PresetVersion> {
        let row = self.rows.get(CURRENT_KEY)?;
        PresetRow::parse(row)?.preset()
    }
}

fn new_host() -> FakeHost {
    FakeHost {
        state: PresetState::new(PresetSettings::default()),
        results: Vec::new(),
        bodies: HashMap::new(),
        versions: Vec::new(),
    }
}

fn host_name(index: usize) -> HostName {
    HostName::new(&format!("entry-{index}"))
}

fn domains(hosts: usize) -> u32 {
    hosts.min(3) as u32
}
