//! Fake engines and plain services.

use super::*;

impl World {
    /// Handles the arrival of a dispatch at its target: the target may refuse, run or lose it.
    pub(super) fn start(&mut self, host: usize, epoch: u64, effect: RequestEffect) {
        let RequestEffect::Dispatch {
            key,
            attempt,
            target,
            resume,
        } = effect
        else {
            return;
        };
        let link = (host, epoch, Some(attempt));
        let failure = |send_status, connection_reset| RequestEvent::AttemptEnded {
            attempt,
            end: AttemptEnd::Failed {
                send_status,
                connection_reset,
            },
        };
        if self.fakes[&target].down {
            let event = failure(SendStatus::NotSent, false);
            return self.event(1, link, event);
        }
        let sent = RequestEvent::AttemptSent { attempt };
        self.event(0, link, sent);
        if self.chance(3) {
            return; // The dispatch is lost, and the host gets no event.
        }
        if self.chance(3) {
            let runs_once = self
                .callers
                .get(&key)
                .is_some_and(|caller| caller.call.booking.is_some());
            if runs_once && resume.is_none() && self.chance(50) {
                // A service may answer 503 to a call that it ran.
                self.execute(key, attempt, &target);
            }
            let end = AttemptEnd::Refused {
                status: 503,
                retry_after: None,
            };
            let event = RequestEvent::AttemptEnded { attempt, end };
            return self.event(1, link, event);
        }
        let (digest, origin, from, total) = match resume {
            Some((origin, from)) => match self.fakes[&target].streams.get(&origin.0) {
                Some(&(digest, total)) => (digest, origin, from, total),
                None => {
                    let end = AttemptEnd::StreamGone;
                    let event = RequestEvent::AttemptEnded { attempt, end };
                    return self.event(1, link, event);
                }
            },
            None => {
                let digest = self.execute(key, attempt, &target);
                (digest, attempt, 0, length_of(attempt.0))
            }
        };
        let fake = self.fakes.get_mut(&target).unwrap();
        fake.streams.insert(origin.0, (digest, total));
        if self.chance(3) {
            let conn = self.conns.get_mut(&attempt);
            conn.into_iter().for_each(|conn| conn.silent = true);
        }
        self.send_answer(link, attempt, (digest, origin.0, from, total));
        if self.chance(3) {
            let delay = self.rng.random_range(0..200);
            let event = failure(SendStatus::MaybeSent, false);
            self.event(delay, link, event);
        }
    }

    /// Runs a call at a target and returns its digest.
    fn execute(&mut self, key: RequestKey, attempt: AttemptId, target: &TargetName) -> u128 {
        self.counts.executed += 1;
        let Some(caller) = self.callers.get_mut(&key) else {
            return attempt.0;
        };
        caller.executed = true;
        if caller.outcome == Some(RequestOutcome::NotRun) {
            self.counts.false_not_run += 1;
        }
        let digest = caller.call.digest;
        if caller.call.booking.is_none() && digest % 32 == 0 {
            // A request with such a digest crashes every target that runs it.
            let number = self.targets.iter().position(|spec| spec.name == *target);
            self.kill_target(number.unwrap_or(0), 300);
        } else if let Some(booking) = caller.call.booking {
            let name = match booking {
                0 => format!("request {key}"),
                booking => format!("key {booking}"),
            };
            let runs = self.runs.entry(name).or_insert(0);
            *runs += 1;
            self.counts.duplicates += u64::from(*runs > 1);
            let keeps_records = |spec: &TargetSpec| spec.name == *target && spec.keeps_records;
            let keeps_records = self.targets.iter().any(keeps_records);
            if keeps_records && booking > 0 {
                let hash = blake3::hash(booking.to_string().as_bytes()).to_hex();
                let row = Arc::from(format!("claims/tenant/{hash}"));
                let fake = self.fakes.get_mut(target).unwrap();
                fake.records.insert(row, BodyDigest(digest));
            }
        }
        digest
    }

    /// Schedules the chunks of an answer, some of them lost, duplicated or reordered.
    fn send_answer(&mut self, link: Link, attempt: AttemptId, first_chunk: Chunk) {
        let (digest, origin, from, total) = first_chunk;
        let mut at = 1;
        let head = RequestEvent::AttemptHead { attempt };
        self.event(at, link, head);
        for index in from..total {
            at += self.rng.random_range(1..60);
            let data = pack((digest, origin, index, total));
            let event = RequestEvent::AttemptChunk {
                attempt,
                index,
                data,
            };
            if self.chance(1) {
                continue;
            }
            if self.chance(2) {
                let late = at + self.rng.random_range(0..300);
                self.event(late, link, event.clone());
            }
            let late = if self.chance(1) { 80 } else { 0 };
            self.event(at + late, link, event);
        }
        let end = AttemptEnd::CompleteWith { chunks: total };
        let event = RequestEvent::AttemptEnded { attempt, end };
        self.event(at + 1, link, event);
    }
}
