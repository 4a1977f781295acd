//! In-memory table service, object store and peers around the real preset reducers.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_presets::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Faults of the platform and of the connections between hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultSpec {
    /// Probability that an answer of the table service is lost.
    pub lost_answers: f64,
    /// Probability that a call fails.
    pub failures: f64,
    pub table_down: bool,
    pub objects_down: bool,
    pub peers_cut: bool,
}

/// Host with a preset reducer.
pub struct FakeHost {
    pub state: PresetState,
    /// Outcomes of the acceptances that were requested from this host.
    pub results: Vec<(AcceptId, AcceptResult)>,
    /// Bodies that the host serves to peers, by digest.
    pub bodies: HashMap<[u8; 32], Arc<[u8]>>,
    /// Versions that were in force, in order.
    pub versions: Vec<u64>,
}

/// Scheduled event of a host, or call of the table service.
enum Pending {
    /// Index of the host, and the event.
    Event(usize, PresetEvent),
    /// Index of the calling host, the call's number, and the call.
    Call(usize, u64, TableCall),
}

/// Platform services, hosts and a virtual clock.
pub struct FakePlatform {
    pub now: ClockTime,
    pub rng: SeededRng,
    pub faults: FaultSpec,
    pub hosts: Vec<FakeHost>,
    pub rows: BTreeMap<Arc<str>, TableRow>,
    pub objects: HashMap<[u8; 32], Arc<[u8]>>,
    /// Number of calls that hosts sent to the table service.
    pub table_calls: u64,
    /// Number of events that hosts handled.
    pub events: u64,
    /// Scheduled events and calls by time; those of the same time in the order of scheduling.
    pending: BTreeMap<(ClockTime, u64), Pending>,
    scheduled: u64,
}

impl FakePlatform {
    /// Creates a platform without rows or bodies, and hosts without presets.
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
            scheduled: 0,
        };
        for _ in 0..hosts {
            platform.hosts.push(new_host());
        }
        let peers = hosts as u32 - 1;
        for index in 0..hosts {
            let changed = PresetEvent::PeersChanged {
                domain_count: domain_count(hosts),
                peer_count: peers,
            };
            platform.handle(index, changed);
        }
        platform
    }

    /// Starts a new process of a host, which has lost all state.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = new_host();
        let hosts = self.hosts.len();
        let changed = PresetEvent::PeersChanged {
            domain_count: domain_count(hosts),
            peer_count: hosts as u32 - 1,
        };
        self.handle(index, changed);
    }

    /// Requests an acceptance on a host.
    pub fn accept(&mut self, index: usize, accept: u64, base_version: Option<u64>) {
        let body: Arc<[u8]> = format!("body {accept}").into_bytes().into();
        let request = AcceptRequest {
            accept: AcceptId(accept),
            body,
            author: "operator".into(),
            at_ms: self.now.as_ms(),
            base_version,
        };
        self.handle(index, PresetEvent::Accept(request));
    }

    /// Runs the platform for a time span in steps of 50 ms.
    pub fn run_for(&mut self, span: ClockTime) {
        let end = self.now + span;
        while self.now < end {
            self.now += ClockTime::from_ms(50);
            let later = self.pending.split_off(&(self.now, 0));
            let due = std::mem::replace(&mut self.pending, later);
            for pending in due.into_values() {
                match pending {
                    Pending::Event(index, event) => self.handle(index, event),
                    Pending::Call(index, call, request) => self.run_call(index, call, &request),
                }
            }
            if self.now.as_ms() % 250 == 0 {
                (0..self.hosts.len()).for_each(|index| self.handle(index, PresetEvent::Tick));
                self.gossip();
            }
        }
    }

    /// Sends the version in force on each host to one random host.
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

    /// Passes an event to a host and performs the effects.
    pub fn handle(&mut self, index: usize, event: PresetEvent) {
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
                // Some calls arrive long after the host has timed them out.
                let late = self.rng.random_bool(self.faults.lost_answers / 2.0);
                let delay_ms = self.rng.random_range(1..if late { 6000 } else { 40 });
                self.schedule(delay_ms, Pending::Call(index, call, request));
            }
            PresetEffect::StoreBody { call, digest, body } => {
                let stored = !self.faults.objects_down && !self.call_fails();
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
                // A source may return a damaged body.
                let damaged: Arc<[u8]> = b"damaged".as_slice().into();
                let body = if self.call_fails() {
                    Some(damaged)
                } else {
                    body
                };
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
                    .expect("a host must put only committed versions in force");
                assert_eq!(
                    row.preset(),
                    Some(preset),
                    "the version in force must have the committed digest"
                );
            }
            PresetEffect::AcceptDone { accept, result } => {
                self.hosts[index].results.push((accept, result));
            }
            PresetEffect::Announce(_) | PresetEffect::UpToDateChanged { .. } => {}
        }
    }

    /// Draws whether a call fails.
    fn call_fails(&mut self) -> bool {
        let failures = self.faults.failures;
        self.rng.random_bool(failures)
    }

    /// Performs a call of the table service, whose answer may be lost.
    fn run_call(&mut self, index: usize, call: u64, request: &TableCall) {
        let answer = if self.faults.table_down || self.call_fails() {
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

    /// Applies a call to the rows and returns the answer.
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
                value: change
                    .value
                    .clone()
                    .expect("the preset feature must not delete rows"),
            };
            self.rows.insert(change.key.clone(), row);
        }
        TableAnswer::Committed { versions }
    }

    fn schedule(&mut self, delay_ms: u64, pending: Pending) {
        self.scheduled += 1;
        let at = self.now + ClockTime::from_ms(delay_ms);
        self.pending.insert((at, self.scheduled), pending);
    }

    /// Returns the committed version that the pointer row holds.
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

/// Returns the number of failure domains over which the hosts are spread.
fn domain_count(hosts: usize) -> u32 {
    hosts.min(3) as u32
}
