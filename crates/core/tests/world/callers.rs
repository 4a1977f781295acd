//! Simulated callers, which send calls, repeat them, reconnect, and check the answers.

use super::*;

/// Request of a caller, as it may be repeated.
#[derive(Clone, Debug)]
pub struct Call {
    pub digest: u128,
    /// Idempotency key of a booking, 0 for one without a key; `None` for a completion.
    pub booking: Option<u64>,
    /// Position of the model of a completion.
    pub model: usize,
    /// Whether the completion requests the model's adapter.
    pub adapter: bool,
}

/// Caller of one request at one host.
pub struct Caller {
    pub host: usize,
    pub call: Call,
    /// Number of chunks received, including those from before a resume.
    pub chunks: u32,
    /// Attempt that generates the answer.
    pub origin: Option<u128>,
    /// Where a resume of the answer would start.
    pub resume_point: Option<ResumePoint>,
    /// Whether a target ran the call.
    pub executed: bool,
    /// How the request ended; `None` while it is in progress.
    pub outcome: Option<RequestOutcome>,
    /// Whether the caller closed its connection or lost its host.
    pub disconnected: bool,
    /// Request digest of the stored answer that the shell read for the caller.
    pub held: Option<BodyDigest>,
}

impl World {
    /// Lets a caller send a new call or repeat an earlier one. `kind` chooses between completions,
    /// bookings with and without a key, and repeats.
    pub fn call(&mut self, host: usize, kind: u8, number: usize) {
        let serial = self.next_key + 1;
        let models = self.catalog.models.len();
        // A call whose digest is a multiple of 32 crashes each engine that runs it.
        let crashes = number % 300 == 0;
        let new = |booking| Call {
            digest: u128::from(serial) * 32 + u128::from(!crashes),
            booking,
            model: number % models,
            adapter: number % models < models / 2 && number % 4 == 0,
        };
        let call = match kind % 8 {
            0..=3 => new(None),
            4 => new(Some(0)),
            5 | 6 => new(Some(serial)),
            _ if self.calls.is_empty() => return,
            _ => {
                let mut call = self.calls[number % self.calls.len()].clone();
                if number % 8 == 0 {
                    call.digest += 1 << 64;
                }
                call
            }
        };
        self.calls.push(call.clone());
        self.arrive(host, call, None);
    }

    /// Sends a call to a host, or to the next one that accepts connections.
    pub(super) fn arrive(&mut self, host: usize, call: Call, resume_point: Option<ResumePoint>) {
        let accepts = |host: &usize| {
            let entry = &self.hosts[*host];
            let is_open = entry
                .stopping_since
                .is_none_or(|since| self.now < since + 10_000);
            entry.up && is_open && self.paused_until[*host] <= self.now
        };
        let Some(host) = (0..HOSTS).map(|n| (host + n) % HOSTS).find(accepts) else {
            return;
        };
        self.next_key += 1;
        self.counts.requests += 1;
        let key = RequestKey(self.next_key);
        let booking_key = call.booking.filter(|key| *key > 0);
        let work = match call.booking {
            Some(_) => WorkKind::Service {
                service: ServiceName::new("bookings"),
            },
            None => WorkKind::Model {
                model: self.catalog.models[call.model].name.clone(),
                adapter: call
                    .adapter
                    .then(|| AdapterName::new(&format!("a{:04}", call.model))),
            },
        };
        let deadline = self.clock(host) + ClockTime::from_ms(self.rng.random_range(1_000..15_000));
        let spec = RequestSpec {
            id: RequestId(Arc::from("request")),
            tenant: TenantName::new("tenant"),
            class: ClassName::new("class"),
            work,
            idempotent: call.booking.is_none(),
            idempotency_key: booking_key.map(|key| Arc::from(key.to_string())),
            digest: BodyDigest(call.digest),
            prefix: Vec::new(),
            input_tokens: 100,
            output_tokens: 20,
            deadline,
            resume: resume_point.clone(),
        };
        let caller = Caller {
            host,
            call,
            chunks: resume_point
                .as_ref()
                .map_or(0, |point| point.received_chunks),
            origin: resume_point.as_ref().map(|point| point.attempt.0),
            resume_point,
            executed: false,
            outcome: None,
            disconnected: false,
            held: None,
        };
        self.callers.insert(key, caller);
        let spec = Box::new(spec);
        self.feed(
            host,
            HostEvent::Request(RequestEvent::Arrived { key, spec }),
        );
    }

