//! Fake table service.

use super::*;

impl World {
    pub(super) fn ask_table(&mut self, host: usize, key: RequestKey, op: RequestEffect) {
        let epoch = self.epochs[host];
        let failed = self.table_down || self.chance(1);
        let lost = !failed && self.chance(4);
        if failed || lost {
            let answer = match failed {
                true => ClaimAnswer::Failed,
                false => ClaimAnswer::Unknown,
            };
            self.table_reply(host, epoch, key, &op, answer);
        }
        if failed || (lost && self.chance(40)) {
            return;
        }
        // After a lost answer the change may still take effect, and late.
        let delay = match lost {
            true => self.rng.random_range(0..3_000),
            false => self.rng.random_range(0..5),
        };
        self.after(delay, Message::Table(host, epoch, key, op, lost));
    }

    fn table_reply(
        &mut self,
        host: usize,
        epoch: u64,
        key: RequestKey,
        op: &RequestEffect,
        answer: ClaimAnswer,
    ) {
        let event = match op {
            RequestEffect::ReleaseClaim { .. } => return,
            RequestEffect::RecordAnswer { .. } => RequestEvent::RecordAnswered {
                key,
                stored: answer == ClaimAnswer::Granted,
            },
            _ => RequestEvent::ClaimAnswered { key, answer },
        };
        let delay = self.rng.random_range(1..5);
        if self.chance(1) {
            self.event(delay + 20, (host, epoch, None), event.clone());
        }
        self.event(delay, (host, epoch, None), event);
    }

    pub(super) fn table_op(
        &mut self,
        host: usize,
        epoch: u64,
        key: RequestKey,
        op: RequestEffect,
        lost: bool,
    ) {
        let found = |row: Option<&Row>| match row {
            None => ClaimAnswer::Absent,
            Some(row) if row.recorded => ClaimAnswer::Recorded { digest: row.digest },
            Some(row) => ClaimAnswer::Held {
                claim: row.claim,
                digest: row.digest,
                target: Some(row.target.clone()),
            },
        };
        let answer = match &op {
            RequestEffect::WriteClaim {
                row,
                claim,
                digest,
                target,
                ..
            } if !self.table.contains_key(row) => {
                let value = Row {
                    claim: *claim,
                    digest: *digest,
                    target: target.clone(),
                    recorded: false,
                };
                self.table.insert(row.clone(), value);
                ClaimAnswer::Granted
            }
            RequestEffect::ReadClaim { row, .. } | RequestEffect::WriteClaim { row, .. } => {
                found(self.table.get(row))
            }
            RequestEffect::RecordAnswer { row, claim, .. } => match self.table.get_mut(row) {
                Some(row) if row.claim == *claim => {
                    row.recorded = true;
                    ClaimAnswer::Granted
                }
                _ => ClaimAnswer::Failed,
            },
            RequestEffect::ReleaseClaim { row, claim, .. } => {
                let own = |row: &Row| row.claim == *claim && !row.recorded;
                if self.table.get(row).is_some_and(own) {
                    self.table.remove(row);
                }
                ClaimAnswer::Granted
            }
            _ => return,
        };
        if lost {
            return;
        }
        if let (ClaimAnswer::Recorded { digest }, Some(caller)) =
            (&answer, self.callers.get_mut(&key))
        {
            caller.held = Some(*digest);
        }
        self.table_reply(host, epoch, key, &op, answer);
    }
}
