//! Hosts: their processes, packets, and what they put in force.

use super::*;

/// Time within which a connected host does not start an attempt at a target that is known to leave.
const LEAVE_LIMIT_MS: u64 = 3_000;
/// Time within which an accepted version is in force on every connected host.
const PRESET_LIMIT_MS: u64 = 9_000;
const KEY: [u8; 32] = [7; 32];

pub struct Host {
    pub state: HostState,
    pub up: bool,
    pub started: u64,
    /// When the host last came back from a stop, a freeze or a cut from another host.
    pub disturbed: u64,
    pub stopping: Option<u64>,
    pub version: u64,
    pub bodies: HashMap<[u8; 32], Arc<[u8]>>,
    replays: ReplayTable,
}

impl Host {
    pub fn new(host: usize, now: u64) -> Self {
        Self {
            state: HostState::new(catalog::settings(host, now)),
            up: true,
            started: now,
            disturbed: now,
            stopping: None,
            version: 0,
            bodies: HashMap::new(),
            replays: ReplayTable::default(),
        }
    }
}

fn keys() -> KeyRing {
    KeyRing {
        current: KEY,
        previous: None,
    }
}

impl World {
    /// Starts a host's process with empty state.
    pub(super) fn start_host(&mut self, host: usize) {
        self.epochs[host] += 1;
        self.frozen[host] = 0;
        self.hosts[host] = Host::new(host, self.now);
        for learnt in self.learnt.values_mut() {
            learnt.remove(&host);
        }
        let event = HostEvent::CatalogLoaded {
            catalog: self.catalog.clone(),
            unix_ms: self.now,
        };
        self.feed(host, event);
        let epoch = self.epochs[host];
        let delay = self.rng.random_range(0..TICK_MS);
        self.after(delay, Message::Tick(host, epoch));
        self.after(delay, Message::Poll(host, epoch));
    }

    pub(super) fn clock(&self, host: usize) -> ClockTime {
        ClockTime::from_ms(1_000 + self.now - self.hosts[host].started)
    }

    pub(super) fn feed(&mut self, host: usize, event: HostEvent) {
        self.counts.events += 1;
        self.note_learnt(host, &event);
        let now = self.clock(host);
        let mut out = Vec::new();
        crocusyard_core::features::reduce(&mut self.hosts[host].state, now, event, &mut out);
        for effect in out {
            self.effect(host, effect);
        }
    }

    pub(super) fn tick_host(&mut self, host: usize, epoch: u64) {
        self.counts.ticks += 1;
        self.feed(host, HostEvent::Tick);
        if !self.try_end_stop(host) {
            let jitter = self.rng.random_range(0..8);
            self.after(TICK_MS + jitter, Message::Tick(host, epoch));
        }
    }