    /// Performs an effect of the request feature.
    pub(super) fn perform_request_effect(&mut self, host: usize, effect: RequestEffect) {
        use RequestEffect as Effect;
        match effect {
            Effect::CancelAttempt { attempt, target } => {
                self.conns.remove(&attempt);
                if let Some(fake) = self.fakes.get_mut(&target) {
                    fake.streams.remove(&attempt.0);
                }
            }
            Effect::CloseAttempt { attempt, .. } => {
                self.conns.remove(&attempt);
            }
            Effect::ClosePool { target } => self
                .conns
                .retain(|_, conn| conn.host != host || conn.target != target || !conn.silent),
            Effect::DeliverChunk { key, .. } => self.deliver(key, effect),
            Effect::Finish { key } => {
                let caller = &self.callers[&key];
                let is_whole = caller.origin.map(length_of) == Some(caller.chunks);
                self.counts.partial += u64::from(!is_whole && !caller.disconnected);
                self.close(key, RequestOutcome::Completed);
            }
            Effect::Replay { key } => {
                let caller = &self.callers[&key];
                let is_own = caller.held == Some(BodyDigest(caller.call.digest));
                self.counts.replayed += 1;
                self.counts.wrong += u64::from(!is_own || caller.chunks > 0);
                self.close(key, RequestOutcome::Completed);
            }
            Effect::Refuse { key, refusal } => self.close(key, refusal.outcome),
            Effect::ReadClaim { key, .. }
            | Effect::WriteClaim { key, .. }
            | Effect::RetargetClaim { key, .. }
            | Effect::RecordAnswer { key, .. }
            | Effect::ReleaseClaim { key, .. } => self.call_claims(host, key, effect),
            effect => self.call_target(host, effect),
        }
    }

    /// Delivers a chunk to its caller, which checks that the chunk is the next one of its answer.
    fn deliver(&mut self, key: RequestKey, effect: RequestEffect) {
        let RequestEffect::DeliverChunk {
            attempt,
            target,
            index,
            data,
            ..
        } = effect
        else {
            return;
        };
        let caller = self.callers.get_mut(&key).unwrap();
        let (digest, origin, number, total) = unpack(&data);
        let same_answer = caller.origin.is_none_or(|known| known == origin) && origin == attempt.0;
        let is_next = number == index && index == caller.chunks && total == length_of(origin);
        self.counts.wrong += u64::from(digest != caller.call.digest || !same_answer || !is_next);
        self.counts.ended_twice += u64::from(caller.outcome.is_some() && !caller.disconnected);
        caller.origin = Some(origin);
        caller.chunks += 1;
        let received_chunks = caller.chunks;
        caller.resume_point = Some(ResumePoint {
            attempt,
            target,
            received_chunks,
        });
    }

    /// Ends a request of a caller, which checks that the outcome is the only one and true.
    fn close(&mut self, key: RequestKey, outcome: RequestOutcome) {
        let caller = self.callers.get_mut(&key).unwrap();
        if caller.disconnected {
            return;
        }
        let again = caller.outcome.replace(outcome).is_some();
        self.counts.ended_twice += u64::from(again);
        match outcome {
            RequestOutcome::Completed => self.counts.completed += 1,
            RequestOutcome::NotRun => self.counts.not_run += 1,
            RequestOutcome::Unknown => self.counts.unknown += 1,
        }
        let is_false = outcome == RequestOutcome::NotRun && caller.executed;
        self.counts.false_not_run += u64::from(is_false);
    }

    /// Lets the callers of a lost host repeat their calls and resume their streams at another host.
    pub(super) fn reconnect(&mut self, host: usize) {
        let open = |caller: &Caller| caller.host == host && caller.outcome.is_none();
        let mut moved = Vec::new();
        for caller in self.callers.values_mut().filter(|caller| open(caller)) {
            caller.outcome = Some(RequestOutcome::Unknown);
            caller.disconnected = true;
            // A call that may run only once is repeated from its start, and only with its key.
            let point = caller
                .resume_point
                .clone()
                .filter(|_| caller.call.booking.is_none());
            if caller.call.booking != Some(0) {
                moved.push((caller.call.clone(), point));
            }
        }
        for (call, point) in moved {
            let delay = self.rng.random_range(1..200);
            self.after(delay, Message::Repeat((host + 1) % HOSTS, call, point));
        }
    }

    /// Lets a caller with a request in progress close its connection.
    pub fn disconnect_caller(&mut self, number: usize) {
        let open: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.outcome.is_none())
            .map(|(key, _)| *key)
            .collect();
        if let Some(key) = open.get(number % open.len().max(1)) {
            let caller = self.callers.get_mut(key).unwrap();
            caller.outcome = Some(RequestOutcome::Unknown);
            caller.disconnected = true;
            let link = (caller.host, self.epochs[caller.host], None);
            self.event(0, link, RequestEvent::CallerDisconnected { key: *key });
        }
    }
}
