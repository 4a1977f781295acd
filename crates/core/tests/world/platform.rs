//! Simulated platform: table service, object store and host list, with outages and lost answers.

use super::*;

/// Lag of the host list that each host has in addition to that of the host before it,
/// milliseconds.
const LIST_LAG_MS: u64 = 2_500;

/// Feature that made a table call.
#[derive(Clone, Copy)]
enum TableUser {
    Moves,
    Presets,
}

impl World {
    /// Returns whether a platform call of a host fails, by an outage or by a random fault.
    fn platform_call_fails(&mut self, host: usize, down: bool) -> bool {
        down || self.partitioned_from_platform == Some(host) || self.chance(1)
    }

    /// Makes a claim call. The fake of the claims has no partitions, so the table service counts as
    /// down for a host that cannot reach the platform.
    pub(super) fn call_claims(&mut self, host: usize, key: RequestKey, op: RequestEffect) {
        let down = self.table_down;
        self.table_down |= self.partitioned_from_platform == Some(host);
        self.ask_table(host, key, op);
        self.table_down = down;
    }

    /// Makes a table call of the move or preset feature; the answer may be lost or late.
    fn call_table(&mut self, host: usize, user: TableUser, call: u64, request: &TableCall) {
        let mut answer = if self.platform_call_fails(host, self.table_down) {
            TableAnswer::Failed
        } else {
            self.rows.perform(request)
        };
        if answer != TableAnswer::Failed && self.chance(4) {
            answer = TableAnswer::Unknown;
        }
        let event = match user {
            TableUser::Moves => HostEvent::Move(MoveEvent::TableAnswered { call, answer }),
            TableUser::Presets => HostEvent::Preset(PresetEvent::TableAnswered { call, answer }),
        };
        let late = if self.chance(3) { 3_000 } else { 0 };
        self.reply(host, late, event);
    }

    /// Sends an answer to a host, `late` milliseconds later than usual, and sometimes twice.
    pub(super) fn reply(&mut self, host: usize, late: u64, event: HostEvent) {
        let link = (host, self.epochs[host], None);
        let delay = self.rng.random_range(2..12) + late;
        if self.chance(2) {
            self.host_event(delay + 50, link, event.clone());
        }
        self.host_event(delay, link, event);
    }

    pub(super) fn perform_preset_effect(&mut self, host: usize, effect: PresetEffect) {
        match effect {
            PresetEffect::Table { call, request } => {
                self.call_table(host, TableUser::Presets, call, &request);
            }
            PresetEffect::StoreBody { call, digest, body } => {
                let failed = self.platform_call_fails(host, self.store_down);
                if !failed {
                    self.store.insert(digest, body);
                }
                let stored = !failed && !self.chance(4);
                let event = PresetEvent::BodyStored { call, stored };
                self.reply(host, 0, HostEvent::Preset(event));
            }
            PresetEffect::FetchBody {
                call,
                digest,
                source,
            } => {
                let body = self.fetch_body(host, digest, &source);
                let event = PresetEvent::BodyFetched { call, body };
                self.reply(host, 0, HostEvent::Preset(event));
            }
            PresetEffect::PutInForce { preset, body } => self.put_in_force(host, preset, body),
            PresetEffect::AcceptDone { result, .. } => self.record_acceptance(result),
            PresetEffect::Announce(_) | PresetEffect::UpToDateChanged { .. } => {}
        }
    }

    /// Returns a preset body from the object store or a peer, sometimes damaged.
    fn fetch_body(
        &mut self,
        host: usize,
        digest: [u8; 32],
        source: &BodySource,
    ) -> Option<Arc<[u8]>> {
        if self.chance(2) {
            return Some(b"damaged".as_slice().into());
        }
        match source {
            BodySource::ObjectStore => {
                let failed = self.platform_call_fails(host, self.store_down);
                self.store.get(&digest).filter(|_| !failed).cloned()
            }
            BodySource::Peer(name) => {
                let peer = (0..HOSTS).find(|peer| catalog::host_name(*peer) == *name)?;
                let reached = self.hosts[peer].up
                    && self.paused_until[peer] <= self.now
                    && !self.is_partitioned(host, peer);
                self.hosts[peer]
                    .bodies
                    .get(&digest)
                    .filter(|_| reached)
                    .cloned()
            }
        }
    }

    pub(super) fn perform_move_effect(&mut self, host: usize, effect: MoveEffect) {
        let epoch = self.epochs[host];
        match effect {
            MoveEffect::CallTable { call, request } => {
                self.call_table(host, TableUser::Moves, call, &request);
            }
            MoveEffect::SendOrder {
                target,
                order,
                valid_until,
            } => {
                let message = Message::Send(host, epoch, target, order, valid_until);
                self.after(0, message);
            }
            MoveEffect::RaiseFencing {
                target, fencing, ..
            } => {
                let delay = self.rng.random_range(1..5);
                self.after(delay, Message::Fence(host, epoch, target, fencing));
            }
            MoveEffect::Log(MoveLog::LeaseAcquired { .. }) => self.counts.takeovers += 1,
            MoveEffect::Log(_) => {}
        }
    }

    /// Lets an operator activate a preset through a host, with an edit of the version in force
    /// there.
    pub fn activate(&mut self, host: usize, number: usize) {
        if !self.hosts[host].up || self.paused_until[host] > self.now {
            return;
        }
        let preset = &self.catalog.presets[number % self.catalog.presets.len()];
        let mut catalog = (*self.catalog).clone();
        catalog.tenants[0].weight = 1 + number as u32;
        let request = AcceptRequest {
            accept: AcceptId(self.rng.random()),
            body: PresetBody::new(preset.name.clone(), catalog).encode(),
            author: Arc::from("operator"),
            at_ms: self.now,
            base_version: Some(self.hosts[host].state.catalog.version),
        };
        self.feed(host, HostEvent::Preset(PresetEvent::Accept(request)));
    }

    /// Returns the host list as a host reads it; the list reaches some hosts seconds before others.
    pub(super) fn host_list(&self, reader: usize) -> HostEvent {
        let lag = LIST_LAG_MS * reader as u64;
        let listed = self
            .listed_targets
            .iter()
            .filter(|(_, since)| self.now >= **since + lag);
        let hosts = (0..HOSTS).map(|host| ListedHost {
            host: catalog::host_name(host),
            address: catalog::gossip_address(host),
            caller_address: Some(catalog::gossip_address(100 + host)),
            domain: catalog::domain(host),
            region: RegionName::new(catalog::REGION),
            leaving: self.listed_hosts.contains(&host),
        });
        HostEvent::HostListReceived {
            hosts: hosts.collect(),
            leaving_targets: listed.map(|(target, _)| target.clone()).collect(),
        }
    }
}
