//! Faults, and the checks after the end of all faults.

use super::*;

/// Time after the end of all faults within which every model is resident, milliseconds.
const REACHABLE_MS: u64 = 90_000;
/// Rounds in which callers request a model after the end of all faults.
const SERVE_ROUNDS: usize = 15;
/// Length of such a round, milliseconds.
const SERVE_ROUND_MS: u64 = 4_000;
/// Time after which every host has read a change of the host list, milliseconds.
const POLL_LAG_MS: u64 = 10_000;
/// Time from the start of a target's leave to the end of its process, milliseconds.
const LEAVE_MS: u64 = 12_000;

impl World {
    /// Kills a target's process, which breaks its connections; a new process starts after `ms`.
    pub fn kill_target(&mut self, number: usize, ms: u64) {
        self.counts.disturbances += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.down = true;
        fake.streams.clear();
        self.known_leaves.remove(&target);
        self.after(ms, Message::RestartTarget(target.clone()));
        self.break_conns(|conn| conn.target == target, true);
    }

    /// Breaks the connections that match; their hosts see the attempts fail.
    fn break_conns(&mut self, is_broken: impl Fn(&Conn) -> bool, connection_reset: bool) {
        let broken = self
            .conns
            .iter()
            .filter(|(_, conn)| is_broken(conn) && !conn.silent);
        let mut broken: Vec<_> = broken
            .map(|(id, conn)| (*id, conn.host, conn.epoch))
            .collect();
        broken.sort_unstable();
        for (attempt, host, epoch) in broken {
            self.conns.remove(&attempt);
            let send_status = SendStatus::MaybeSent;
            let end = AttemptEnd::Failed {
                send_status,
                connection_reset,
            };
            let event = RequestEvent::AttemptEnded { attempt, end };
            self.event(1, (host, epoch, None), event);
        }
    }

    /// Breaks a host's connections to a target, or makes them silent without closing them.
    pub fn cut_target(&mut self, host: usize, number: usize, silent: bool) {
        self.counts.disturbances += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        if silent {
            let conns = self.conns.values_mut();
            let old = conns.filter(|conn| conn.host == host && conn.target == target);
            old.for_each(|conn| conn.silent = true);
        } else {
            self.break_conns(|conn| conn.host == host && conn.target == target, false);
        }
    }

    /// Makes a target leave and later restarts it.
    ///
    /// The host list names the target `lag` milliseconds late. If `lag` is a multiple of 32, the
    /// load reports of the target say at once that it is leaving; otherwise only the host list
    /// does.
    pub fn leave_target(&mut self, number: usize, lag: u64) {
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = &self.fakes[&target];
        if fake.down || fake.leaving || self.now <= fake.unlisted_at {
            return;
        }
        self.counts.disturbances += 1;
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.leaving = true;
        fake.reports_leaving = lag % 32 == 0;
        fake.unlisted_at = self.now + LEAVE_MS + lag + POLL_LAG_MS;
        self.after(lag, Message::List(target.clone(), true));
        self.after(LEAVE_MS, Message::KillTarget(number));
        self.after(LEAVE_MS + lag, Message::List(target, false));
    }

    /// Pauses a host's process for `ms`.
    pub fn pause_host(&mut self, host: usize, ms: u64) {
        self.counts.disturbances += 1;
        self.paused_until[host] = self.paused_until[host].max(self.now + ms);
        self.hosts[host].last_disturbed =
            self.hosts[host].last_disturbed.max(self.paused_until[host]);
    }

    /// Starts a partition between two hosts, or ends it.
    pub fn toggle_partition(&mut self, one: usize, other: usize) {
        if one == other {
            return;
        }
        let pair = (one.min(other), one.max(other));
        self.counts.disturbances += 1;
        if !self.partitions.insert(pair) {
            self.partitions.remove(&pair);
        }
        for host in [one, other] {
            self.hosts[host].last_disturbed = self.hosts[host].last_disturbed.max(self.now);
        }
    }

