//! Faults that the test injects, and the checks at the end of a run.

use super::*;

impl World {
    /// Kills a target's process, which resets its connections, and restarts it after `ms`.
    pub fn kill_target(&mut self, number: usize, ms: u64) {
        self.counts.faults += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.down = true;
        fake.streams.clear();
        self.after(ms, Message::Restart(target.clone()));
        self.break_connections(|conn| conn.target == target, true);
    }

    /// Ends the attempts on all connections for which `is_cut` is true; silent ones get no event.
    fn break_connections(&mut self, is_cut: impl Fn(&Connection) -> bool, connection_reset: bool) {
        let cut = self
            .conns
            .iter()
            .filter(|(_, conn)| is_cut(conn) && !conn.silent);
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

    /// Closes a host's connections to a target, or lets nothing more arrive on them.
    pub fn cut_connections(&mut self, host: usize, number: usize, silent: bool) {
        self.counts.faults += 1;
        let target = self.targets[number % self.targets.len()].name.clone();
        if silent {
            let connections = self.conns.values_mut();
            let old = connections.filter(|conn| conn.host == host && conn.target == target);
            old.for_each(|conn| conn.silent = true);
        } else {
            self.break_connections(|conn| conn.host == host && conn.target == target, false);
        }
    }

    /// Pauses a host, which handles its events only after `ms`.
    pub fn pause_host(&mut self, host: usize, ms: u64) {
        self.counts.faults += 1;
        self.paused_until[host] = self.now + ms;
    }

    /// Replaces a host by a new process. Its callers repeat calls with keys, and resume streams, at
    /// another host.
    pub fn kill_host(&mut self, host: usize) {
        self.counts.faults += 1;
        self.epochs[host] += 1;
        let seed = 1 + host as u64 + self.epochs[host] * HOSTS as u64;
        self.hosts[host] = TestHost::new(seed, &self.targets);
        self.paused_until[host] = 0;
        self.conns.retain(|_, conn| conn.host != host);
        let keys: Vec<_> = self.callers.keys().copied().collect();
        for key in keys {
            let caller = &self.callers[&key];
            if caller.host == host && caller.outcome.is_none() {
                let call = caller.call.clone();
                // A call with a key is repeated from its start.
                let resume_point = caller
                    .resume_point
                    .clone()
                    .filter(|_| call.booking.is_none());
                let caller = self.callers.get_mut(&key).unwrap();
                caller.outcome = Some(RequestOutcome::Unknown);
                caller.disconnected = true;
                let other = (host + 1) % HOSTS;
                let delay = self.rng.random_range(1..200);
                if call.booking != Some(0) {
                    self.after(delay, Message::Repeat(other, call, resume_point));
                }
            }
        }
    }

    /// Disconnects one of the callers that still wait, if there is one.
    pub fn disconnect_caller(&mut self, number: usize) {
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
            caller.disconnected = true;
            let (host, epoch) = (caller.host, self.epochs[caller.host]);
            let event = RequestEvent::CallerDisconnected { key: *key };
            self.event(0, (host, epoch, None), event);
        }
    }

    /// Starts or ends an outage of the table service.
    pub fn set_table_outage(&mut self, down: bool) {
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

    /// Ends all faults, waits until everything has ended, and counts what has not.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        self.table_down = false;
        self.paused_until = vec![0; HOSTS];
        self.advance(30_000);
        self.advance(400_000);
        let open = self
            .callers
            .values()
            .filter(|caller| caller.outcome.is_none());
        self.counts.unended += open.count() as u64;
        let in_progress = self
            .hosts
            .iter()
            .map(|host| host.state.in_progress() as u64);
        self.counts.unended += in_progress.sum::<u64>();
        let rows = self.table.values().filter(|row| self.is_unreleased(row));
        self.counts.unreleased_claims += rows.count() as u64;
    }

    /// Returns whether a row still holds a claim although its caller received `not_run`.
    ///
    /// Claims of killed hosts do not count, because a killed host cannot release them.
    fn is_unreleased(&self, row: &Row) -> bool {
        let Some(&(key, host, epoch)) = self.claims.get(&row.claim) else {
            return false;
        };
        let caller = &self.callers[&key];
        let reported_not_run =
            caller.outcome == Some(RequestOutcome::NotRun) && !caller.disconnected;
        reported_not_run && !row.recorded && !row.released && self.epochs[host] == epoch
    }
}
