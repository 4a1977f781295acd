//! Faults, and the end of a run.

use super::*;

impl World {
    /// Kills a target's process for a while; its connections break.
    pub fn kill_target(&mut self, number: usize, ms: u64) {
        self.counts.faults += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.down = true;
        fake.streams.clear();
        self.after(ms, Message::Restart(target.clone()));
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
    pub fn cut(&mut self, host: usize, number: usize, silent: bool) {
        self.counts.faults += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        if silent {
            let conns = self.conns.values_mut();
            let old = conns.filter(|conn| conn.host == host && conn.target == target);
            old.for_each(|conn| conn.silent = true);
        } else {
            self.break_conns(|conn| conn.host == host && conn.target == target, false);
        }
    }

    /// Pauses a host.
    pub fn freeze(&mut self, host: usize, ms: u64) {
        self.counts.faults += 1;
        self.frozen[host] = self.now + ms;
    }

    /// Replaces a host; callers repeat keyed calls and resume streams at others.
    pub fn kill_host(&mut self, host: usize) {
        self.counts.faults += 1;
        self.epochs[host] += 1;
        let seed = 1 + host as u64 + self.epochs[host] * HOSTS as u64;
        self.hosts[host] = TestHost::new(seed, &self.targets);
        self.frozen[host] = 0;
        self.conns.retain(|_, conn| conn.host != host);
        let keys: Vec<_> = self.callers.keys().copied().collect();
        for key in keys {
            let caller = &self.callers[&key];
            if caller.host == host && caller.outcome.is_none() {
                let call = caller.call.clone();
                // A keyed call is repeated from its start.
                let point = caller.point.clone().filter(|_| call.booking.is_none());
                let caller = self.callers.get_mut(&key).unwrap();
                caller.outcome = Some(RequestOutcome::Unknown);
                caller.left = true;
                let other = (host + 1) % HOSTS;
                let delay = self.rng.random_range(1..200);
                if call.booking != Some(0) {
                    self.after(delay, Message::Repeat(other, call, point));
                }
            }
        }
    }

    /// Lets a caller leave; returns without effect if it is gone already.
    pub fn leave(&mut self, number: usize) {
        let open = |(_, caller): &(&RequestKey, &Caller)| caller.outcome.is_none();
        let open: Vec<_> = self
            .callers
            .iter()
            .filter(open)
            .map(|(key, _)| *key)
            .collect();
        if let Some(key) = open.get(number % open.len().max(1)) {
            let caller = self.callers.get_mut(key).unwrap();
            caller.outcome = Some(RequestOutcome::Unknown);
            caller.left = true;
            let (host, epoch) = (caller.host, self.epochs[caller.host]);
            let event = RequestEvent::CallerDisconnected { key: *key };
            self.event(0, (host, epoch, None), event);
        }
    }

    /// Starts or ends an outage of the table service.
    pub fn set_table(&mut self, down: bool) {
        self.counts.faults += u64::from(down);
        self.table_down = down;
    }

    /// Marks a target as leaving or staying on every host.
    pub fn set_leaving(&mut self, number: usize, leaving: bool) {
        let name = &self.targets[number % self.targets.len()].name;
        for host in &mut self.hosts {
            host.routes.set_leaving(name, leaving);
        }
    }

    /// Ends all faults, lets everything end, and counts what did not.
    pub fn settle(&mut self) {
        self.healed = true;
        self.table_down = false;
        self.frozen = vec![0; HOSTS];
        self.pass(30_000);
        self.pass(400_000);
        let open = self
            .callers
            .values()
            .filter(|caller| caller.outcome.is_none());
        self.counts.stuck += open.count() as u64;
        let left = self
            .hosts
            .iter()
            .map(|host| host.state.in_progress() as u64);
        self.counts.stuck += left.sum::<u64>();
        let rows = self.table.values().filter(|row| self.is_orphan(row));
        self.counts.orphans += rows.count() as u64;
    }

    /// Returns whether a claim stands although its caller was told that the call was not run. A
    /// host that was killed could not release its claims.
    fn is_orphan(&self, row: &Row) -> bool {
        let Some(&(key, host, epoch)) = self.claimed.get(&row.claim) else {
            return false;
        };
        let caller = &self.callers[&key];
        let told = caller.outcome == Some(RequestOutcome::NotRun) && !caller.left;
        told && !row.recorded && !row.released && self.epochs[host] == epoch
    }
}