    /// Ends all partitions between hosts.
    pub fn heal_partitions(&mut self) {
        for (one, other) in std::mem::take(&mut self.partitions) {
            for host in [one, other] {
                self.hosts[host].last_disturbed = self.hosts[host].last_disturbed.max(self.now);
            }
        }
    }

    /// Kills a host; a process of the same name starts after `ms`.
    pub fn kill_host(&mut self, host: usize, ms: u64) {
        if !self.hosts[host].up {
            return;
        }
        self.counts.disturbances += 1;
        self.counts.kills += 1;
        self.hosts[host].up = false;
        self.conns.retain(|_, conn| conn.host != host);
        self.reconnect(host);
        self.after(ms, Message::RestartHost(host));
    }

    /// Makes the host list name a host as leaving, until some time after its restart.
    pub fn list_host(&mut self, host: usize) {
        self.counts.disturbances += 1;
        self.listed_hosts.insert(host);
    }

    /// Starts or ends outages of the table service and the object store, and sets the host that
    /// cannot reach the platform.
    pub fn set_platform(
        &mut self,
        table_down: bool,
        store_down: bool,
        unreachable_from: Option<usize>,
    ) {
        self.counts.disturbances +=
            u64::from(table_down || store_down || unreachable_from.is_some());
        self.table_down = table_down;
        self.store_down = store_down;
        self.partitioned_from_platform = unreachable_from;
    }

    /// Returns the number of models without a copy; 0 if the models do not fit into memory
    /// together.
    fn models_without_copy(&self) -> u64 {
        let models = &self.catalog.models;
        let has_copy = |fake: &FakeTarget, model: &ModelSpec| {
            let copy = fake.engine.copies.get(model.name.as_str());
            !fake.down && copy.is_some_and(|(_, state)| *state != CopyState::Unloading)
        };
        let missing = models.iter().filter(|model| {
            let mut fakes = self.fakes.values();
            !fakes.any(|fake| has_copy(fake, model))
        });
        match models.len() {
            FEW_MODELS => missing.count() as u64,
            _ => 0,
        }
    }

    /// Lets callers request a model from every host until it is served; returns how many hosts did
    /// not serve it in time.
    fn count_unserved(&mut self, model: usize) -> u64 {
        let mut unserved: Vec<usize> = (0..HOSTS).collect();
        for _ in 0..SERVE_ROUNDS {
            let first = self.next_key + 1;
            for host in &unserved {
                self.call(*host, 0, model + self.catalog.models.len());
            }
            self.advance(SERVE_ROUND_MS);
            let outcome = |key| self.callers[&RequestKey(key)].outcome;
            let keys = first..=self.next_key;
            let unfinished = keys.filter(|key| outcome(*key) != Some(RequestOutcome::Completed));
            unserved = unfinished
                .map(|key| self.callers[&RequestKey(key)].host)
                .collect();
            if unserved.is_empty() {
                return 0;
            }
        }
        unserved.len() as u64
    }

    /// Ends all faults; some time later, counts the models that are not reachable or not served,
    /// and the requests and planned stops that have not ended.
    ///
    /// The engine `lost_engine` is down and does not come back. The other engines have room for
    /// every model, or load some of the models on demand.
    pub fn settle(&mut self, lost_engine: Option<usize>) {
        self.faults_ended = true;
        if let Some(number) = lost_engine {
            self.kill_target(number % ENGINES, 10 * REACHABLE_MS);
        }
        self.set_platform(false, false, None);
        self.heal_partitions();
        self.advance(REACHABLE_MS);
        self.counts.unreachable += self.models_without_copy();
        for model in 0..self.catalog.models.len() {
            self.counts.unreachable += self.count_unserved(model);
        }
        self.advance(60_000);
        let open = self
            .callers
            .values()
            .filter(|caller| caller.outcome.is_none());
        self.counts.stuck += open.count() as u64;
        for host in 0..HOSTS {
            self.counts.stuck += self.hosts[host].state.requests.in_progress() as u64;
            self.counts.unfinished_at_stop += u64::from(self.hosts[host].stopping_since.is_some());
            let newest = self.digests.keys().next_back().copied().unwrap_or(0);
            self.counts.late_preset += u64::from(self.hosts[host].version != newest);
        }
    }
}
