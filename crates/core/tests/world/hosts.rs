//! Simulated hosts: their processes, their packets, and the preset versions that they put in force.

use super::*;

/// Time after which no connected host may start an attempt at a target that any host knows to be
/// leaving, milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;
/// Time within which an accepted preset version is in force on every connected host, milliseconds.
const PRESET_LIMIT_MS: u64 = 9_000;
/// Gossip key of all hosts.
const KEY: [u8; 32] = [7; 32];

/// One simulated host and its present process.
pub struct Host {
    pub state: HostState,
    pub up: bool,
    /// Start of the process.
    pub started_at: u64,
    /// End of the last stop, pause or partition from another host.
    pub last_disturbed: u64,
    /// Start of the planned stop that is in progress.
    pub stopping_since: Option<u64>,
    /// Newest preset version that the process put in force.
    pub version: u64,
    /// Preset bodies that the process serves to peers, by digest.
    pub bodies: HashMap<[u8; 32], Arc<[u8]>>,
    replays: ReplayTable,
}

impl Host {
    pub fn new(host: usize, now: u64) -> Self {
        Self {
            state: HostState::new(catalog::settings(host, now)),
            up: true,
            started_at: now,
            last_disturbed: now,
            stopping_since: None,
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
        self.paused_until[host] = 0;
        self.hosts[host] = Host::new(host, self.now);
        for hosts in self.known_leaves.values_mut() {
            hosts.remove(&host);
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

    /// Returns the monotonic clock of a host.
    pub(super) fn clock(&self, host: usize) -> ClockTime {
        ClockTime::from_ms(1_000 + self.now - self.hosts[host].started_at)
    }

    /// Passes an event to a host and performs its effects.
    pub(super) fn feed(&mut self, host: usize, event: HostEvent) {
        self.counts.events += 1;
        self.record_known_leaves(host, &event);
        let now = self.clock(host);
        let mut out = Vec::new();
        crocusyard_core::features::reduce(&mut self.hosts[host].state, now, event, &mut out);
        for effect in out {
            self.perform_effect(host, effect);
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

    fn perform_effect(&mut self, host: usize, effect: HostEffect) {
        match effect {
            HostEffect::Request(effect) => {
                self.check_dispatch(host, &effect);
                self.perform_request_effect(host, effect);
            }
            HostEffect::Preset(effect) => self.perform_preset_effect(host, effect),
            HostEffect::Move(effect) => self.perform_move_effect(host, effect),
            HostEffect::SendPacket {
                recipient,
                address,
                packet,
            } => {
                let bytes = seal(&keys(), &recipient, &packet)
                    .expect("the packet cannot be sealed for its recipient");
                self.transmit(host, usize::from(address.port()) - 10_000, bytes);
            }
            HostEffect::StartDrain => self.stop_host(host),
            HostEffect::CatalogInForce { .. } | HostEffect::PauseDetected(_) => {}
        }
    }

    /// Sends a packet, which may be lost, duplicated or late.
    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let copies = if self.chance(2) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_partitioned(from, to) || self.chance(2) {
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

    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions.contains(&(from.min(to), from.max(to)))
    }

    /// Returns since when a host is live and connected: up, not paused and not partitioned from any
    /// other host.
    ///
    /// Returns the present time if the host is not live and connected.
    fn connected_since(&self, host: usize) -> u64 {
        let is_partitioned = self
            .partitions
            .iter()
            .any(|pair| pair.0 == host || pair.1 == host);
        if !self.hosts[host].up || self.paused_until[host] > self.now || is_partitioned {
            return self.now;
        }
        self.hosts[host].last_disturbed
    }

    /// Records when a host's process learns from a load report or the host list that a target is
    /// leaving.
    fn record_known_leaves(&mut self, host: usize, event: &HostEvent) {
        let leaving: Vec<TargetName> = match event {
            HostEvent::LoadReported { report, .. } if report.leaving => vec![report.target.clone()],
            HostEvent::HostListReceived {
                leaving_targets, ..
            } => leaving_targets.clone(),
            _ => return,
        };
        for target in leaving {
            // Information about an earlier process of the target does not count.
            if self.fakes[&target].leaving {
                let known_since = self.known_leaves.entry(target).or_default();
                known_since.entry(host).or_insert(self.now);
            }
        }
    }

    /// Counts an attempt that starts at a target which a live, connected host has known to be
    /// leaving for longer than the limit.
    fn check_dispatch(&mut self, host: usize, effect: &RequestEffect) {
        let RequestEffect::Dispatch {
            target,
            resume: None,
            ..
        } = effect
        else {
            return;
        };
        let Some(known_since) = self.known_leaves.get(target) else {
            return;
        };
        let own_since = self.connected_since(host);
        let late = known_since.iter().any(|(other, since)| {
            let since = match *other == host {
                true => *since,
                false => (*since).max(own_since).max(self.connected_since(*other)),
            };
            self.now > since + LEAVE_LIMIT_MS
        });
        if late {
            self.counts.sent_to_leaving += 1;
        }
    }

    /// Records a preset version that a host put in force, and counts versions that are not newer or
    /// have different bodies.
    pub(super) fn put_in_force(&mut self, host: usize, preset: PresetVersion, body: Arc<[u8]>) {
        let known = self.digests.entry(preset.version).or_insert(preset.digest);
        self.counts.conflicting_bodies += u64::from(*known != preset.digest);
        self.counts.conflicting_bodies +=
            u64::from(crocusyard_presets::row::digest_of(&body) != preset.digest);
        let entry = &mut self.hosts[host];
        self.counts.reverted += u64::from(preset.version <= entry.version);
        entry.version = preset.version;
        entry.bodies.insert(preset.digest, body);
    }

    /// Counts the outcome of an acceptance, and schedules the check of a committed version.
    pub(super) fn record_acceptance(&mut self, result: AcceptResult) {
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

    /// Counts the hosts connected since the given time that have an older version in force.
    pub(super) fn check_preset(&mut self, version: u64, since: u64) {
        for host in 0..HOSTS {
            let connected = self.connected_since(host) <= since;
            if connected && self.hosts[host].state.catalog.version < version {
                self.counts.late_preset += 1;
            }
        }
    }

    /// Starts a planned stop of a host.
    pub fn stop_host(&mut self, host: usize) {
        if self.hosts[host].stopping_since.is_none() && self.hosts[host].up {
            self.hosts[host].stopping_since = Some(self.now);
            self.counts.stops += 1;
            self.feed(host, HostEvent::DrainStarted);
        }
    }

    /// Ends a planned stop as the shell does: when address answers that list the host have expired
    /// and no request is in progress. Returns whether the process ended.
    fn try_end_stop(&mut self, host: usize) -> bool {
        let Some(since) = self.hosts[host].stopping_since else {
            return false;
        };
        let idle = self.hosts[host].state.requests.in_progress() == 0;
        if self.now < since + 10_000 || !idle {
            return false;
        }
        let open = |caller: &&callers::Caller| caller.host == host && caller.outcome.is_none();
        self.counts.unfinished_at_stop += self.callers.values().filter(open).count() as u64;
        self.hosts[host].up = false;
        self.after(1_000, Message::RestartHost(host));
        self.after(1_500, Message::UnlistHost(host));
        true
    }
}