    fn effect(&mut self, host: usize, effect: HostEffect) {
        match effect {
            HostEffect::Request(effect) => {
                self.check_dispatch(host, &effect);
                self.request_effect(host, effect);
            }
            HostEffect::Preset(effect) => self.preset_effect(host, effect),
            HostEffect::Move(effect) => self.move_effect(host, effect),
            HostEffect::SendPacket {
                recipient,
                address,
                packet,
            } => {
                let bytes = seal(&keys(), &recipient, &packet).expect("packet can be sealed");
                self.transmit(host, usize::from(address.port()) - 10_000, bytes);
            }
            HostEffect::StartDrain => self.stop_host(host),
            HostEffect::CatalogInForce { .. } | HostEffect::PauseDetected(_) => {}
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let copies = if self.chance(2) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_cut(from, to) || self.chance(2) {
                continue;
            }
            let late = if self.chance(2) { 300 } else { 0 };
            let delay = self.rng.random_range(1..4) + late;
            self.after(delay, Message::Packet(from, to, bytes.clone()));
        }
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let name = catalog::host_name(to);
        let Ok(packet) = open(&keys(), &name, &mut self.hosts[to].replays, bytes) else {
            return;
        };
        self.counts.packets += 1;
        let from = catalog::gossip_address(from);
        self.feed(
            to,
            HostEvent::Membership(MembershipEvent::PacketReceived { from, packet }),
        );
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from.min(to), from.max(to)))
    }

    /// Returns since when a host is up, not frozen and not cut from any other host.
    ///
    /// This is what counts as a live and connected host; the present time if it is not one.
    fn connected_since(&self, host: usize) -> u64 {
        let cut = self
            .cuts
            .iter()
            .any(|pair| pair.0 == host || pair.1 == host);
        if !self.hosts[host].up || self.frozen[host] > self.now || cut {
            return self.now;
        }
        self.hosts[host].disturbed
    }

    /// Notes when a host's process is told by a report or the host list that a target leaves.
    fn note_learnt(&mut self, host: usize, event: &HostEvent) {
        let told: Vec<TargetName> = match event {
            HostEvent::LoadReported { report, .. } if report.leaving => vec![report.target.clone()],
            HostEvent::HostListReceived {
                leaving_targets, ..
            } => leaving_targets.clone(),
            _ => return,
        };
        for target in told {
            // What is said of an earlier process of the target does not count.
            if self.fakes[&target].leaving {
                let learnt = self.learnt.entry(target).or_default();
                learnt.entry(host).or_insert(self.now);
            }
        }
    }

    /// Checks that an attempt does not start at a target that a live, connected host has long known
    /// to be leaving.
    fn check_dispatch(&mut self, host: usize, effect: &RequestEffect) {
        let RequestEffect::Dispatch {
            target,
            resume: None,
            ..
        } = effect
        else {
            return;
        };
        let Some(learnt) = self.learnt.get(target) else {
            return;
        };
        let own = self.connected_since(host);
        let late = learnt.iter().any(|(other, since)| {
            let since = match *other == host {
                true => *since,
                false => (*since).max(own).max(self.connected_since(*other)),
            };
            self.now > since + LEAVE_LIMIT_MS
        });
        if late {
            self.counts.to_leaving += 1;
        }
    }

    /// Notes a version that a host put in force.
    pub(super) fn put_in_force(&mut self, host: usize, preset: PresetVersion, body: Arc<[u8]>) {
        let known = self.digests.entry(preset.version).or_insert(preset.digest);
        self.counts.two_bodies += u64::from(*known != preset.digest);
        self.counts.two_bodies +=
            u64::from(crocusyard_presets::row::digest_of(&body) != preset.digest);
        let entry = &mut self.hosts[host];
        self.counts.reverted += u64::from(preset.version <= entry.version);
        entry.version = preset.version;
        entry.bodies.insert(preset.digest, body);
    }

    pub(super) fn note_accepted(&mut self, result: AcceptResult) {
        match result {
            AcceptResult::Committed(preset) => {
                self.counts.committed += 1;
                let message = Message::CheckPreset(preset.version, self.now);
                self.after(PRESET_LIMIT_MS, message);
            }
            AcceptResult::Conflict { .. } => self.counts.conflicts += 1,
            AcceptResult::Unavailable | AcceptResult::Unknown { .. } => {}
        }
    }

    pub(super) fn check_preset(&mut self, version: u64, since: u64) {
        for host in 0..HOSTS {
            let connected = self.connected_since(host) <= since;
            if connected && self.hosts[host].state.catalog.version < version {
                self.counts.late_preset += 1;
            }
        }
    }

    /// Starts a planned stop.
    pub fn stop_host(&mut self, host: usize) {
        if self.hosts[host].stopping.is_none() && self.hosts[host].up {
            self.hosts[host].stopping = Some(self.now);
            self.counts.stops += 1;
            self.feed(host, HostEvent::DrainStarted);
        }
    }

    /// Ends a planned stop when the given answers have run out and no request is in progress, as the
    /// shell does; returns whether the process ended.
    fn try_end_stop(&mut self, host: usize) -> bool {
        let Some(since) = self.hosts[host].stopping else {
            return false;
        };
        let idle = self.hosts[host].state.requests.in_progress() == 0;
        if self.now < since + 10_000 || !idle {
            return false;
        }
        let open = |caller: &&callers::Caller| caller.host == host && caller.outcome.is_none();
        self.counts.cut_by_stop += self.callers.values().filter(open).count() as u64;
        self.hosts[host].up = false;
        self.after(1_000, Message::RestartHost(host));
        self.after(1_500, Message::UnlistHost(host));
        true
    }
}
