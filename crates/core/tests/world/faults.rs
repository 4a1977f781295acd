//! Faults, and the quiet end of a run.

use super::*;

/// Time after the end of all faults within which every model is resident.
const REACHABLE_MS: u64 = 90_000;
/// Rounds of callers that ask for a model at the quiet end, and their length.
const SERVE_ROUNDS: usize = 15;
const SERVE_ROUND_MS: u64 = 4_000;
/// Time after which every host has read a change of the host list.
const POLL_LAG_MS: u64 = 10_000;
/// Time from the start of a target's leave to the end of its process.
const LEAVE_MS: u64 = 12_000;

impl World {
    /// Kills a target's process for a while; its connections break.
    pub fn kill_target(&mut self, number: usize, ms: u64) {
        self.counts.disturbances += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.down = true;
        fake.streams.clear();
        self.learnt.remove(&target);
        self.after(ms, Message::RestartTarget(target.clone()));
        self.break_conns(|conn| conn.target == target, true);
    }

    fn break_conns(&mut self, lost: impl Fn(&Conn) -> bool, connection_reset: bool) {
        let cut = self
            .conns
            .iter()
            .filter(|(_, conn)| lost(conn) && !conn.silent);
        let mut cut: Vec<_> = cut.map(|(id, conn)| (*id, conn.host, conn.epoch)).collect();
        cut.sort_unstable();
        for (attempt, host, epoch) in cut {
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

    /// Cuts a host's connections to a target, or makes them silent for good.
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

    /// Lets a target leave: it says so in its reports, and the host list later, or the reverse; then
    /// its process ends and a new one starts.
    pub fn leave_target(&mut self, number: usize, lag: u64) {
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = &self.fakes[&target];
        if fake.down || fake.leaving || self.now <= fake.unlisted {
            return;
        }
        self.counts.disturbances += 1;
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.leaving = true;
        fake.tells = lag % 32 == 0;
        fake.unlisted = self.now + LEAVE_MS + lag + POLL_LAG_MS;
        self.after(lag, Message::List(target.clone(), true));
        self.after(LEAVE_MS, Message::KillTarget(number));
        self.after(LEAVE_MS + lag, Message::List(target, false));
    }

    /// Pauses a host's process.
    pub fn freeze(&mut self, host: usize, ms: u64) {
        self.counts.disturbances += 1;
        self.frozen[host] = self.frozen[host].max(self.now + ms);
        self.hosts[host].disturbed = self.hosts[host].disturbed.max(self.frozen[host]);
    }

    /// Cuts two hosts from each other, or ends the cut.
    pub fn cut_hosts(&mut self, one: usize, other: usize) {
        if one == other {
            return;
        }
        let pair = (one.min(other), one.max(other));
        self.counts.disturbances += 1;
        if !self.cuts.insert(pair) {
            self.cuts.remove(&pair);
        }
        for host in [one, other] {
            self.hosts[host].disturbed = self.hosts[host].disturbed.max(self.now);
        }
    }

    /// Ends all cuts between hosts.
    pub fn heal_cuts(&mut self) {
        for (one, other) in std::mem::take(&mut self.cuts) {
            for host in [one, other] {
                self.hosts[host].disturbed = self.hosts[host].disturbed.max(self.now);
            }
        }
    }

    /// Kills a host; a process of the same name starts later.
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

    /// Lets the host list name a host as leaving, until some time after its restart.
    pub fn list_host(&mut self, host: usize) {
        self.counts.disturbances += 1;
        self.listed_hosts.insert(host);
    }

    /// Starts or ends outages of the platform.
    pub fn set_platform(&mut self, table_down: bool, store_down: bool, cut: Option<usize>) {
        self.counts.disturbances += u64::from(table_down || store_down || cut.is_some());
        self.table_down = table_down;
        self.store_down = store_down;
        self.platform_cut = cut;
    }

    /// Returns the number of models without a copy, if memory can hold all models.
    fn models_without_copy(&self) -> u64 {
        let models = &self.catalog.models;
        let has_copy = |fake: &Fake, model: &ModelSpec| {
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

    /// Lets callers ask every host for a model until they are served; returns how many hosts did not
    /// serve it in time.
    fn count_unserved(&mut self, model: usize) -> u64 {
        let mut unserved: Vec<usize> = (0..HOSTS).collect();
        for _ in 0..SERVE_ROUNDS {
            let first = self.next_key + 1;
            for host in &unserved {
                self.call(*host, 0, model + self.catalog.models.len());
            }
            self.pass(SERVE_ROUND_MS);
            let outcome = |key| self.callers[&RequestKey(key)].outcome;
            let keys = first..=self.next_key;
            let open = keys.filter(|key| outcome(*key) != Some(RequestOutcome::Completed));
            unserved = open
                .map(|key| self.callers[&RequestKey(key)].host)
                .collect();
            if unserved.is_empty() {
                return 0;
            }
        }
        unserved.len() as u64
    }

    /// Ends all faults and counts what is not reachable, not served or not ended after a while.
    ///
    /// An engine may stay down for good: the others have room for every model, or for all but some on demand.
    pub fn settle(&mut self, gone: Option<usize>) {
        self.healed = true;
        if let Some(number) = gone {
            self.kill_target(number % ENGINES, 10 * REACHABLE_MS);
        }
        self.set_platform(false, false, None);
        self.heal_cuts();
        self.pass(REACHABLE_MS);
        self.counts.unreachable += self.models_without_copy();
        for model in 0..self.catalog.models.len() {
            self.counts.unreachable += self.count_unserved(model);
        }
        self.pass(60_000);
        let open = self
            .callers
            .values()
            .filter(|caller| caller.outcome.is_none());
        self.counts.stuck += open.count() as u64;
        for host in 0..HOSTS {
            self.counts.stuck += self.hosts[host].state.requests.in_progress() as u64;
            self.counts.cut_by_stop += u64::from(self.hosts[host].stopping.is_some());
            let newest = self.digests.keys().next_back().copied().unwrap_or(0);
            self.counts.late_preset += u64::from(self.hosts[host].version != newest);
        }
    }
}
